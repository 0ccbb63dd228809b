package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Get reads a key; ok is false when it does not exist.
func (c *Client) Get(ctx context.Context, key string) (item wire.Item, ok bool, err error) {
	status, err := c.get(ctx, wire.PathKV+"/"+key, &item)
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
	q := url.Values{"starts": {prefix}, "page": {strconv.Itoa(page)}}
	if after != "" {
		q.Set("after", after)
	}
	status, err := c.get(ctx, wire.PathKV+"?"+q.Encode(), &p)
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
		p, err := c.List(ctx, prefix, after, tuning.LoadPageKeys)
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

// Watch waits until a key with the prefix has changed after the revision, or
// until wait is over. After ErrCompacted the keys must be listed again.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (r wire.WatchResult, err error) {
	if err := c.waitTurn(ctx); err != nil {
		return r, err
	}
	q := url.Values{
		"starts": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, err := c.call(ctx, request{
		http: c.watches, timeout: wait + tuning.WatchGrace,
		method: http.MethodGet, path: wire.PathWatch + "?" + q.Encode(), decode: httpjson.IfOK(&r),
	})
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
