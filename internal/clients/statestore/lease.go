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

// Calls that concern leases bypass the client's own rate limits: a delayed renewal would let the lease expire, and its
// holder would lose the right to act.

// GrantLease creates a lease and returns its ID. The lease expires after ttl unless it is renewed.
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

// RenewLease extends a lease to its full TTL from now. It returns ErrLeaseNotFound if the lease has expired or was
// revoked.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	status, err := c.call(ctx, request{
		timeout: tuning.LeaseCallTimeout, method: http.MethodPost, path: leasePath(lease) + "/" + wire.PathEndRenew,
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

// RevokeLease ends a lease at once. A lease that has already ended is not an error.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	_, err := c.call(ctx, request{
		timeout: tuning.LeaseCallTimeout, method: http.MethodDelete, path: leasePath(lease), decode: httpjson.IfOK(nil),
	})
	return err
}

func leasePath(lease uint64) string {
	return wire.PathLeases + "/" + strconv.FormatUint(lease, 10)
}
