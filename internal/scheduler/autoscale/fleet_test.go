package autoscale

import (
	"reflect"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/placement"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func input(items ...*placement.PendingJob) Input {
	return Input{
		Now: now, Pending: items, Teams: map[string]*placement.Team{"t": {QuotaCPUs: 100}}, MaxNew: 100, Existing: map[Offering]int{},
		Unavailable: func(Offering) bool { return false },
		Types: []wire.MachineType{
			{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.2, SpotPrice: 0.05, Zones: []string{"a", "b"}},
			{Name: "big", CPUs: 64, MemoryGB: 512, Price: 3, SpotPrice: 1, Zones: []string{"a"}},
		},
	}
}

func item(tasks int, cpus float64, spot, spread bool) *placement.PendingJob {
	return &placement.PendingJob{
		Job:          &wire.Job{ID: "job-1", Team: "t", Priority: wire.PriorityNormal, Tasks: tasks, CPUs: cpus, Spot: spot, Spread: spread},
		WaitingSince: now, Waiting: tasks, Zones: map[string]int{},
	}
}

func TestPlan(t *testing.T) {
	small := func(zone string, spot bool, n int) Purchase { return Purchase{Offering{"small", zone, spot}, n} }
	refuse := func(in Input, o Offering) Input {
		in.Unavailable = func(x Offering) bool { return x == o }
		return in
	}
	booting := input(item(1, 4, true, false))
	booting.Booting = []*placement.Machine{{Name: "n-1", Type: "small", Zone: "a", Spot: true, Free: placement.Resources{CPUs: 4, MemoryGB: 16}}}
	full := input(item(1, 4, true, false))
	full.MaxNew = 0
	limited := input(item(9, 4, true, false))
	limited.Teams["t"].QuotaCPUs = 8
	noSpot := func(thrifty bool) Input {
		it := item(1, 4, true, false)
		it.AwaitSpot = thrifty
		in := input(it)
		in.Unavailable = func(o Offering) bool { return o.Spot }
		return in
	}
	for _, c := range []struct {
		name string
		in   Input
		want []Purchase
	}{
		{"an ordinary machine when spot is refused", noSpot(false), []Purchase{small("a", false, 1)}},
		{"but not while thrift is asked for", noSpot(true), []Purchase{}},
		{"the cheapest kind", input(item(1, 4, true, false)), []Purchase{small("a", true, 1)}},
		{"no spot without leave", input(item(1, 4, false, false)), []Purchase{small("a", false, 1)}},
		{"a large task takes the type that fits", input(item(1, 32, true, false)), []Purchase{{Offering{"big", "a", true}, 1}}},
		{"another zone when refused", refuse(input(item(1, 4, true, false)), Offering{"small", "a", true}), []Purchase{small("b", true, 1)}},
		{"spread over the zones", input(item(2, 4, false, true)), []Purchase{small("a", false, 1), small("b", false, 1)}},
		{"booting machines are counted", booting, []Purchase{}},
		{"never more than may be rented", full, []Purchase{}},
		{"never more than the team's limit allows", limited, []Purchase{small("a", true, 1), small("b", true, 1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Plan(&c.in); !reflect.DeepEqual(got, c.want) {
				t.Errorf("wants %v, want %v", got, c.want)
			}
		})
	}
}

func TestFits(t *testing.T) {
	in := input()
	for _, c := range []struct {
		job  wire.Job
		want bool
	}{
		{wire.Job{CPUs: 64, MemoryGB: 512}, true},
		{wire.Job{CPUs: 65}, false},
		{wire.Job{CPUs: 64, Zone: "b"}, false},
		{wire.Job{CPUs: 4, Zone: "c"}, false},
		{wire.Job{CPUs: 8, Types: []string{"small"}}, false},
		{wire.Job{CPUs: 1, Types: []string{}}, false},
		{wire.Job{CPUs: 1, GPUs: 1}, false},
	} {
		if got := FitsSomeType(&c.job, in.Types); got != c.want {
			t.Errorf("%+v: %v", c.job, got)
		}
	}
}

func TestExpectedFollowsRecentArrivals(t *testing.T) {
	var recent []Arrival
	for i := range 12 { // one every 10 s
		recent = append(recent, Arrival{At: now.Add(time.Duration(i-12) * 10 * time.Second), Job: &wire.Job{ID: "job-1", Team: "t", Class: "c", Tasks: i + 1}})
	}
	recent = append(recent, Arrival{At: now, Job: &wire.Job{ID: "job-2", Team: "t", Class: "patient", Tasks: 50}})
	tasks := func(horizon time.Duration, share float64) (n []int) {
		for _, it := range Forecast(now, recent, horizon, func(class string) float64 {
			if class == "patient" {
				return 0
			}
			return share
		}) {
			n = append(n, it.Waiting)
		}
		return n
	}
	if got := tasks(30*time.Second, 1); !reflect.DeepEqual(got, []int{10, 11, 12}) {
		t.Errorf("within 30 s expects %v, want the shapes of the last three", got)
	}
	if got := tasks(30*time.Second, 0.3); !reflect.DeepEqual(got, []int{12}) {
		t.Errorf("of a third expects %v", got)
	}
	// At scale most arrays find the room of those that end: of nine expected
	// room is kept for three.
	many := make([]Arrival, 0, 36)
	for i := range 36 {
		many = append(many, Arrival{At: now.Add(time.Duration(i-36) * 10 * time.Second / 3), Job: &wire.Job{ID: "job-1", Team: "t", Class: "c", Kind: wire.KindArray, Tasks: 1}})
	}
	if got := Forecast(now, many, 30*time.Second, func(string) float64 { return 1 }); len(got) != 3 {
		t.Errorf("keeps room for %d arrays", len(got))
	}
	old := []Arrival{{At: now.Add(-time.Hour), Job: recent[0].Job}}
	if got := Forecast(now, old, time.Minute, func(string) float64 { return 1 }); len(got) != 0 {
		t.Errorf("expects %v of an hour ago", got)
	}
}
