package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

func graphSubmitCommand() *cobra.Command {
	var api graphAPI
	var paused bool
	command := &cobra.Command{
		Use: "submit FILE", Short: "Register the graphs that a file describes", Args: cobra.ExactArgs(1),
		Long: "Register the graphs that a file describes (see graph check). Runs that go on keep the\ngraph that they began with.",
		RunE: func(cmd *cobra.Command, args []string) error {
			plans, err := readGraphs(cmd, args[0], api.team)
			if err != nil {
				return err
			}
			for _, p := range plans {
				teamAPI := api
				teamAPI.team = p.Team
				var setPaused *bool
				if cmd.Flags().Changed("paused") {
					setPaused = &paused
				}
				if err := teamAPI.register(cmd.Context(), p, setPaused); err != nil {
					return fmt.Errorf("graph %s: %w", p.ID, err)
				}
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s of %s: registered, %d steps\n", p.ID, p.Team, len(p.Steps)); err != nil {
					return err
				}
			}
			return nil
		},
	}
	api.addFlags(command)
	command.Flags().BoolVar(&paused, "paused", false, "register it paused, or (--paused=false) not; otherwise it stays as it is")
	return command
}
