package main

import (
	"github.com/spf13/cobra"
)

func graphCommand() *cobra.Command {
	command := &cobra.Command{Use: "graph", Short: "Work with graphs of jobs"}
	command.AddCommand(graphCheckCommand(), graphSubmitCommand(), graphTriggerCommand(), graphListCommand(), graphShowCommand(),
		graphClearCommand("retry", "Have what failed in a run, and all that follows it, go again", true),
		graphClearCommand("clear", "Have steps of a run, and all that follow them, go again", false),
		graphCancelCommand(), graphPauseCommand("pause", "Stop a graph's schedule, and submit no more of its steps", true),
		graphPauseCommand("unpause", "Have a graph that was paused go on", false), graphBackfillCommand(), graphDeleteCommand())
	return command
}
