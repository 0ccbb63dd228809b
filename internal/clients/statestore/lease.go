package statestore

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Calls for leases are not held up by the client's own limits: the right to act depends on
// them.

// GrantLease asks for a lease, which expires after ttl unless it is renewed.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var g wire.LeaseGrant
	status, err := c.call(ctx, request{
		timeout: tuning.LeaseCallTimeout, method: http.MethodPost, path: wire.PathLeases,
		body: wire.LeaseRequest{TTLMS: ttl.Milliseconds()}, decode: httpjson.IfOK(&g),
	})
	if err == nil && status != http.StatusOK {
		err = unexpectedStatus(status)
	}
	return g.Lease, err
}

// RenewLease gives a lease its full time again. It returns ErrLeaseNotFound once the lease
// has expired.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	status, err := c.call(ctx, request{
		timeout: tuning.LeaseCallTimeout, method: http.MethodPost, path: leasePath(lease) + "/" + wire.EndRenew,
		decode: httpjson.IfOK(nil),
	})
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

// RevokeLease ends a lease at once. It is not an error that the lease has ended before.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	_, err := c.call(ctx, request{
		timeout: tuning.LeaseCallTimeout, method: http.MethodDelete, path: leasePath(lease), decode: httpjson.IfOK(nil),
	})
	return err
}

func leasePath(lease uint64) string {
	return wire.PathLeases + "/" + strconv.FormatUint(lease, 10)
}
