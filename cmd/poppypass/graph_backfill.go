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
		if err := a.request(cmd.Context(), http.MethodPost, map[string]any{"dag_id": args[0], "from_date": first, "to_date": last}, &got, nil, "backfills"); err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d runs begun, %d intervals had one\n", got.Begun, got.Known)
		return err
	})
	c.Flags().StringVar(&from, "from", "", "the first interval's begin")
	c.Flags().StringVar(&to, "to", "", "the last interval's begin; a day counts to its end")
	return c
}

// dayOf parses an RFC 3339 time or a date. For a date it returns the beginning of the day or, if end is set, its
// last second. The time zone of a date is UTC.
func dayOf(text string, end bool) (time.Time, error) {
	if at, err := time.Parse(time.RFC3339, text); err == nil {
		return at, nil
	}
	at, err := time.Parse(time.DateOnly, text)
	if err != nil {
		return at, fmt.Errorf("%q is not a date or time such as 2026-12-01 or 2026-12-01T06:00:00Z", text)
	}
	if end {
		at = at.AddDate(0, 0, 1).Add(-time.Second)
	}
	return at, nil
}
