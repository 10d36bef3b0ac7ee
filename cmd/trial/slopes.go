package main

import (
	"time"

	"github.com/spf13/cobra"

	"dogwoodhead/trial"
)

// nodesPerStep is the number of nodes in the council deployment with one server
// per service and zone: 4 services in each of 3 zones.
const nodesPerStep = 12

func slopesCommand() *cobra.Command {
	var flags commonFlags
	var nodes []int
	var seconds, changes int
	cmd := &cobra.Command{
		Use: "slopes", Short: "measure what idle nodes use in fleets of several sizes", Args: cobra.NoArgs,
	}
	flags.register(cmd)
	f := cmd.Flags()
	f.IntSliceVar(&nodes, "nodes", []int{24, 60, 120}, "sizes, multiples of 12")
	f.IntVar(&seconds, "seconds", 20, "length of the measurement of each size")
	f.IntVar(&changes, "changes", 5, "configuration changes that are timed")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		opts, cleanup, err := flags.options(cmd)
		if err != nil {
			return err
		}
		defer cleanup()
		opts.Length = time.Duration(seconds) * time.Second
		slopesOpts := trial.SlopesOptions{DemoOptions: opts, Changes: changes}
		for _, n := range nodes {
			slopesOpts.PerZone = append(slopesOpts.PerZone, max(1, n/nodesPerStep))
		}
		return trial.Slopes(cmd.Context(), slopesOpts)
	}
	return cmd
}
