package main

import (
	"time"

	"github.com/spf13/cobra"

	"dogwoodhead/trial"
)

func measureCommand() *cobra.Command {
	var flags commonFlags
	var scenarios, modes []string
	var scale float64
	var seconds int
	cmd := &cobra.Command{
		Use: "measure", Short: "run scripted overloads and failures in all modes", Args: cobra.NoArgs,
	}
	flags.register(cmd)
	f := cmd.Flags()
	f.StringSliceVar(&scenarios, "scenario", nil, "slow, surge, both, zone, platform (all)")
	f.StringSliceVar(&modes, "mode", trial.Modes, "modes to compare")
	f.Float64Var(&scale, "scale", 0.5, "factor for slots and load")
	f.IntVar(&seconds, "seconds", 10, "length of the trigger")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		triggers, err := trial.FindTriggers(scenarios)
		if err != nil {
			return err
		}
		opts, cleanup, err := flags.options(cmd)
		if err != nil {
			return err
		}
		defer cleanup()
		opts.Length = time.Duration(seconds) * time.Second
		return trial.Measure(cmd.Context(), trial.MeasureOptions{
			DemoOptions: opts, Scale: scale, Triggers: triggers, Modes: modes,
		})
	}
	return cmd
}
