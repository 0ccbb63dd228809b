package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// version is the version of the release that will be built from this source.
const version = "0.1.0"

// rootCommand returns the root command with all its subcommands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "poppypass",
		Short:         "A cluster scheduler that rents its machines",
		Long:          "poppypass takes jobs from users, rents machines from a cloud and runs the jobs'\ntasks on them. A few controllers run this same program; one of them leads.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), versionCommand(), jobCommand(), ledgerCommand(), budgetCommand(), graphCommand())
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "poppypass", version)
			return err
		},
	}
}
