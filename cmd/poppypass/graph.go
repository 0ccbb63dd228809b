package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/dagfile"
	"poppypass/internal/graphs/dagview"
)

func graphCommand() *cobra.Command {
	c := &cobra.Command{Use: "graph", Short: "Work with graphs of jobs"}
	c.AddCommand(graphCheckCommand(), graphSubmitCommand(), graphTriggerCommand(), graphListCommand(), graphShowCommand(),
		graphClearCommand("retry", "Have what failed in a run, and all that follows it, go again", true),
		graphClearCommand("clear", "Have steps of a run, and all that follow them, go again", false),
		graphCancelCommand(), graphPauseCommand("pause", "Stop a graph's schedule, and submit no more of its steps", true),
		graphPauseCommand("unpause", "Have a graph that was paused go on", false), graphBackfillCommand(), graphDeleteCommand())
	return c
}

func graphCheckCommand() *cobra.Command {
	var output, team string
	c := &cobra.Command{
		Use: "check FILE", Short: "Check the graphs that a file describes, and tell their critical paths", Args: cobra.ExactArgs(1),
		Long: "Check the graphs that a file describes: Starlark with Airflow's words, or JSON (a name\nthat ends in .json). Nothing is sent anywhere. A file is run with bounded steps, time\nand memory; it cannot read files, reach a network or tell the time.",
		RunE: func(cmd *cobra.Command, args []string) error {
			plans, err := readGraphs(cmd, args[0], team)
			if err != nil {
				return err
			}
			for _, p := range plans {
				switch output {
				case "text":
					err = dagview.Text(cmd.OutOrStdout(), p, time.Now())
				case "dot":
					err = dagview.Dot(cmd.OutOrStdout(), p)
				case "json":
					err = printJSON(cmd.OutOrStdout(), &p.Graph)
				default:
					return fmt.Errorf("--output is %q; it can be text, json or dot", output)
				}
				if err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&output, "output", "text", "text, json or dot")
	c.Flags().StringVar(&team, "team", "", "the team of graphs that name none")
	return c
}

// readGraphs reads and checks the graphs of a file.
func readGraphs(cmd *cobra.Command, path, team string) ([]*dag.Plan, error) {
	raw, err := readInput(cmd, path)
	if err != nil {
		return nil, err
	}
	var graphs []*dag.Graph
	if filepath.Ext(path) == ".json" {
		var g *dag.Graph
		g, err = dag.ParseJSON(path, raw)
		graphs = append(graphs, g)
	} else {
		graphs, err = dagfile.Load(path, raw, dagfile.DefaultLimits())
	}
	if err != nil {
		return nil, err
	}
	var plans []*dag.Plan
	for _, g := range graphs {
		if g.Team == "" {
			g.Team = team
		}
		p, err := dag.Check(g)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		plans = append(plans, p)
	}
	return plans, nil
}
