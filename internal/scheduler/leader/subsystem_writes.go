package leader

import (
	"errors"
	"fmt"
	"time"

	"poppypass/internal/platform/wire"
)

// subsystemWrites is the state of the subsystems' transactions. These transactions and those of the recordWriter change
// different keys, so they need not wait for each other.
type subsystemWrites struct {
	inFlight  bool               // whether a transaction is in flight
	turnCount int                // number of turns so far; determines which subsystem is next
	failed    map[Subsystem]bool // subsystems whose records could not be stored
	chain     transactionChain
}

// nextWrite returns the next transaction, with at most maxChanges changes, and its subsystem; nil if there is nothing
// to write. The subsystems take turns, because one that always has something to write must not hold up the others.
func (s *subsystemSet) nextWrite(now time.Time, maxChanges int) (Subsystem, *SubsystemWrite) {
	for range s.active {
		sub := s.active[s.writes.turnCount%len(s.active)]
		s.writes.turnCount++
		if s.writes.failed[sub] {
			continue
		}
		if w := sub.NextWrite(now, maxChanges); w != nil {
			return sub, w
		}
	}
	return nil, nil
}

// writeSubsystems starts the next transaction of the subsystems, if none is in flight.
func (l *Loop) writeSubsystems(now time.Time) {
	if l.subsystems.writes.inFlight {
		return
	}
	s, w := l.subsystems.nextWrite(now, l.store.SpareWrites()-1) // one change of the transaction writes keyChainLink
	if w == nil {
		return
	}
	l.subsystems.writes.inFlight = true
	go func() {
		revision, err := l.commitChained(w.Txn)
		if errors.Is(err, errDeposed) || l.termCtx.Err() != nil {
			l.endTerm(err)
			return
		}
		l.post(func() {
			l.subsystems.writes.inFlight = false
			l.subsystemWritten(s, w, revision, err)
		})
	}()
}

// subsystemWritten informs a subsystem of the outcome of its transaction.
func (l *Loop) subsystemWritten(s Subsystem, w *SubsystemWrite, revision uint64, err error) {
	switch {
	case errors.Is(err, errChanged) && w.Conflict != nil:
		w.Conflict()
	case err != nil:
		// Scheduling and the other subsystems continue. This subsystem writes nothing more in this term, and the
		// next leader starts from what is stored.
		l.log.Error("storing the records of a subsystem failed; it writes nothing more in this term", "err", err)
		l.subsystems.writes.failed[s] = true
	default:
		l.env.observe(func(o Observer) { o.RecordsWritten(len(w.Txn.Then)) })
		w.Done(revision)
	}
}

// keyChainLink is the key of a record, the link, that makes the subsystems' transactions form a chain. Each transaction
// writes the link, on the condition that the link still has the version that the previous transaction wrote.
//
// The chain prevents late duplicates. A transaction that was repeated for lack of an answer may be executed once more,
// seconds later and after newer transactions of this leader. By then a newer transaction has changed the version of the
// link, so the condition fails and the state service refuses the duplicate.
//
// Conditions on the versions of the other records that a transaction changes do not suffice: the transaction may delete
// records whatever their version is, or create a record that was deleted in the meantime. For example, a late duplicate
// of a graph's deletion would delete the parts of a graph that has been registered again since.
const keyChainLink = "aside/link"

// transactionChain is what the loop knows of the record at keyChainLink. Only the goroutine that commits uses it.
type transactionChain struct {
	versionKnown bool   // whether version is that of the stored record
	version      uint64 // 0: the record does not exist yet
	count        uint64 // number of transactions in this term
}

// chainLinkRecord is stored at keyChainLink. It is different in each transaction, so it shows whether a given one was
// applied.
type chainLinkRecord struct {
	Term   uint64 `json:"term"`
	Number uint64 `json:"n"` // number of the transaction among those of the subsystems in this term
}

// commitChained commits a subsystem's transaction as the next link of the chain. Only one is in flight at a time.
func (l *Loop) commitChained(t wire.Txn) (revision uint64, err error) {
	chain := &l.subsystems.writes.chain
	if err := l.readChain(chain); err != nil {
		return 0, err
	}
	chain.count++
	revision, err = l.commit(wire.Txn{
		If:   append([]wire.Condition{{Key: keyChainLink, Version: chain.version}}, t.If...),
		Then: append([]wire.Change{{Put: keyChainLink, Value: wire.EncodeRecord(chainLinkRecord{l.leadership.Term, chain.count})}}, t.Then...),
	}, nil)
	chain.versionKnown, chain.version = err == nil, revision
	return revision, err
}

// readChain reads the version of the chain's last link, if it is not known. The error is that of the ended term.
func (l *Loop) readChain(chain *transactionChain) error {
	if chain.versionKnown {
		return nil
	}
	read := l.retry(l.termCtx, func() error {
		item, _, err := l.store.Get(l.termCtx, keyChainLink)
		if err != nil {
			return fmt.Errorf("reading the chain of subsystems' transactions: %w", err)
		}
		chain.versionKnown, chain.version = true, item.Version
		return nil
	})
	if !read {
		return l.termCtx.Err()
	}
	return nil
}
