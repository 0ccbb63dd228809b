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
	var api graphAPI
	var output string
	command := &cobra.Command{
		Use: "list [DAG]", Short: "List a team's graphs, or the runs of one", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				newestFirst := url.Values{"order_by": {"-logical_date"}}
				runs, err := listAll[json.RawMessage](cmd.Context(), &api, "dag_runs", newestFirst, "dags", args[0], "dagRuns")
				if err != nil {
					return err
				}
				return printItems(cmd.OutOrStdout(), output, runs, runRows)
			}
			dags, err := listAll[json.RawMessage](cmd.Context(), &api, "dags", nil, "dags")
			if err != nil {
				return err
			}
			return printItems(cmd.OutOrStdout(), output, dags, dagRows)
		},
	}
	api.addFlags(command)
	command.Flags().StringVar(&output, "output", "table", "table or json")
	return command
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
		var graph struct {
			ID       string `json:"dag_id"`
			Paused   bool   `json:"is_paused"`
			Next     string `json:"next_dagrun_create_after"`
			Schedule struct {
				Value string `json:"value"`
			} `json:"schedule_interval"`
		}
		if err := json.Unmarshal(raw, &graph); err != nil {
			return nil, err
		}
		rows = append(rows, []string{graph.ID, strconv.FormatBool(graph.Paused), graph.Schedule.Value, graph.Next})
	}
	return rows, nil
}

// runRows returns the rows of a table of runs, beginning with the header.
func runRows(items []json.RawMessage) ([][]string, error) {
	rows := [][]string{{"RUN", "TYPE", "STATE", "BEGUN", "TOOK"}}
	for _, raw := range items {
		var run runResponse
		if err := json.Unmarshal(raw, &run); err != nil {
			return nil, err
		}
		begun, took := "", ""
		if run.Start != nil {
			begun = run.Start.UTC().Format(time.RFC3339)
			if run.End != nil {
				took = run.End.Sub(*run.Start).Round(time.Second).String()
			}
		}
		rows = append(rows, []string{run.ID, run.Type, run.State, begun, took})
	}
	return rows, nil
}
