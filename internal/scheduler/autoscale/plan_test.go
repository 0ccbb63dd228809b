package autoscale

import (
	"reflect"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/placement"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func input(pending ...*placement.PendingJob) Input {
	return Input{
		Now: now, Pending: pending, Teams: map[string]*placement.Team{"t": {QuotaCPUs: 100}}, MaxNew: 100, ExistingCounts: map[Offering]int{},
		Unavailable: func(Offering) bool { return false },
		Types: []wire.MachineType{
			{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.2, SpotPrice: 0.05, Zones: []string{"a", "b"}},
			{Name: "big", CPUs: 64, MemoryGB: 512, Price: 3, SpotPrice: 1, Zones: []string{"a"}},
		},
	}
}

func pendingJob(tasks int, cpus float64, spot, spread bool) *placement.PendingJob {
	return &placement.PendingJob{
		Job:          &wire.Job{ID: "job-1", Team: "t", Priority: wire.PriorityNormal, Tasks: tasks, CPUs: cpus, Spot: spot, Spread: spread},
		WaitingSince: now, Waiting: tasks, Zones: map[string]int{},
	}
}

func TestPlan(t *testing.T) {
	small := func(zone string, spot bool, n int) Rental { return Rental{Offering{"small", zone, spot}, n} }
	unavailable := func(in Input, o Offering) Input {
		in.Unavailable = func(other Offering) bool { return other == o }
		return in
	}
	booting := input(pendingJob(1, 4, true, false))
	booting.Booting = []*placement.Machine{{Name: "n-1", Type: "small", Zone: "a", Spot: true, Free: placement.Resources{CPUs: 4, MemoryGB: 16}}}
	full := input(pendingJob(1, 4, true, false))
	full.MaxNew = 0
	limited := input(pendingJob(9, 4, true, false))
	limited.Teams["t"].QuotaCPUs = 8
	noSpot := func(await bool) Input {
		p := pendingJob(1, 4, true, false)
		p.AwaitSpot = await
		in := input(p)
		in.Unavailable = func(o Offering) bool { return o.Spot }
		return in
	}
	for _, c := range []struct {
		name string
		in   Input
		want []Rental
	}{
		{"an on-demand machine when spot is unavailable", noSpot(false), []Rental{small("a", false, 1)}},
		{"no on-demand machine for a job that awaits spot", noSpot(true), []Rental{}},
		{"the cheapest offering", input(pendingJob(1, 4, true, false)), []Rental{small("a", true, 1)}},
		{"no spot for a job that does not allow it", input(pendingJob(1, 4, false, false)), []Rental{small("a", false, 1)}},
		{"a type that is large enough for the task", input(pendingJob(1, 32, true, false)), []Rental{{Offering{"big", "a", true}, 1}}},
		{"another zone when the cheapest offering is unavailable", unavailable(input(pendingJob(1, 4, true, false)), Offering{"small", "a", true}), []Rental{small("b", true, 1)}},
		{"one zone each for tasks that are spread", input(pendingJob(2, 4, false, true)), []Rental{small("a", false, 1), small("b", false, 1)}},
		{"nothing for a task that fits on a booting machine", booting, []Rental{}},
		{"nothing when the limit on machines is reached", full, []Rental{}},
		{"no more than the team's quota allows", limited, []Rental{small("a", true, 1), small("b", true, 1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Plan(&c.in); !reflect.DeepEqual(got, c.want) {
				t.Errorf("plan is %v, want %v", got, c.want)
			}
		})
	}
}

func TestFitsSomeType(t *testing.T) {
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
			t.Errorf("job %+v fits some type: %v, want the opposite", c.job, got)
		}
	}
}
