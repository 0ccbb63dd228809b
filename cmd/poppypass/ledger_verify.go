package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"poppypass/internal/accounting/ledger"
	"poppypass/internal/clients/statestore"
)

func ledgerVerifyCommand() *cobra.Command {
	var f settingsFiles
	c := &cobra.Command{
		Use: "verify --config FILE", Short: "Work out all totals anew from the charges, and name each difference", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return verifyLedger(cmd, &f) },
	}
	f.flags(c)
	return c
}

// verifyLedger works out all totals anew, and prints each difference.
func verifyLedger(cmd *cobra.Command, f *settingsFiles) error {
	s, operator, err := f.load()
	if err != nil {
		return err
	}
	// It leaves nine tenths of the limit to the controllers.
	reader, err := ledger.NewReader(statestore.New(s.External.State, s.Cluster.State.RPS, s.Cluster.State.WriteRPS).WithShare(0.1))
	if err != nil {
		return err
	}
	found, err := reader.Verify(cmd.Context(), operator.Budgets.Location())
	if err != nil {
		return fmt.Errorf("the ledger cannot be read: %w", err)
	}
	for _, fault := range found.Discrepancies {
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), fault); err != nil {
			return err
		}
	}
	if n := len(found.Discrepancies); n > 0 {
		return fmt.Errorf("%d faults in %d charges of %d jobs", n, found.Charges, found.Jobs)
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d segments with %d charges of %d jobs: all totals are right\n", found.Segments, found.Charges, found.Jobs)
	return err
}
