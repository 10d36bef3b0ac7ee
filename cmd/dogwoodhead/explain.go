package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
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

// explainFlags are the flags of explain.
type explainFlags struct {
	node, op, class string
	logs            []string
	request         string
	asJSON          bool
}

func newExplainCommand() *cobra.Command {
	var f explainFlags
	cmd := &cobra.Command{
		Use: `explain --node ADDR --op SERVICE/OPERATION [--class NAME]
  dogwoodhead explain --logs FILE [FILE...] --request ID`,
		Short: "Explain how a call would be handled now, or how a request was handled",
		Long: `With --node, asks a node how it would handle a call now. With --logs, reads the
logs of nodes on the users' platform and prints the path of one request: where it
began, the attempts at backend servers and the requests that it caused.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.request != "" {
				return explainRequest(cmd, append(f.logs, args...), f.request)
			}
			if len(args) > 0 {
				return eris.Errorf("unexpected argument %q", args[0])
			}
			return explainCall(cmd, f)
		},
	}
	cmd.Flags().StringVar(&f.node, "node", "", "operator address of the ingress node, ip:port")
	cmd.Flags().StringVar(&f.op, "op", "", "operation, as service/operation")
	cmd.Flags().StringVar(&f.class, "class", "", "class of the call (default: the operation's own)")
	cmd.Flags().BoolVar(&f.asJSON, "json", false, "print JSON instead of a table")
	cmd.Flags().StringArrayVar(&f.logs, "logs", nil, "log of one or more nodes")
	cmd.Flags().StringVar(&f.request, "request", "", "id of the request")
	cmd.MarkFlagsRequiredTogether("node", "op")
	cmd.MarkFlagsRequiredTogether("logs", "request")
	cmd.MarkFlagsOneRequired("node", "logs")
	cmd.MarkFlagsMutuallyExclusive("node", "logs")
	return cmd
}

// explainCall prints how a node would handle a call now.
func explainCall(cmd *cobra.Command, f explainFlags) error {
	var e operator.Explanation
	query := url.Values{"op": {f.op}, "class": {f.class}}
	if err := getJSON(cmd.Context(), "http://"+f.node+"/explain?"+query.Encode(), &e); err != nil {
		return eris.Wrapf(err, "ask node %s", f.node)
	}
	if f.asJSON {
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		return eris.Wrap(enc.Encode(e), "write explanation")
	}
	writeExplanation(cmd.OutOrStdout(), e)
	return nil
}

// explainRequest prints the path of a request from the logs of nodes.
func explainRequest(cmd *cobra.Command, files []string, id string) error {
	trace := operator.NewTrace(id)
	for _, file := range files {
		if err := readLog(trace, file); err != nil {
			return err
		}
	}
	if trace.Len() == 0 {
		return eris.Errorf("the logs have no line about request %s", id)
	}
	return eris.Wrap(trace.Write(cmd.OutOrStdout()), "write trace")
}

func readLog(trace *operator.Trace, file string) error {
	in, err := os.Open(file)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = in.Close() }()
	return eris.Wrapf(trace.Read(in), "read log %s", file)
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
