package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"dogwoodhead/operator"
)

const (
	// queryTimeout limits one request to a node.
	queryTimeout = 3 * time.Second
	// maxResponseBytes limits a node's response.
	maxResponseBytes = 8 << 20
)

func newExplainCommand() *cobra.Command {
	var node, op, class string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain --node ADDR --op SERVICE/OPERATION [--class NAME]",
		Short: "Explain how a call would be handled now",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var e operator.Explanation
			query := url.Values{"op": {op}, "class": {class}}
			if err := getJSON(cmd.Context(), "http://"+node+"/explain?"+query.Encode(), &e); err != nil {
				return eris.Wrapf(err, "ask node %s", node)
			}
			if asJSON {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return eris.Wrap(enc.Encode(e), "write explanation")
			}
			writeExplanation(cmd.OutOrStdout(), e)
			return nil
		},
	}
	cmd.Flags().StringVar(&node, "node", "", "operator address of the ingress node, ip:port")
	cmd.Flags().StringVar(&op, "op", "", "operation, as service/operation")
	cmd.Flags().StringVar(&class, "class", "", "class of the call (default: the operation's own)")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of a table")
	_ = cmd.MarkFlagRequired("node")
	_ = cmd.MarkFlagRequired("op")
	return cmd
}

func writeExplanation(w io.Writer, e operator.Explanation) {
	fmt.Fprintf(w, "%s, class %s: %s\n", e.Target, e.Class, e.Decision)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range e.Steps {
		result := "pass"
		if !s.Passed {
			result = "refuse"
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\n", s.Check, result, s.Detail)
	}
	t.Flush()
}

// getJSON reads a JSON document from a URL of a node into v.
func getJSON(ctx context.Context, rawURL string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, rawURL, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "no answer")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(body)))
	}
	return eris.Wrap(json.Unmarshal(body, v), "decode answer")
}
