// Package statestore is the client of the state service: the only place where
// controllers can keep state.
package statestore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

var (
	// ErrNotExecuted tells that the service refused a request without executing it.
	ErrNotExecuted = errors.New("state service refused the request")
	// ErrBusy tells that it refused it because of its limits.
	ErrBusy = fmt.Errorf("%w: too many requests", ErrNotExecuted)
	// ErrOutcomeUnknown tells that a request may have been executed, or may still be.
	ErrOutcomeUnknown = errors.New("state service gave no usable answer")
	// ErrLeaseNotFound tells that the lease has ended.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted tells that a watch asked for changes that are no longer kept.
	ErrCompacted = errors.New("revision is too old to watch")
	// ErrMalformed tells that the service did not understand the request.
	ErrMalformed = errors.New("state service calls the request malformed")
)

// ConflictError tells that a transaction's conditions did not hold.
type ConflictError struct{ Failed []string }

func (c *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", c.Failed) }

// Client talks to the state service. It is safe for concurrent use.
type Client struct {
	base            string
	callsPerSecond  float64
	writesPerSecond float64
	http            *http.Client
	watches         *http.Client
	callLimit       *rateLimit
	writeLimit      *rateLimit
	priority        priority
	pauseBusy       func(context.Context) // after a refusal
}

// priority tells how a call stands to our own limits.
type priority int

const (
	normalPriority priority = iota // waits for its turn
	urgentPriority                 // goes at once: nothing of ours may hold it up
	lowPriority                    // goes only while half of the limit's burst is free
)

// Urgent gives a view of the client for the few calls that must not wait for
// our own limits: elections, and what a new leader reads. Once polls that came
// while nobody led had used up the limit, and the election waited behind them.
func (c *Client) Urgent() *Client { return c.withPriority(urgentPriority) }

// LowPriority gives a view of the client for calls that are to leave room for
// others: they are refused at once when the limit is half used up.
func (c *Client) LowPriority() *Client { return c.withPriority(lowPriority) }

func (c *Client) withPriority(k priority) *Client {
	view := *c
	view.priority = k
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

// New makes a client; rps and writeRPS are the limits that all controllers share.
func New(addr string, rps, writeRPS float64) *Client {
	c := &Client{
		base: "http://" + addr, callsPerSecond: rps, writesPerSecond: writeRPS,
		http:    httpjson.NewClient(16, 8, 0, tuning.StateTimeout),
		watches: httpjson.NewClient(4, 2, 0, tuning.StateTimeout), pauseBusy: pauseBusy,
	}
	return c.WithShare(1)
}

// WithShare gives a client of the same service with limits of its own: at least a
// share of the published ones, and what others leave.
func (c *Client) WithShare(share float64) *Client {
	view := *c
	now := time.Now()
	view.callLimit, view.writeLimit = newRateLimit(c.callsPerSecond, share, now), newRateLimit(c.writesPerSecond, share, now)
	return &view
}

func (c *Client) call(ctx context.Context, hc *http.Client, timeout time.Duration, method, path string, in any, decode func(int) any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := httpjson.Call(ctx, hc, method, c.base+path, in, decode)
	switch {
	case err != nil:
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case status == http.StatusTooManyRequests:
		if path == wire.PathTxn {
			c.writeLimit.refused(time.Now())
		} else {
			c.callLimit.refused(time.Now())
		}
		return status, ErrBusy
	case status == http.StatusServiceUnavailable:
		return status, fmt.Errorf("%w: status %d", ErrNotExecuted, status)
	}
	return status, nil
}

func unexpectedStatus(status int) error {
	if status == http.StatusBadRequest {
		return ErrMalformed
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

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

// Get reads a key; ok is false when it does not exist.
func (c *Client) Get(ctx context.Context, key string) (item wire.Item, ok bool, err error) {
	if err := c.waitTurn(ctx); err != nil {
		return item, false, err
	}
	status, err := c.call(ctx, c.http, tuning.StateTimeout, http.MethodGet, wire.PathKV+"/"+key, nil, httpjson.IfOK(&item))
	switch {
	case err != nil:
		return item, false, err
	case status == http.StatusOK:
		return item, true, nil
	case status == http.StatusNotFound:
		return item, false, nil
	}
	return item, false, unexpectedStatus(status)
}

// List reads one page of the keys with a prefix, beginning behind after.
func (c *Client) List(ctx context.Context, prefix, after string, page int) (p wire.ItemPage, err error) {
	if err := c.waitTurn(ctx); err != nil {
		return p, err
	}
	q := url.Values{"starts": {prefix}, "page": {strconv.Itoa(page)}}
	if after != "" {
		q.Set("after", after)
	}
	status, err := c.call(ctx, c.http, tuning.StateTimeout, http.MethodGet, wire.PathKV+"?"+q.Encode(), nil, httpjson.IfOK(&p))
	if err == nil && status != http.StatusOK {
		err = unexpectedStatus(status)
	}
	return p, err
}

// ListAll reads all keys with a prefix, page by page, and hands each page to
// fn. It returns the revision of the first page: a watch behind it misses nothing.
func (c *Client) ListAll(ctx context.Context, prefix string, fn func([]wire.Item) error) (uint64, error) {
	var revision uint64
	after := ""
	for first := true; ; first = false {
		p, err := c.List(ctx, prefix, after, tuning.LoadPage)
		if err != nil {
			return 0, err
		}
		if first {
			revision = p.Revision
		}
		if err := fn(p.Items); err != nil {
			return 0, err
		}
		if !p.More || len(p.Items) == 0 {
			return revision, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// Commit executes a transaction and returns its revision. The error is a
// *Conflict, ErrLeaseNotFound, ErrMalformed, ErrNotExecuted or ErrOutcomeUnknown. One that
// is refused because of the service's limits waits for another turn.
func (c *Client) Commit(ctx context.Context, t wire.Txn) (uint64, error) {
	for {
		revision, err := c.commitOnce(ctx, t)
		if !errors.Is(err, ErrBusy) || c.priority == urgentPriority {
			return revision, err
		}
		if c.pauseBusy(ctx); ctx.Err() != nil {
			return 0, err
		}
	}
}

// pauseBusy is the pause of a refused transaction, which differs so that several
// do not come back together.
func pauseBusy(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(tuning.RetryTxnPause/2 + rand.N(tuning.RetryTxnPause)):
	}
}

func (c *Client) commitOnce(ctx context.Context, t wire.Txn) (uint64, error) {
	if err := c.waitTurn(ctx); err != nil {
		return 0, err
	}
	if len(t.Then) > 0 && c.priority != urgentPriority {
		if err := c.writeLimit.wait(ctx, len(t.Then)); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrNotExecuted, err)
		}
	}
	if t.If == nil {
		t.If = []wire.Condition{}
	}
	var res wire.TxnResult
	var refused wire.Error
	status, err := c.call(ctx, c.http, tuning.StateTimeout, http.MethodPost, wire.PathTxn, t, func(status int) any {
		switch status {
		case http.StatusOK, http.StatusConflict:
			return &res
		case http.StatusBadRequest:
			return &refused
		}
		return nil
	})
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusOK:
		return res.Revision, nil
	case status == http.StatusConflict:
		return 0, &ConflictError{Failed: res.Failed}
	case status == http.StatusBadRequest && refused.Error == "no such lease":
		return 0, ErrLeaseNotFound
	}
	return 0, unexpectedStatus(status)
}

// GrantLease asks for a lease. Leases are not held up by our own limit: the right
// to act hangs on them.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var g wire.LeaseGrant
	status, err := c.call(ctx, c.http, tuning.RenewTimeout, http.MethodPost, wire.PathLeases,
		wire.LeaseRequest{TTLMS: ttl.Milliseconds()}, httpjson.IfOK(&g))
	if err == nil && status != http.StatusOK {
		err = unexpectedStatus(status)
	}
	return g.Lease, err
}

// RenewLease gives a lease its full time again.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	status, err := c.call(ctx, c.http, tuning.RenewTimeout, http.MethodPost, c.leasePath(lease)+"/"+wire.EndRenew, nil, httpjson.IfOK(nil))
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrLeaseNotFound
	case status != http.StatusOK:
		return unexpectedStatus(status)
	}
	return nil
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	_, err := c.call(ctx, c.http, tuning.RenewTimeout, http.MethodDelete, c.leasePath(lease), nil, httpjson.IfOK(nil))
	return err
}

func (c *Client) leasePath(lease uint64) string {
	return wire.PathLeases + "/" + strconv.FormatUint(lease, 10)
}

// Watch waits until a key with the prefix has changed after the revision, or
// until wait is over.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (r wire.WatchResult, err error) {
	if err := c.waitTurn(ctx); err != nil {
		return r, err
	}
	q := url.Values{
		"starts": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, err := c.call(ctx, c.watches, wait+tuning.WatchGrace, http.MethodGet, wire.PathWatch+"?"+q.Encode(), nil, httpjson.IfOK(&r))
	switch {
	case errors.Is(err, httpjson.ErrTooLarge):
		// It would be too large again: a watch is answered with all changes since.
		return r, fmt.Errorf("%w: %w", ErrCompacted, err)
	case err != nil:
		return r, err
	case status == http.StatusGone:
		return r, ErrCompacted
	case status != http.StatusOK:
		return r, unexpectedStatus(status)
	}
	return r, nil
}
