package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"dogwoodhead/frame"
	"dogwoodhead/operator"
)

// nodeStatus is the status of one node, or the error that prevented reading it.
type nodeStatus struct {
	Node   string           `json:"node"`
	Status *operator.Status `json:"status,omitempty"`
	Error  string           `json:"error,omitempty"`
}

func newStatusCommand() *cobra.Command {
	var nodes []string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "status --node ADDR [--node ADDR ...]",
		Short: "Show the state of one or more nodes",
		Long: `Reads the status of each node from its operator address. Exits with 1 if a node
did not respond, so that scripts can detect it. The last line of the table shows
whether the same configuration is active on all nodes that responded.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			statuses := readStatuses(cmd.Context(), nodes)
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				if err := e.Encode(statuses); err != nil {
					return eris.Wrap(err, "write status")
				}
			} else {
				writeStatusTable(cmd.OutOrStdout(), statuses)
			}
			return unreachableError(statuses)
		},
	}
	cmd.Flags().StringSliceVar(&nodes, "node", nil, "operator address of a node, ip:port; may be repeated")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of a table")
	_ = cmd.MarkFlagRequired("node")
	return cmd
}

// readStatuses queries all nodes concurrently and returns their statuses in the
// order of the arguments.
func readStatuses(ctx context.Context, nodes []string) []nodeStatus {
	statuses := make([]nodeStatus, len(nodes))
	var wg sync.WaitGroup
	for i, n := range nodes {
		wg.Go(func() {
			var s operator.Status
			statuses[i].Node = n
			if err := getJSON(ctx, "http://"+n+"/status", &s); err != nil {
				statuses[i].Error = err.Error()
				return
			}
			statuses[i].Status = &s
		})
	}
	wg.Wait()
	return statuses
}

func unreachableError(statuses []nodeStatus) error {
	var failed int
	for _, n := range statuses {
		if n.Status == nil {
			failed++
		}
	}
	if failed > 0 {
		return eris.Errorf("%d of %d nodes did not answer", failed, len(statuses))
	}
	return nil
}

func writeStatusTable(w io.Writer, statuses []nodeStatus) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tSERVICE\tZONE\tREVISION\tVMS\tSTATE\tBACKEND\tIN FLIGHT\tQUEUED\tLIMIT\tLEVEL")
	revisions := make(map[string]int)
	for _, n := range statuses {
		if n.Status == nil {
			fmt.Fprintf(t, "%s\t-\t-\t-\t-\t%s\n", n.Node, n.Error)
			continue
		}
		s := n.Status
		revisions[s.Revision]++
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%s\n", s.VM, s.Service, s.Zone, s.Revision, s.VMCount,
			stateText(s), s.BackendState, s.Gate.Inflight, s.Gate.Queued, s.Gate.Limit, levelText(s.Gate.Level))
	}
	t.Flush()
	writeRevisions(w, revisions)
	for _, n := range statuses {
		if n.Status == nil {
			continue
		}
		for _, r := range n.Status.Rejected {
			fmt.Fprintf(w, "%s: revision %d of %s is rejected: %s\n", n.Status.VM, r.Revision, r.Key, r.Reason)
		}
	}
}

func stateText(s *operator.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case !s.Fresh:
		return "stale"
	default:
		return "live"
	}
}

// levelText returns "open" for the level that sheds nothing.
func levelText(level string) string {
	if level == frame.OpenLevel.String() {
		return "open"
	}
	return level
}

func writeRevisions(w io.Writer, revisions map[string]int) {
	if len(revisions) == 1 {
		for rev := range revisions {
			fmt.Fprintf(w, "revision %s is in force on all nodes that answered\n", rev)
		}
		return
	}
	byCount := slices.SortedFunc(maps.Keys(revisions), func(a, b string) int {
		return cmp.Or(cmp.Compare(revisions[b], revisions[a]), cmp.Compare(a, b))
	})
	for _, rev := range byCount {
		fmt.Fprintf(w, "revision %s is in force on %d nodes\n", rev, revisions[rev])
	}
}
