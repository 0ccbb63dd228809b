package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func machine(name, zone string, spot bool, cpus float64) *Machine {
	r := Resources{CPUs: cpus, MemoryGB: 100}
	return &Machine{Name: name, Type: "g8", Zone: zone, Spot: spot, Total: Resources{CPUs: 16, MemoryGB: 100}, Free: r}
}

func item(id string, p wire.Priority, waited time.Duration, tasks int, cpus float64, opts ...func(*wire.Job)) *PendingJob {
	j := &wire.Job{ID: id, Team: "t", Priority: p, Tasks: tasks, CPUs: cpus, Spot: true}
	for _, o := range opts {
		o(j)
	}
	return &PendingJob{Job: j, WaitingSince: now.Add(-waited), Waiting: tasks, Zones: map[string]int{}}
}

func run(items []*PendingJob, machines []*Machine, limit float64) string {
	var b strings.Builder
	for _, p := range Schedule(now, items, machines, map[string]*Team{"t": {QuotaCPUs: limit}}) {
		fmt.Fprintf(&b, "%s:%s ", p.Pending.Job.ID, p.Machine.Name)
	}
	return strings.TrimSpace(b.String())
}

func TestPass(t *testing.T) {
	ordinary := func(j *wire.Job) { j.Spot = false }
	spread := func(j *wire.Job) { j.Spread, j.Spot = true, false }
	oneZone := func(j *wire.Job) { j.OneZone = true }
	inZone := func(z string) func(*wire.Job) { return func(j *wire.Job) { j.Zone = z } }
	ofType := func(ts ...string) func(*wire.Job) { return func(j *wire.Job) { j.Types = ts } }
	type ms = []*Machine
	for _, c := range []struct {
		name     string
		items    []*PendingJob
		machines ms
		limit    float64
		want     string
	}{
		{"priority goes before waiting",
			[]*PendingJob{item("b", wire.PriorityNormal, 9*time.Second, 1, 4), item("a", wire.PriorityHigh, 0, 1, 4)},
			ms{machine("m", "a", false, 4)}, 100, "a:m"},
		{"the longest wait goes first",
			[]*PendingJob{item("a", wire.PriorityNormal, time.Second, 1, 4), item("b", wire.PriorityNormal, 2*time.Second, 1, 4)},
			ms{machine("m", "a", false, 4)}, 100, "b:m"},
		{"past the wait bound a task rises one step",
			[]*PendingJob{item("a", wire.PriorityHigh, 0, 1, 4), item("b", wire.PriorityNormal, tuning.PriorityAgingStep, 1, 4)},
			ms{machine("m", "a", false, 4)}, 100, "b:m"},
		{"most free room wins", []*PendingJob{item("a", wire.PriorityHigh, 0, 1, 4)},
			ms{machine("m", "a", false, 8), machine("n", "a", false, 12)}, 100, "a:n"},
		{"full machines are skipped", []*PendingJob{item("a", wire.PriorityHigh, 0, 2, 4)},
			ms{machine("m", "a", false, 3.9), machine("n", "a", false, 4)}, 100, "a:n"},
		{"never beyond the team's limit", []*PendingJob{item("a", wire.PriorityHigh, 0, 5, 4)},
			ms{machine("m", "a", false, 16)}, 8, "a:m a:m"},
		{"a limit of 0 means none", []*PendingJob{item("a", wire.PriorityHigh, 0, 5, 4)}, ms{machine("m", "a", false, 16)}, 0, ""},
		{"those behind are tried in the same pass",
			[]*PendingJob{item("a", wire.PriorityHigh, 0, 1, 8), item("b", wire.PriorityLow, 0, 1, 4)},
			ms{machine("m", "a", false, 4)}, 100, "b:m"},
		{"a long-waiting head holds its machine against those behind",
			[]*PendingJob{item("a", wire.PriorityHigh, tuning.HeadReservationAfter, 1, 8), item("b", wire.PriorityLow, 0, 2, 4)},
			ms{machine("m", "a", false, 6), machine("n", "a", false, 4)}, 100, "b:n"},
		{"no spot machine without leave", []*PendingJob{item("a", wire.PriorityHigh, 0, 1, 4, ordinary)},
			ms{machine("m", "a", true, 16)}, 100, ""},
		{"spot first for work that may", []*PendingJob{item("a", wire.PriorityHigh, 0, 1, 4)},
			ms{machine("m", "a", false, 16), machine("n", "a", true, 8)}, 100, "a:n"},
		{"at most half, rounded up, in one zone", []*PendingJob{item("a", wire.PriorityHigh, 0, 5, 1, spread)},
			ms{machine("m", "a", false, 16)}, 100, "a:m a:m a:m"},
		{"all tasks in one zone", []*PendingJob{item("a", wire.PriorityHigh, 0, 3, 4, oneZone)},
			ms{machine("m", "a", false, 8), machine("n", "b", false, 4)}, 100, "a:m a:m"},
		{"only the allowed zone", []*PendingJob{item("a", wire.PriorityHigh, 0, 2, 4, inZone("b"))},
			ms{machine("m", "a", false, 16), machine("n", "b", false, 4)}, 100, "a:n"},
		{"only the allowed types", []*PendingJob{item("a", wire.PriorityHigh, 0, 1, 4, ofType("h1"))},
			ms{machine("m", "a", false, 16)}, 100, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := run(c.items, c.machines, c.limit); got != c.want {
				t.Errorf("placed %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a large array that takes every slot of its team's limit as
// its own tasks end, while the team's small jobs wait behind it.
func TestAnArrayThatHadItsFillLetsOthersBegin(t *testing.T) {
	large, small := item("a", wire.PriorityHigh, 9*time.Second, 20, 4), item("b", wire.PriorityHigh, 0, 1, 4)
	large.Started = 2
	if got := run([]*PendingJob{large, small}, []*Machine{machine("m", "a", false, 8)}, 8); got != "b:m a:m" {
		t.Errorf("placed %q", got)
	}
	for started, want := range []string{"a:m", "a:m", "b:m"} { // a quarter of the limit goes by the time waited
		large, small := item("a", wire.PriorityHigh, 9*time.Second, 20, 4), item("b", wire.PriorityHigh, 0, 1, 4)
		large.Started = started
		if got := run([]*PendingJob{large, small}, []*Machine{machine("m", "a", false, 4)}, 32); got != want {
			t.Errorf("after %d tasks: placed %q", started, got)
		}
	}
}

// Guards against a backlog that makes every job late: of arrays that waited as long the
// one with the least work goes first, until the others have waited long for theirs.
func TestTheLongestWaitForItsWorkGoesFirst(t *testing.T) {
	array := func(run float64) func(*wire.Job) {
		return func(j *wire.Job) { j.Kind, j.EstimateS = wire.KindArray, run }
	}
	for _, c := range []struct {
		items []*PendingJob
		want  string
	}{
		{[]*PendingJob{item("a", wire.PriorityNormal, 9*time.Second, 3, 4, array(40)), item("b", wire.PriorityNormal, 8*time.Second, 1, 4, array(40))}, "b:m a:m"},
		{[]*PendingJob{item("a", wire.PriorityNormal, 30*time.Second, 3, 4, array(40)), item("b", wire.PriorityNormal, 8*time.Second, 1, 4, array(40))}, "a:m a:m"},
		{[]*PendingJob{item("a", wire.PriorityNormal, 9*time.Second, 2, 4, array(80)), item("b", wire.PriorityNormal, 8*time.Second, 2, 4, array(40))}, "b:m b:m"},
		{[]*PendingJob{item("a", wire.PriorityNormal, 9*time.Second, 2, 4, array(40)), item("b", wire.PriorityNormal, 0, 1, 4)}, "b:m a:m"},
	} {
		if got := run(c.items, []*Machine{machine("m", "a", false, 8)}, 100); got != c.want {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
}

func TestTheSoonestStartWins(t *testing.T) {
	m, n := machine("m", "a", false, 16), machine("n", "a", false, 4)
	m.FetchS = func(string, float64) float64 { return 7 }
	n.FetchS = func(string, float64) float64 { return 2 }
	n.Price = 3
	prompt, patient := item("a", wire.PriorityHigh, 0, 1, 4), item("a", wire.PriorityHigh, 0, 1, 4)
	prompt.LatencySensitive = true
	if got := run([]*PendingJob{prompt}, []*Machine{m, n}, 100); got != "a:n" {
		t.Errorf("prompt work placed %q", got)
	}
	if got := run([]*PendingJob{patient}, []*Machine{m, n}, 100); got != "a:m" {
		t.Errorf("patient work placed %q", got)
	}
}

func TestZonesOfTasksPlacedBeforeCount(t *testing.T) {
	it := item("a", wire.PriorityHigh, 0, 4, 1, func(j *wire.Job) { j.Spread = true })
	it.Waiting, it.Zones = 2, map[string]int{"a": 2}
	if got := run([]*PendingJob{it}, []*Machine{machine("m", "a", false, 16)}, 100); got != "" {
		t.Errorf("placed %q", got)
	}
}

// Guards against room that was taken back from a team that borrows, and goes
// to the next borrower because it waited longer: on a rough day over a
// thousand tasks were stopped one after the other for the same few.
func TestWhatFitsTheGuaranteeGoesBeforeWhatIsBorrowed(t *testing.T) {
	borrower, owner := item("b", wire.PriorityHigh, 9*time.Second, 3, 4), item("o", wire.PriorityHigh, 0, 3, 4)
	owner.Job.Team = "owner"
	teams := map[string]*Team{"t": {GuaranteedCPUs: 4, QuotaCPUs: 100}, "owner": {GuaranteedCPUs: 8, QuotaCPUs: 100}}
	var got []string
	for _, p := range Schedule(now, []*PendingJob{borrower, owner}, []*Machine{machine("m", "a", false, 16)}, teams) {
		got = append(got, p.Pending.Job.ID)
	}
	if strings.Join(got, " ") != "b o o b" {
		t.Errorf("placed %v", got)
	}
}

// Guards against prompt work that finds every machine full of patient work
// and has to have tasks stopped.
func TestGhostsKeepRoomFromLowerPrioritiesOnly(t *testing.T) {
	ghost := item("g", wire.PriorityHigh, 0, 1, 8)
	ghost.Placeholder, ghost.Job.Team = true, "of no team"
	for p, want := range map[wire.Priority]string{
		wire.PriorityNormal: "a:m a:m", wire.PriorityHigh: "a:m a:m a:m a:m",
	} {
		ghost.Waiting = 1
		if got := run([]*PendingJob{ghost, item("a", p, time.Second, 5, 4)}, []*Machine{machine("m", "a", false, 16)}, 100); got != want {
			t.Errorf("%s work placed %q, want %q", p, got, want)
		}
	}
}

// plain is the pass as it is described, without anything to make it fast: each
// turn looks at all items and all machines.
func plain(items []*PendingJob, machines []*Machine, teams map[string]*Team) (placed []Placement) {
	Sort(items, teams, now)
	held, holds, stuck := false, 0, map[*PendingJob]bool{}
	for level := 4; level >= 0; level-- {
		of := slices.DeleteFunc(slices.Clone(items), func(it *PendingJob) bool { return EffectivePriority(it, teams, now) != level })
		for _, i := range overdueIn(of, 0, len(of), now) {
			it := of[i]
			team, need := teams[it.Job.Team], it.Request()
			if m := best(it, machines, need); m != nil && team.leaves(it) {
				it.take(m, need, team)
				placed = append(placed, Placement{it, m})
				continue
			}
			if team.reservedFor == "" {
				team.reservedFor, team.reserved = it.Job.ID, need
			}
			if team.reservedFor == it.Job.ID && holds < max(1, len(machines)/tuning.StarvationReservationShare) && it.hold(machines, need) {
				holds++
			}
		}
		for _, t := range []turn{guaranteed, borrowing, expected} {
			for _, it := range items {
				for EffectivePriority(it, teams, now) == level && it.Placeholder == (t == expected) && it.Waiting > 0 && !stuck[it] {
					team, need := teams[it.Job.Team], it.Request()
					if it.Placeholder {
						team = &Team{QuotaCPUs: 1e9}
					}
					if !team.leaves(it) || t == guaranteed && !team.within(need) {
						break
					}
					m := best(it, machines, need)
					if m == nil {
						stuck[it] = true
						if !held && !it.Placeholder && now.Sub(it.WaitingSince) >= tuning.HeadReservationAfter {
							held = it.hold(machines, need)
						}
						break
					}
					it.take(m, need, team)
					if !it.Placeholder {
						placed = append(placed, Placement{it, m})
					}
				}
			}
		}
	}
	return placed
}

// best looks at all machines.
func best(it *PendingJob, machines []*Machine, need Resources) (best *Machine) {
	for _, m := range machines {
		if m.Free.Fits(need) && (m.reservedFor == "" || m.reservedFor == it.Job.ID) && it.Allows(m.Type, m.Zone, m.Spot) &&
			(it.Avoid == nil || !it.Avoid(m.Name)) && (best == nil || it.better(m, best)) {
			best = m
		}
	}
	return best
}

// Guards against hundreds of tiny jobs that wait for minutes behind a huge
// array of the same guest: without a cap it never had its fill, and aged past them.
func TestAHugeArrayWithoutACapLetsOthersBegin(t *testing.T) {
	for _, c := range []struct {
		started int
		want    string
	}{{1, "a:m"}, {2, "b:m"}} {
		huge, tiny := item("a", wire.PriorityLow, tuning.PriorityAgingStep, 25000, 4), item("b", wire.PriorityLow, 0, 1, 4)
		huge.Started = c.started
		placed := Schedule(now, []*PendingJob{huge, tiny}, []*Machine{machine("m", "a", false, 4)}, map[string]*Team{"t": {QuotaCPUs: math.Inf(1), FairShareCPUs: 8}})
		if got := placed[0].Pending.Job.ID + ":" + placed[0].Machine.Name; len(placed) != 1 || got != c.want {
			t.Errorf("after %d tasks: placed %s", c.started, got)
		}
	}
}

// Guards against a pass that is fast and decides otherwise.
func TestThePassDecidesLikeThePlainOne(t *testing.T) {
	priorities := []wire.Priority{wire.PriorityProduction, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow}
	for seed := range uint64(3000) {
		// The same world twice, since a pass changes what it is given.
		world := func() (items []*PendingJob, machines []*Machine, teams map[string]*Team) {
			r := rand.New(rand.NewPCG(seed, 1))
			for i := range 1 + r.IntN(40) {
				m := machine(fmt.Sprintf("m-%02d", i), []string{"a", "b"}[r.IntN(2)], r.IntN(2) == 0, float64(r.IntN(17)))
				m.Free.MemoryGB, m.Price = float64(r.IntN(20)), float64(r.IntN(3))
				fetch := float64(r.IntN(4))
				m.Unacknowledged = r.IntN(4) == 0
				m.Type = []string{"x", "y"}[r.IntN(2)]
				m.FetchS = func(image string, _ float64) float64 { return fetch * float64(len(image)) }
				machines = append(machines, m)
			}
			for i := range 1 + r.IntN(15) {
				it := item(fmt.Sprintf("job-%02d", i), priorities[r.IntN(4)], time.Duration(r.IntN(200))*time.Second, 1+r.IntN(8), float64(1+r.IntN(6)),
					func(j *wire.Job) {
						j.Team, j.MemoryGB = []string{"t", "u"}[r.IntN(2)], float64(r.IntN(6))
						j.Spread, j.OneZone, j.Spot = r.IntN(4) == 0, r.IntN(4) == 0, r.IntN(2) == 0
					})
				it.LatencySensitive, it.Placeholder = r.IntN(2) == 0, r.IntN(6) == 0
				it.Job.Image = []string{"i", "ii"}[r.IntN(2)]
				if r.IntN(4) == 0 {
					it.Job.Types = [][]string{{}, {"x"}, {"x", "y"}}[r.IntN(3)]
				}
				if r.IntN(4) == 0 {
					bad := fmt.Sprintf("m-%02d", r.IntN(40))
					it.Avoid = func(machine string) bool { return machine <= bad }
				}
				if !it.Job.Spread && !it.Job.OneZone {
					it.Zones = nil
				}
				items = append(items, it)
			}
			return items, machines, map[string]*Team{"t": {GuaranteedCPUs: 10, QuotaCPUs: 30}, "u": {GuaranteedCPUs: 40, QuotaCPUs: 60}}
		}
		show := func(placed []Placement) string {
			var b strings.Builder
			for _, p := range placed {
				fmt.Fprintf(&b, "%s:%s ", p.Pending.Job.ID, p.Machine.Name)
			}
			return b.String()
		}
		items, machines, teams := world()
		got := show(Schedule(now, items, machines, teams))
		items, machines, teams = world()
		if want := show(plain(items, machines, teams)); got != want {
			t.Fatalf("seed %d: placed %s\nwant %s", seed, got, want)
		}
	}
}

// A trial that keeps its order answers as one that begins anew each time, whatever fitted before.
func TestATrialAnswersLikePasses(t *testing.T) {
	for seed := range uint64(500) {
		world := func(ask func(r *rand.Rand, machines []*Machine, items []*PendingJob, not *Machine) bool) (out string) {
			r := rand.New(rand.NewPCG(seed, 2))
			var machines []*Machine
			for i := range 2 + r.IntN(20) {
				m := machine(fmt.Sprintf("m-%02d", i), []string{"a", "b"}[r.IntN(2)], r.IntN(2) == 0, float64(r.IntN(17)))
				m.Price = float64(r.IntN(3))
				machines = append(machines, m)
			}
			for n := range 20 {
				var items []*PendingJob
				for i := range 1 + r.IntN(3) {
					items = append(items, item(fmt.Sprint("job-", n, "-", i), wire.PriorityNormal, time.Duration(i)*time.Second, 1+r.IntN(4), float64(1+r.IntN(4)),
						func(j *wire.Job) { j.Spread, j.Spot = r.IntN(3) == 0, r.IntN(2) == 0 }))
				}
				var not *Machine
				if i := r.IntN(len(machines)); r.IntN(2) == 0 && len(machines) > 1 {
					not = machines[i]
				}
				fits := ask(r, machines, items, not)
				if fits && not != nil {
					machines = slices.DeleteFunc(slices.Clone(machines), func(m *Machine) bool { return m == not })
				}
				out += fmt.Sprint(fits, " ")
			}
			for _, m := range machines {
				out += fmt.Sprint(m.Name, m.Free.CPUs, " ")
			}
			return out
		}
		var trial *DryRun
		got := world(func(_ *rand.Rand, machines []*Machine, items []*PendingJob, not *Machine) bool {
			if trial == nil {
				trial = NewDryRun(machines)
			}
			return trial.TryPlace(now, items, not)
		})
		want := world(func(_ *rand.Rand, machines []*Machine, items []*PendingJob, not *Machine) bool {
			waiting, teams := 0, map[string]*Team{"t": {QuotaCPUs: math.Inf(1), QuotaGPUs: math.Inf(1)}}
			for _, it := range items {
				waiting += it.Waiting
			}
			placed := Schedule(now, items, slices.DeleteFunc(slices.Clone(machines), func(m *Machine) bool { return m == not }), teams)
			if len(placed) == waiting {
				return true
			}
			for _, p := range placed {
				p.Machine.Free.Sub(p.Pending.Request(), -1)
			}
			return false
		})
		if got != want {
			t.Fatalf("seed %d: %s\nwant %s", seed, got, want)
		}
	}
}

// Guards against a pass whose every placement looks at all machines: it may look at each
// once for each shape of tasks, and then at a few for each placement.
func TestAPlacementLooksAtAFewMachines(t *testing.T) {
	for _, n := range []int{100, 1000, 10000} {
		looks := 0
		var machines []*Machine
		for i := range n {
			m := machine(fmt.Sprint("m-", i), []string{"a", "b"}[i%2], i%3 == 0, 16)
			m.FetchS = func(string, float64) float64 { looks++; return float64(i % 5) }
			machines = append(machines, m)
		}
		var items []*PendingJob
		for i := range 50 { // of five shapes
			items = append(items, item(fmt.Sprint("job-", i), wire.PriorityNormal, time.Duration(i)*time.Second, n/10, float64(1+i%5)))
		}
		placed := len(Schedule(now, items, machines, map[string]*Team{"t": {QuotaCPUs: math.Inf(1)}}))
		if each := float64(looks-5*n) / float64(placed); placed < 4*n || each > 4 {
			t.Errorf("%d machines: %d placed, each looks at %.1f", n, placed, each)
		}
	}
}

// BenchmarkPass places four tasks for each machine.
func BenchmarkPass(b *testing.B) {
	for _, n := range []int{400, 1000, 4000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			placed := 0
			for b.Loop() {
				b.StopTimer()
				var machines []*Machine
				for i := range n {
					m := machine(fmt.Sprintf("m-%05d", i), []string{"a", "b"}[i%2], i%3 == 0, 16)
					m.FetchS = func(string, float64) float64 { return float64(i % 7) }
					machines = append(machines, m)
				}
				var items []*PendingJob
				for i := range 40 {
					items = append(items, item(fmt.Sprint("job-", i), wire.PriorityNormal, time.Duration(i)*time.Second, n/10, 4))
				}
				b.StartTimer()
				placed += len(Schedule(now, items, machines, map[string]*Team{"t": {QuotaCPUs: math.Inf(1)}}))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(placed), "ns/placement")
		})
	}
}

// BenchmarkTrial asks for a sixteenth of the machines whether their work fits on the others:
// once by a pass for each, as before, and once by a trial.
func BenchmarkTrial(b *testing.B) {
	for _, n := range []int{400, 1000, 4000} {
		world := func() (machines []*Machine, ask func(i int) []*PendingJob) {
			for i := range n {
				m := machine(fmt.Sprintf("m-%05d", i), []string{"a", "b"}[i%2], i%3 == 0, float64(i%5))
				m.FetchS = func(string, float64) float64 { return float64(i % 7) }
				machines = append(machines, m)
			}
			return machines, func(i int) []*PendingJob {
				return []*PendingJob{item(fmt.Sprint("job-", i), wire.PriorityNormal, 0, 4, 1+float64(i%4))}
			}
		}
		b.Run(fmt.Sprint("passes/", n), func(b *testing.B) {
			for b.Loop() {
				machines, ask := world()
				for i := range n / 16 {
					others := slices.DeleteFunc(slices.Clone(machines), func(m *Machine) bool { return m == machines[i] })
					Schedule(now, ask(i), others, map[string]*Team{"t": {QuotaCPUs: math.Inf(1)}})
				}
			}
		})
		b.Run(fmt.Sprint("trial/", n), func(b *testing.B) {
			for b.Loop() {
				machines, ask := world()
				t := NewDryRun(machines)
				for i := range n / 16 {
					t.TryPlace(now, ask(i), machines[i])
				}
			}
		})
	}
}

// Guards against lost tasks that queue up anew: their job came long ago, and is nearly done.
func TestALostTaskCountsFromItsJobsComing(t *testing.T) {
	lost, fresh := item("b", wire.PriorityNormal, time.Second, 1, 4), item("a", wire.PriorityNormal, 100*time.Second, 40, 4)
	lost.Job.EstimateS, fresh.Job.EstimateS = 60, 60
	lost.EnqueuedAt = now.Add(-tuning.PriorityAgingStep)
	items := []*PendingJob{fresh, lost}
	if Sort(items, map[string]*Team{}, now); items[0] != lost {
		t.Error("a task lost a second ago waits behind an array that has not begun")
	}
	if EffectivePriority(lost, map[string]*Team{}, now) != wire.PriorityNormal.Level()+1 {
		t.Error("its job does not age")
	}
}

// Items on a side get room there before others take it, and no slot waits for them.
func TestSidesComeFirstAndLeaveNothingFree(t *testing.T) {
	on := func(id string, side KindPreference, tasks int) *PendingJob {
		it := item(id, wire.PriorityNormal, time.Second, tasks, 4)
		it.Job.Spot, it.Preference = true, side
		return it
	}
	for _, c := range []struct {
		name  string
		items []*PendingJob
		want  string
	}{
		{"each on its own", []*PendingJob{on("a", PreferSpot, 1), on("b", PreferOnDemand, 1)}, "a:s b:o"},
		{"however they are ordered", []*PendingJob{on("a", PreferOnDemand, 1), on("b", PreferSpot, 1)}, "a:o b:s"},
		{"what is left goes anywhere", []*PendingJob{on("a", PreferOnDemand, 2)}, "a:o a:s"},
		{"also to ordinary ones", []*PendingJob{on("a", PreferSpot, 2)}, "a:s a:o"},
		{"an item without a side keeps its place", []*PendingJob{on("a", AnyKind, 1), on("b", PreferSpot, 1)}, "a:s b:o"},
	} {
		if got := run(c.items, []*Machine{machine("s", "a", true, 4), machine("o", "a", false, 4)}, 100); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
