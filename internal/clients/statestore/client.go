// Package statestore is the client of the cluster's key-value store (the state service):
// the only place where controllers can keep state.
//
// A call that fails says whether it may have been executed: ErrNotExecuted tells that it
// surely was not, ErrOutcomeUnknown that it may have been or may still be.
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

// Client talks to the key-value store. It is safe for concurrent use.
type Client struct {
	base            string
	callsPerSecond  float64 // the published limit, of all controllers together
	writesPerSecond float64 // the same for changes
	http            *http.Client
	watches         *http.Client // apart, since watches hold their connections
	callLimit       *rateLimit
	writeLimit      *rateLimit
	priority        priority
	pauseBusy       func(context.Context) // after a refusal
}

// priority says how a call stands to the client's own limits.
type priority int

const (
	normalPriority priority = iota // waits for its turn
	urgentPriority                 // goes at once: nothing of ours may hold it up
	lowPriority                    // goes only while half of the limit's burst is free
)

// New makes a client; rps and writeRPS are the limits that all controllers share, on calls
// and on changes a second.
func New(addr string, rps, writeRPS float64) *Client {
	c := &Client{
		base: "http://" + addr, callsPerSecond: rps, writesPerSecond: writeRPS,
		http:      httpjson.NewClient(16, 8, 0, tuning.StateTimeout),
		watches:   httpjson.NewClient(4, 2, 0, tuning.StateTimeout),
		pauseBusy: pauseBusy,
	}
	return c.WithShare(1)
}

// WithShare returns a client of the same service with limits of its own: at least a
// share of the published ones, and what others leave.
func (c *Client) WithShare(share float64) *Client {
	view := *c
	now := time.Now()
	view.callLimit = newRateLimit(c.callsPerSecond, share, now)
	view.writeLimit = newRateLimit(c.writesPerSecond, share, now)
	return &view
}

// Urgent returns a view of the client for the few calls that must not wait for
// its own limits: elections, and what a new leader reads. Once polls that came
// while nobody led had used up the limit, and the election waited behind them.
func (c *Client) Urgent() *Client { return c.withPriority(urgentPriority) }

// LowPriority returns a view of the client for calls that are to leave room for
// others: they are refused at once when the limit is half used up.
func (c *Client) LowPriority() *Client { return c.withPriority(lowPriority) }

func (c *Client) withPriority(p priority) *Client {
	view := *c
	view.priority = p
	return &view
}

// SpareWrites is how many changes could be written now without using up more than
// half of what may be written at once.
func (c *Client) SpareWrites() int {
	return int((c.writeLimit.free() - 0.5) * float64(c.writeLimit.limiter.Burst()))
}

// AvailableWrites is how many changes could be written at once now, and most how many at the best of times.
func (c *Client) AvailableWrites() (now, most int) {
	return int(c.writeLimit.limiter.Tokens()), c.writeLimit.limiter.Burst()
}

// waitTurn waits until the client's own limit on calls allows one more. Its error is an
// ErrNotExecuted.
func (c *Client) waitTurn(ctx context.Context) error {
	if c.priority == urgentPriority {
		return nil
	}
	if c.priority == lowPriority && c.callLimit.free() < 0.5 {
		return fmt.Errorf("%w: our own limit is needed for others", ErrNotExecuted)
	}
	if err := c.callLimit.wait(ctx, 1); err != nil {
		return fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	return nil
}

// request is one call to the service.
type request struct {
	http    *http.Client // nil: the client's
	timeout time.Duration
	method  string
	path    string
	body    any                  // nil: none
	decode  func(status int) any // returns what to decode an answer of this status into, or nil
}

// get reads from a path once it is the call's turn.
func (c *Client) get(ctx context.Context, path string, out any) (status int, err error) {
	if err := c.waitTurn(ctx); err != nil {
		return 0, err
	}
	return c.call(ctx, request{timeout: tuning.StateTimeout, method: http.MethodGet, path: path, decode: httpjson.IfOK(out)})
}

// call makes a call and returns the status of its answer. Statuses that mean the same for
// every call are errors: ErrBusy, which also slows down the client's own limit, ErrNotExecuted
// and, without an answer, ErrOutcomeUnknown.
func (c *Client) call(ctx context.Context, r request) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	if r.http == nil {
		r.http = c.http
	}
	status, err := httpjson.Call(ctx, r.http, r.method, c.base+r.path, r.body, r.decode)
	switch {
	case err != nil:
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case status == http.StatusTooManyRequests:
		c.limitOf(r.path).refused(time.Now())
		return status, ErrBusy
	case status == http.StatusServiceUnavailable:
		return status, fmt.Errorf("%w: status %d", ErrNotExecuted, status)
	}
	return status, nil
}

// limitOf is the limit that a refusal of a path tells of.
func (c *Client) limitOf(path string) *rateLimit {
	if path == wire.PathTxn {
		return c.writeLimit
	}
	return c.callLimit
}
