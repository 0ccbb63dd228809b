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

// Get reads a key. ok is false if the key does not exist.
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

// List reads at most page items whose keys have a prefix, beginning with the first key greater than after.
func (c *Client) List(ctx context.Context, prefix, after string, page int) (result wire.ItemPage, err error) {
	query := url.Values{"starts": {prefix}, "page": {strconv.Itoa(page)}}
	if after != "" {
		query.Set("after", after)
	}
	status, err := c.get(ctx, wire.PathKV+"?"+query.Encode(), &result)
	if err == nil && status != http.StatusOK {
		err = unexpectedStatus(status)
	}
	return result, err
}

// ListAll reads all items whose keys have a prefix and calls fn for each page. It returns the revision of the first
// page: a watch from that revision on misses no change.
func (c *Client) ListAll(ctx context.Context, prefix string, fn func([]wire.Item) error) (uint64, error) {
	var revision uint64
	after := ""
	for first := true; ; first = false {
		result, err := c.List(ctx, prefix, after, tuning.KeysPerLoadPage)
		if err != nil {
			return 0, err
		}
		if first {
			revision = result.Revision
		}
		if err := fn(result.Items); err != nil {
			return 0, err
		}
		if !result.More || len(result.Items) == 0 {
			return revision, nil
		}
		after = result.Items[len(result.Items)-1].Key
	}
}

// Watch waits until a key with the prefix changes at a revision later than after, but at most for the duration wait. It
// returns the changes. After ErrCompacted the caller must list the keys again.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (result wire.WatchResult, err error) {
	if err := c.waitCall(ctx); err != nil {
		return result, err
	}
	query := url.Values{
		"starts": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, err := c.call(ctx, request{
		http: c.watchHTTP, timeout: wait + tuning.WatchGrace,
		method: http.MethodGet, path: wire.PathWatch + "?" + query.Encode(), decode: httpjson.IfOK(&result),
	})
	switch {
	case errors.Is(err, httpjson.ErrTooLarge):
		// A retry would fail, too: an answer contains all changes since the revision.
		return result, fmt.Errorf("%w: %w", ErrCompacted, err)
	case err != nil:
		return result, err
	case status == http.StatusGone:
		return result, ErrCompacted
	case status != http.StatusOK:
		return result, unexpectedStatus(status)
	}
	return result, nil
}
