package main

import "github.com/spf13/cobra"

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check BASE [OVERLAY]",
		Short: "Check configuration documents as nodes do",
		Long: `Check configuration documents as nodes do.

Exits with 0 if nodes accept the documents. Otherwise exits with 1 and prints a
line "file:line:column: pointer: reason" for each fault. Overlay entries without
effect are warnings.`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := readDocuments(args)
			if err != nil {
				return err
			}
			d.merge(cmd.ErrOrStderr())
			return nil
		},
	}
}
