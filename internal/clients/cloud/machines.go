package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/wire"
)

// noCapacity is how the cloud says why it refused to rent.
const noCapacity = "no capacity"

// Types reads the machine types with their current prices. Without an error there is at
// least one.
func (c *Client) Types(ctx context.Context) ([]wire.MachineType, error) {
	const doing = "machine types"
	var t wire.MachineTypes
	status, err := c.call(ctx, http.MethodGet, wire.PathMachineTypes, nil, httpjson.IfOK(&t))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s: %w", doing, err)
	case status != http.StatusOK:
		return nil, &StatusError{Call: doing, Status: status}
	case len(t.Types) == 0:
		return nil, errors.New(doing + ": the cloud names none")
	}
	return t.Types, nil
}

// Rent rents machines and returns their names. After any error but ErrNoCapacity the same
// request must be repeated, since it may have been executed.
func (c *Client) Rent(ctx context.Context, r wire.RentRequest) ([]string, error) {
	const doing = "rent"
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
		return nil, fmt.Errorf("%s: %w", doing, err)
	case status == http.StatusOK:
		return names.Machines, nil
	case status == http.StatusServiceUnavailable && refused.Error == noCapacity:
		return nil, ErrNoCapacity
	}
	return nil, &StatusError{Call: doing, Status: status, Reason: refused.Error}
}

// Delete returns machines. When it succeeds, they and all that is on them are gone. After an
// error it may have been executed.
func (c *Client) Delete(ctx context.Context, names []string) error {
	const doing = "delete"
	status, err := c.call(ctx, http.MethodPost, wire.PathDelete, wire.MachineNames{Machines: names}, httpjson.IfOK(nil))
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", doing, err)
	case status != http.StatusOK:
		return &StatusError{Call: doing, Status: status}
	}
	return nil
}

// ListPage is one answer of the list: all machines with names behind After, up to and with Last, as they were at
// one time, which may be before that of the page before.
type ListPage struct {
	After    string
	Last     string // empty: there are none behind
	Machines []wire.ListedMachine
}

// List reads the whole list of machines, page by page. It lags behind what is: see the
// property list_lag_s.
func (c *Client) List(ctx context.Context) ([]ListPage, error) {
	var all []ListPage
	after := ""
	for {
		p, err := c.listPage(ctx, after)
		if err != nil {
			return nil, err
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

// listPage reads the page of the list behind a name.
func (c *Client) listPage(ctx context.Context, after string) (p wire.MachinePage, err error) {
	const doing = "list"
	q := url.Values{"page": {strconv.Itoa(wire.MaxList)}}
	if after != "" {
		q.Set("after", after)
	}
	status, err := c.call(ctx, http.MethodGet, wire.PathMachines+"?"+q.Encode(), nil, httpjson.IfOK(&p))
	switch {
	case err != nil:
		return p, fmt.Errorf("%s: %w", doing, err)
	case status != http.StatusOK:
		return p, &StatusError{Call: doing, Status: status}
	}
	return p, nil
}
