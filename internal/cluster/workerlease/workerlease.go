// Package workerlease lets a member renew workers' leases on behalf of the leader while the workers cannot reach
// the leader. The reply that renews such a lease contains no commands and repeats the worker's own fencing token. A
// member may send it on one of two grounds:
//
//   - FollowerLeases: the state service stores the machine's name in a record before the first reply to the machine.
//     This serves two zones that are partitioned from each other, and the time between two leaders.
//   - ZoneLease: the member holds a lease on the workers of its zone, which it acquired before it was cut off from
//     everything else.
//
// Before a leader concludes from the expiry of a worker's lease that the worker's tasks have ended, it reads the
// records of both kinds with ReadAll and asks the members that hold zone leases. docs/design.md argues why the
// leader then concludes nothing while a lease that such a reply renewed may still last.
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

// prefixRenewed is the key prefix of both kinds of records: machines whose leases followers renew, and zone leases.
const prefixRenewed = "keep/"

// renewalRecord is a stored record. It either names machines or describes a zone lease.
type renewalRecord struct {
	Machines []string `json:"machines,omitempty"`
	ZoneLeaseRecord
}

// ZoneLeaseRecord is the record of a zone lease; both fields are empty in a record of machines.
type ZoneLeaseRecord struct {
	Zone   string `json:"zone,omitempty"`
	Member string `json:"member,omitempty"`
}

// ReadAll returns the machines whose leases followers renew, and the zone leases whose records are still stored.
func ReadAll(ctx context.Context, store *statestore.Client) (renewed map[string]bool, zones []ZoneLeaseRecord, err error) {
	renewed = map[string]bool{}
	_, err = store.ListAll(ctx, prefixRenewed, func(items []wire.Item) error {
		for _, item := range items {
			var record renewalRecord
			if err := json.Unmarshal(item.Value, &record); err != nil {
				return fmt.Errorf("decoding record %s: %w", item.Key, err)
			}
			for _, machine := range record.Machines {
				renewed[machine] = true
			}
			if record.Zone != "" {
				zones = append(zones, record.ZoneLeaseRecord)
			}
		}
		return nil
	})
	return renewed, zones, err
}

// WithDrift lengthens d by the largest drift between two clocks: once the result has elapsed on this clock, d has
// elapsed on every clock.
func WithDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + tuning.ClockDriftShare))
}

// expiredAfter returns how long to wait after a reply until the worker's lease has expired on every clock.
func expiredAfter(lease time.Duration) time.Duration { return WithDrift(lease) + tuning.LeaseMargin }

// renewalReportedFor returns for how long after a reply the record, or the member itself, must report that reply. A
// source is asked at most tuning.RenewedQueryTimeout after the beginning of the leader's query. So each source reports
// every reply that was sent after a common time: the beginning of the query less the duration of a worker lease. If
// each source instead subtracted that duration from the time at which the source itself is asked, two members that
// answer a machine one after the other could both deny having answered it, and the machine's tasks would count as ended
// while they run.
func renewalReportedFor(lease time.Duration) time.Duration {
	return expiredAfter(lease) + tuning.RenewedQueryTimeout
}
