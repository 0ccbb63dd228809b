// Package workerlease lets a member renew workers' leases on behalf of the leader
// while the workers cannot reach it. Such an answer to a heartbeat holds no commands and bears the
// worker's own fencing token. There are two grounds for it:
//
//   - FollowerLeases: the machine's name is in a record of the state service
//     before its first answer. It serves two zones that are apart, and the time
//     between two leaders.
//   - ZoneLease: the member holds a lease on the workers of its zone, which it
//     acquired before it was cut off from all else.
//
// A leader that wants to conclude from the expiry of a worker's lease that the
// worker's tasks are gone first reads the records of both kinds with ReadAll,
// and asks the members that hold zone leases. docs/design.md argues why it then
// concludes nothing while such an answer may be in force.
package workerlease

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// prefixRenewed is the prefix of the records of machines whose leases followers renew, and of zone leases.
const prefixRenewed = "keep/"

// renewedRecord names machines, or holds a zone lease.
type renewedRecord struct {
	Machines []string `json:"machines,omitempty"`
	ZoneLeaseRecord
}

// ZoneLeaseRecord is the record of a zone lease; both fields are empty in a record of machines.
type ZoneLeaseRecord struct {
	Zone   string `json:"zone,omitempty"`
	Member string `json:"member,omitempty"`
}

// ReadAll reads which machines' leases followers renew, and the zone leases whose records stand.
func ReadAll(ctx context.Context, store *statestore.Client) (renewed map[string]bool, zones []ZoneLeaseRecord, err error) {
	renewed = map[string]bool{}
	_, err = store.ListAll(ctx, prefixRenewed, func(items []wire.Item) error {
		for _, item := range items {
			var r renewedRecord
			if err := json.Unmarshal(item.Value, &r); err != nil {
				return fmt.Errorf("record %s: %w", item.Key, err)
			}
			for _, n := range r.Machines {
				renewed[n] = true
			}
			if r.Zone != "" {
				zones = append(zones, r.ZoneLeaseRecord)
			}
		}
		return nil
	})
	return renewed, zones, err
}

// WithDrift is a time that is over on every clock when it is over on ours.
func WithDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + tuning.ClockDrift))
}

// expiredAfter is how long after an answer a worker's lease has expired on every clock.
func expiredAfter(lease time.Duration) time.Duration { return WithDrift(lease) + tuning.LeaseMargin }

// renewalReportedFor is for how long after an answer the record, or the member's word, must tell of it. Whoever asks began
// at most RenewedQueryTime before: each source tells of the lease before that beginning. When each told of the lease before it was
// asked, two members that answered a machine one after the other both denied it, and its tasks counted as gone while they ran.
func renewalReportedFor(lease time.Duration) time.Duration {
	return expiredAfter(lease) + tuning.RenewedQueryTime
}
