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

// trigger contains the flags of the trigger command.
type trigger struct {
	run, conf, note string
	descriptions    string // the URL to which the descriptions of the steps are uploaded first; empty: no upload
	described       bool   // the descriptions are already uploaded
}

func graphTriggerCommand() *cobra.Command {
	var a graphAPI
	var t trigger
	c := &cobra.Command{
		Use: "trigger DAG", Short: "Begin a run of a graph", Args: cobra.ExactArgs(1),
		Long: "Begin a run of a graph. Where the service has nowhere to have steps described\n(graphs.descriptions), --descriptions uploads those of all its steps first, or\n--described says that this was done.",
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := a.trigger(cmd.Context(), args[0], &t)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s of %s: %s\n", r.ID, r.DAG, r.State)
			return err
		},
	}
	a.flags(c)
	c.Flags().StringVar(&t.run, "run", "", "the run's id; it makes a repeated trigger harmless")
	c.Flags().StringVar(&t.conf, "conf", "", "a JSON object over the graph's params")
	c.Flags().StringVar(&t.note, "note", "", "a note for those who look at the run")
	c.Flags().StringVar(&t.descriptions, "descriptions", "", "URL to which the descriptions of the steps are sent first")
	c.Flags().BoolVar(&t.described, "described", false, "the descriptions of the steps are uploaded already")
	return c
}

// trigger starts a run of a graph, after uploading the descriptions of its steps if requested.
func (a *graphAPI) trigger(ctx context.Context, id string, t *trigger) (*runAnswer, error) {
	now := time.Now().UTC()
	run := t.run
	if run == "" {
		run = runner.RunName(runner.Manual, now)
	}
	if t.conf != "" && !json.Valid([]byte(t.conf)) {
		return nil, errors.New("--conf is not JSON")
	}
	if t.descriptions != "" {
		p, err := a.plan(ctx, "dags", id, "definition")
		if err != nil {
			return nil, err
		}
		if err := describe(ctx, p, run, t.descriptions, json.RawMessage(t.conf), now); err != nil {
			return nil, err
		}
	}
	body := map[string]any{"dag_run_id": run, "logical_date": now, "note": t.note, "described": t.described || t.descriptions != ""}
	if t.conf != "" {
		body["conf"] = json.RawMessage(t.conf)
	}
	var r runAnswer
	if err := a.request(ctx, http.MethodPost, body, &r, nil, "dags", id, "dagRuns"); err != nil {
		return nil, err
	}
	return &r, nil
}

// describe uploads the descriptions of those steps of a run that are known before it begins, in batches. The run
// may be triggered afterwards.
func describe(ctx context.Context, p *dag.Plan, run, to string, conf json.RawMessage, logical time.Time) error {
	steps := runner.Foreseen(p, run, conf, logical)
	source := &runner.HTTPSource{URL: to, Client: httpjson.NewClient(1, 1, 0, clientTimeout)}
	for from := 0; from < len(steps); from += tuning.DescribeBatchSteps {
		batchCtx, cancel := context.WithTimeout(ctx, tuning.DescribeTimeout)
		err := source.Describe(batchCtx, steps[from:min(len(steps), from+tuning.DescribeBatchSteps)])
		cancel()
		if err != nil {
			return fmt.Errorf("uploading the descriptions of the steps: %w", err)
		}
	}
	return nil
}
