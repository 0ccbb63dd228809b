package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"poppypass/internal/accounting/ledger"
	"poppypass/internal/clients/statestore"
)

func ledgerVerifyCommand() *cobra.Command {
	var files settingsFiles
	command := &cobra.Command{
		Use: "verify --config FILE", Short: "Work out all totals anew from the charges, and name each difference", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return verifyLedger(cmd, &files) },
	}
	files.addFlags(command)
	return command
}

// verifyLedger computes all totals from the charges and prints each difference from the stored totals.
func verifyLedger(cmd *cobra.Command, files *settingsFiles) error {
	settings, operatorSettings, err := files.load()
	if err != nil {
		return err
	}
	// The command's own rate limits guarantee it a tenth of the published limits. Beyond that it uses only what the
	// controllers leave.
	reader, err := ledger.NewReader(statestore.New(settings.External.State, settings.Cluster.State.RPS, settings.Cluster.State.WriteRPS).WithShare(0.1))
	if err != nil {
		return err
	}
	result, err := reader.Verify(cmd.Context(), operatorSettings.Budgets.Location())
	if err != nil {
		return fmt.Errorf("cannot read the ledger: %w", err)
	}
	for _, discrepancy := range result.Discrepancies {
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), discrepancy); err != nil {
			return err
		}
	}
	if n := len(result.Discrepancies); n > 0 {
		return fmt.Errorf("%d discrepancies found in %d charges of %d jobs", n, result.ChargeCount, result.JobCount)
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d segments with %d charges of %d jobs: all totals are right\n", result.SegmentCount, result.ChargeCount, result.JobCount)
	return err
}
