package main

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"dogwoodhead/trial"
)

func meshCommand() *cobra.Command {
	var program string
	var keep bool
	var seed uint64
	var seeds, vms int
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "mesh",
		Short: "fault soak of nodes on the users' platform, as processes on loopback",
		Args:  cobra.NoArgs,
	}
	f := cmd.Flags()
	f.StringVar(&program, "program", "", "the dogwoodhead program (default: beside this one)")
	f.BoolVar(&keep, "keep", false, "keep settings and logs even if all checks passed")
	f.Uint64Var(&seed, "seed", 1, "first seed")
	f.IntVar(&seeds, "seeds", 1, "number of seeds, one after the other")
	f.IntVar(&vms, "vms", 9, "number of nodes")
	f.DurationVar(&length, "length", 20*time.Second, "how long faults are injected")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if program == "" {
			self, err := os.Executable()
			if err != nil {
				return eris.Wrap(err, "find the program")
			}
			program = filepath.Join(filepath.Dir(self), "dogwoodhead")
		}
		var errs []error
		for i := range seeds {
			dir, err := os.MkdirTemp("", "mesh-")
			if err != nil {
				return eris.Wrap(err, "make directory")
			}
			err = trial.MeshSoak(cmd.Context(), trial.MeshOptions{
				Program: program, Dir: dir, Seed: seed + uint64(i), VMs: vms, Length: length, Out: cmd.OutOrStdout(),
			})
			switch {
			case err != nil:
				cmd.PrintErrln("logs:", dir)
				errs = append(errs, err)
			case keep:
				cmd.PrintErrln("logs:", dir)
			default:
				_ = os.RemoveAll(dir)
			}
		}
		return errors.Join(errs...)
	}
	return cmd
}
