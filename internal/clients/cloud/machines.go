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

// noCapacity is the error text with which the cloud answers a rent request that it has no machines for.
const noCapacity = "no capacity"

// Types returns the machine types with their current prices. If the error is nil, there is at least one.
func (c *Client) Types(ctx context.Context) ([]wire.MachineType, error) {
	const operation = "list machine types"
	var types wire.MachineTypes
	status, err := c.call(ctx, http.MethodGet, wire.PathMachineTypes, nil, httpjson.IfOK(&types))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s: %w", operation, err)
	case status != http.StatusOK:
		return nil, &StatusError{Call: operation, Status: status}
	case len(types.Types) == 0:
		return nil, errors.New(operation + ": the cloud returned none")
	}
	return types.Types, nil
}

// Rent rents machines and returns their names. After any error other than ErrNoCapacity the request may have been
// executed, so the caller must repeat the same request. A repeated request yields the same machines.
func (c *Client) Rent(ctx context.Context, request wire.RentRequest) ([]string, error) {
	const operation = "rent machines"
	var names wire.MachineNames
	var refusal wire.Error
	status, err := c.call(ctx, http.MethodPost, wire.PathMachines, request, func(status int) any {
		switch status {
		case http.StatusOK:
			return &names
		case http.StatusServiceUnavailable:
			return &refusal
		}
		return nil
	})
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s: %w", operation, err)
	case status == http.StatusOK:
		return names.Machines, nil
	case status == http.StatusServiceUnavailable && refusal.Error == noCapacity:
		return nil, ErrNoCapacity
	}
	return nil, &StatusError{Call: operation, Status: status, Reason: refusal.Error}
}

// Delete deletes machines. On success they and everything on them are gone. After an error the request may have been
// executed.
func (c *Client) Delete(ctx context.Context, names []string) error {
	const operation = "delete machines"
	status, err := c.call(ctx, http.MethodPost, wire.PathDelete, wire.MachineNames{Machines: names}, httpjson.IfOK(nil))
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", operation, err)
	case status != http.StatusOK:
		return &StatusError{Call: operation, Status: status}
	}
	return nil
}

// ListPage is one page of the machine list: all machines whose names are greater than After and not greater than
// Last, as they were at one moment. That moment may be earlier than that of the previous page.
type ListPage struct {
	After    string
	Last     string // name of the last machine on the page; empty on the last page, which has no upper bound
	Machines []wire.ListedMachine
}

// List reads the whole list of machines, page by page. The list lags behind the machines that exist: see the
// setting list_lag_s.
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

// listPage reads the page of the list that begins with the first machine whose name is greater than after.
func (c *Client) listPage(ctx context.Context, after string) (page wire.MachinePage, err error) {
	const operation = "list machines"
	query := url.Values{"page": {strconv.Itoa(wire.MaxList)}}
	if after != "" {
		query.Set("after", after)
	}
	status, err := c.call(ctx, http.MethodGet, wire.PathMachines+"?"+query.Encode(), nil, httpjson.IfOK(&page))
	switch {
	case err != nil:
		return page, fmt.Errorf("%s: %w", operation, err)
	case status != http.StatusOK:
		return page, &StatusError{Call: operation, Status: status}
	}
	return page, nil
}
