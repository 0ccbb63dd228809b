package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
)

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
				p, err := a.plan(cmd.Context(), "dags", args[0], "definition")
				if err != nil {
					return err
				}
				if err := describe(cmd.Context(), p, run, to, json.RawMessage(conf), now); err != nil {
					return err
				}
			}
			body := map[string]any{"dag_run_id": run, "logical_date": now, "note": note, "described": described || to != ""}
			if conf != "" {
				body["conf"] = json.RawMessage(conf)
			}
			var r runAnswer
			if err := a.request(cmd.Context(), http.MethodPost, body, &r, nil, "dags", args[0], "dagRuns"); err != nil {
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

// describe uploads the descriptions of a run's steps that can be named ahead.
func describe(ctx context.Context, p *dag.Plan, run, to string, conf json.RawMessage, logical time.Time) error {
	steps := runner.Foreseen(p, run, conf, logical)
	source := &runner.HTTPSource{URL: to, Client: httpjson.NewClient(1, 1, 0, clientTimeout)}
	for from := 0; from < len(steps); from += tuning.DescribeBatch {
		batchCtx, cancel := context.WithTimeout(ctx, tuning.DescribeTimeout)
		err := source.Describe(batchCtx, steps[from:min(len(steps), from+tuning.DescribeBatch)])
		cancel()
		if err != nil {
			return fmt.Errorf("descriptions: %w", err)
		}
	}
	return nil
}
