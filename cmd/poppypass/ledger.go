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

func (a *ledgerAPI) flags(c *cobra.Command) {
	a.client.flags(c)
	a.printer.flags(c)
}

// totals reads all pages of the response to a query for totals.
func (a *ledgerAPI) totals(ctx context.Context, q url.Values) (ledger.Totals, error) {
	var all ledger.Totals
	for skip := 0; ; {
		q.Set("skip", strconv.Itoa(skip))
		var t ledger.Totals
		if err := a.get(ctx, ledger.PathTotals+"?"+q.Encode(), &t); err != nil {
			return all, err
		}
		if skip == 0 {
			all = t
		} else {
			all.Rows = append(all.Rows, t.Rows...)
		}
		if skip = t.Next; skip == 0 {
			all.Next = 0
			return all, nil
		}
	}
}

// charges reads all pages of a job's charges.
func (a *ledgerAPI) charges(ctx context.Context, job string) ([]ledger.ChargeView, error) {
	var all []ledger.ChargeView
	type chargeKey struct {
		task    string
		attempt uint64
		part    int
	}
	seen := map[chargeKey]bool{} // while a charge is rolled up, a later page may contain it again
	for after := ""; ; {
		var page ledger.ChargesPage
		if err := a.get(ctx, wire.PathJobs+"/"+url.PathEscape(job)+"/"+wire.EndCharges+"?after="+url.QueryEscape(after), &page); err != nil {
			return nil, err
		}
		for _, c := range page.Charges {
			if n := (chargeKey{c.Task, c.Attempt, c.Part}); !seen[n] {
				seen[n] = true
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

func (q *totalsQuery) flags(c *cobra.Command) {
	c.Flags().StringVar(&q.team, "team", "", "the team whose charges are asked for")
	c.Flags().StringVar(&q.account, "account", "", "only this account")
	c.Flags().StringVar(&q.class, "class", "", "only this class of jobs")
	c.Flags().StringVar(&q.from, "from", "", "the first day, such as 2026-12-01")
	c.Flags().StringVar(&q.to, "to", "", "the last day")
}

// values returns the parameters of a query for totals. by is the list of columns to group by, separated by commas.
func (q *totalsQuery) values(by string) url.Values {
	v := url.Values{"by": {by}}
	for key, s := range map[string]string{"team": q.team, "account": q.account, "class": q.class, "from": q.from, "to": q.to} {
		if s != "" {
			v.Set(key, s)
		}
	}
	return v
}

func ledgerCommand() *cobra.Command {
	var a ledgerAPI
	c := &cobra.Command{Use: "ledger", Short: "Show and verify what teams are charged for"}
	a.flags(c)
	c.AddCommand(ledgerShowCommand(&a), ledgerStatementCommand(&a), ledgerVerifyCommand())
	return c
}

func ledgerShowCommand(a *ledgerAPI) *cobra.Command {
	var q totalsQuery
	var job string
	c := &cobra.Command{
		Use: "show --team TEAM | --job ID", Short: "Show a team's totals, or each charge of a job", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if job != "" {
				return a.showCharges(cmd, job)
			}
			if q.team == "" {
				return errors.New("name a team with --team or a job with --job")
			}
			return a.showTotals(cmd, &q)
		},
	}
	q.flags(c)
	c.Flags().StringVar(&q.by, "by", "team,account,class,type", "columns: day, team, account, class, type, spot")
	c.Flags().StringVar(&job, "job", "", "a job whose charges are shown one by one")
	return c
}

// showTotals prints a team's totals, their sum, and the uncharged usage of its running tasks so far.
func (a *ledgerAPI) showTotals(cmd *cobra.Command, q *totalsQuery) error {
	t, err := a.totals(cmd.Context(), q.values(q.by))
	if err != nil {
		return err
	}
	table := [][]string{{"DAY", "TEAM", "ACCOUNT", "CLASS", "TYPE", "ATTEMPTS", "CORE-HOURS", "MONEY"}}
	add := func(name string, r ledger.Total) {
		table = append(table, []string{name, r.Team, r.Account, r.Class, r.Type, strconv.FormatInt(r.Attempts, 10),
			fmt.Sprintf("%.3f", r.CoreHours), fmt.Sprintf("%.4f", r.Money)})
	}
	for _, r := range t.Rows {
		add(r.Day, r)
	}
	add("total", t.Sum)
	add("running now", t.Running)
	return a.print(cmd.OutOrStdout(), t, ledger.TotalsCSV(t), table)
}

// showCharges prints each charge of a job.
func (a *ledgerAPI) showCharges(cmd *cobra.Command, job string) error {
	all, err := a.charges(cmd.Context(), job)
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
