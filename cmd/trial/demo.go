package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"dogwoodhead/trial"
)

// demoLength keeps the whole demo under a minute.
const demoLength = 15 * time.Second

func demoCommand() *cobra.Command {
	var c common
	cmd := &cobra.Command{Use: "demo", Short: "run the council's deployment under its usual load", Args: cobra.NoArgs}
	c.add(cmd)
	length := cmd.Flags().Duration("length", demoLength, "how long calls are sent")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		o, remove, err := c.options(cmd)
		if err != nil {
			return err
		}
		defer remove()
		o.Length = *length
		if err := trial.Demo(cmd.Context(), o); err != nil {
			return err
		}
		_, err = fmt.Fprintln(cmd.OutOrStdout(), "demo: ok")
		return err
	}
	return cmd
}
