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

// flags adds the flag for the address to a command and its subcommands.
func (c *client) flags(cmd *cobra.Command) {
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
		return nil, refusal(status, out)
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
	return refusal(resp.StatusCode, raw)
}

// errNotNow means that the controller temporarily cannot serve the request. The same command may succeed a
// moment later.
var errNotNow = errors.New("temporarily unavailable")

// refusal returns the error in a response, of the job protocol ("error") or of the API for graphs ("detail"). It
// wraps errNotNow if a retry may succeed.
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
