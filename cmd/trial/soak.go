package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"dogwoodhead/trial"
)

func soakCommand() *cobra.Command {
	var flags commonFlags
	var seconds int
	cmd := &cobra.Command{
		Use: "soak", Short: "check the guarantees while faults of all kinds happen", Args: cobra.NoArgs,
	}
	flags.register(cmd)
	cmd.Flags().IntVar(&seconds, "seconds", 60, "how long calls are sent, at least 20")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		opts, cleanup, err := flags.options(cmd)
		if err != nil {
			return err
		}
		defer cleanup()
		opts.Length = max(20*time.Second, time.Duration(seconds)*time.Second)
		if err := trial.Soak(cmd.Context(), opts); err != nil {
			return err
		}
		_, err = fmt.Fprintln(cmd.OutOrStdout(), "soak: ok")
		return err
	}
	return cmd
}
