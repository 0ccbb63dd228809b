package machines

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"poppypass/internal/platform/wire"
)

// page returns a page of the cloud's list. Its arguments alternate between names and ages in seconds.
func page(namesAndAges ...any) []wire.ListedMachine {
	var out []wire.ListedMachine
	for i := 0; i < len(namesAndAges); i += 2 {
		out = append(out, wire.ListedMachine{Name: namesAndAges[i].(string), AgeS: float64(namesAndAges[i+1].(int))})
	}
	return out
}

// Guards against tasks that wait for the lease expiry of a machine that the cloud took back without notice. Guards
// also against concluding that a machine is gone from a page that is out of date or covers other names.
func TestMachineMissingBeforeALaterOneInTheListIsProvenGone(t *testing.T) {
	for _, c := range []struct {
		name        string
		after, last string
		listed      []wire.ListedMachine
		want        []string
	}{
		{"a later one is listed", "", "", page("n-1", 20, "n-3", 15), []string{"n-2"}},
		{"all are listed", "", "", page("n-1", 20, "n-2", 18, "n-3", 15), nil},
		{"no later one is listed: the list may be out of date", "", "", page("n-1", 20), nil},
		{"a later one is listed that may have been created at the same time", "", "", page("n-1", 20, "n-3", 1), nil},
		{"a page that ends before it", "", "n-1", page("n-1", 20), nil},
		{"a page that begins after it", "n-2", "", page("n-3", 15), nil},
		{"a page that covers its part of the list", "n-1", "n-3", page("n-3", 15), []string{"n-2"}},
		{"a name of another length proves no order", "", "", page("n-10", 20), nil},
		{"an empty list", "", "", nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(1, 40)
			for _, name := range []string{"n-1", "n-2", "n-3"} {
				r.Register(RentedMachine{Name: name, Type: "small", Zone: "a", Spot: true, RentedAt: t0}, t0)
			}
			if got := r.ProvenGone(c.after, c.last, c.listed); !reflect.DeepEqual(got, c.want) {
				t.Errorf("machines proven gone: %v, want %v", got, c.want)
			}
		})
	}
}

// laggingCloud is a cloud whose machines are created and end, and whose list shows the state at some earlier time.
// Times are in seconds.
type laggingCloud struct {
	rnd      *rand.Rand
	now      float64
	machines map[string]*cloudMachine
}

type cloudMachine struct{ createdAt, goneAt float64 }

// rent creates up to three machines, half of which end within a minute, and returns their names.
func (c *laggingCloud) rent() []string {
	var names []string
	for range c.rnd.IntN(4) {
		m, name := &cloudMachine{createdAt: c.now, goneAt: 1e9}, fmt.Sprintf("n-%04d", len(c.machines))
		if c.rnd.IntN(2) == 0 {
			m.goneAt = c.now + 60*c.rnd.Float64()
		}
		c.machines[name] = m
		names = append(names, name)
	}
	return names
}

// page returns up to five machines after a name, as they were at a random time up to lag seconds ago, and the last
// name that the page covers; empty: it covers the rest of the list.
func (c *laggingCloud) page(after string, lag float64) (listed []wire.ListedMachine, last string) {
	at := c.now - lag*c.rnd.Float64()
	var names []string
	for name, m := range c.machines {
		if name > after && m.createdAt <= at && at < m.goneAt {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if len(names) > 5 {
		names = names[:5]
		last = names[4]
	}
	for _, name := range names {
		age := float64(int(10*(at-c.machines[name].createdAt))) / 10
		listed = append(listed, wire.ListedMachine{Name: name, AgeS: age})
	}
	return listed, last
}

// Guards against a machine that counts as gone while it exists, and against one that ended and never counts as gone.
// The pages of random clouds lag independently of each other. A machine that ended must count as gone soon after a
// later one is listed, also under a new leader that knows all machines and has seen no list before.
func TestExistingMachineIsNeverProvenGoneByLaggingLists(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		c := &laggingCloud{rnd: rnd, machines: map[string]*cloudMachine{}}
		r, provenGone := New(1, 40), map[string]bool{}
		for ; c.now < 200; c.now += 1 + 4*rnd.Float64() {
			for _, name := range c.rent() {
				r.Register(RentedMachine{Name: name, Type: "small", Zone: "a", Spot: true, RentedAt: t0}, t0)
			}
			if rnd.IntN(20) == 0 { // failover
				r = New(2, 40)
				for name := range c.machines {
					r.Register(RentedMachine{Name: name, Type: "small", Zone: "a", Spot: true, RentedAt: t0}, t0)
				}
			}
			lag := 20.0
			if rnd.IntN(10) == 0 {
				lag = 150
			}
			for after, last := "", "-"; last != ""; after = last {
				var listed []wire.ListedMachine
				listed, last = c.page(after, lag)
				for _, name := range r.ProvenGone(after, last, listed) {
					if c.now < c.machines[name].goneAt {
						t.Fatalf("seed %d: %s counts as gone at %.1f s, but ends at %.1f s", seed, name, c.now, c.machines[name].goneAt)
					}
					provenGone[name] = true
					r.Forget(name)
				}
			}
		}
		for name, m := range c.machines {
			if m.goneAt < 120 && !provenGone[name] {
				t.Errorf("seed %d: %s ended at %.1f s and never counted as gone", seed, name, m.goneAt)
			}
		}
	}
}
