package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/accounting/ledger"
	"poppypass/internal/platform/wire"
)

// ledgerAPI sends the requests of a command to the API for the ledger and the budgets, and prints the responses.
type ledgerAPI struct {
	client
	printer
}

func (a *ledgerAPI) addFlags(command *cobra.Command) {
	a.client.addFlags(command)
	a.printer.addFlags(command)
}

// readTotals reads all pages of the response to a query for totals.
func (a *ledgerAPI) readTotals(ctx context.Context, params url.Values) (ledger.Totals, error) {
	var all ledger.Totals
	for skip := 0; ; {
		params.Set("skip", strconv.Itoa(skip))
		var page ledger.Totals
		if err := a.get(ctx, ledger.PathTotals+"?"+params.Encode(), &page); err != nil {
			return all, err
		}
		if skip == 0 {
			all = page
		} else {
			all.Rows = append(all.Rows, page.Rows...)
		}
		if skip = page.Next; skip == 0 {
			all.Next = 0
			return all, nil
		}
	}
}

// readCharges reads all pages of a job's charges.
func (a *ledgerAPI) readCharges(ctx context.Context, job string) ([]ledger.ChargeView, error) {
	var all []ledger.ChargeView
	type chargeKey struct {
		task    string
		attempt uint64
		part    int
	}
	seen := map[chargeKey]bool{} // while a charge is rolled up, a later page may contain it again
	for after := ""; ; {
		var page ledger.ChargesPage
		if err := a.get(ctx, wire.PathJobs+"/"+url.PathEscape(job)+"/"+wire.PathEndCharges+"?after="+url.QueryEscape(after), &page); err != nil {
			return nil, err
		}
		for _, c := range page.Charges {
			if key := (chargeKey{c.Task, c.Attempt, c.Part}); !seen[key] {
				seen[key] = true
				all = append(all, c)
			}
		}
		if after = page.Next; after == "" {
			return all, nil
		}
	}
}

// totalsQuery contains the flags of a query for totals.
type totalsQuery struct{ team, account, class, from, to, by string }

func (q *totalsQuery) addFlags(command *cobra.Command) {
	command.Flags().StringVar(&q.team, "team", "", "the team whose charges are asked for")
	command.Flags().StringVar(&q.account, "account", "", "only this account")
	command.Flags().StringVar(&q.class, "class", "", "only this class of jobs")
	command.Flags().StringVar(&q.from, "from", "", "the first day, such as 2026-12-01")
	command.Flags().StringVar(&q.to, "to", "", "the last day")
}

// values returns the parameters of a query for totals. by is the list of columns to group by, separated by commas.
func (q *totalsQuery) values(by string) url.Values {
	params := url.Values{"by": {by}}
	for key, value := range map[string]string{"team": q.team, "account": q.account, "class": q.class, "from": q.from, "to": q.to} {
		if value != "" {
			params.Set(key, value)
		}
	}
	return params
}

func ledgerCommand() *cobra.Command {
	var api ledgerAPI
	command := &cobra.Command{Use: "ledger", Short: "Show and verify what teams are charged for"}
	api.addFlags(command)
	command.AddCommand(ledgerShowCommand(&api), ledgerStatementCommand(&api), ledgerVerifyCommand())
	return command
}

func ledgerShowCommand(api *ledgerAPI) *cobra.Command {
	var query totalsQuery
	var job string
	command := &cobra.Command{
		Use: "show --team TEAM | --job ID", Short: "Show a team's totals, or each charge of a job", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if job != "" {
				return api.showCharges(cmd, job)
			}
			if query.team == "" {
				return errors.New("name a team with --team or a job with --job")
			}
			return api.showTotals(cmd, &query)
		},
	}
	query.addFlags(command)
	command.Flags().StringVar(&query.by, "by", "team,account,class,type", "columns: day, team, account, class, type, spot")
	command.Flags().StringVar(&job, "job", "", "a job whose charges are shown one by one")
	return command
}

// showTotals prints a team's totals, their sum, and the uncharged usage of its running tasks so far.
func (a *ledgerAPI) showTotals(cmd *cobra.Command, query *totalsQuery) error {
	totals, err := a.readTotals(cmd.Context(), query.values(query.by))
	if err != nil {
		return err
	}
	table := [][]string{{"DAY", "TEAM", "ACCOUNT", "CLASS", "TYPE", "ATTEMPTS", "CORE-HOURS", "MONEY"}}
	addRow := func(label string, row ledger.Total) {
		table = append(table, []string{label, row.Team, row.Account, row.Class, row.Type, strconv.FormatInt(row.Attempts, 10),
			fmt.Sprintf("%.3f", row.CoreHours), fmt.Sprintf("%.4f", row.Money)})
	}
	for _, row := range totals.Rows {
		addRow(row.Day, row)
	}
	addRow("total", totals.Sum)
	addRow("running now", totals.Running)
	return a.print(cmd.OutOrStdout(), totals, ledger.TotalsCSV(totals), table)
}

// showCharges prints each charge of a job.
func (a *ledgerAPI) showCharges(cmd *cobra.Command, job string) error {
	all, err := a.readCharges(cmd.Context(), job)
	if err != nil {
		return err
	}
	table := [][]string{{"TASK", "ATTEMPT", "PART", "TYPE", "START", "SECONDS", "CORE-S", "MONEY", "HOW", ""}}
	for _, c := range all {
		remark := ""
		if c.UpperBound {
			remark = "upper bound"
		}
		table = append(table, []string{c.Task, strconv.FormatUint(c.Attempt, 10), strconv.Itoa(c.Part), c.Type, c.Start.Format(time.RFC3339),
			fmt.Sprintf("%.1f", c.End.Sub(c.Start).Seconds()), fmt.Sprintf("%.1f", c.CoreS), fmt.Sprintf("%.6f", c.Money), c.Outcome.String(), remark})
	}
	return a.print(cmd.OutOrStdout(), all, ledger.ChargesCSV(all), table)
}
