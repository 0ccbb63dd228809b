// Package cloud is the client of the cloud from which machines are rented.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/time/rate"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
)

// ErrNoCapacity means that the cloud currently has no machine of the requested type, zone and kind (spot or on-demand).
var ErrNoCapacity = errors.New("no capacity")

// StatusError means that the cloud answered a call with an unexpected HTTP status.
type StatusError struct {
	Call   string // the operation that failed, such as "rent machines"
	Status int    // HTTP status code
	Reason string // error text of the answer; empty: none
}

func (e *StatusError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("%s: status %d", e.Call, e.Status)
	}
	return fmt.Sprintf("%s: status %d %s", e.Call, e.Status, e.Reason)
}

// Client calls the cloud. It is safe for concurrent use.
type Client struct {
	baseURL        string
	callsPerSecond float64 // the cloud's published limit, which all controllers share
	http           *http.Client
	limiter        *rate.Limiter // enforces this controller's share of callsPerSecond
}

// New returns a client of the cloud at addr (host:port). rps is the limit that all controllers share, in calls per
// second.
func New(addr string, rps float64) *Client {
	c := &Client{
		baseURL: "http://" + addr, callsPerSecond: rps,
		http:    httpjson.NewClient(8, 4, 0, tuning.CloudTimeout),
		limiter: rate.NewLimiter(1, 1),
	}
	c.SetShare(1)
	return c
}

// SetShare sets the fraction of the shared limit that this controller may use, between 0 and 1.
func (c *Client) SetShare(share float64) {
	limit := c.callsPerSecond * share * tuning.RateLimitUsedShare
	c.limiter.SetLimit(rate.Limit(limit))
	c.limiter.SetBurst(max(1, int(limit)))
}

// call waits until the rate limit allows a call, makes it and returns the HTTP status of the answer. The wait and the
// call together take at most tuning.CloudTimeout.
func (c *Client) call(ctx context.Context, method, path string, in any, decode func(status int) any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, err
	}
	return httpjson.Call(ctx, c.http, method, c.baseURL+path, in, decode)
}
