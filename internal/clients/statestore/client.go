// Package statestore is the client of the cluster's key-value store (the state service), the only durable storage that
// controllers have.
//
// The error of a failed call says whether the call may have been executed: ErrNotExecuted means that it certainly was
// not; ErrOutcomeUnknown means that it may have been executed or may still be.
package statestore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Client calls the key-value store. It is safe for concurrent use.
type Client struct {
	baseURL         string
	callsPerSecond  float64 // the published limit on calls, which all controllers share
	writesPerSecond float64 // the published limit on changes of keys, which all controllers share
	http            *http.Client
	watchHTTP       *http.Client // separate, since a watch occupies its connection until it is answered
	callLimit       *rateLimit
	writeLimit      *rateLimit
	priority        priority
	pauseBusy       func(context.Context) // pauses before a refused transaction is retried
}

// priority says how the client's own rate limits apply to a call.
type priority int

const (
	normalPriority priority = iota // waits until the limits allow it
	urgentPriority                 // bypasses the limits
	lowPriority                    // fails at once while less than half of the burst is free
)

// New returns a client of the store at addr (host:port). rps and writeRPS are the limits that all controllers share, in
// calls and in changes of keys per second.
func New(addr string, rps, writeRPS float64) *Client {
	c := &Client{
		baseURL: "http://" + addr, callsPerSecond: rps, writesPerSecond: writeRPS,
		http:      httpjson.NewClient(16, 8, 0, tuning.StateTimeout),
		watchHTTP: httpjson.NewClient(4, 2, 0, tuning.StateTimeout),
		pauseBusy: pauseBusy,
	}
	return c.WithShare(1)
}

// WithShare returns a client of the same service with its own rate limits: at least the given fraction of the published
// limits, and more while the other clients leave some unused.
func (c *Client) WithShare(share float64) *Client {
	view := *c
	now := time.Now()
	view.callLimit = newRateLimit(c.callsPerSecond, share, now)
	view.writeLimit = newRateLimit(c.writesPerSecond, share, now)
	return &view
}

// Urgent returns a view of the client for the few calls that must not wait for its own rate limits: those of elections
// and the reads of a new leader. If such calls had to wait, users' polls that arrive while there is no leader would use
// up the limit and delay the election.
func (c *Client) Urgent() *Client { return c.withPriority(urgentPriority) }

// LowPriority returns a view of the client for calls that must leave room for others: they fail at once with
// ErrNotExecuted while less than half of the burst is free.
func (c *Client) LowPriority() *Client { return c.withPriority(lowPriority) }

func (c *Client) withPriority(p priority) *Client {
	view := *c
	view.priority = p
	return &view
}

// SpareWrites returns how many changes can be written now so that half of the burst stays available for others. It
// may be negative.
func (c *Client) SpareWrites() int {
	return int((c.writeLimit.freeBurstShare() - 0.5) * float64(c.writeLimit.limiter.Burst()))
}

// AvailableWrites returns how many changes can be written now without waiting, and the size of the whole burst.
func (c *Client) AvailableWrites() (available, burst int) {
	return int(c.writeLimit.limiter.Tokens()), c.writeLimit.limiter.Burst()
}

// waitCall waits until the client's own rate limit allows one more call. The error wraps ErrNotExecuted.
func (c *Client) waitCall(ctx context.Context) error {
	if c.priority == urgentPriority {
		return nil
	}
	if c.priority == lowPriority && c.callLimit.freeBurstShare() < 0.5 {
		return fmt.Errorf("%w: the rest of the client's own rate limit is reserved for calls of a higher priority", ErrNotExecuted)
	}
	if err := c.callLimit.wait(ctx, 1); err != nil {
		return fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	return nil
}

// request is one call of the service.
type request struct {
	http    *http.Client  // nil: Client.http
	timeout time.Duration // of the whole call
	method  string
	path    string
	body    any                  // nil: none
	decode  func(status int) any // returns the value to decode an answer of this status into, or nil to ignore its body
}

// get reads from a path as soon as the rate limit allows it, and returns the HTTP status of the answer.
func (c *Client) get(ctx context.Context, path string, out any) (status int, err error) {
	if err := c.waitCall(ctx); err != nil {
		return 0, err
	}
	return c.call(ctx, request{timeout: tuning.StateTimeout, method: http.MethodGet, path: path, decode: httpjson.IfOK(out)})
}

// call makes a call and returns the HTTP status of the answer. Statuses that mean the same for every call are returned
// as errors: 429 as ErrBusy, which also lowers the client's own rate limit, and 503 as ErrNotExecuted. If there is no
// usable answer, the error is ErrOutcomeUnknown.
func (c *Client) call(ctx context.Context, r request) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	if r.http == nil {
		r.http = c.http
	}
	status, err := httpjson.Call(ctx, r.http, r.method, c.baseURL+r.path, r.body, r.decode)
	switch {
	case err != nil:
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case status == http.StatusTooManyRequests:
		c.limitFor(r.path).recordRefusal(time.Now())
		return status, ErrBusy
	case status == http.StatusServiceUnavailable:
		return status, fmt.Errorf("%w: status %d", ErrNotExecuted, status)
	}
	return status, nil
}

// limitFor returns the rate limit that is exceeded if the service refuses a call to a path because of its limits.
func (c *Client) limitFor(path string) *rateLimit {
	if path == wire.PathTxn {
		return c.writeLimit
	}
	return c.callLimit
}
