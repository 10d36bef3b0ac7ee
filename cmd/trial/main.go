// Command trial runs deployments of nodes as real processes on loopback and
// prints what they did.
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
	root.AddCommand(demoCommand(), measureCommand(), slopesCommand(), soakCommand(), meshCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// common holds the flags of all subcommands.
type common struct {
	bin     string
	base    string
	overlay string
	keep    bool
	direct  bool
	seed    uint64
}

func (c *common) add(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&c.bin, "bin", "", "directory of the programs (that of this program)")
	f.StringVar(&c.base, "base", "deploy/council/base.jsonc", "base document")
	f.StringVar(&c.overlay, "overlay", "deploy/council/canterbury.jsonc", "overlay")
	f.BoolVar(&c.keep, "keep", false, "keep settings and logs")
	f.BoolVar(&c.direct, "direct", false, "run without nodes, to check the stand-ins themselves")
	f.Uint64Var(&c.seed, "seed", 20261204, "seed of arrivals, service times and choices")
}

// options returns what the subcommands share, and a function that removes the
// temporary directory.
func (c *common) options(cmd *cobra.Command) (trial.DemoOptions, func(), error) {
	o := trial.DemoOptions{Base: c.base, Overlay: c.overlay, Seed: c.seed, Out: cmd.OutOrStdout()}
	bin := c.bin
	if bin == "" {
		self, err := os.Executable()
		if err != nil {
			return o, nil, eris.Wrap(err, "find the programs")
		}
		bin = filepath.Dir(self)
	}
	o.Programs.Standin = filepath.Join(bin, "standin")
	if !c.direct {
		o.Programs.Node = filepath.Join(bin, "dogwoodhead")
	}
	var err error
	if o.Dir, err = os.MkdirTemp("", "trial-"); err != nil {
		return o, nil, eris.Wrap(err, "make directory")
	}
	if c.keep {
		cmd.PrintErrln("settings and logs:", o.Dir)
		return o, func() {}, nil
	}
	return o, func() { _ = os.RemoveAll(o.Dir) }, nil
}
