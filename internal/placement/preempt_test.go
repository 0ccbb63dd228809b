package placement

import (
	"testing"
	"time"

	"poppypass/internal/wire"
)

func TestPreempt(t *testing.T) {
	other := func(j *wire.Job) { j.Team = "other" }
	victim := func(p wire.Priority, team string, cpus, cost float64, name string) Victim {
		return Victim{Job: &wire.Job{Team: team, Priority: p, CPUs: cpus}, Cost: cost, Ref: name}
	}
	for _, c := range []struct {
		name    string
		item    *Item
		victims []Victim
		used    float64 // by team "other", whose guarantee is 8
		want    string
	}{
		{"the least work lost makes room for a higher priority", item("a", wire.PriorityHigh, time.Second, 1, 4),
			[]Victim{victim(wire.PriorityLow, "t", 4, 20, "x"), victim(wire.PriorityLow, "t", 4, 5, "y")}, 0, "y"},
		{"not for the same priority", item("a", wire.PriorityHigh, time.Second, 1, 4),
			[]Victim{victim(wire.PriorityHigh, "other", 4, 0, "x")}, 8, ""},
		{"what another team borrows is given back", item("a", wire.PriorityLow, time.Second, 1, 4),
			[]Victim{victim(wire.PriorityHigh, "other", 4, 0, "x")}, 9, "x"},
		{"no more than is needed for the guarantee", item("a", wire.PriorityLow, time.Second, 3, 4),
			[]Victim{victim(wire.PriorityHigh, "other", 4, 0, "x"), victim(wire.PriorityHigh, "other", 4, 1, "y")}, 12, "x"},
		{"not beyond the own guarantee", item("a", wire.PriorityHigh, time.Second, 1, 9),
			[]Victim{victim(wire.PriorityLow, "t", 9, 0, "x")}, 0, ""},
		{"nothing is stopped when it would not be enough", item("a", wire.PriorityHigh, time.Second, 1, 8),
			[]Victim{victim(wire.PriorityLow, "t", 4, 0, "x")}, 0, ""},
		{"several tasks make room for a large one", item("a", wire.PriorityHigh, time.Second, 1, 8, other),
			[]Victim{victim(wire.PriorityLow, "t", 4, 1, "x"), victim(wire.PriorityLow, "t", 4, 2, "y")}, 0, "xy"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := machine("m", "a", false, 0)
			m.Victims = c.victims
			teams := map[string]*Team{"t": {CPUsMin: 8, CPUsMax: 100}, "other": {CPUsMin: 8, CPUsMax: 100, CPUs: c.used}}
			got := ""
			for _, v := range Preempt([]*Item{c.item}, []*Machine{m}, teams) {
				got += v.Ref.(string)
			}
			if got != c.want {
				t.Errorf("stops %q, want %q", got, c.want)
			}
		})
	}
}
