package faults_test

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"poppypass/internal/sim/fakes"
)

// spec is what a user asks for; what is left out is as most jobs have it.
type spec struct {
	kind     string   // array, if it is empty
	team     string   // t, if it is empty
	priority string   // standard, if it is empty
	tasks    int      // 1, if it is 0
	cpus     float64  // 4, if it is 0
	stub     float64  // seconds between checkpoints
	runS     float64  // for how long its tasks run; 0: 20 to 120 s
	types    []string // nil: any
	zone     string   // empty: any
	oneZone  bool
	apart    bool
	noSpot   bool
	lacks    string // a field that its submission lacks
}

// job is a job, as its user knows it.
type job struct {
	spec
	id       string
	raw      []byte // its submission
	accepted bool
	asked    bool               // its user wants it cancelled
	polling  context.CancelFunc // its poll is on its way; nil: none is
	polled   sent               // when that was sent
	asking   context.CancelFunc // its submission or request to cancel is on its way; nil: none is
	sent     sent
	next     time.Time // when it is asked about next
	cancelAt time.Time // when its cancellation, or its submission, is asked for next
	history  history

	confirmed time.Time // when its user was told that it is cancelled
	done      bool      // its user was told
	completed map[string]bool
	heard     sent // when an answer about it came last
	roomy     sent // since when it waits though there is room; zero: it does not
}

// sent is a moment by the simulation's clock and by the machine's: a bound holds only once both are past it, since a starved machine
// may let the simulation's go on alone.
type sent struct{ at, real time.Time }

func (sim *simulation) moment() sent { return sent{sim.now(), time.Now()} }

func (sim *simulation) past(s sent, d, wall time.Duration) bool {
	return sim.now().Sub(s.at) > d && time.Since(s.real) > wall
}

const (
	unknown = iota
	accepted
	ended
)

// submit has a user submit a job, again and again until it is accepted.
func (sim *simulation) submit(id string, s spec) *job {
	or := func(v *string, most string) {
		if *v == "" {
			*v = most
		}
	}
	or(&s.kind, "array")
	or(&s.team, "t")
	or(&s.priority, "standard")
	if s.tasks == 0 {
		s.tasks = 1
	}
	if s.cpus == 0 {
		s.cpus = 4
	}
	fields := map[string]any{
		"ref": id, "lane": "l", "desk": s.team, "shape": s.kind, "urgency": s.priority, "seats": s.tasks, "cpus": s.cpus, "gpus": 0.0, "mem_gb": 1.0,
		"bundle": "img", "image_gb": 1.0, "builds": s.types, "yard": nil, "same_place": s.oneZone, "apart": s.apart, "standby": !s.noSpot,
		"ride_s": 10.0, "stub_s": s.stub, "stamp_s": s.stub / 10,
	}
	if s.zone != "" {
		fields["yard"] = s.zone
	}
	delete(fields, s.lacks)
	raw, err := json.Marshal(fields)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	j := &job{spec: s, id: id, raw: raw, completed: map[string]bool{}, next: sim.now(), cancelAt: sim.now(), heard: sim.moment()}
	sim.jobs = append(sim.jobs, j)
	sim.byID[id] = j
	return j
}

func (sim *simulation) jobOf(task string) *job {
	j := sim.byID[fakes.JobOf(task)]
	if j == nil {
		sim.violation("invented: task %s of a job that nobody submitted", task)
		return &job{id: fakes.JobOf(task), completed: map[string]bool{}}
	}
	return j
}

// runTime is how long a task runs.
func (sim *simulation) runTime(task string) time.Duration {
	j := sim.jobOf(task)
	switch {
	case j.kind == "service":
		return 100 * time.Hour
	case j.runS > 0:
		return seconds(j.runS)
	}
	return time.Duration(20+sim.r.IntN(100)) * time.Second
}

// request is one of a user's.
type request int

const (
	poll request = iota
	submission
	cancellation
)

// send sends a request about a job to a controller and takes in its answer. It returns when that is there.
func (sim *simulation) send(ctx context.Context, j *job, n *node, what request) {
	sim.mu.Lock()
	before := j.history
	sim.mu.Unlock()
	url, body, method := "http://"+n.addr+"/v2/runs", j.raw, http.MethodPost
	switch what {
	case poll:
		url, body, method = url+"/"+j.id, nil, http.MethodGet
	case cancellation:
		url, body = url+"/"+j.id+"/cancel", nil
	}
	var out struct{ Status, Error string }
	status := sim.call(ctx, method, url, body, &out)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.recordAnswer(j, n, what, before, status, out.Status, out.Error)
}

// recordAnswer takes in an answer. The lock is held.
func (sim *simulation) recordAnswer(j *job, n *node, what request, before history, status int, state, text string) {
	if what == submission && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) {
		sim.violation("forgotten: %s is refused by %s with %d: %s", j.id, n.name, status, text)
		return
	}
	if what == cancellation && status == http.StatusOK && state != "done" && state != "withdrawn" {
		sim.violation("went_back: the cancellation of %s is answered %s by %s", j.id, state, n.name)
	}
	_, told := levelOf(status, state)
	if !told {
		return
	}
	was := j.history
	if broken := j.history.take(before, status, state); broken != "" {
		sim.violation("%s: %s by %s", broken, j.id, n.name)
	}
	j.heard = sim.moment()
	if j.history.level == was.level {
		return
	}
	sim.record("%s: %s is told %d %s", j.id, n.name, status, state)
	if j.history.level >= accepted {
		j.accepted = true
	}
	switch {
	case j.history.level != ended:
	case state == "done":
		if j.done = true; len(j.completed) < j.tasks {
			sim.violation("not_done: %s is called done with %d of %d tasks", j.id, len(j.completed), j.tasks)
		}
	default:
		if j.confirmed = sim.now(); !j.asked {
			sim.violation("went_back: %s is called cancelled, and nobody cancelled it", j.id)
		}
	}
	if sim.polling {
		sim.pollEverywhere(j)
	}
}

// pollClosely begins or ends close looks.
func (sim *simulation) pollClosely(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.polling = on
}

// pollEverywhere has users ask at all controllers within milliseconds, again and again, and repeat the submission; some cancel at
// once. The lock is held.
func (sim *simulation) pollEverywhere(j *job) {
	if !j.asked && j.history.level == accepted && sim.r.IntN(8) == 0 {
		j.asked = true
		sim.record("%s is to be cancelled at once", j.id)
	}
	cancels := j.asked
	for i, n := range sim.nodes {
		sim.asking.Go(func() {
			for round := range 3 {
				sim.send(sim.t.Context(), j, n, poll)
				if round == i%3 {
					sim.send(sim.t.Context(), j, n, submission)
				}
				if cancels && round == 1 {
					sim.send(sim.t.Context(), j, n, cancellation)
				}
			}
		})
	}
}

// poll has a user ask about a job every 5 s, and submit or cancel it every second until that is answered. The simulation goes on
// meanwhile; a user waits for 5 s, and for 2 s when it asks.
func (sim *simulation) poll(j *job) {
	n := sim.anyNode()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	now := sim.now()
	if j.polling != nil && sim.past(j.polled, 2*time.Second, time.Second) {
		j.polling()
	}
	if j.asking != nil && sim.past(j.sent, 5*time.Second, time.Second) {
		j.asking()
	}
	over := j.history.level == ended
	if j.accepted && j.polling == nil && !now.Before(j.next) {
		j.next = now.Add(sim.seconds(4, 6))
		if over {
			j.next = now.Add(sim.seconds(15, 25))
		}
		j.polled = sim.moment()
		sim.sendAsync(j, n, poll, &j.polling)
	}
	if j.asking != nil || now.Before(j.cancelAt) || j.accepted && (!j.asked || over) {
		return
	}
	what := cancellation
	if !j.accepted {
		what = submission
	}
	j.cancelAt = now.Add(time.Second)
	j.sent = sim.moment()
	sim.sendAsync(j, n, what, &j.asking)
}

// sendAsync sends a request while the simulation goes on; giveUp ends it, and is nil again once it is over. The lock is held.
func (sim *simulation) sendAsync(j *job, n *node, what request, giveUp *context.CancelFunc) {
	ctx, cancel := context.WithCancel(sim.t.Context())
	*giveUp = cancel
	sim.asking.Go(func() {
		defer cancel()
		sim.send(ctx, j, n, what)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		*giveUp = nil
	})
}

// cancel has a job's user want it cancelled from now on.
func (sim *simulation) cancel(id string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, j := range sim.jobs {
		if j.id == id && !j.done {
			j.asked, j.cancelAt = true, sim.now()
			sim.record("%s is to be cancelled", id)
		}
	}
}

// cancelServices has the users of all services want them cancelled: they hold their teams' room until then.
func (sim *simulation) cancelServices() {
	for _, id := range sim.jobIDs(func(j *job) bool { return j.kind == "service" }) {
		sim.cancel(id)
	}
}

// taskCompleted takes in that a task has completed on its machine. The lock is held.
func (sim *simulation) taskCompleted(j *job, task string) {
	j.completed[task] = true
	if !sim.cancelAtEnd || len(j.completed) < j.tasks {
		return
	}
	if sim.r.IntN(2) == 0 {
		j.asked, j.cancelAt = true, sim.now()
	}
	sim.pollEverywhere(j)
}

const (
	silence = 75 * time.Second // a job about which no question is answered for so long is forgotten
	waitMax = 90 * time.Second // a job that waits for so long beside room breaks a rule
)
