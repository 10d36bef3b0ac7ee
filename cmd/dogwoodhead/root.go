package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

const (
	exitOK     = 0
	exitFailed = 1
)

// run executes a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:               "dogwoodhead",
		Short:             "Overload control for service call graphs",
		SilenceErrors:     true,
		SilenceUsage:      true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(
		newCheckCommand(),
		newShowCommand(),
		newVersionCommand(),
		newNodeCommand(),
		newMeshCommand(),
		newStatusCommand(),
		newExplainCommand(),
	)
	return root
}
