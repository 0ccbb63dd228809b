package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"poppypass/internal/platform/wire"
)

func jobCommand() *cobra.Command {
	var api client
	command := &cobra.Command{Use: "job", Short: "Submit, query and cancel jobs"}
	api.addFlags(command)
	command.AddCommand(
		jobSubmitCommand(&api),
		jobRequestCommand(&api, "get ID", "Show a job's state", http.MethodGet, ""),
		jobRequestCommand(&api, "why ID", "Say what a job's tasks wait for", http.MethodGet, "/"+wire.PathEndExplain),
		jobRequestCommand(&api, "cancel ID", "Cancel a job", http.MethodPost, "/"+wire.PathEndCancel),
	)
	return command
}

func jobSubmitCommand(api *client) *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit the job described in a JSON file (-: standard input)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := readInput(cmd, args[0])
			if err != nil {
				return err
			}
			if _, err := wire.ParseJob(raw); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return printResponse(cmd, api, http.MethodPost, wire.PathJobs, json.RawMessage(raw))
		},
	}
}

// jobRequestCommand returns a command that sends a request about a job: to the path of the job plus a suffix.
func jobRequestCommand(api *client, use, short, method, suffix string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return printResponse(cmd, api, method, wire.PathJobs+"/"+args[0]+suffix, nil)
		},
	}
}

// printResponse calls a controller and prints its response unchanged.
func printResponse(cmd *cobra.Command, api *client, method, path string, in any) error {
	response, err := api.call(cmd.Context(), method, path, in)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), string(response))
	return err
}

// readInput reads a file, or standard input if the path is "-".
func readInput(cmd *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(path)
}
