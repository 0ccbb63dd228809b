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

// verifyLedger computes all totals from the charges and prints each difference from the stored totals.
func verifyLedger(cmd *cobra.Command, f *settingsFiles) error {
	s, operator, err := f.load()
	if err != nil {
		return err
	}
	// The command uses a tenth of the request rate limit and leaves the rest to the controllers.
	reader, err := ledger.NewReader(statestore.New(s.External.State, s.Cluster.State.RPS, s.Cluster.State.WriteRPS).WithShare(0.1))
	if err != nil {
		return err
	}
	found, err := reader.Verify(cmd.Context(), operator.Budgets.Location())
	if err != nil {
		return fmt.Errorf("cannot read the ledger: %w", err)
	}
	for _, fault := range found.Discrepancies {
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), fault); err != nil {
			return err
		}
	}
	if n := len(found.Discrepancies); n > 0 {
		return fmt.Errorf("%d discrepancies found in %d charges of %d jobs", n, found.Charges, found.Jobs)
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d segments with %d charges of %d jobs: all totals are right\n", found.Segments, found.Charges, found.Jobs)
	return err
}
