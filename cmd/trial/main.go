// Command trial runs deployments of nodes as real processes on loopback and
// prints the results.
package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"dogwoodhead/trial"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "trial", Short: "run deployments as real processes on loopback", SilenceUsage: true}
	root.AddCommand(demoCommand(), measureCommand(), soakCommand(), meshCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// commonFlags holds the flags of all subcommands but mesh.
type commonFlags struct {
	bin     string
	base    string
	overlay string
	keep    bool
	direct  bool
	seed    uint64
}

func (c *commonFlags) register(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&c.bin, "bin", "", "directory of the programs (default: that of this program)")
	f.StringVar(&c.base, "base", "deploy/council/base.jsonc", "base document")
	f.StringVar(&c.overlay, "overlay", "deploy/council/canterbury.jsonc", "overlay")
	f.BoolVar(&c.keep, "keep", false, "keep settings and logs")
	f.BoolVar(&c.direct, "direct", false, "run without nodes, to check the stand-ins themselves")
	f.Uint64Var(&c.seed, "seed", 20261204, "seed of arrivals, service times and choices")
}

// options returns the options that the subcommands share, and a function that
// removes the temporary directory.
func (c *commonFlags) options(cmd *cobra.Command) (trial.DemoOptions, func(), error) {
	opts := trial.DemoOptions{Base: c.base, Overlay: c.overlay, Seed: c.seed, Out: cmd.OutOrStdout()}
	bin := c.bin
	if bin == "" {
		self, err := os.Executable()
		if err != nil {
			return opts, nil, eris.Wrap(err, "find the programs")
		}
		bin = filepath.Dir(self)
	}
	opts.Programs.Standin = filepath.Join(bin, "standin")
	if !c.direct {
		opts.Programs.Node = filepath.Join(bin, "dogwoodhead")
	}
	var err error
	if opts.Dir, err = os.MkdirTemp("", "trial-"); err != nil {
		return opts, nil, eris.Wrap(err, "make directory")
	}
	if c.keep {
		cmd.PrintErrln("settings and logs:", opts.Dir)
		return opts, func() {}, nil
	}
	return opts, func() { _ = os.RemoveAll(opts.Dir) }, nil
}
