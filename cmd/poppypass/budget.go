package main

import (
	"fmt"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/ledger"
)

func budgetCommand() *cobra.Command {
	var api ledgerAPI
	command := &cobra.Command{Use: "budget", Short: "Show the teams' budgets"}
	api.addFlags(command)
	command.AddCommand(budgetShowCommand(&api))
	return command
}

func budgetShowCommand(api *ledgerAPI) *cobra.Command {
	var team string
	command := &cobra.Command{
		Use: "show", Short: "Show the state of each budget", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var response struct {
				Budgets []budget.View `json:"budgets"`
			}
			if err := api.get(cmd.Context(), ledger.PathBudgets+"?team="+url.QueryEscape(team), &response); err != nil {
				return err
			}
			rows := [][]string{{"team", "account", "period", "unit", "limit", "used", "reserved", "state", "until"}}
			for _, v := range response.Budgets {
				until := ""
				if v.To != nil {
					until = v.To.Format(time.RFC3339)
				}
				rows = append(rows, []string{v.Team, v.Account, string(v.Period), string(v.Unit), fmt.Sprintf("%.3f", v.Limit),
					fmt.Sprintf("%.3f", v.Used), fmt.Sprintf("%.3f", v.Reserved), v.State, until})
			}
			return api.print(cmd.OutOrStdout(), response, rows, rows)
		},
	}
	command.Flags().StringVar(&team, "team", "", "only this team's")
	return command
}
