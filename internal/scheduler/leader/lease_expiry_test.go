package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against starting tasks of a partitioned zone elsewhere while the member in that zone renews their workers'
// leases. Also guards against machines that stay occupied for ever because some member may have answered their
// heartbeats.
func TestTasksOfPartitionedZoneLiveUntilItsMembersDenyRenewal(t *testing.T) {
	const inA, inB = `{"zone":"a","member":"ma"}`, `{"zone":"b","member":"mb"}`
	for _, c := range []struct {
		name         string
		zoneLeases   []string
		renewedBy    map[string][]string // by member: the machines whose leases it renewed; a member without an entry is unreachable
		wantOccupied string              // machines whose tasks still count as running: n-0 and n-1 are in zone a, n-2 and n-3 in zone b
	}{
		{"there is no zone lease", nil, nil, "[]"},
		{"the members of both zones are unreachable", []string{inA, inB}, nil, "[n-0 n-1 n-2 n-3]"},
		{"the member of one zone is unreachable", []string{inA, inB}, map[string][]string{"ma": nil}, "[n-2 n-3]"},
		{"all members deny renewals", []string{inA, inB}, map[string][]string{"ma": nil, "mb": nil}, "[]"},
		{"one member renewed the lease of one machine", []string{inA, inB}, map[string][]string{"ma": {"n-1"}, "mb": nil}, "[n-1]"},
		{"one of two members of a zone is unreachable", []string{inB, `{"zone":"b","member":"mc"}`}, map[string][]string{"mb": nil}, "[n-2 n-3]"},
		{"a record in the key-value store names a machine", []string{inA, `{"machines":["n-3"]}`}, map[string][]string{"ma": nil}, "[n-3]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, advance := newTwoZoneLoop(t, 2, c.zoneLeases...)
			l.env.MayHaveRenewed = func(_ context.Context, member string, names []string) ([]string, error) {
				renewed, ok := c.renewedBy[member]
				if !ok {
					return nil, errors.New("the member cannot be reached")
				}
				return renewed, nil
			}
			advance(l.env.workerLease() + time.Second)
			l.expireLeasesNow()
			got := []string{}
			for i := range 4 {
				if name := fmt.Sprintf("n-%d", i); len(l.machines.Machines[name].Allocations) > 0 {
					got = append(got, name)
				}
			}
			if fmt.Sprint(got) != c.wantOccupied {
				t.Errorf("tasks count as running on %v, want %s", got, c.wantOccupied)
			}
		})
	}
}

// Guards against ending incarnations although the answers to a query do not all cover the whole duration of a lease before
// the query began. A query that took longer than tuning.RenewedQueryTimeout has no effect, since the records and the
// members report renewals only for the duration of a lease plus that timeout.
func TestSlowRenewalQueryEndsNoLease(t *testing.T) {
	for _, c := range []struct {
		took  time.Duration
		ended bool
	}{{tuning.RenewedQueryTimeout, true}, {tuning.RenewedQueryTimeout + time.Millisecond, false}} {
		l, advance := newTwoZoneLoop(t, 1, `{"zone":"a","member":"ma"}`)
		l.env.MayHaveRenewed = func(context.Context, string, []string) ([]string, error) {
			advance(c.took)
			return nil, nil
		}
		advance(l.env.workerLease() + time.Second)
		l.expireLeasesNow()
		if ended := len(l.machines.Machines["n-0"].Allocations) == 0; ended != c.ended {
			t.Errorf("after a query that took %v, the task counts as ended: %v", c.took, ended)
		}
		l.env.MayHaveRenewed = func(context.Context, string, []string) ([]string, error) { return nil, nil }
		if l.expireLeasesNow(); len(l.machines.Machines["n-0"].Allocations) != 0 {
			t.Error("the next query does not end the task")
		}
	}
}

// Guards against starting tasks of a partitioned zone elsewhere because the follower's records of the machines
// whose leases it renewed, or the query about them, do not cover all machines of the zone.
func TestAllMachinesOfPartitionedZoneStayOccupied(t *testing.T) {
	const perZone = maxDeploymentMachines / 2
	l, advance := newTwoZoneLoop(t, perZone, `{"zone":"b","member":"mb"}`)
	var names []string
	for i := perZone; i < 2*perZone; i++ {
		names = append(names, fmt.Sprintf("n-%d", i))
	}
	recorded, renewed := names[:perZone/2], names[perZone/2:]
	for page := range slices.Chunk(recorded, 500) {
		value := wire.EncodeRecord(map[string][]string{"machines": page})
		if _, err := l.store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: "keep/mb/1/" + page[0], Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	l.env.MayHaveRenewed = func(_ context.Context, member string, asked []string) ([]string, error) {
		if member != "mb" || len(asked) != perZone {
			t.Errorf("member %s is asked about %d machines, want mb and all machines of its zone", member, len(asked))
		}
		return renewed, nil
	}
	advance(l.env.workerLease() + time.Second)
	l.expireLeasesNow()
	occupied := map[string]int{}
	for _, m := range l.machines.Machines {
		occupied[m.Zone] += len(m.Allocations)
	}
	if occupied["a"] != 0 || occupied["b"] != perZone {
		t.Errorf("%d tasks count as running in the zone whose workers nobody answers, and %d of %d in the partitioned zone", occupied["a"], occupied["b"], perZone)
	}
}
