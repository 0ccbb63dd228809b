package machines

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"poppypass/internal/platform/wire"
)

func page(machines ...any) []wire.ListedMachine {
	var out []wire.ListedMachine
	for i := 0; i < len(machines); i += 2 {
		out = append(out, wire.ListedMachine{Name: machines[i].(string), AgeS: float64(machines[i+1].(int))})
	}
	return out
}

// Guards against tasks that wait for the leases of machines that the cloud took without a word, and
// against concluding that from a list that is too old, or covers other names.
func TestMachineThatTheListPassesOverIsProvenGone(t *testing.T) {
	for _, c := range []struct {
		name        string
		after, last string
		listed      []wire.ListedMachine
		want        []string
	}{
		{"a later one is listed", "", "", page("n-1", 20, "n-3", 15), []string{"n-2"}},
		{"all are listed", "", "", page("n-1", 20, "n-2", 18, "n-3", 15), nil},
		{"no later one is listed: the list may be late", "", "", page("n-1", 20), nil},
		{"a later one is listed that may be of the same moment", "", "", page("n-1", 20, "n-3", 1), nil},
		{"an answer that ends before it", "", "n-1", page("n-1", 20), nil},
		{"an answer that begins behind it", "n-2", "", page("n-3", 15), nil},
		{"an answer for its part of the list", "n-1", "n-3", page("n-3", 15), []string{"n-2"}},
		{"names of another length are not in that order", "", "", page("n-10", 20), nil},
		{"an empty list", "", "", nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(1, 40)
			for _, name := range []string{"n-1", "n-2", "n-3"} {
				r.Register(name, "small", "a", true, t0, t0)
			}
			if got := r.ProvenGone(c.after, c.last, c.listed); !reflect.DeepEqual(got, c.want) {
				t.Errorf("gone are %v, want %v", got, c.want)
			}
		})
	}
}

// Random clouds whose lists lag, each page on its own and by any time: no machine counts as gone while it is
// there, and each that goes does before long once a later one is listed. A new leader that knows all of
// them, and has seen no list before, finds the same.
func TestExistingMachineIsNeverProvenGoneByLaggingLists(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		type machine struct{ born, ends float64 }
		machines := map[string]*machine{}
		r, found := New(1, 40), map[string]bool{}
		for now := 0.0; now < 200; now += 1 + 4*rnd.Float64() {
			for range rnd.IntN(4) {
				m, name := &machine{born: now, ends: 1e9}, fmt.Sprintf("n-%04d", len(machines))
				if rnd.IntN(2) == 0 {
					m.ends = now + 60*rnd.Float64()
				}
				machines[name] = m
				r.Register(name, "small", "a", true, t0, t0)
			}
			if rnd.IntN(20) == 0 { // failover
				r = New(2, 40)
				for name := range machines {
					r.Register(name, "small", "a", true, t0, t0)
				}
			}
			late := 20.0
			if rnd.IntN(10) == 0 {
				late = 150
			}
			for after := ""; ; {
				at := now - late*rnd.Float64() // what this page describes
				var names []string
				for n, m := range machines {
					if n > after && m.born <= at && at < m.ends {
						names = append(names, n)
					}
				}
				slices.Sort(names)
				last := ""
				if len(names) > 5 {
					names = names[:5]
					last = names[4]
				}
				var p []wire.ListedMachine
				for _, n := range names {
					p = append(p, wire.ListedMachine{Name: n, AgeS: float64(int(10*(at-machines[n].born))) / 10})
				}
				for _, n := range r.ProvenGone(after, last, p) {
					if now < machines[n].ends {
						t.Fatalf("seed %d: %s counts as gone at %.1f, ends at %.1f", seed, n, now, machines[n].ends)
					}
					found[n] = true
					r.Forget(n)
				}
				if last == "" {
					break
				}
				after = last
			}
		}
		for n, m := range machines {
			if m.ends < 120 && !found[n] {
				t.Errorf("seed %d: %s ended at %.1f and never counted as gone", seed, n, m.ends)
			}
		}
	}
}
