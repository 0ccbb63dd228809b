package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// Subsystem joins the loop for one term, for example to keep charges or to run graphs of jobs. The loop's goroutine
// makes all calls but Read, so a subsystem needs no lock, and must not wait for anything.
type Subsystem interface {
	// Read reads the subsystem's own records. It runs beside the loop, once the jobs'
	// records are in memory, and is repeated until it succeeds; the loop then calls take. What it
	// must look up in the job store meanwhile, ask has the loop do.
	Read(ctx context.Context, store *statestore.Client, ask func(func()) error) (take func(), err error)
	// Loaded tells that all jobs are in memory.
	Loaded(store *jobs.Store, now time.Time)
	// Admit says how many of a job's waiting tasks may start now, and the reason why no more.
	Admit(j *jobs.Job, now time.Time) (n int, reason string)
	// LimitTogether lowers counts, of the waiting tasks of each job that a look at all of them may
	// consider, to what may start together: each is at most what Admit allows.
	LimitTogether(waiting []*jobs.Job, counts []int, now time.Time)
	// Placed is told of an allocation, on a machine of a type.
	Placed(a *jobs.Allocation, spot bool, typ *wire.MachineType, now time.Time)
	// Ended is told of the proven end of an attempt, before the job store is.
	Ended(o machines.Outcome, now time.Time)
	// Finished is told that a job came to a final state, which is stored.
	Finished(f jobs.FinishedJob, now time.Time)
	// Tick does what is due, about every SubsystemTick, and names allocations that are to be stopped.
	Tick(now time.Time) []*jobs.Allocation
	// NextWrite gives a transaction of the subsystem's own, on keys that the job store does not
	// touch, of at most room changes; nil: none. One is in flight at a time.
	NextWrite(now time.Time, room int) *SubsystemWrite
	// Query answers a question of an operator or user: a path below the subsystem's own, as
	// in a URL. The error is ErrUnknownPath.
	Query(uri string, now time.Time) (Answer, error)
}

// CommandHandler is a subsystem that also carries out commands of users.
type CommandHandler interface {
	// Command carries out a command. answer is called once, by the loop's goroutine: at once, or
	// when what was decided is stored. The error is ErrUnknownPath; answer is not called then.
	Command(c Command, now time.Time, answer func(Answer)) error
}

// ErrUnknownPath means that a subsystem has no such path, which another may have.
var ErrUnknownPath = errors.New("nothing is known by that path here")

// Answer answers a query or command.
type Answer struct {
	Status int // as in HTTP
	Body   any // is sent as JSON; wire.Error from status 400 on
}

// Command asks a subsystem to change something. Whoever has no answer may repeat it.
type Command struct {
	Method string          `json:"method"` // as in HTTP
	URI    string          `json:"uri"`    // path and query
	Body   json.RawMessage `json:"body,omitempty"`
}

// SubsystemWrite is a transaction of a subsystem. Done is called with its revision.
type SubsystemWrite struct {
	Txn  wire.Txn
	Done func(revision uint64)
	// Conflict is called instead if a condition does not hold, which the subsystem expects
	// of some; nil: it expects it of none.
	Conflict func()
}

// subsystemSet is the subsystems that joined the loop.
type subsystemSet struct {
	joined   []Subsystem
	nextTick time.Time
	writes   subsystemWrites
}

// joinSubsystems makes the subsystems of a term. The loop runs without one that cannot join.
func joinSubsystems(join []func(*slog.Logger) (Subsystem, error), log *slog.Logger) subsystemSet {
	set := subsystemSet{writes: subsystemWrites{failed: map[Subsystem]bool{}}}
	for _, fn := range join {
		s, err := fn(log)
		if err != nil {
			log.Error("a subsystem cannot join", "err", err)
			continue
		}
		set.joined = append(set.joined, s)
	}
	return set
}

// admit is how many of a job's waiting tasks may start now, and the reason why no more.
func (s *subsystemSet) admit(j *jobs.Job, now time.Time) (n int, reason string) {
	n = j.Waiting()
	for _, sub := range s.joined {
		if may, why := sub.Admit(j, now); may < n {
			n, reason = may, why
		}
	}
	return n, reason
}

// startLimits is how many waiting tasks of each job a scheduling cycle or a plan of the fleet may consider.
func (s *subsystemSet) startLimits(waiting []*jobs.Job, now time.Time) []int {
	counts := make([]int, len(waiting))
	for i, j := range waiting {
		counts[i] = j.Waiting()
	}
	for _, sub := range s.joined {
		sub.LimitTogether(waiting, counts, now)
	}
	return counts
}

// readSubsystems has each subsystem read its records, beside the loop and the others.
func (l *Loop) readSubsystems() {
	for _, s := range l.subsystems.joined {
		go l.readSubsystem(s)
	}
}

// readSubsystem has a subsystem read its records, again until that succeeds.
func (l *Loop) readSubsystem(s Subsystem) {
	onLoop := func(fn func()) error { return l.do(l.ended, fn) }
	l.retry(l.ended, func() error {
		take, err := s.Read(l.ended, l.store, onLoop)
		if err != nil {
			return fmt.Errorf("reading a subsystem's records: %w", err)
		}
		l.post(func() { take(); l.cycle.wake() })
		return nil
	})
}

// stepSubsystems does what the subsystems have due.
func (l *Loop) stepSubsystems(now time.Time) {
	if !now.Before(l.subsystems.nextTick) {
		l.subsystems.nextTick = now.Add(tuning.SubsystemTick)
		l.env.observe(l.reportStateSize)
		for _, s := range l.subsystems.joined {
			l.sendCommands(s.Tick(now))
		}
	}
	l.writeSubsystems(now)
}
