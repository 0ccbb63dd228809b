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

// clientTimeout is how long the client commands wait for an answer: as long
// as the protocol has users wait.
const clientTimeout = 5 * time.Second

// client is how a command reaches a controller.
type client struct{ addr string }

// flags lets a command, and those below it, name whom to ask.
func (c *client) flags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.addr, "addr", "127.0.0.1:8080", "address of a controller or load balancer")
}

// call sends JSON (nil: no body) and returns the answer's JSON. A refusal is an error.
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

// get reads what is at a path.
func (c *client) get(ctx context.Context, path string, out any) error {
	raw, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// send sends bytes, and takes an answer without a body. A refusal is an error.
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

// errNotNow tells that a controller cannot answer now: the same command may succeed a moment later.
var errNotNow = errors.New("not now")

// refusal is the error that an answer tells: the protocol's, or that of the graphs' API. It wraps errNotNow where asking again
// may help.
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
