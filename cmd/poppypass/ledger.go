package main

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/ledger"
	"poppypass/internal/accounting/statement"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/wire"
)

// service is how a command reaches the controllers and prints what it got.
type service struct{ addr, output string }

func (s *service) flags(c *cobra.Command) {
	addrFlag(c, &s.addr)
	c.PersistentFlags().StringVar(&s.output, "output", "table", "table, json or csv")
}

// print writes what a command got: a table for people, or what programs read.
func (s *service) print(w io.Writer, v any, rows [][]string, table [][]string) error {
	switch s.output {
	case "json":
		return printJSON(w, v)
	case "csv":
		return csv.NewWriter(w).WriteAll(rows)
	case "table":
		return printTable(w, table)
	}
	return fmt.Errorf("--output is %q; it can be table, json or csv", s.output)
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(v)
}

func printTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(t, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return t.Flush()
}

// totals asks for all rows of a question.
func (s *service) totals(cmd *cobra.Command, q url.Values) (ledger.Totals, error) {
	var all ledger.Totals
	for skip := 0; ; {
		q.Set("skip", strconv.Itoa(skip))
		var t ledger.Totals
		if err := fetch(cmd, s.addr, ledger.PathTotals+"?"+q.Encode(), &t); err != nil {
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

func fetch(cmd *cobra.Command, addr, path string, out any) error {
	raw, err := askService(cmd, http.MethodGet, addr, path, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// question is the flags of a question for totals.
type question struct{ team, account, class, from, to, by string }

func (q *question) flags(c *cobra.Command) {
	c.Flags().StringVar(&q.team, "team", "", "the team whose charges are asked for")
	c.Flags().StringVar(&q.account, "account", "", "only this account")
	c.Flags().StringVar(&q.class, "class", "", "only this class of jobs")
	c.Flags().StringVar(&q.from, "from", "", "the first day, such as 2026-12-01")
	c.Flags().StringVar(&q.to, "to", "", "the last day")
}

func (q *question) values(by string) url.Values {
	v := url.Values{"by": {by}}
	for key, s := range map[string]string{"team": q.team, "account": q.account, "class": q.class, "from": q.from, "to": q.to} {
		if s != "" {
			v.Set(key, s)
		}
	}
	return v
}

func ledgerCommand() *cobra.Command {
	var s service
	c := &cobra.Command{Use: "ledger", Short: "Show and verify what teams are charged for"}
	s.flags(c)
	c.AddCommand(ledgerShowCommand(&s), ledgerStatementCommand(&s), ledgerVerifyCommand())
	return c
}

func ledgerShowCommand(s *service) *cobra.Command {
	var q question
	var job string
	c := &cobra.Command{
		Use: "show --team TEAM | --job ID", Short: "Show a team's totals, or each charge of a job", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if job != "" {
				return s.showCharges(cmd, job)
			}
			if q.team == "" {
				return errors.New("name a team with --team or a job with --job")
			}
			t, err := s.totals(cmd, q.values(q.by))
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
			return s.print(cmd.OutOrStdout(), t, ledger.TotalsCSV(t), table)
		},
	}
	q.flags(c)
	c.Flags().StringVar(&q.by, "by", "team,account,class,type", "columns: day, team, account, class, type, spot")
	c.Flags().StringVar(&job, "job", "", "a job whose charges are shown one by one")
	return c
}

func (s *service) showCharges(cmd *cobra.Command, job string) error {
	var all []ledger.ChargeView
	type name struct {
		task    string
		attempt uint64
		part    int
	}
	seen := map[name]bool{} // a charge may come again while it is rolled up
	for after := ""; ; {
		var page ledger.ChargesPage
		if err := fetch(cmd, s.addr, wire.PathJobs+"/"+url.PathEscape(job)+"/"+wire.EndCharges+"?after="+url.QueryEscape(after), &page); err != nil {
			return err
		}
		for _, c := range page.Charges {
			if n := (name{c.Task, c.Attempt, c.Part}); !seen[n] {
				seen[n] = true
				all = append(all, c)
			}
		}
		if after = page.Next; after == "" {
			break
		}
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
	return s.print(cmd.OutOrStdout(), all, ledger.ChargesCSV(all), table)
}

func ledgerStatementCommand(s *service) *cobra.Command {
	var q question
	var template, format, currency string
	c := &cobra.Command{
		Use: "statement --team TEAM", Short: "Render a team's bill for a period", Args: cobra.NoArgs,
		Long: "Render a team's bill for a period from a template: the default one, or with --template\nthe operator's own (Go's template language; docs/operators/budgets.md lists the fields).",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if q.team == "" {
				return errors.New("name a team with --team")
			}
			if format != "text" && format != "html" {
				return fmt.Errorf("--format is %q; it can be text or html", format)
			}
			rows, err := s.totals(cmd, q.values("account,class,type"))
			if err != nil {
				return err
			}
			accounts, err := s.totals(cmd, q.values("account"))
			if err != nil {
				return err
			}
			return statement.Render(cmd.OutOrStdout(), &statement.Bill{
				Team: q.team, From: q.from, To: q.to, Zone: rows.Zone, Made: time.Now().UTC(), Currency: currency,
				Rows: rows.Rows, Accounts: accounts.Rows, Sum: rows.Sum,
			}, template, format == "html")
		},
	}
	q.flags(c)
	c.Flags().StringVar(&template, "template", "", "path of the operator's own template")
	c.Flags().StringVar(&format, "format", "text", "text or html")
	c.Flags().StringVar(&currency, "currency", "money", "the currency of the cloud's prices")
	return c
}

func ledgerVerifyCommand() *cobra.Command {
	var f settingsFiles
	c := &cobra.Command{
		Use: "verify --config FILE", Short: "Work out all totals anew from the charges, and name each difference", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, own, err := f.load()
			if err != nil {
				return err
			}
			// It leaves nine tenths of the limit to the controllers.
			reader, err := ledger.NewReader(statestore.New(s.Outside.State, s.Cluster.State.RPS, s.Cluster.State.WriteRPS).WithShare(0.1))
			if err != nil {
				return err
			}
			found, err := reader.Verify(cmd.Context(), own.Budgets.Location())
			if err != nil {
				return fmt.Errorf("the ledger cannot be read: %w", err)
			}
			for _, fault := range found.Discrepancies {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), fault); err != nil {
					return err
				}
			}
			if n := len(found.Discrepancies); n > 0 {
				return fmt.Errorf("%d faults in %d charges of %d jobs", n, found.Charges, found.Jobs)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d segments with %d charges of %d jobs: all totals are right\n", found.Segments, found.Charges, found.Jobs)
			return err
		},
	}
	f.flags(c)
	return c
}

func budgetCommand() *cobra.Command {
	var s service
	var team string
	c := &cobra.Command{Use: "budget", Short: "Show the teams' budgets"}
	s.flags(c)
	show := &cobra.Command{
		Use: "show", Short: "Show the state of each budget", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var got struct {
				Budgets []budget.View `json:"budgets"`
			}
			if err := fetch(cmd, s.addr, ledger.PathBudgets+"?team="+url.QueryEscape(team), &got); err != nil {
				return err
			}
			rows := [][]string{{"team", "account", "period", "unit", "limit", "used", "reserved", "state", "until"}}
			for _, v := range got.Budgets {
				until := ""
				if v.To != nil {
					until = v.To.Format(time.RFC3339)
				}
				rows = append(rows, []string{v.Team, v.Account, string(v.Period), string(v.Unit), fmt.Sprintf("%.3f", v.Limit),
					fmt.Sprintf("%.3f", v.Used), fmt.Sprintf("%.3f", v.Reserved), v.State, until})
			}
			return s.print(cmd.OutOrStdout(), got, rows, rows)
		},
	}
	show.Flags().StringVar(&team, "team", "", "only this team's")
	c.AddCommand(show)
	return c
}
