package main

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

// graphChangeCommand returns a command that changes a graph or a run. args is the number of its arguments.
func graphChangeCommand(use, short string, args int, change func(cmd *cobra.Command, api *graphAPI, args []string) error) *cobra.Command {
	var api graphAPI
	command := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args), RunE: func(cmd *cobra.Command, args []string) error {
		return change(cmd, &api, args)
	}}
	api.addFlags(command)
	return command
}

// graphClearCommand returns a command that runs steps of a run again, together with all steps downstream of
// them. The steps are those given as arguments or, without such arguments, all steps of the run. With
// onlyFailed, the command ignores those of them that have not failed.
func graphClearCommand(name, short string, onlyFailed bool) *cobra.Command {
	var api graphAPI
	var dryRun bool
	command := &cobra.Command{
		Use: name + " DAG RUN [STEP...]", Short: short, Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			body := map[string]any{"dag_run_id": args[1], "dry_run": dryRun, "only_failed": onlyFailed, "include_downstream": true}
			if len(args) > 2 {
				body["task_ids"] = args[2:]
			}
			var response struct {
				Instances []struct {
					Task string `json:"task_id"`
				} `json:"task_instances"`
			}
			if err := api.request(cmd.Context(), http.MethodPost, body, &response, nil, "dags", args[0], "clearTaskInstances"); err != nil {
				return err
			}
			for _, instance := range response.Instances {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), instance.Task); err != nil {
					return err
				}
			}
			return nil
		},
	}
	api.addFlags(command)
	command.Flags().BoolVar(&dryRun, "dry-run", false, "only name the steps")
	return command
}

func graphCancelCommand() *cobra.Command {
	return graphChangeCommand("cancel DAG RUN", "End a run: nothing more of it begins, and its jobs are cancelled", 2, func(cmd *cobra.Command, api *graphAPI, args []string) error {
		return api.request(cmd.Context(), http.MethodPatch, map[string]string{"state": "failed"}, nil, nil, "dags", args[0], "dagRuns", args[1])
	})
}

func graphPauseCommand(name, short string, paused bool) *cobra.Command {
	return graphChangeCommand(name+" DAG", short, 1, func(cmd *cobra.Command, api *graphAPI, args []string) error {
		return api.request(cmd.Context(), http.MethodPatch, map[string]bool{"is_paused": paused}, nil, nil, "dags", args[0])
	})
}

func graphDeleteCommand() *cobra.Command {
	return graphChangeCommand("delete DAG", "Drop a graph and its runs, if none of them goes on", 1, func(cmd *cobra.Command, api *graphAPI, args []string) error {
		return api.request(cmd.Context(), http.MethodDelete, nil, nil, nil, "dags", args[0])
	})
}
