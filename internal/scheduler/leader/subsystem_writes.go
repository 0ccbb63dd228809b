package leader

import (
	"errors"
	"fmt"
	"time"

	"poppypass/internal/platform/wire"
)

// subsystemWrites is what the loop keeps for the subsystems' transactions. Their keys are none of the job store's, so they and
// the recordWriter's need not wait for each other.
type subsystemWrites struct {
	inFlight bool               // a transaction is
	turn     int                // counts whose turn it is
	failed   map[Subsystem]bool // those whose records could not be stored
	chain    transactionChain
}

// nextWrite gives the next transaction of the subsystems, which take turns: one that always
// has something to write must not hold up the others.
func (s *subsystemSet) nextWrite(now time.Time, room int) (Subsystem, *SubsystemWrite) {
	for range s.joined {
		sub := s.joined[s.writes.turn%len(s.joined)]
		s.writes.turn++
		if s.writes.failed[sub] {
			continue
		}
		if w := sub.NextWrite(now, room); w != nil {
			return sub, w
		}
	}
	return nil, nil
}

// writeSubsystems begins the next transaction of the subsystems, if none is in flight.
func (l *Loop) writeSubsystems(now time.Time) {
	if l.subsystems.writes.inFlight {
		return
	}
	s, w := l.subsystems.nextWrite(now, l.store.SpareWrites()-1) // one change is the chain's
	if w == nil {
		return
	}
	l.subsystems.writes.inFlight = true
	go func() {
		revision, err := l.commitChained(w.Txn)
		if errors.Is(err, errDeposed) || l.ended.Err() != nil {
			l.end(err)
			return
		}
		l.post(func() {
			l.subsystems.writes.inFlight = false
			l.subsystemWritten(s, w, revision, err)
		})
	}()
}

// subsystemWritten tells a subsystem what became of its transaction.
func (l *Loop) subsystemWritten(s Subsystem, w *SubsystemWrite, revision uint64, err error) {
	switch {
	case errors.Is(err, errChanged) && w.Conflict != nil:
		w.Conflict()
	case err != nil:
		// The scheduling and the other subsystems go on; this one writes no more in this
		// term, and the next leader begins from what is stored.
		l.log.Error("a subsystem's records cannot be stored", "err", err)
		l.subsystems.writes.failed[s] = true
	default:
		l.env.observe(func(o Observer) { o.RecordsWritten(len(w.Txn.Then)) })
		w.Done(revision)
	}
}

// keyLink is changed by every transaction of the subsystems, and each is guarded on it: they form a chain. One that had no answer and
// was repeated may be carried out once more, seconds later and after newer ones of ours. Guards on the versions of what it
// changes do not refuse that where it drops records whatever they hold, or adds one that was dropped again since: a graph
// that was registered anew lost its parts. The link of the chain that it was made for is gone by then.
const keyLink = "aside/link"

// transactionChain is what the loop knows of that record; the goroutine that commits owns it.
type transactionChain struct {
	known   bool   // version is what is stored
	version uint64 // 0: there is none yet
	n       uint64 // of transactions in this term
}

// linkRecord is different in each transaction, so that it tells whether one was carried out.
type linkRecord struct {
	Term uint64 `json:"term"`
	N    uint64 `json:"n"`
}

// commitChained commits a subsystem's transaction as the next link of the chain. One is in flight at a time.
func (l *Loop) commitChained(t wire.Txn) (revision uint64, err error) {
	chain := &l.subsystems.writes.chain
	if err := l.readChain(chain); err != nil {
		return 0, err
	}
	chain.n++
	revision, err = l.commit(wire.Txn{
		If:   append([]wire.Condition{{Key: keyLink, Version: chain.version}}, t.If...),
		Then: append([]wire.Change{{Put: keyLink, Value: wire.EncodeRecord(linkRecord{l.leadership.Term, chain.n})}}, t.Then...),
	}, nil)
	chain.known, chain.version = err == nil, revision
	return revision, err
}

// readChain reads the chain's last link, if it is not known. The error is that of a term that ended meanwhile.
func (l *Loop) readChain(chain *transactionChain) error {
	if chain.known {
		return nil
	}
	read := l.retry(l.ended, func() error {
		item, _, err := l.store.Get(l.ended, keyLink)
		if err != nil {
			return fmt.Errorf("reading the chain of subsystems' transactions: %w", err)
		}
		chain.known, chain.version = true, item.Version
		return nil
	})
	if !read {
		return l.ended.Err()
	}
	return nil
}
