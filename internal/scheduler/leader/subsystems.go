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

// Subsystem is a component that runs inside the loop for one term, for example to record charges or to run graphs
// of jobs. All methods except Read are called by the loop's goroutine, so a subsystem needs no locks, and these
// methods must not block.
type Subsystem interface {
	// Read reads the subsystem's own records. It runs in a goroutine of its own, once the jobs' records are in
	// memory, and is repeated until it succeeds. The loop's goroutine then calls apply. If Read needs data of the
	// job store, it calls onLoop with a function that looks the data up; onLoop has the loop's goroutine run that
	// function.
	Read(ctx context.Context, store *statestore.Client, onLoop func(func()) error) (apply func(), err error)
	// Loaded is called when all jobs are in memory.
	Loaded(store *jobs.Store, now time.Time)
	// Admit returns how many of a job's waiting tasks may start now, and the reason why no more may.
	Admit(j *jobs.Job, now time.Time) (n int, reason string)
	// LimitStarts lowers counts so that all the tasks that are counted may start together. counts[i] is the number of
	// waiting tasks of waiting[i] that a scheduling cycle or a fleet plan may consider. After the call it is at most
	// the number that Admit returns for that job.
	LimitStarts(waiting []*jobs.Job, counts []int, now time.Time)
	// Placed is called when a task was allocated to a machine of the given type. spot is true for a spot machine.
	Placed(a *jobs.Allocation, spot bool, machineType *wire.MachineType, now time.Time)
	// Ended is called with the proven end of an attempt, before the job store is updated.
	Ended(o machines.Outcome, now time.Time)
	// Finished is called when a job's final state is stored.
	Finished(f jobs.FinishedJob, now time.Time)
	// Tick does the periodic work that is due. It is called about every tuning.SubsystemTick, and returns the
	// allocations whose tasks are to be stopped.
	Tick(now time.Time) []*jobs.Allocation
	// NextWrite returns the subsystem's next transaction, with at most maxChanges changes, on keys that the job
	// store does not touch; nil if there is nothing to write. Only one is in flight at a time.
	NextWrite(now time.Time, maxChanges int) *SubsystemWrite
	// Query answers a query of an operator or user. uri is a path below the subsystem's own, perhaps with a query
	// string. The error is ErrUnknownPath if the subsystem does not serve the path.
	Query(uri string, now time.Time) (Answer, error)
}

// CommandHandler is a subsystem that also executes commands of users.
type CommandHandler interface {
	// Command executes a command. It calls answer once, on the loop's goroutine: at once, or when the outcome is
	// stored. If the subsystem does not serve the command's path, Command returns ErrUnknownPath and does not call
	// answer.
	Command(c Command, now time.Time, answer func(Answer)) error
}

// ErrUnknownPath means that a subsystem does not serve a path. Another subsystem may.
var ErrUnknownPath = errors.New("nothing is known by that path here")

// Answer is the answer to a query or command.
type Answer struct {
	Status int // HTTP status code
	Body   any // sent as JSON; a wire.Error if the status is 400 or higher
}

// Command asks a subsystem to change something. Clients that get no answer may repeat it.
type Command struct {
	Method string          `json:"method"` // HTTP method
	URI    string          `json:"uri"`    // path and query
	Body   json.RawMessage `json:"body,omitempty"`
}

// SubsystemWrite is a transaction of a subsystem. When it is committed, Done is called with its revision.
type SubsystemWrite struct {
	Txn  wire.Txn
	Done func(revision uint64)
	// Conflict is called instead of Done if a condition does not hold. It is nil if the subsystem expects all
	// conditions to hold; a failed condition is then an error, and the subsystem writes nothing more in this term.
	Conflict func()
}

// subsystemSet holds the subsystems that run inside the loop.
type subsystemSet struct {
	active   []Subsystem
	nextTick time.Time // when Tick is next called
	writes   subsystemWrites
}

// newSubsystemSet constructs the subsystems of a term. The loop runs without those that cannot be constructed.
func newSubsystemSet(constructors []func(*slog.Logger) (Subsystem, error), log *slog.Logger) subsystemSet {
	set := subsystemSet{writes: subsystemWrites{failed: map[Subsystem]bool{}}}
	for _, construct := range constructors {
		s, err := construct(log)
		if err != nil {
			log.Error("constructing a subsystem failed; leading without it in this term", "err", err)
			continue
		}
		set.active = append(set.active, s)
	}
	return set
}

// admit returns how many of a job's waiting tasks all subsystems allow to start now, and the reason why no more may.
func (s *subsystemSet) admit(j *jobs.Job, now time.Time) (n int, reason string) {
	n = j.Waiting()
	for _, sub := range s.active {
		if admitted, refusal := sub.Admit(j, now); admitted < n {
			n, reason = admitted, refusal
		}
	}
	return n, reason
}

// startLimits returns how many waiting tasks of each job a scheduling cycle or a fleet plan may consider.
func (s *subsystemSet) startLimits(waiting []*jobs.Job, now time.Time) []int {
	counts := make([]int, len(waiting))
	for i, j := range waiting {
		counts[i] = j.Waiting()
	}
	for _, sub := range s.active {
		sub.LimitStarts(waiting, counts, now)
	}
	return counts
}

// readSubsystems has each subsystem read its records, in a goroutine of its own.
func (l *Loop) readSubsystems() {
	for _, s := range l.subsystems.active {
		go l.readSubsystem(s)
	}
}

// readSubsystem has a subsystem read its records, and repeats that until it succeeds.
func (l *Loop) readSubsystem(s Subsystem) {
	onLoop := func(fn func()) error { return l.do(l.termCtx, fn) }
	l.retry(l.termCtx, func() error {
		apply, err := s.Read(l.termCtx, l.store, onLoop)
		if err != nil {
			return fmt.Errorf("reading a subsystem's records: %w", err)
		}
		l.post(func() { apply(); l.cycle.wake() })
		return nil
	})
}

// stepSubsystems runs the periodic work of the subsystems if it is due, and writes their records.
func (l *Loop) stepSubsystems(now time.Time) {
	if !now.Before(l.subsystems.nextTick) {
		l.subsystems.nextTick = now.Add(tuning.SubsystemTick)
		l.env.observe(l.reportStateSize)
		for _, s := range l.subsystems.active {
			l.sendCommands(s.Tick(now))
		}
	}
	l.writeSubsystems(now)
}
