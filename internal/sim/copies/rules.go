package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
	"poppypass/internal/sim/testcluster"
)

// One attempt in attemptsPerFailure fails within failAfterMax, of the first failingAttempts of a task: with more failures
// the pauses before the next attempts outlast endLimit. An attempt of a service runs for serviceRunTime.
const (
	attemptsPerFailure = 3
	failingAttempts    = 3
	failAfterMax       = time.Second
	runTimeMax         = 12 * time.Second
	serviceRunTime     = 1000 * time.Hour
)

// rules checks the rules from what the workers run and what users are told. It is safe for concurrent use.
type rules struct {
	copied    int // percent of the answered direct requests of which a copy arrives
	mu        sync.Mutex
	rng       *rand.Rand
	startedAt time.Time
	running   map[string]int  // attempts that run, by task
	cpus      map[string]int  // CPUs of the tasks that run, by team
	confirmed map[string]bool // jobs whose cancellation was confirmed
	broken    int
	starts    int // attempts that started
	failed    int // attempts that failed
	stopped   int // attempts that were stopped
	copies    int // copies of direct requests that were sent
	dropped   int // copies that were dropped before a restarted process had executed a probe
}

func newRules(seed uint64, copied int) *rules {
	return &rules{
		copied: copied, rng: rand.New(rand.NewPCG(seed, 1)), startedAt: time.Now(),
		running: map[string]int{}, cpus: map[string]int{}, confirmed: map[string]bool{},
	}
}

// attemptStarted checks the start of an attempt, and returns how long it is to run, how it ends, and its team.
func (r *rules) attemptStarted(task string, attempt uint64) (time.Duration, wire.ExitReason, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := numberOf(task)
	team := fmt.Sprintf("team-%d", number%teams)
	r.starts++
	if r.running[task]++; r.running[task] > 1 {
		r.violationLocked("ran twice: attempt %d of %s starts while another one runs", attempt, task)
	}
	if r.cpus[team] += cpusOf(number); r.cpus[team] > quotaCPUs {
		r.violationLocked("quota exceeded: with attempt %d of %s, %s uses %d CPUs of at most %d", attempt, task, team, r.cpus[team], quotaCPUs)
	}
	if r.confirmed[fakes.JobOf(task)] {
		r.violationLocked("ran after cancellation: attempt %d of %s starts", attempt, task)
	}
	switch {
	case isService(number):
		return serviceRunTime, wire.ExitDone, team
	case attempt <= failingAttempts && r.rng.IntN(attemptsPerFailure) == 0:
		return time.Duration(r.rng.Int64N(int64(failAfterMax))), wire.ExitError, team
	}
	return time.Duration(r.rng.Int64N(int64(runTimeMax))), wire.ExitDone, team
}

// attemptEnded records the end of an attempt.
func (r *rules) attemptEnded(m fakes.MeasuredAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[m.Task]--
	r.cpus[m.Team] -= cpusOf(numberOf(m.Task))
	switch m.ExitReason {
	case wire.ExitError:
		r.failed++
	case wire.ExitStopped:
		r.stopped++
	}
}

// cancelConfirmed records that a user was told that a job is cancelled.
func (r *rules) cancelConfirmed(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed[job] = true
}

// copyDelay returns how late a copy of a direct request arrives, and whether there is one.
func (r *rules) copyDelay() (delay time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rng.IntN(100) >= r.copied {
		return 0, false
	}
	r.copies++
	return copyDelayMin + time.Duration(r.rng.Int64N(int64(copyDelayMax-copyDelayMin))), true
}

// copyDropped records a copy that a restarted process would have obeyed by the protocol.
func (r *rules) copyDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
}

// violation records and prints a broken rule.
func (r *rules) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violationLocked(format, args...)
}

func (r *rules) violationLocked(format string, args ...any) {
	r.broken++
	fmt.Printf("%.2f s "+format+"\n", append([]any{time.Since(r.startedAt).Seconds()}, args...)...)
}

// violations returns the number of broken rules.
func (r *rules) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// report prints what happened.
func (r *rules) report(cluster *testcluster.Cluster, jobs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Printf("%d jobs, %d cancellations confirmed, %d attempts started, %d failed, %d stopped; leader killed %d times; largest process %.0f MiB\n",
		jobs, len(r.confirmed), r.starts, r.failed, r.stopped, cluster.LeaderKills, cluster.PeakMiB())
	fmt.Printf("%d copies of answered requests, %d of them dropped before a restarted process had executed a probe\n", r.copies, r.dropped)
}

// numberOf returns the number of a task's job; see jobName.
func numberOf(task string) (number int) {
	_, _ = fmt.Sscanf(fakes.JobOf(task), "job-%d", &number)
	return number
}
