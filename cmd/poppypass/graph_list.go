package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"
)

func graphListCommand() *cobra.Command {
	var a graphAPI
	var output string
	c := &cobra.Command{
		Use: "list [DAG]", Short: "List a team's graphs, or the runs of one", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				newestFirst := url.Values{"order_by": {"-logical_date"}}
				runs, err := list[json.RawMessage](cmd.Context(), &a, "dag_runs", newestFirst, "dags", args[0], "dagRuns")
				if err != nil {
					return err
				}
				return printItems(cmd.OutOrStdout(), output, runs, runRows)
			}
			dags, err := list[json.RawMessage](cmd.Context(), &a, "dags", nil, "dags")
			if err != nil {
				return err
			}
			return printItems(cmd.OutOrStdout(), output, dags, dagRows)
		},
	}
	a.flags(c)
	c.Flags().StringVar(&output, "output", "table", "table or json")
	return c
}

// printItems prints the items of a list as JSON or as a table. rows converts the items to the rows of the table.
func printItems(w io.Writer, output string, items []json.RawMessage, rows func([]json.RawMessage) ([][]string, error)) error {
	switch output {
	case "json":
		return printJSON(w, items)
	case "table":
		table, err := rows(items)
		if err != nil {
			return err
		}
		return printTable(w, table)
	}
	return fmt.Errorf("--output is %q; it can be table or json", output)
}

// dagRows returns the rows of a table of graphs, beginning with the header.
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

// runRows returns the rows of a table of runs, beginning with the header.
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
