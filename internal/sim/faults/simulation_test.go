// Package faults_test simulates a whole service in one process and injects faults into it: controllers, workers, users, the state
// store, the cloud, and the network between them, on a clock that the tests control. The rules are checked from outside.
package faults_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// simulation is a whole service: several controllers, workers that report, hang and do not hear, users who submit, ask and cancel, a
// state service that refuses, is down or carries transactions out late, and the ways between all of them. The rules are checked from
// outside, by the workers and the users. Time goes on in steps, whatever is on its way: a call may take no time or, seen
// from the clock, many seconds, as it may in a slow network. So the rules must hold however the goroutines are scheduled.
type simulation struct {
	t         testing.TB
	r         *rand.Rand
	site      site
	clock     *clockwork.FakeClock
	state     *fakes.Store
	cloud     *fakes.Cloud
	nodes     []*node
	client    *http.Client
	startedAt time.Time
	term      uint64         // the last that was seen to lead
	asking    sync.WaitGroup // requests on their way
	faults    []fault        // faults, and when they are over

	rolling bool      // each leader ends soon
	turn    time.Time // when the next one does

	mu                  sync.Mutex // guards what follows; never held over a call
	workers             []*worker
	jobs                []*job
	byID                map[string]*job
	copied              []message
	trace               strings.Builder
	broken              string
	starts              int
	copyPercent         int      // percent of reports of which a copy comes late
	copiesForNextLeader int      // percent of reports of which a copy reaches every controller as the next leader begins
	heldCopies          [][]byte // those
	lateCommandPercent  int      // percent of direct commands that are held up on their way, unanswered, and carried out once
	delayedCommands     []lateCommands
	paced               bool          // no step begins before the machine has done what the one before asked for
	fastBoot            bool          // machines are up within 2 s
	polling             bool          // users ask at all controllers after each answer that tells something new
	links               time.Duration // how long reports, answers and direct commands are on their way at the most
	cancelAtEnd         bool          // users cancel, ask and submit again as the last task of a job completes
	calmSince           sent          // since when all faults are over
}

// lockedSource is a source of chance for several goroutines.
type lockedSource struct {
	mu  sync.Mutex
	src rand.Source
}

func (d *lockedSource) Uint64() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.src.Uint64()
}

// site is what a deployment sets.
type site struct {
	nodes          int
	lease, cancelS float64
	report, imageS float64
	machines       int
}

// patience is how long a condition may take by the machine's clock beyond its bound by the simulation's: what a starved machine needs.
const patience = 20 * time.Second

const (
	// callPatience is the machine's time for the controllers' calls to each other in a paced step: a call on loopback takes well under a
	// millisecond on an idle machine.
	callPatience = 5 * time.Millisecond
	// answerPatience bounds how long a paced step waits for heartbeats on their way.
	answerPatience = time.Second
)

// simulations is how many there were.
var simulations atomic.Int32

// teamLimits are the teams and how many CPUs each may use; typeCPUs are the machine types' CPUs.
var (
	teamLimits = map[string]float64{"t": 8000, "small": 16, "tight": 24}
	typeCPUs   = map[string]float64{"g8": 16, "m4": 8}
)

func newSimulation(t testing.TB, s site, seed uint64) *simulation {
	clock := clockwork.NewFakeClock()
	sim := &simulation{
		t: t, r: rand.New(&lockedSource{src: rand.NewPCG(seed, 5)}), site: s, clock: clock, byID: map[string]*job{}, state: fakes.NewStore(clock), startedAt: clock.Now(),
		cloud: fakes.NewCloud(s.machines,
			wire.MachineType{Name: "g8", CPUs: typeCPUs["g8"], MemoryGB: 64, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"a", "b"}},
			wire.MachineType{Name: "m4", CPUs: typeCPUs["m4"], MemoryGB: 32, Price: 0.6, SpotPrice: 0.25, BootS: 5, Zones: []string{"b"}}),
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	// An address of its own for each simulation, and ports that no connection is given: they are free when a controller is back.
	n := int(simulations.Add(1))
	host := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, n/250, 1+n%250)
	for i := range s.nodes {
		n := &node{
			w: sim, name: fmt.Sprintf("m%d", i), bind: fmt.Sprintf("%s:%d", host, 20001+i), mesh: fmt.Sprintf("%s:%d", host, 21001+i),
			zone: string(rune('a' + i%2)), clock: clockwork.NewFakeClockAt(clock.Now()), endpoint: sim.state.Endpoint(), links: map[string]*link{},
		}
		way := func(to string) string {
			g := newLink(t, to)
			n.ways = append(n.ways, g)
			return g.l.Addr().String()
		}
		n.addr, n.toState, n.toCloud = way(n.bind), way(n.endpoint.Addr()), way(sim.cloud.Addr())
		sim.nodes = append(sim.nodes, n)
	}
	for _, n := range sim.nodes {
		for _, o := range sim.nodes {
			if o != n {
				n.links[o.name] = newLink(t, o.mesh)
			}
		}
	}
	for _, n := range sim.nodes {
		n.boot()
	}
	t.Cleanup(func() {
		sim.asking.Wait()
		sim.mu.Lock()
		if sim.broken != "" && !t.Failed() { // since the last step
			t.Errorf("%s\n%s", sim.broken, sim.trace.String())
		}
		sim.mu.Unlock()
		for _, n := range sim.nodes {
			n.end()
		}
		sim.state.DelayAnswers(nil)
		sim.clock.Advance(time.Minute) // what still waits at the state service goes on
		for _, k := range sim.workers {
			k.srv.CloseClientConnections()
			k.srv.Close()
		}
		sim.client.CloseIdleConnections()
		sim.state.Close()
		sim.cloud.Close()
	})
	return sim
}

// holds has some workers reach one controller alone, which leads; nil: all reach all again.
func (sim *simulation) holds(n *node, workers []*worker) {
	_, term := sim.holder()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, k := range workers {
		k.only, k.term = n, term
	}
}

// holder gives the controller that the leader key names, and its term.
func (sim *simulation) holder() (n *node, term uint64) {
	member, term := sim.state.Holder()
	if i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.name == member }); i >= 0 {
		n = sim.nodes[i]
	}
	if term > sim.term {
		sim.term = term
		sim.logFault("%s leads in term %d", member, term)
		sim.mu.Lock()
		kept := sim.heldCopies
		sim.heldCopies = nil
		for i := range sim.delayedCommands { // of those of the leader before, half arrive as the next one acts
			if sim.r.IntN(2) == 0 {
				sim.delayedCommands[i].at = sim.now().Add(sim.seconds(0, 8))
			}
		}
		sim.mu.Unlock()
		for _, raw := range kept {
			if sim.r.IntN(2) == 0 { // one that is held back until the new leader has acted
				sim.copied = append(sim.copied, message{sim.now().Add(sim.seconds(1, 12)), raw, true})
				continue
			}
			for _, n := range sim.nodes {
				sim.deliver(raw, n)
			}
		}
	}
	return n, term
}

// leader gives the controller that leads, by the leader key; nil if none does, or it is down.
func (sim *simulation) leader() *node {
	if n, _ := sim.holder(); n != nil && n.stop != nil {
		return n
	}
	return nil
}

func (sim *simulation) now() time.Time { return sim.clock.Now() }

// record adds to the trace. The lock is held.
func (sim *simulation) record(format string, args ...any) {
	fmt.Fprintf(&sim.trace, "%v ", sim.now().Sub(sim.startedAt))
	fmt.Fprintf(&sim.trace, format, args...)
	sim.trace.WriteByte('\n')
}

// violation takes in that a rule is broken. The lock is held.
func (sim *simulation) violation(format string, args ...any) {
	sim.record("BROKEN "+format, args...)
	if sim.broken == "" {
		sim.broken = fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) logFault(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.record(format, args...)
}

// call sends a request and reads the JSON that comes back; status 0: nothing did.
func (sim *simulation) call(ctx context.Context, method, url string, raw []byte, out any) int {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		sim.t.Error(err)
		return 0
	}
	resp, err := sim.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(out) != nil && resp.StatusCode == http.StatusOK {
		return 0
	}
	return resp.StatusCode
}

// anyNode gives a controller that is up, or one that is not if none is.
func (sim *simulation) anyNode() *node {
	n := sim.nodes[sim.r.IntN(len(sim.nodes))]
	for range 10 {
		if n.stop != nil {
			break
		}
		n = sim.nodes[sim.r.IntN(len(sim.nodes))]
	}
	return n
}

func (sim *simulation) post(ctx context.Context, url string, raw []byte, out any) int {
	return sim.call(ctx, http.MethodPost, url, raw, out)
}

// seconds gives a time between two bounds.
func (sim *simulation) seconds(least, most float64) time.Duration {
	return seconds(least + sim.r.Float64()*(most-least))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// tick is one step of time.
const tick = 250 * time.Millisecond

// step lets everybody do what is due, and time go on.
func (sim *simulation) step() {
	sim.startWorkers()
	sim.endFaults(false)
	if n := sim.leader(); sim.rolling && n != nil && !sim.now().Before(sim.turn) {
		sim.restart(n, 0.2, 2)
		sim.turn = sim.now().Add(sim.seconds(3, 12))
	}
	for _, n := range sim.nodes {
		if n.stop == nil && !sim.now().Before(n.back) {
			sim.logFault("%s is back", n.name)
			n.boot()
		}
	}
	sim.mu.Lock()
	workers, jobs := slices.Clone(sim.workers), slices.Clone(sim.jobs)
	var due []message
	sim.delayedCommands = slices.DeleteFunc(sim.delayedCommands, func(l lateCommands) bool {
		if sim.now().Before(l.at) {
			return false
		}
		l.to.delay(l.commands)
		return true
	})
	sim.copied = slices.DeleteFunc(sim.copied, func(l message) bool {
		if sim.now().Before(l.at) {
			return false
		}
		due = append(due, l)
		return true
	})
	sim.mu.Unlock()
	for _, l := range due {
		if !l.all {
			sim.deliver(l.raw, sim.anyNode())
			continue
		}
		for _, n := range sim.nodes {
			sim.deliver(l.raw, n)
		}
	}
	for _, k := range workers {
		k.sendHeartbeats()
	}
	for _, j := range jobs {
		sim.poll(j)
	}
	sim.check()
	sim.clock.Advance(tick)
	sim.state.Expire()
	// What was due gets a moment of the machine: a call and its answer from each.
	for _, n := range sim.nodes {
		sim.mu.Lock()
		still := n.still
		sim.mu.Unlock()
		if !still {
			n.syncClock()
		}
		if n.stop == nil || still {
			continue
		}
		if resp, err := sim.client.Get("http://" + n.addr + wire.PathHealth); err == nil {
			resp.Body.Close()
		}
	}
	if sim.paced {
		sim.keepPace()
	}
}

// keepPace has the machine follow the clock: the controllers have a moment for their calls to each other, and heartbeats on their way are
// answered, or had answerPatience for it. What has to happen within a lease depends on that, where all else is as it should be.
func (sim *simulation) keepPace() {
	answered := sim.locked(func() bool {
		return !slices.ContainsFunc(sim.workers, func(k *worker) bool { return k.waits != nil })
	})
	time.Sleep(callPatience)
	for begun := time.Now(); !answered() && time.Since(begun) < answerPatience; {
		time.Sleep(time.Millisecond)
	}
}

// deliver has a copy of a report arrive; its answer reaches nobody.
func (sim *simulation) deliver(raw []byte, n *node) {
	sim.asking.Go(func() {
		var out map[string]any
		sim.post(sim.t.Context(), "http://"+n.addr+wire.PathHeartbeat, raw, &out)
	})
}

// settle ends all faults.
func (sim *simulation) settle() {
	sim.endFaults(true)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.calmSince = sim.moment()
	for _, n := range sim.nodes {
		if n.stop == nil && n.back.After(sim.calmSince.at) {
			sim.calmSince.at = n.back
		}
	}
	for _, k := range sim.workers { // what is wrong with machines ends by itself
		for _, until := range []time.Time{k.hangs, k.deaf, k.lost, k.mute} {
			if until.After(sim.calmSince.at) {
				sim.calmSince.at = until
			}
		}
	}
	sim.record("all is over from %v on", sim.calmSince.at.Sub(sim.startedAt))
}

// advance lets time pass.
func (sim *simulation) advance(d time.Duration) {
	for ; d > 0; d -= tick {
		sim.step()
	}
}

// waitFor lets time pass until a condition holds, for a time at the most.
func (sim *simulation) waitFor(what string, most time.Duration, holds func() bool) time.Duration {
	sim.t.Helper()
	begun := sim.now()
	started := time.Now()
	for !holds() {
		// Both bounds: what it takes by the clock, and that a starved machine had time to do it.
		if sim.now().Sub(begun) > most && time.Since(started) > patience {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			sim.t.Fatalf("never happened: %s\n%s%s", what, sim.trace.String(), sim.unfinished())
		}
		sim.step()
	}
	return sim.now().Sub(begun)
}

// locked tells whether something holds, under the lock.
func (sim *simulation) locked(fn func() bool) func() bool {
	return func() bool {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		return fn()
	}
}

// all tells whether something holds of all jobs.
func (sim *simulation) all(fn func(*job) bool) func() bool {
	return sim.locked(func() bool { return !slices.ContainsFunc(sim.jobs, func(j *job) bool { return !fn(j) }) })
}
