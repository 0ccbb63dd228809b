package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/graphs/runner"
)

func graphBackfillCommand() *cobra.Command {
	var from, to string
	command := graphChangeCommand("backfill DAG", "Begin the runs of past intervals that have none", 1, func(cmd *cobra.Command, api *graphAPI, args []string) error {
		first, err := parseDayOrTime(from, false)
		if err != nil {
			return err
		}
		last, err := parseDayOrTime(to, true)
		if err != nil {
			return err
		}
		var result runner.BackfillResult
		if err := api.request(cmd.Context(), http.MethodPost, map[string]any{"dag_id": args[0], "from_date": first, "to_date": last}, &result, nil, "backfills"); err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d runs begun, %d intervals had one\n", result.Created, result.Skipped)
		return err
	})
	command.Flags().StringVar(&from, "from", "", "the first interval's begin")
	command.Flags().StringVar(&to, "to", "", "the last interval's begin; a day counts to its end")
	return command
}

// parseDayOrTime parses an RFC 3339 time or a date. For a date it returns the beginning of the day or, if
// endOfDay is set, its last second. The time zone of a date is UTC.
func parseDayOrTime(text string, endOfDay bool) (time.Time, error) {
	if at, err := time.Parse(time.RFC3339, text); err == nil {
		return at, nil
	}
	at, err := time.Parse(time.DateOnly, text)
	if err != nil {
		return at, fmt.Errorf("%q is not a date or time such as 2026-12-01 or 2026-12-01T06:00:00Z", text)
	}
	if endOfDay {
		at = at.AddDate(0, 0, 1).Add(-time.Second)
	}
	return at, nil
}
