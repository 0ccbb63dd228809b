package main

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/dagfile"
	"poppypass/internal/graphs/dagview"
)

func graphCheckCommand() *cobra.Command {
	var output, team string
	command := &cobra.Command{
		Use: "check FILE", Short: "Check the graphs that a file describes, and tell their critical paths", Args: cobra.ExactArgs(1),
		Long: "Check the graphs that a file describes: Starlark with Airflow's words, or JSON (a name\nthat ends in .json). Nothing is sent anywhere. A file is run with bounded steps, time\nand memory; it cannot read files, reach a network or tell the time.",
		RunE: func(cmd *cobra.Command, args []string) error {
			plans, err := readGraphs(cmd, args[0], team)
			if err != nil {
				return err
			}
			for _, p := range plans {
				if err := printPlan(cmd.OutOrStdout(), p, output); err != nil {
					return err
				}
			}
			return nil
		},
	}
	command.Flags().StringVar(&output, "output", "text", "text, json or dot")
	command.Flags().StringVar(&team, "team", "", "the team of graphs that name none")
	return command
}

// printPlan prints a graph in the format that --output selects.
func printPlan(w io.Writer, p *dag.Plan, output string) error {
	switch output {
	case "text":
		return dagview.Text(w, p, time.Now())
	case "dot":
		return dagview.Dot(w, p)
	case "json":
		return printJSON(w, &p.Graph)
	}
	return fmt.Errorf("--output is %q; it can be text, json or dot", output)
}

// readGraphs reads and checks the graphs in a file. Graphs without a team get the given one.
func readGraphs(cmd *cobra.Command, path, team string) ([]*dag.Plan, error) {
	raw, err := readInput(cmd, path)
	if err != nil {
		return nil, err
	}
	graphs, err := parseGraphs(path, raw)
	if err != nil {
		return nil, err
	}
	var plans []*dag.Plan
	for _, g := range graphs {
		if g.Team == "" {
			g.Team = team
		}
		p, err := dag.NewPlan(g)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		plans = append(plans, p)
	}
	return plans, nil
}

// parseGraphs parses the graphs in a file. A file whose name ends in .json contains JSON, any other Starlark.
func parseGraphs(path string, raw []byte) ([]*dag.Graph, error) {
	if filepath.Ext(path) != ".json" {
		return dagfile.Load(path, raw, dagfile.DefaultLimits())
	}
	g, err := dag.ParseJSON(path, raw)
	if err != nil {
		return nil, err
	}
	return []*dag.Graph{g}, nil
}
