package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
)

// clientTimeout bounds a request of a client command. It equals the time that the protocol lets
// users wait for a response.
const clientTimeout = 5 * time.Second

// client sends the requests of a command to a controller.
type client struct{ addr string }

// addFlags adds the flag for the address to a command and its subcommands.
func (c *client) addFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.addr, "addr", "127.0.0.1:8080", "address of a controller or load balancer")
}

// call sends a request with in as its JSON body (nil: no body) and returns the JSON of the response. A
// status of 400 or above is an error.
func (c *client) call(ctx context.Context, method, path string, in any) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	var out json.RawMessage
	status, err := httpjson.Call(ctx, httpjson.NewClient(1, 1, 0, clientTimeout), method, "http://"+c.addr+path, in,
		func(int) any { return &out })
	if err != nil {
		return nil, err
	}
	if status >= http.StatusBadRequest {
		return nil, responseError(status, out)
	}
	return out, nil
}

// get sends a GET request for a path and decodes the JSON of the response into out.
func (c *client) get(ctx context.Context, path string, out any) error {
	raw, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// send sends a request with the given body and ignores the body of the response. A status of 400 or
// above is an error.
func (c *client) send(ctx context.Context, method, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := httpjson.NewClient(1, 1, 0, clientTimeout).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusBadRequest {
		return nil
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, tuning.QueryResponseMaxBytes))
	if err != nil {
		return err
	}
	return responseError(resp.StatusCode, raw)
}

// errTemporarilyUnavailable means that the controller temporarily cannot serve the request. The same command may
// succeed a moment later.
var errTemporarilyUnavailable = errors.New("temporarily unavailable")

// responseError returns the error in a response, of the job protocol ("error") or of the API for graphs
// ("detail"). It wraps errTemporarilyUnavailable if a retry may succeed.
func responseError(status int, body []byte) error {
	var response struct{ Error, Detail string }
	message := http.StatusText(status)
	if json.Unmarshal(body, &response) == nil && response.Error+response.Detail != "" {
		message = fmt.Sprintf("status %d: %s", status, response.Error+response.Detail)
	}
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return fmt.Errorf("%w: %s", errTemporarilyUnavailable, message)
	}
	return errors.New(message)
}
