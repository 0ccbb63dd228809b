package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"poppypass/internal/graphs/dagview"
)

func graphShowCommand() *cobra.Command {
	var api graphAPI
	var output string
	var all bool
	command := &cobra.Command{
		Use: "show DAG RUN", Short: "Show a run: as text, JSON, DOT, or a page with the graph and a Gantt of its tries", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			w := cmd.OutOrStdout()
			switch output {
			case "text", "json", "dot", "html":
			default:
				return fmt.Errorf("--output is %q; it can be text, json, dot or html", output)
			}
			if output == "json" {
				items, err := listAll[json.RawMessage](cmd.Context(), &api, "task_instances", nil, "dags", args[0], "dagRuns", args[1], "taskInstances")
				if err != nil {
					return err
				}
				return printJSON(w, items)
			}
			run, err := api.run(cmd.Context(), args[0], args[1])
			if err != nil {
				return err
			}
			switch output {
			case "dot":
				return dagview.RunDot(w, run)
			case "html":
				return dagview.RunHTML(w, run)
			}
			return dagview.RunText(w, run, all)
		},
	}
	api.addFlags(command)
	command.Flags().StringVar(&output, "output", "text", "text, json, dot or html")
	command.Flags().BoolVar(&all, "all", false, "text: also steps that are done, or wait for others")
	return command
}
