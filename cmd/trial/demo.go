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
	var flags commonFlags
	cmd := &cobra.Command{Use: "demo", Short: "run the council's deployment under its usual load", Args: cobra.NoArgs}
	flags.register(cmd)
	length := cmd.Flags().Duration("length", demoLength, "how long calls are sent")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		opts, cleanup, err := flags.options(cmd)
		if err != nil {
			return err
		}
		defer cleanup()
		opts.Length = *length
		if err := trial.Demo(cmd.Context(), opts); err != nil {
			return err
		}
		_, err = fmt.Fprintln(cmd.OutOrStdout(), "demo: ok")
		return err
	}
	return cmd
}
