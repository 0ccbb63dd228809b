package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/dagview"
	"poppypass/internal/graphs/runner"
)

func graphSubmitCommand() *cobra.Command {
	var a graphAPI
	var paused bool
	c := &cobra.Command{
		Use: "submit FILE", Short: "Register the graphs that a file describes", Args: cobra.ExactArgs(1),
		Long: "Register the graphs that a file describes (see graph check). Runs that go on keep the\ngraph that they began with.",
		RunE: func(cmd *cobra.Command, args []string) error {
			plans, err := readGraphs(cmd, args[0], a.team)
			if err != nil {
				return err
			}
			for _, p := range plans {
				as := a
				as.team = p.Team
				var say *bool
				if cmd.Flags().Changed("paused") {
					say = &paused
				}
				if err := as.register(cmd, p, say); err != nil {
					return fmt.Errorf("graph %s: %w", p.ID, err)
				}
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s of %s: registered, %d steps\n", p.ID, p.Team, len(p.Steps)); err != nil {
					return err
				}
			}
			return nil
		},
	}
	a.flags(c)
	c.Flags().BoolVar(&paused, "paused", false, "register it paused, or (--paused=false) not; otherwise it stays as it is")
	return c
}

func graphTriggerCommand() *cobra.Command {
	var a graphAPI
	var run, conf, note, to string
	var described bool
	c := &cobra.Command{
		Use: "trigger DAG", Short: "Begin a run of a graph", Args: cobra.ExactArgs(1),
		Long: "Begin a run of a graph. Where the service has nowhere to have steps described\n(graphs.descriptions), --descriptions uploads those of all its steps first, or\n--described says that this was done.",
		RunE: func(cmd *cobra.Command, args []string) error {
			now := time.Now().UTC()
			if run == "" {
				run = runner.RunName(runner.Manual, now)
			}
			if conf != "" && !json.Valid([]byte(conf)) {
				return errors.New("--conf is not JSON")
			}
			if to != "" {
				var g dag.Graph
				if err := a.call(cmd, http.MethodGet, nil, &g, nil, "dags", args[0], "definition"); err != nil {
					return err
				}
				p, err := dag.Check(&g)
				if err != nil {
					return err
				}
				if err := describe(cmd, p, run, to, json.RawMessage(conf), now); err != nil {
					return err
				}
			}
			body := map[string]any{"dag_run_id": run, "logical_date": now, "note": note, "described": described || to != ""}
			if conf != "" {
				body["conf"] = json.RawMessage(conf)
			}
			var r runAnswer
			if err := a.call(cmd, http.MethodPost, body, &r, nil, "dags", args[0], "dagRuns"); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s of %s: %s\n", r.ID, r.DAG, r.State)
			return err
		},
	}
	a.flags(c)
	c.Flags().StringVar(&run, "run", "", "the run's id; it makes a repeated trigger harmless")
	c.Flags().StringVar(&conf, "conf", "", "a JSON object over the graph's params")
	c.Flags().StringVar(&note, "note", "", "a note for those who look at the run")
	c.Flags().StringVar(&to, "descriptions", "", "URL to which the descriptions of the steps are sent first")
	c.Flags().BoolVar(&described, "described", false, "the descriptions of the steps are uploaded already")
	return c
}

func graphListCommand() *cobra.Command {
	var a graphAPI
	var output string
	c := &cobra.Command{
		Use: "list [DAG]", Short: "List a team's graphs, or the runs of one", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			name, parts, order := "dags", []string{"dags"}, url.Values{}
			if len(args) == 1 {
				name, parts, order = "dag_runs", []string{"dags", args[0], "dagRuns"}, url.Values{"order_by": {"-logical_date"}}
			}
			items, err := list[json.RawMessage](&a, cmd, name, order, parts...)
			if err != nil {
				return err
			}
			switch output {
			case "json":
				return printJSON(cmd.OutOrStdout(), items)
			case "table":
			default:
				return fmt.Errorf("--output is %q; it can be table or json", output)
			}
			rows := runRows
			if name == "dags" {
				rows = dagRows
			}
			table, err := rows(items)
			if err != nil {
				return err
			}
			return printTable(cmd.OutOrStdout(), table)
		},
	}
	a.flags(c)
	c.Flags().StringVar(&output, "output", "table", "table or json")
	return c
}

func dagRows(items []json.RawMessage) ([][]string, error) {
	rows := [][]string{{"DAG", "PAUSED", "SCHEDULE", "NEXT RUN"}}
	for _, raw := range items {
		var g struct {
			ID       string `json:"dag_id"`
			Paused   bool   `json:"is_paused"`
			Next     string `json:"next_dagrun_create_after"`
			Schedule struct {
				Value string `json:"value"`
			} `json:"schedule_interval"`
		}
		if err := json.Unmarshal(raw, &g); err != nil {
			return nil, err
		}
		rows = append(rows, []string{g.ID, strconv.FormatBool(g.Paused), g.Schedule.Value, g.Next})
	}
	return rows, nil
}

func runRows(items []json.RawMessage) ([][]string, error) {
	rows := [][]string{{"RUN", "TYPE", "STATE", "BEGUN", "TOOK"}}
	for _, raw := range items {
		var r runAnswer
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, err
		}
		begun, took := "", ""
		if r.Start != nil {
			begun = r.Start.UTC().Format(time.RFC3339)
			if r.End != nil {
				took = r.End.Sub(*r.Start).Round(time.Second).String()
			}
		}
		rows = append(rows, []string{r.ID, r.Type, r.State, begun, took})
	}
	return rows, nil
}

func graphShowCommand() *cobra.Command {
	var a graphAPI
	var output string
	var all bool
	c := &cobra.Command{
		Use: "show DAG RUN", Short: "Show a run: as text, JSON, DOT, or a page with the graph and a Gantt of its tries", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			w := cmd.OutOrStdout()
			switch output {
			case "text", "json", "dot", "html":
			default:
				return fmt.Errorf("--output is %q; it can be text, json, dot or html", output)
			}
			if output == "json" {
				items, err := list[json.RawMessage](&a, cmd, "task_instances", nil, "dags", args[0], "dagRuns", args[1], "taskInstances")
				if err != nil {
					return err
				}
				return printJSON(w, items)
			}
			r, err := a.load(cmd, args[0], args[1])
			if err != nil {
				return err
			}
			switch output {
			case "dot":
				return dagview.RunDot(w, r)
			case "html":
				return dagview.RunHTML(w, r)
			}
			return dagview.RunText(w, r, all)
		},
	}
	a.flags(c)
	c.Flags().StringVar(&output, "output", "text", "text, json, dot or html")
	c.Flags().BoolVar(&all, "all", false, "text: also steps that are done, or wait for others")
	return c
}

func graphClearCommand(name, short string, onlyFailed bool) *cobra.Command {
	var a graphAPI
	var dry bool
	c := &cobra.Command{
		Use: name + " DAG RUN [STEP...]", Short: short, Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			body := map[string]any{"dag_run_id": args[1], "dry_run": dry, "only_failed": onlyFailed, "include_downstream": true}
			if len(args) > 2 {
				body["task_ids"] = args[2:]
			}
			var got struct {
				Instances []struct {
					Task string `json:"task_id"`
				} `json:"task_instances"`
			}
			if err := a.call(cmd, http.MethodPost, body, &got, nil, "dags", args[0], "clearTaskInstances"); err != nil {
				return err
			}
			for _, x := range got.Instances {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), x.Task); err != nil {
					return err
				}
			}
			return nil
		},
	}
	a.flags(c)
	c.Flags().BoolVar(&dry, "dry-run", false, "only name the steps")
	return c
}

// graphChange is a command that changes a graph or run, and says so.
func graphChange(use, short string, args int, change func(cmd *cobra.Command, a *graphAPI, args []string) error) *cobra.Command {
	var a graphAPI
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args), RunE: func(cmd *cobra.Command, args []string) error {
		return change(cmd, &a, args)
	}}
	a.flags(c)
	return c
}

func graphCancelCommand() *cobra.Command {
	return graphChange("cancel DAG RUN", "End a run: nothing more of it begins, and its jobs are cancelled", 2, func(cmd *cobra.Command, a *graphAPI, args []string) error {
		return a.call(cmd, http.MethodPatch, map[string]string{"state": "failed"}, nil, nil, "dags", args[0], "dagRuns", args[1])
	})
}

func graphPauseCommand(name, short string, paused bool) *cobra.Command {
	return graphChange(name+" DAG", short, 1, func(cmd *cobra.Command, a *graphAPI, args []string) error {
		return a.call(cmd, http.MethodPatch, map[string]bool{"is_paused": paused}, nil, nil, "dags", args[0])
	})
}

func graphDeleteCommand() *cobra.Command {
	return graphChange("delete DAG", "Drop a graph and its runs, if none of them goes on", 1, func(cmd *cobra.Command, a *graphAPI, args []string) error {
		return a.call(cmd, http.MethodDelete, nil, nil, nil, "dags", args[0])
	})
}

func graphBackfillCommand() *cobra.Command {
	var from, to string
	c := graphChange("backfill DAG", "Begin the runs of past intervals that have none", 1, func(cmd *cobra.Command, a *graphAPI, args []string) error {
		first, err := dayOf(from, false)
		if err != nil {
			return err
		}
		last, err := dayOf(to, true)
		if err != nil {
			return err
		}
		var got runner.Backfilled
		if err := a.call(cmd, http.MethodPost, map[string]any{"dag_id": args[0], "from_date": first, "to_date": last}, &got, nil, "backfills"); err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d runs begun, %d intervals had one\n", got.Begun, got.Known)
		return err
	})
	c.Flags().StringVar(&from, "from", "", "the first interval's begin")
	c.Flags().StringVar(&to, "to", "", "the last interval's begin; a day counts to its end")
	return c
}

// dayOf reads a time, or a day: its begin, or its last second.
func dayOf(text string, end bool) (time.Time, error) {
	if at, err := time.Parse(time.RFC3339, text); err == nil {
		return at, nil
	}
	at, err := time.Parse(time.DateOnly, text)
	if err != nil {
		return at, fmt.Errorf("%q is no time such as 2026-12-01 or 2026-12-01T06:00:00Z", text)
	}
	if end {
		at = at.AddDate(0, 0, 1).Add(-time.Second)
	}
	return at, nil
}
