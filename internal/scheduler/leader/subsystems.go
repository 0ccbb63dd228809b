package leader

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// Subsystem is a subsystem that joins the loop for one tenure. The loop's goroutine
// makes all calls but Read, so a slice needs no lock, and must not wait for anything.
type Subsystem interface {
	// Read reads the slice's own records. It runs beside the loop, once the jobs'
	// records are in, and is repeated until it succeeds; the loop then calls take. What it
	// must look up in the book meanwhile, ask has the loop do.
	Read(ctx context.Context, store *statestore.Client, ask func(func()) error) (take func(), err error)
	// Loaded tells that the book is in.
	Loaded(book *jobs.Store, now time.Time)
	// Admit says how many of a job's waiting tasks may start now, and why no more.
	Admit(j *jobs.Job, now time.Time) (n int, why string)
	// LimitTogether lowers counts, of the waiting tasks of each job that a look at all of them may
	// consider, to what may start together: each is at most what Admit allows.
	LimitTogether(waiting []*jobs.Job, counts []int, now time.Time)
	// Placed hears of a decision, on a machine of a type.
	Placed(p *jobs.Allocation, spot bool, typ *wire.MachineType, now time.Time)
	// Ended hears of the proven end of an attempt, before the book does.
	Ended(o machines.Outcome, now time.Time)
	// Finished hears that a job came to a final state, which is stored.
	Finished(o jobs.FinishedJob, now time.Time)
	// Tick does what is due, about every SliceTick, and names places that are to be stopped.
	Tick(now time.Time) []*jobs.Allocation
	// NextWrite gives a transaction of the slice's own, on keys that the book does not
	// touch, of at most room changes; nil: none. One is on its way at a time.
	NextWrite(now time.Time, room int) *SubsystemWrite
	// Query answers a question of an operator or user: a path below the slice's own, as
	// in a URL. ok is false when the slice knows no such path.
	Query(uri string, now time.Time) (status int, body any, ok bool)
}

// CommandHandler is a slice that also carries out commands of users.
type CommandHandler interface {
	// Command carries out a command. answer is called once, by the loop's goroutine: at once, or
	// when what was decided is stored. ok is false when the slice knows no such command.
	Command(c Command, now time.Time, answer func(status int, body any)) (ok bool)
}

// Command asks a subsystem to change something. Whoever has no answer may repeat it.
type Command struct {
	Method string          `json:"method"` // as in HTTP
	URI    string          `json:"uri"`    // path and query
	Body   json.RawMessage `json:"body,omitempty"`
}

// SubsystemWrite is a transaction of a slice. Done is called with its revision.
type SubsystemWrite struct {
	Txn  wire.Txn
	Done func(revision uint64)
	// Conflict is called instead if a condition does not hold, which the slice expects
	// of some; nil: it expects it of none.
	Conflict func()
}

// readSubsystems has each slice read its records.
func (l *Loop) readSubsystems() {
	for _, s := range l.subsystems {
		go func() {
			for pause := tuning.StateRetry; l.ended.Err() == nil; pause = min(2*pause, tuning.StateRetryMax) {
				take, err := s.Read(l.ended, l.store, func(fn func()) error {
					_, err := ask(l.ended, l, func(answer func(bool)) { fn(); answer(true) })
					return err
				})
				if err == nil {
					l.post(func() { take(); l.changed = true })
					return
				}
				l.log.Debug("a slice's records are unreadable", "err", err)
				l.env.sleep(l.ended, pause)
			}
		}()
	}
}

// admissible is how many of a job's waiting tasks may start now.
func (l *Loop) admissible(j *jobs.Job, now time.Time) (n int, why string) {
	n = j.Waiting()
	for _, s := range l.subsystems {
		if may, reason := s.Admit(j, now); may < n {
			n, why = may, reason
		}
	}
	return n, why
}

// startLimits is how many waiting tasks of each job a pass or a plan may consider.
func (l *Loop) startLimits(waiting []*jobs.Job, now time.Time) []int {
	counts := make([]int, len(waiting))
	for i, j := range waiting {
		counts[i] = j.Waiting()
	}
	for _, s := range l.subsystems {
		s.LimitTogether(waiting, counts, now)
	}
	return counts
}

// stepSubsystems does what the slices have due.
func (l *Loop) stepSubsystems(now time.Time) {
	if !now.Before(l.nextSubsystems) {
		l.nextSubsystems = now.Add(tuning.SubsystemTick)
		l.env.observe(l.reportStateSize)
		for _, s := range l.subsystems {
			l.sendCommands(s.Tick(now))
		}
	}
	if l.subsystemWriting {
		return
	}
	s, w := l.nextWrite(now, l.store.SpareWrites()-1) // one change is the link's
	if w == nil {
		return
	}
	// Its keys are none of the book's, so the two need not wait for each other.
	l.subsystemWriting = true
	go func() {
		revision, err := l.commitChained(w.Txn)
		switch {
		case errors.Is(err, errDeposed) || l.ended.Err() != nil:
			l.end(err)
			return
		case errors.Is(err, errChanged) && w.Conflict != nil:
			l.post(func() { l.subsystemWriting = false; w.Conflict() })
			return
		case err != nil:
			// The scheduling and the other subsystems go on; this one writes no more in this
			// tenure, and the next leader begins from what is stored.
			l.log.Error("a subsystem's records cannot be stored", "err", err)
			l.post(func() { l.subsystemWriting, l.broken[s] = false, true })
			return
		}
		l.post(func() {
			l.subsystemWriting = false
			l.env.observe(func(o Observer) { o.RecordsWritten(len(w.Txn.Then)) })
			w.Done(revision)
		})
	}()
}

// keyLink is changed by every transaction of the subsystems, and each is guarded on it: they form a chain. One that had no answer and
// was repeated may be carried out once more, seconds later and after newer ones of ours. Guards on the versions of what it
// changes do not refuse that where it drops records whatever they hold, or adds one that was dropped again since: a graph
// that was registered anew lost its parts. The link of the chain that it was made for is gone by then.
const keyLink = "aside/link"

// transactionChain is what the loop knows of that record; whoever commits owns it.
type transactionChain struct {
	known   bool   // version is what is stored
	version uint64 // 0: there is none yet
	n       uint64 // of transactions in this tenure
}

// linkRecord is different in each transaction, so that it tells whether one was carried out.
type linkRecord struct {
	Term uint64 `json:"term"`
	N    uint64 `json:"n"`
}

// commitChained commits a subsystem's transaction as the next link. One is on its way at a time.
func (l *Loop) commitChained(t wire.Txn) (revision uint64, err error) {
	for pause := tuning.StateRetry; !l.chain.known; pause = min(2*pause, tuning.StateRetryMax) {
		item, _, err := l.store.Get(l.ended, keyLink)
		if err == nil {
			l.chain.known, l.chain.version = true, item.Version
			break
		}
		if l.env.sleep(l.ended, pause); l.ended.Err() != nil {
			return 0, err
		}
	}
	l.chain.n++
	revision, err = l.commit(wire.Txn{
		If:   append([]wire.Condition{{Key: keyLink, Version: l.chain.version}}, t.If...),
		Then: append([]wire.Change{{Put: keyLink, Value: wire.EncodeRecord(linkRecord{l.leadership.Term, l.chain.n})}}, t.Then...),
	}, nil)
	l.chain.known, l.chain.version = err == nil, revision
	return revision, err
}

// nextWrite gives the next transaction of the subsystems, which take turns: one that always
// has something to write must not hold up the others.
func (l *Loop) nextWrite(now time.Time, room int) (Subsystem, *SubsystemWrite) {
	for range l.subsystems {
		s := l.subsystems[l.turn%len(l.subsystems)]
		l.turn++
		if l.broken[s] {
			continue
		}
		if w := s.NextWrite(now, room); w != nil {
			return s, w
		}
	}
	return nil, nil
}

// Query answers a question, or 404. The answer is JSON.
func (l *Loop) Query(ctx context.Context, uri string) (status int, body any, err error) {
	r, err := ask(ctx, l, func(answer func(queryResponse)) {
		now := l.env.Clock.Now()
		if !l.loaded {
			answer(queryResponse{http.StatusServiceUnavailable, wire.Error{Error: "the records are being read"}})
			return
		}
		if id, ok := jobIDFromPath(uri, wire.EndExplain); ok {
			status, body := l.explain(id, now)
			answer(queryResponse{status, body})
			return
		}
		for _, s := range l.subsystems {
			if status, body, ok := s.Query(uri, now); ok {
				answer(queryResponse{status, body})
				return
			}
		}
		answer(queryResponse{http.StatusNotFound, wire.Error{Error: "nothing is known by that path here"}})
	})
	return r.status, r.body, err
}

// Command has a subsystem carry out a command. The answer is JSON.
func (l *Loop) Command(ctx context.Context, c Command) (status int, body any, err error) {
	r, err := ask(ctx, l, func(answer func(queryResponse)) {
		tell := func(status int, body any) { answer(queryResponse{status, body}) }
		if !l.loaded {
			tell(http.StatusServiceUnavailable, wire.Error{Error: "the records are being read"})
			return
		}
		for _, s := range l.subsystems {
			if d, ok := s.(CommandHandler); ok && d.Command(c, l.env.Clock.Now(), tell) {
				l.changed = true
				return
			}
		}
		tell(http.StatusNotFound, wire.Error{Error: "nothing is known by that path here"})
	})
	return r.status, r.body, err
}

// queryResponse is an answer of a subsystem.
type queryResponse struct {
	status int
	body   any
}

// reportStateSize tells an observer what the loop holds.
func (l *Loop) reportStateSize(o Observer) {
	waiting := map[string]int{}
	for _, j := range l.jobs.Jobs {
		if j.CanStart() {
			waiting[j.Class] += j.Waiting()
		}
	}
	o.StateSize(len(l.jobs.Jobs), len(l.machines.Machines), waiting, l.oldestWaits(l.env.Clock.Now()))
}
