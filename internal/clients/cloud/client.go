// Package cloud is the client of the cloud that rents machines.
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

// ErrNoCapacity tells that no machine of this type, zone and kind is to be had now.
var ErrNoCapacity = errors.New("no capacity")

// StatusError tells that the cloud gave an answer that the call has no other meaning for.
type StatusError struct {
	Call   string // what was being done
	Status int    // of HTTP
	Reason string // what the answer says, if it says anything
}

func (e *StatusError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("%s: status %d", e.Call, e.Status)
	}
	return fmt.Sprintf("%s: status %d %s", e.Call, e.Status, e.Reason)
}

// Client talks to the cloud. It is safe for concurrent use.
type Client struct {
	base           string
	callsPerSecond float64 // the published limit, of all controllers together
	http           *http.Client
	limiter        *rate.Limiter // this controller's share of it
}

// New makes a client; rps is the limit that all controllers share, in calls a second.
func New(addr string, rps float64) *Client {
	c := &Client{
		base: "http://" + addr, callsPerSecond: rps,
		http:    httpjson.NewClient(8, 4, 0, tuning.CloudTimeout),
		limiter: rate.NewLimiter(1, 1),
	}
	c.SetShare(1)
	return c
}

// SetShare sets which share of the limit this controller may use.
func (c *Client) SetShare(share float64) {
	limit := c.callsPerSecond * share * tuning.RateLimitUsedShare
	c.limiter.SetLimit(rate.Limit(limit))
	c.limiter.SetBurst(max(1, int(limit)))
}

// call waits for its turn, makes a call and returns the status of its answer. Both the wait
// and the call end after CloudTimeout.
func (c *Client) call(ctx context.Context, method, path string, in any, decode func(status int) any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, err
	}
	return httpjson.Call(ctx, c.http, method, c.base+path, in, decode)
}
