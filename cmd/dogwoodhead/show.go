package main

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

func newShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show BASE [OVERLAY]",
		Short: "Print the effective policy of a site as JSON",
		Long: `Print the effective policy of a site as JSON: the overlay applied to the base,
with every default filled in. Warnings go to standard error.`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := readDocuments(args)
			if err != nil {
				return err
			}
			enc := json.NewEncoder(cmd.OutOrStdout())
			enc.SetIndent("", "  ")
			return eris.Wrap(enc.Encode(d.merge(cmd.ErrOrStderr())), "print policy")
		},
	}
}
