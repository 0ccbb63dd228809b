// Package placement decides what runs where: the order of the waiting tasks,
// the teams' limits, the choice of a machine. It does no I/O and keeps no
// state but since when something is held (Holds): each pass works on the views that it is given.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Resources is what a machine has or a task takes.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// slack forgives the rounding of sums of decimal amounts.
const slack = 1e-9

// Fits tells whether there is room for a task.
func (r Resources) Fits(t Resources) bool {
	return t.CPUs <= r.CPUs+slack && t.GPUs <= r.GPUs+slack && t.MemoryGB <= r.MemoryGB+slack
}

// Sub takes n tasks' room away.
func (r *Resources) Sub(t Resources, n float64) {
	r.CPUs -= n * t.CPUs
	r.GPUs -= n * t.GPUs
	r.MemoryGB -= n * t.MemoryGB
}

// Machine is a machine that tasks can be placed on.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Price            float64 // an hour, of the whole machine
	Total, Free      Resources
	FetchS           func(image string, gb float64) float64 // until it would have the image; nil: no time
	FreeInS          func(lacks Resources) float64          // until what ends by itself leaves so much more, in seconds; infinite: it never does; nil: not known
	Victims          []Victim                               // tasks on it that may be stopped for others
	Unacknowledged   bool                                   // nothing has proved yet that it hears this leader
	reservedFor      string                                 // the job that holds it against those behind
}

// FreeShare is the share of the machine's scarcest resource that is free.
func (m *Machine) FreeShare() float64 {
	share := 1.0
	for _, r := range [][2]float64{{m.Free.CPUs, m.Total.CPUs}, {m.Free.GPUs, m.Total.GPUs}, {m.Free.MemoryGB, m.Total.MemoryGB}} {
		if r[1] > 0 {
			share = min(share, r[0]/r[1])
		}
	}
	return share
}

// PendingJob is a job with waiting tasks.
type PendingJob struct {
	Job              *wire.Job
	WaitingSince     time.Time      // since when it waits
	EnqueuedAt       time.Time      // when its job came, if that counts for its place in the queue; zero: Since does
	Waiting          int            // tasks that wait
	Started          int            // tasks that are placed or done
	Zones            map[string]int // its placed tasks by zone, if its job cares; the pass counts on in it
	Avoid            func(machine string) bool
	ExpectedRunS     float64        // for how long a task is expected to run, in seconds; 0: as its owner says
	Preference       KindPreference // the kind of machines that it is to be tried on first
	LatencySensitive bool           // it is to start sooner than a machine boots
	AwaitSpot        bool           // no dearer kind of machine is to be rented for it yet
	OnProbation      bool           // its job has only ever failed: nothing makes room for it
	Placeholder      bool           // work that is expected: it takes room from lower priorities, and is not placed
}

// KindPreference is a kind of machines.
type KindPreference int

// The sides that work may be tried on first. While spot machines are short, what would lose most with one
// goes to ordinary ones and the rest to spot ones; then all to any.
const (
	AnyKind KindPreference = iota
	PreferOnDemand
	PreferSpot
)

// admits tells whether machines of a kind are on the side.
func (s KindPreference) admits(spot bool) bool { return s == AnyKind || spot == (s == PreferSpot) }

// expectedRunS is for how long a task of the item is expected to run.
func (it *PendingJob) expectedRunS() float64 {
	if it.ExpectedRunS > 0 {
		return it.ExpectedRunS
	}
	return it.Job.EstimateS
}

// enqueuedAt is from when the item's time in the queue counts.
func (it *PendingJob) enqueuedAt() time.Time {
	if it.EnqueuedAt.IsZero() {
		return it.WaitingSince
	}
	return it.EnqueuedAt
}

// Request is what a task of the item takes.
func (it *PendingJob) Request() Resources {
	return Resources{it.Job.CPUs, it.Job.GPUs, it.Job.MemoryGB}
}

// Team is a team's use; the pass counts on in it.
type Team struct {
	UsedCPUs, UsedGPUs             float64 // used by all tasks that may be somewhere
	QuotaCPUs, QuotaGPUs           float64
	GuaranteedCPUs, GuaranteedGPUs float64   // its guarantee
	PermanentUse                   Resources // what of its use does not end by itself
	reservedFor                    string    // the overdue job for whose begin a part of the limit is kept from the others
	reserved                       Resources // that part
	FairShareCPUs                  float64   // CPUs that one job of a team without a cap may have had before it lets others begin; 0: any
}

func (t *Team) fits(n Resources) bool {
	return t.UsedCPUs+n.CPUs <= t.QuotaCPUs+slack && t.UsedGPUs+n.GPUs <= t.QuotaGPUs+slack
}

func (t *Team) add(n Resources) { t.UsedCPUs += n.CPUs; t.UsedGPUs += n.GPUs }

// Placement is a decision: one more task of the item goes to the machine.
type Placement struct {
	Pending *PendingJob
	Machine *Machine
}

// EffectivePriority is an item's priority after aging: one step up past the wait bound. A
// job that had its fill does not age: its tasks are served, others wait.
func EffectivePriority(it *PendingJob, teams map[string]*Team, now time.Time) int {
	l := it.Job.Priority.Level()
	if now.Sub(it.enqueuedAt()) >= tuning.PriorityAgingStep && !filled(it, teams) {
		l++
	}
	return l
}

// filled tells whether an item of a team without a limit has had its fill.
func filled(it *PendingJob, teams map[string]*Team) bool {
	t := teams[it.Job.Team]
	return t != nil && it.Started > 0 && t.FairShareCPUs > 0 && float64(it.Started+1)*it.Job.CPUs > t.FairShareCPUs
}

// had is how many quarters of what its team's limit allows at a time the item
// has had: a large array lets the team's other jobs begin meanwhile, rather than
// take every slot again as its own tasks end. Where there is no limit a share of the
// fleet stands for it: hundreds of tiny jobs of a guest waited three minutes
// behind its array of 25,000 tasks.
func had(it *PendingJob, teams map[string]*Team) int {
	t := teams[it.Job.Team]
	if t == nil {
		return 0
	}
	n, need := float64(it.Started+1), it.Request()
	cpus := t.QuotaCPUs
	if t.FairShareCPUs > 0 {
		cpus = t.FairShareCPUs
	}
	share := 0.0
	for _, r := range [][2]float64{{need.CPUs, cpus}, {need.GPUs, t.QuotaGPUs}} {
		if r[0] > 0 {
			share = max(share, (n*r[0]-slack)/r[1])
		}
	}
	return int(min(share, 1) * tuning.FairShareSteps)
}

// response is how long ago an array came for each CPU second of the work that it waits for:
// who waits long for little goes first (highest response ratio next), so that a backlog
// makes few jobs late rather than all. It is endless for others: a replica's absence is an outage.
func response(it *PendingJob, now time.Time) float64 {
	work := it.Job.CPUs * float64(it.Waiting) * it.expectedRunS()
	if it.Job.Kind != wire.KindArray || work <= 0 {
		return math.Inf(1)
	}
	return now.Sub(it.enqueuedAt()).Seconds() / work
}

// Sort puts items in the order in which they are placed: by priority, then
// those that had least of their fill, then by the time waited for the work, then by the time
// waited, then by name so that the order is always the same.
func Sort(items []*PendingJob, teams map[string]*Team, now time.Time) {
	type key struct {
		*PendingJob
		level, full, place int
		response           float64
	}
	keys := make([]key, len(items))
	for i, it := range items {
		keys[i] = key{it, EffectivePriority(it, teams, now), had(it, teams), i, response(it, now)}
	}
	slices.SortFunc(keys, func(a, b key) int {
		if a.level != b.level {
			return b.level - a.level
		}
		if a.full != b.full {
			return a.full - b.full
		}
		if a.response != b.response {
			return cmp.Compare(b.response, a.response)
		}
		return cmp.Or(a.WaitingSince.Compare(b.WaitingSince), cmp.Compare(a.Job.ID, b.Job.ID), a.place-b.place)
	})
	for i, k := range keys {
		items[i] = k.PendingJob
	}
}

// AllowsZone tells whether one more task of the item may be in a zone, given
// where its others may be.
func (it *PendingJob) AllowsZone(zone string) bool {
	j := it.Job
	if j.Zone != "" && j.Zone != zone {
		return false
	}
	if j.OneZone {
		for z, n := range it.Zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Spread || it.Zones[zone] < (j.Tasks+1)/2
}

// Allows tells whether the item may run on a type, in a zone and on a kind of machine.
func (it *PendingJob) Allows(typ, zone string, spot bool) bool {
	return (!spot || it.Job.Spot) && (it.Job.Types == nil || slices.Contains(it.Job.Types, typ)) && it.AllowsZone(zone)
}

// better tells whether a is a better place than b for the item. Work that may
// run on spot machines goes there first and leaves the others to work that may
// not. Then, for work that is to start promptly, the machine on which it starts
// soonest, to the second: one that holds its image, or fetches fast and has
// little to fetch. Then the machine that costs least to keep: what runs on a
// machine keeps it rented, so the dear ones empty and can be returned. For
// patient work the start comes after the price. Then one that proved to hear the leader; then the most free room.
func (it *PendingJob) better(a, b *Machine) bool {
	if a.Spot != b.Spot {
		return a.Spot
	}
	fa, fb := a.fetch(it.Job.Image, it.Job.ImageGB), b.fetch(it.Job.Image, it.Job.ImageGB)
	if it.LatencySensitive && fa != fb {
		return fa < fb
	}
	if a.Price != b.Price && (a.Spot || !it.Job.Spot) {
		return a.Price < b.Price
	}
	if fa != fb {
		return fa < fb
	}
	if it.Job.Spread && a.Zone != b.Zone && it.Zones[a.Zone] != it.Zones[b.Zone] {
		return it.Zones[a.Zone] < it.Zones[b.Zone]
	}
	if a.Unacknowledged != b.Unacknowledged {
		return b.Unacknowledged
	}
	if a.Free.CPUs != b.Free.CPUs {
		return a.Free.CPUs > b.Free.CPUs
	}
	if a.Free.MemoryGB != b.Free.MemoryGB {
		return a.Free.MemoryGB > b.Free.MemoryGB
	}
	return a.Name < b.Name
}

// fetch is how long the machine takes to have an image, to the second.
func (m *Machine) fetch(image string, gb float64) float64 {
	if m.FetchS == nil {
		return 0
	}
	return math.Round(m.FetchS(image, gb))
}

func (it *PendingJob) take(m *Machine, need Resources, team *Team) {
	m.Free.Sub(need, 1)
	team.add(need)
	if it.Zones != nil {
		it.Zones[m.Zone]++
	}
	it.Waiting--
}

// Schedule tries the items in order, each with as many of its waiting tasks as fit
// its team's limit and the machines. An item that cannot go on leaves the turn
// to those behind; one that has waited long holds a machine against them, so
// that small tasks do not take every slot before a large one fits. Within a
// priority, what fits its team's guarantee goes before what teams borrow: room
// that was taken back from a borrower must not go to the next one that waited
// longer. Jobs that wait for their first task for too long come before all of that,
// with one task each. Last come ghosts, which keep room from lower priorities only, and not for ever (Holds).
//
// It changes the items' waiting counts and zones, the machines' free room and
// the teams' use.
func Schedule(now time.Time, items []*PendingJob, machines []*Machine, teams map[string]*Team) []Placement {
	Sort(items, teams, now)
	return ScheduleSorted(now, items, machines, teams)
}

// ScheduleSorted is Pass for items that are in order already.
func ScheduleSorted(now time.Time, items []*PendingJob, machines []*Machine, teams map[string]*Team) []Placement {
	placed, _ := sorted(now, items, machines, teams, true)
	return placed
}

// BackfillReservations bounds for how long machines and parts of limits are held for those that wait for more than there is, and room for work that
// is expected, while others wait: what is held is room in which they may not start. It remembers between passes since when something has been held; after tuning.ReservationMax one pass
// holds nothing, so that no job waits for longer beside room, and what is held then counts anew. The zero value holds nothing yet.
type BackfillReservations struct{ since time.Time }

// Schedule is Pass with that bound.
func (h *BackfillReservations) Schedule(now time.Time, items []*PendingJob, machines []*Machine, teams map[string]*Team) []Placement {
	Sort(items, teams, now)
	open := !h.since.IsZero() && now.Sub(h.since) >= tuning.ReservationMax
	placed, held := sorted(now, items, machines, teams, !open)
	switch {
	case !held:
		h.since = time.Time{}
	case h.since.IsZero():
		h.since = now
	}
	return placed
}

// sorted places items that are in order; held tells that something was held against others, which it is only if that may be.
func sorted(now time.Time, items []*PendingJob, machines []*Machine, teams map[string]*Team, mayHold bool) (placed []Placement, held bool) {
	p := pass{now: now, machines: machines, roomy: roomy(machines, items), teams: teams, stuck: make([]bool, len(items)), searches: map[shape]*search{}, mayHold: mayHold}
	for lo, hi := 0, 0; lo < len(items); lo = hi {
		for hi = lo; hi < len(items) && EffectivePriority(items[hi], teams, now) == EffectivePriority(items[lo], teams, now); hi++ {
		}
		for _, i := range overdueIn(items, lo, hi, now) {
			placed = p.begin(placed, items[i])
		}
		for _, t := range []turn{guaranteed, borrowing, expected} {
			// First all in order, those that are on a side only there; then what is left of these anywhere.
			for _, again := range []bool{false, true} {
				for i := lo; i < hi; i++ {
					if again && items[i].Preference == AnyKind || p.stuck[i] || items[i].Placeholder != (t == expected) {
						continue
					}
					side := items[i].Preference
					if again {
						side = AnyKind
					}
					placed = p.place(placed, items, i, t, side)
				}
			}
		}
	}
	return placed, p.held || p.holds > 0 || p.keeps || p.starved
}

// turn is a part of a pass over the items of one priority.
type turn int

const (
	guaranteed turn = iota // what fits the teams' guarantees
	borrowing              // what teams borrow beyond them
	expected               // ghosts
)

type pass struct {
	now      time.Time
	machines []*Machine
	roomy    []*Machine // those that may have room for some item
	teams    map[string]*Team
	stuck    []bool // items for which there is no room
	searches map[shape]*search
	mayHold  bool // something may be held against those behind
	held     bool // a head holds a machine
	holds    int  // machines held for overdue items
	keeps    bool // a part of a limit is kept for one
	ghosts   bool // ghosts have taken room
	starved  bool // after that there was none for somebody
}

// roomy are the machines with room for the least of what the items need. In a
// large cluster most are full, and every waiting item would look at each.
func roomy(machines []*Machine, items []*PendingJob) []*Machine {
	if len(items) == 0 {
		return nil
	}
	least := MinRequest(items)
	out := make([]*Machine, 0, len(machines))
	for _, m := range machines {
		if m.Free.Fits(least) {
			out = append(out, m)
		}
	}
	return out
}

// MinRequest is the least of what tasks of the items need, of which there must be some.
func MinRequest(items []*PendingJob) Resources {
	least := items[0].Request()
	for _, it := range items[1:] {
		n := it.Request()
		least = Resources{min(least.CPUs, n.CPUs), min(least.GPUs, n.GPUs), min(least.MemoryGB, n.MemoryGB)}
	}
	return least
}

// place places as many tasks of an item as its turn, its team's limit and the
// machines allow.
func (p *pass) place(placed []Placement, items []*PendingJob, i int, t turn, side KindPreference) []Placement {
	it := items[i]
	team := p.teams[it.Job.Team]
	if it.Placeholder {
		team = &Team{QuotaCPUs: math.Inf(1), QuotaGPUs: math.Inf(1)}
	}
	if team == nil || it.Placeholder && !p.mayHold {
		return placed
	}
	need := it.Request()
	var s *search
	for it.Waiting > 0 && team.leaves(it) && (t != guaranteed || team.within(need)) {
		if s == nil {
			s = p.searchFor(it, side)
		}
		m := s.best(it)
		if m == nil && side != AnyKind {
			break
		}
		if m == nil {
			p.stuck[i] = true
			p.starved = p.starved || p.ghosts && !it.Placeholder
			if p.mayHold && !p.held && !it.Placeholder && p.now.Sub(it.WaitingSince) >= tuning.HeadReservationAfter {
				p.held = it.hold(p.machines, need)
			}
			break
		}
		it.take(m, need, team)
		if p.ghosts = p.ghosts || it.Placeholder; !it.Placeholder {
			placed = append(placed, Placement{it, m})
		}
	}
	return placed
}

// hold takes the machine that has room for the item soonest, by what runs there; of equals, or where that is not known, the one with
// the most. One whose room never comes, since replicas stay there, is not held: it was once, against all others, for as long as they ran.
func (it *PendingJob) hold(machines []*Machine, need Resources) bool {
	var best *Machine
	soonest := math.Inf(1)
	for _, m := range machines {
		if m.reservedFor != "" || !m.Total.Fits(need) || !it.Allows(m.Type, m.Zone, m.Spot) || it.Avoid != nil && it.Avoid(m.Name) {
			continue
		}
		s := 0.0
		if m.FreeInS != nil {
			lacks := need
			lacks.Sub(m.Free, 1)
			s = m.FreeInS(lacks)
		}
		if math.IsInf(s, 1) || best != nil && (s > soonest || s == soonest && m.Free.CPUs <= best.Free.CPUs) {
			continue
		}
		best, soonest = m, s
	}
	if best == nil {
		return false
	}
	best.reservedFor = it.Job.ID
	return true
}

// TasksWithinQuota counts the waiting tasks of an item that its team's limit allows.
func TasksWithinQuota(it *PendingJob, teams map[string]*Team) int {
	t := teams[it.Job.Team]
	if t == nil {
		return 0
	}
	need := it.Request()
	left := float64(it.Waiting)
	for _, r := range [][2]float64{{t.QuotaCPUs - t.UsedCPUs, need.CPUs}, {t.QuotaGPUs - t.UsedGPUs, need.GPUs}} {
		if r[1] > 0 {
			left = min(left, math.Floor((r[0]+slack)/r[1]))
		}
	}
	return int(max(0, left))
}
