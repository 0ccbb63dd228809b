// Package cloud is the client of the cloud that rents machines.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// ErrNoCapacity tells that no machine of this type, zone and kind is to be had now.
var ErrNoCapacity = errors.New("no capacity")

// Client talks to the cloud. It is safe for concurrent use.
type Client struct {
	base           string
	callsPerSecond float64
	http           *http.Client
	limiter        *rate.Limiter
}

// New makes a client; rps is the limit that all controllers share.
func New(addr string, rps float64) *Client {
	c := &Client{base: "http://" + addr, callsPerSecond: rps, http: httpjson.NewClient(8, 4, 0, tuning.CloudTimeout), limiter: rate.NewLimiter(1, 1)}
	c.SetShare(1)
	return c
}

// SetShare sets which share of the limit this controller may use.
func (c *Client) SetShare(share float64) {
	limit := c.callsPerSecond * share * tuning.LimitMargin
	c.limiter.SetLimit(rate.Limit(limit))
	c.limiter.SetBurst(max(1, int(limit)))
}

func (c *Client) call(ctx context.Context, method, path string, in any, decode func(int) any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, err
	}
	return httpjson.Call(ctx, c.http, method, c.base+path, in, decode)
}

// Types reads the machine types with their current prices.
func (c *Client) Types(ctx context.Context) ([]wire.MachineType, error) {
	var t wire.MachineTypes
	status, err := c.call(ctx, http.MethodGet, wire.PathMachineTypes, nil, httpjson.IfOK(&t))
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK || len(t.Types) == 0 {
		return nil, fmt.Errorf("machine types: status %d with %d types", status, len(t.Types))
	}
	return t.Types, nil
}

// Rent rents machines. After any error but ErrNoCapacity the same request
// must be repeated, since it may have been executed.
func (c *Client) Rent(ctx context.Context, r wire.RentRequest) ([]string, error) {
	var names wire.MachineNames
	var refused wire.Error
	status, err := c.call(ctx, http.MethodPost, wire.PathMachines, r, func(status int) any {
		switch status {
		case http.StatusOK:
			return &names
		case http.StatusServiceUnavailable:
			return &refused
		}
		return nil
	})
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusOK:
		return names.Machines, nil
	case status == http.StatusServiceUnavailable && refused.Error == "no capacity":
		return nil, ErrNoCapacity
	}
	return nil, fmt.Errorf("rent: status %d %s", status, refused.Error)
}

// Delete returns machines. When it succeeds, they and all that is on them are gone.
func (c *Client) Delete(ctx context.Context, names []string) error {
	status, err := c.call(ctx, http.MethodPost, wire.PathDelete, wire.MachineNames{Machines: names}, httpjson.IfOK(nil))
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("delete: status %d", status)
	}
	return err
}

// ListPage is one answer of the list: all machines with names behind After, up to and with Last, as they were at
// one time, which may be before that of the page before.
type ListPage struct {
	After    string
	Last     string // empty: there are none behind
	Machines []wire.ListedMachine
}

// List reads the whole list of machines, page by page. It lags behind what is.
func (c *Client) List(ctx context.Context) ([]ListPage, error) {
	var all []ListPage
	after := ""
	for {
		q := url.Values{"page": {strconv.Itoa(wire.MaxList)}}
		if after != "" {
			q.Set("after", after)
		}
		var p wire.MachinePage
		status, err := c.call(ctx, http.MethodGet, wire.PathMachines+"?"+q.Encode(), nil, httpjson.IfOK(&p))
		if err != nil {
			return nil, err
		}
		if status != http.StatusOK {
			return nil, fmt.Errorf("list: status %d", status)
		}
		page := ListPage{After: after, Machines: p.Machines}
		if !p.More || len(p.Machines) == 0 {
			return append(all, page), nil
		}
		after = p.Machines[len(p.Machines)-1].Name
		page.Last = after
		all = append(all, page)
	}
}
