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

// triggerFlags contains the flags of the trigger command.
type triggerFlags struct {
	runID, conf, note string
	descriptions      string // the URL to which the descriptions of the steps are uploaded first; empty: no upload
	described         bool   // the descriptions are already uploaded
}

func graphTriggerCommand() *cobra.Command {
	var api graphAPI
	var flags triggerFlags
	command := &cobra.Command{
		Use: "trigger DAG", Short: "Begin a run of a graph", Args: cobra.ExactArgs(1),
		Long: "Begin a run of a graph. Where the service has nowhere to have steps described\n(graphs.descriptions), --descriptions uploads those of all its steps first, or\n--described says that this was done.",
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := api.trigger(cmd.Context(), args[0], &flags)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s of %s: %s\n", r.ID, r.DAG, r.State)
			return err
		},
	}
	api.addFlags(command)
	command.Flags().StringVar(&flags.runID, "run", "", "the run's id; it makes a repeated trigger harmless")
	command.Flags().StringVar(&flags.conf, "conf", "", "a JSON object over the graph's params")
	command.Flags().StringVar(&flags.note, "note", "", "a note for those who look at the run")
	command.Flags().StringVar(&flags.descriptions, "descriptions", "", "URL to which the descriptions of the steps are sent first")
	command.Flags().BoolVar(&flags.described, "described", false, "the descriptions of the steps are uploaded already")
	return command
}

// trigger starts a run of a graph, after uploading the descriptions of its steps if requested. dagID is the ID of
// the graph.
func (a *graphAPI) trigger(ctx context.Context, dagID string, flags *triggerFlags) (*runResponse, error) {
	now := time.Now().UTC()
	runID := flags.runID
	if runID == "" {
		runID = runner.DefaultRunID(runner.RunTypeManual, now)
	}
	if flags.conf != "" && !json.Valid([]byte(flags.conf)) {
		return nil, errors.New("--conf is not JSON")
	}
	if flags.descriptions != "" {
		plan, err := a.plan(ctx, "dags", dagID, "definition")
		if err != nil {
			return nil, err
		}
		if err := uploadDescriptions(ctx, plan, runID, flags.descriptions, json.RawMessage(flags.conf), now); err != nil {
			return nil, err
		}
	}
	body := map[string]any{"dag_run_id": runID, "logical_date": now, "note": flags.note, "described": flags.described || flags.descriptions != ""}
	if flags.conf != "" {
		body["conf"] = json.RawMessage(flags.conf)
	}
	var run runResponse
	if err := a.request(ctx, http.MethodPost, body, &run, nil, "dags", dagID, "dagRuns"); err != nil {
		return nil, err
	}
	return &run, nil
}

// uploadDescriptions uploads the descriptions of those steps of a run that are known before it begins, in
// batches. The run may be triggered afterwards.
func uploadDescriptions(ctx context.Context, plan *dag.Plan, runID, url string, conf json.RawMessage, logicalDate time.Time) error {
	steps := runner.DescriptionsBeforeStart(plan, runID, conf, logicalDate)
	source := &runner.HTTPDescriptionSource{URL: url, Client: httpjson.NewClient(1, 1, 0, clientTimeout)}
	for start := 0; start < len(steps); start += tuning.DescribeBatchSteps {
		batchCtx, cancel := context.WithTimeout(ctx, tuning.DescribeTimeout)
		err := source.Describe(batchCtx, steps[start:min(len(steps), start+tuning.DescribeBatchSteps)])
		cancel()
		if err != nil {
			return fmt.Errorf("uploading the descriptions of the steps: %w", err)
		}
	}
	return nil
}
