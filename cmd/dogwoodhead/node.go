package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"dogwoodhead/node"
	"dogwoodhead/settings"
)

func newNodeCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "node --settings FILE",
		Short: "Run the node beside one backend server",
		Long: `Runs the node until it receives SIGTERM or SIGINT. It then refuses new calls for
its backend server, completes the calls in progress and exits with 0. SIGHUP is
ignored: changed settings need a restart.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// The default action of SIGHUP would end the process at once.
			signal.Ignore(syscall.SIGHUP)
			src, err := os.ReadFile(file)
			if err != nil {
				return eris.Wrap(err, "read settings")
			}
			s, err := settings.Parse(file, src)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			limitMemory()
			return eris.Wrap(node.Run(ctx, s, version()), "run node")
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}
