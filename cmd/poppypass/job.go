package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/wire"
)

// clientTimeout is how long the client commands wait for an answer: as long
// as the protocol has users wait.
const clientTimeout = 5 * time.Second

// addrFlag lets a command, and those below it, name whom to ask.
func addrFlag(c *cobra.Command, addr *string) {
	c.PersistentFlags().StringVar(addr, "addr", "127.0.0.1:8080", "address of a controller or load balancer")
}

func jobCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{Use: "job", Short: "Submit, query and cancel jobs"}
	addrFlag(c, &addr)
	c.AddCommand(
		&cobra.Command{
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
				return callService(cmd, http.MethodPost, addr, wire.PathJobs, json.RawMessage(raw))
			},
		},
		&cobra.Command{
			Use:   "get ID",
			Short: "Show a job's state",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return callService(cmd, http.MethodGet, addr, wire.PathJobs+"/"+args[0], nil)
			},
		},
		&cobra.Command{
			Use:   "why ID",
			Short: "Say what a job's tasks wait for",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return callService(cmd, http.MethodGet, addr, wire.PathJobs+"/"+args[0]+"/"+wire.EndExplain, nil)
			},
		},
		&cobra.Command{
			Use:   "cancel ID",
			Short: "Cancel a job",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return callService(cmd, http.MethodPost, addr, wire.PathJobs+"/"+args[0]+"/"+wire.EndCancel, nil)
			},
		},
	)
	return c
}

func readInput(cmd *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(path)
}

func callService(cmd *cobra.Command, method, addr, path string, in any) error {
	out, err := askService(cmd, method, addr, path, in)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), string(out))
	return err
}

// askService calls a controller; a refusal is an error.
func askService(cmd *cobra.Command, method, addr, path string, in any) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(cmd.Context(), clientTimeout)
	defer cancel()
	var out json.RawMessage
	status, err := httpjson.Call(ctx, httpjson.NewClient(1, 1, 0, clientTimeout), method, "http://"+addr+path, in,
		func(int) any { return &out })
	if err != nil {
		return nil, err
	}
	if status >= http.StatusBadRequest {
		return nil, refusal(status, out)
	}
	return out, nil
}

// errNotNow tells that a controller cannot answer now: the same command may succeed a moment later.
var errNotNow = errors.New("not now")

// refusal is the error that an answer tells: the protocol's, or that of the graphs' API. It is errNotNow where asking again may help.
func refusal(status int, body []byte) error {
	var e struct{ Error, Detail string }
	text := http.StatusText(status)
	if json.Unmarshal(body, &e) == nil && e.Error+e.Detail != "" {
		text = fmt.Sprintf("status %d: %s", status, e.Error+e.Detail)
	}
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return fmt.Errorf("%w: %s", errNotNow, text)
	}
	return errors.New(text)
}
