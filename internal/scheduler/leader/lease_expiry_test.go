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

// Guards against tasks of a partitioned zone which are started elsewhere while
// the member there renews their workers' leases; and against machines that stay
// occupied for ever because some member may have answered them.
func TestTasksOfPartitionedZoneLiveUntilItsMembersDenyRenewal(t *testing.T) {
	const inA, inB = `{"zone":"a","member":"ma"}`, `{"zone":"b","member":"mb"}`
	for _, c := range []struct {
		name       string
		zoneLeases []string
		says       map[string][]string // by member: what it renewed; one that is not there is unreachable
		kept       string              // machines whose tasks live on: n-0 and n-1 are in a, n-2 and n-3 in b
	}{
		{"there is no zone lease", nil, nil, "[]"},
		{"both zones are out of reach", []string{inA, inB}, nil, "[n-0 n-1 n-2 n-3]"},
		{"one zone is out of reach", []string{inA, inB}, map[string][]string{"ma": nil}, "[n-2 n-3]"},
		{"all members deny", []string{inA, inB}, map[string][]string{"ma": nil, "mb": nil}, "[]"},
		{"one machine was answered", []string{inA, inB}, map[string][]string{"ma": {"n-1"}, "mb": nil}, "[n-1]"},
		{"of two members of a zone one is out of reach", []string{inB, `{"zone":"b","member":"mc"}`}, map[string][]string{"mb": nil}, "[n-2 n-3]"},
		{"a record names a machine", []string{inA, `{"machines":["n-3"]}`}, map[string][]string{"ma": nil}, "[n-3]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, advance := twoZones(t, 2, c.zoneLeases...)
			l.env.MayHaveRenewed = func(_ context.Context, member string, names []string) ([]string, error) {
				kept, ok := c.says[member]
				if !ok {
					return nil, errors.New("the member cannot be reached")
				}
				return kept, nil
			}
			advance(l.env.workerLease() + time.Second)
			l.concludeExpired()
			got := []string{}
			for i := range 4 {
				if name := fmt.Sprintf("n-%d", i); len(l.machines.Machines[name].Allocations) > 0 {
					got = append(got, name)
				}
			}
			if fmt.Sprint(got) != c.kept {
				t.Errorf("tasks live on on %v, want %s", got, c.kept)
			}
		})
	}
}

// Guards against conclusions from answers of different times: a query that took longer than those who were asked remember counts for nothing.
func TestSlowRenewalQueryConcludesNothing(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		gone bool
	}{{tuning.RenewedQueryTime, true}, {tuning.RenewedQueryTime + time.Millisecond, false}} {
		l, advance := twoZones(t, 1, `{"zone":"a","member":"ma"}`)
		l.env.MayHaveRenewed = func(context.Context, string, []string) ([]string, error) {
			advance(c.took)
			return nil, nil
		}
		advance(l.env.workerLease() + time.Second)
		l.concludeExpired()
		if gone := len(l.machines.Machines["n-0"].Allocations) == 0; gone != c.gone {
			t.Errorf("after a reading of %v: gone %v", c.took, gone)
		}
		l.env.MayHaveRenewed = func(context.Context, string, []string) ([]string, error) { return nil, nil }
		if l.concludeExpired(); len(l.machines.Machines["n-0"].Allocations) != 0 {
			t.Error("not found gone by the next reading")
		}
	}
}

// Guards against tasks of a partitioned zone that are started elsewhere since the follower's record of its machines, or the question
// on them, does not hold them all.
func TestAllMachinesOfACutZoneAreKept(t *testing.T) {
	const each = maxSizedMachines / 2
	l, advance := twoZones(t, each, `{"zone":"b","member":"mb"}`)
	var names []string
	for i := each; i < 2*each; i++ {
		names = append(names, fmt.Sprintf("n-%d", i))
	}
	recorded, answered := names[:each/2], names[each/2:]
	for page := range slices.Chunk(recorded, 500) {
		value := wire.EncodeRecord(map[string][]string{"machines": page})
		if _, err := l.store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: "keep/mb/1/" + page[0], Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	l.env.MayHaveRenewed = func(_ context.Context, member string, asked []string) ([]string, error) {
		if member != "mb" || len(asked) != each {
			t.Errorf("%s is asked about %d machines", member, len(asked))
		}
		return answered, nil
	}
	advance(l.env.workerLease() + time.Second)
	l.concludeExpired()
	kept := map[string]int{}
	for _, m := range l.machines.Machines {
		kept[m.Zone] += len(m.Allocations)
	}
	if kept["a"] != 0 || kept["b"] != each {
		t.Errorf("%d tasks of the zone that nobody answers count as running, and %d of %d of the one that is cut", kept["a"], kept["b"], each)
	}
}
