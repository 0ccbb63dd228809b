package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/accounting/statement"
)

func ledgerStatementCommand(api *ledgerAPI) *cobra.Command {
	var query totalsQuery
	var template, format, currency string
	command := &cobra.Command{
		Use: "statement --team TEAM", Short: "Render a team's bill for a period", Args: cobra.NoArgs,
		Long: "Render a team's bill for a period from a template: the default one, or with --template\nthe operator's own (Go's template language; docs/operators/budgets.md lists the fields).",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if query.team == "" {
				return errors.New("name a team with --team")
			}
			if format != "text" && format != "html" {
				return fmt.Errorf("--format is %q; it can be text or html", format)
			}
			rows, err := api.readTotals(cmd.Context(), query.values("account,class,type"))
			if err != nil {
				return err
			}
			accounts, err := api.readTotals(cmd.Context(), query.values("account"))
			if err != nil {
				return err
			}
			return statement.Render(cmd.OutOrStdout(), &statement.Bill{
				Team: query.team, From: query.from, To: query.to, Zone: rows.Zone, Made: time.Now().UTC(), Currency: currency,
				Rows: rows.Rows, Accounts: accounts.Rows, Sum: rows.Sum,
			}, template, format == "html")
		},
	}
	query.addFlags(command)
	command.Flags().StringVar(&template, "template", "", "path of the operator's own template")
	command.Flags().StringVar(&format, "format", "text", "text or html")
	command.Flags().StringVar(&currency, "currency", "money", "the currency of the cloud's prices")
	return command
}
