package main

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

// graphChange returns a command that changes a graph or a run. args is the number of its arguments.
func graphChange(use, short string, args int, change func(cmd *cobra.Command, a *graphAPI, args []string) error) *cobra.Command {
	var a graphAPI
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args), RunE: func(cmd *cobra.Command, args []string) error {
		return change(cmd, &a, args)
	}}
	a.flags(c)
	return c
}

// graphClearCommand returns a command that runs steps of a run again, together with all steps downstream of
// them. These are the steps given as arguments or, without such arguments, all steps. With onlyFailed, only
// failed steps are among them.
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
			if err := a.request(cmd.Context(), http.MethodPost, body, &got, nil, "dags", args[0], "clearTaskInstances"); err != nil {
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

func graphCancelCommand() *cobra.Command {
	return graphChange("cancel DAG RUN", "End a run: nothing more of it begins, and its jobs are cancelled", 2, func(cmd *cobra.Command, a *graphAPI, args []string) error {
		return a.request(cmd.Context(), http.MethodPatch, map[string]string{"state": "failed"}, nil, nil, "dags", args[0], "dagRuns", args[1])
	})
}

func graphPauseCommand(name, short string, paused bool) *cobra.Command {
	return graphChange(name+" DAG", short, 1, func(cmd *cobra.Command, a *graphAPI, args []string) error {
		return a.request(cmd.Context(), http.MethodPatch, map[string]bool{"is_paused": paused}, nil, nil, "dags", args[0])
	})
}

func graphDeleteCommand() *cobra.Command {
	return graphChange("delete DAG", "Drop a graph and its runs, if none of them goes on", 1, func(cmd *cobra.Command, a *graphAPI, args []string) error {
		return a.request(cmd.Context(), http.MethodDelete, nil, nil, nil, "dags", args[0])
	})
}
