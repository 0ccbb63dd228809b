package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

func graphSubmitCommand() *cobra.Command {
	var a graphAPI
	var paused bool
	c := &cobra.Command{
		Use: "submit FILE", Short: "Register the graphs that a file describes", Args: cobra.ExactArgs(1),
		Long: "Register the graphs that a file describes (see graph check). Runs that go on keep the\ngraph that they began with.",
		RunE: func(cmd *cobra.Command, args []string) error {
			plans, err := readGraphs(cmd, args[0], a.team)
			if err != nil {
				return err
			}
			for _, p := range plans {
				api := a
				api.team = p.Team
				var setPaused *bool
				if cmd.Flags().Changed("paused") {
					setPaused = &paused
				}
				if err := api.register(cmd.Context(), p, setPaused); err != nil {
					return fmt.Errorf("graph %s: %w", p.ID, err)
				}
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s of %s: registered, %d steps\n", p.ID, p.Team, len(p.Steps)); err != nil {
					return err
				}
			}
			return nil
		},
	}
	a.flags(c)
	c.Flags().BoolVar(&paused, "paused", false, "register it paused, or (--paused=false) not; otherwise it stays as it is")
	return c
}
