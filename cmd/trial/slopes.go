package main

import (
	"time"

	"github.com/spf13/cobra"

	"dogwoodhead/trial"
)

// serversPerStep is the number of nodes that one server of each of the council's
// four services in each of its three zones makes.
const serversPerStep = 12

func slopesCommand() *cobra.Command {
	var c common
	var nodes []int
	var seconds, changes int
	cmd := &cobra.Command{
		Use: "slopes", Short: "measure what idle nodes use in fleets of several sizes", Args: cobra.NoArgs,
	}
	c.add(cmd)
	f := cmd.Flags()
	f.IntSliceVar(&nodes, "nodes", []int{24, 60, 120}, "sizes, multiples of 12")
	f.IntVar(&seconds, "seconds", 20, "length of the measurement of each size")
	f.IntVar(&changes, "changes", 5, "configuration changes that are timed")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		o, remove, err := c.options(cmd)
		if err != nil {
			return err
		}
		defer remove()
		o.Length = time.Duration(seconds) * time.Second
		so := trial.SlopesOptions{DemoOptions: o, Changes: changes}
		for _, n := range nodes {
			so.PerZone = append(so.PerZone, max(1, n/serversPerStep))
		}
		return trial.Slopes(cmd.Context(), so)
	}
	return cmd
}
