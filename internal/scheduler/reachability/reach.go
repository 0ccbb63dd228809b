// Package reachability tells whether what the leader says gets to a machine. Reports that arrive prove only that the machine
// speaks: its answers and commands may be lost on the way, its reports may be copies that the network kept for
// minutes, and it may have been started anew. What proves that it is there, now, is its own answer to a question of ours,
// or a report that shows what only an answer of ours can have brought about.
//
// A State belongs to the leader's loop. It does no I/O.
package reachability

import (
	"time"

	"poppypass/internal/platform/tuning"
)

// State is what is known of the way to one machine.
type State struct {
	proven time.Time // when it last proved to hear us; zero: not yet in this term
	missed time.Time // since when answers to its reports have shown no effect; zero: the last one had, or none was to have any
	failed time.Time // when a question or command was sent that had no answer; zero: none since it was proven
	deaf   time.Time // since when it counts as deaf; zero: it does not
	until  time.Time // no work before, after it was deaf
	times  int       // how often it was found deaf, of late
	next   time.Time // no question before
	pause  time.Duration
	asking bool
}

// Acknowledged takes in that the machine heard us: it answered a question, or reports the effect of an answer. One that was deaf
// is given work again after a pause, which doubles each time.
func (s *State) Acknowledged(now time.Time) {
	if !s.deaf.IsZero() {
		s.until = now.Add(min(tuning.UnreachablePause<<min(s.times-1, 16), tuning.UnreachablePauseMax))
	}
	s.proven = now
	s.missed, s.failed, s.deaf = time.Time{}, time.Time{}, time.Time{}
	s.pause = 0
	if soon := now.Add(tuning.ProbePause); s.next.After(soon) {
		s.next = soon
	}
}

// NoteMissed takes in a report that shows no effect of the answer to the one before: that answer did not arrive, or came too
// late. By itself this proves nothing of the way; it has the machine asked.
func (s *State) NoteMissed(now time.Time) {
	if s.missed.IsZero() {
		s.missed = now
	}
	s.judge(now)
}

// NoteFailed takes in that a question or command, sent at a time, had no answer.
func (s *State) NoteFailed(sent, now time.Time) {
	if sent.Before(s.proven) {
		return // it proved to hear us since
	}
	if s.failed.Before(sent) {
		s.failed = sent
	}
	s.judge(now)
}

// judge finds a machine deaf that goes on reporting, shows no effect of an answer and did not answer a question: a slow
// answer alone, a lost question or a late copy are not enough.
func (s *State) judge(now time.Time) {
	if !s.deaf.IsZero() || s.missed.IsZero() || s.failed.IsZero() {
		return
	}
	if now.Sub(s.until) > tuning.UnreachableForget {
		s.times = 0
	}
	s.deaf, s.times = now, s.times+1
}

// Unreachable tells whether the machine reports but does not hear us.
func (s *State) Unreachable() bool { return !s.deaf.IsZero() }

// UnreachableSince is since when it does not; zero: it does.
func (s *State) UnreachableSince() time.Time { return s.deaf }

// EverAcknowledged tells whether the machine ever proved in this term to be there and to hear us.
func (s *State) EverAcknowledged() bool { return !s.proven.IsZero() }

// AcknowledgedAt is when it last did.
func (s *State) AcknowledgedAt() time.Time { return s.proven }

// Usable tells whether the machine may be given work now, as far as the way to it goes: it proved to hear us, or is
// trusted until there is reason to doubt it.
func (s *State) Usable(now time.Time, trusted bool) bool {
	return (trusted || s.EverAcknowledged()) && s.deaf.IsZero() && !now.Before(s.until)
}

// Suspect tells whether an answer of ours has had no effect so far, so that the machine is to be asked.
func (s *State) Suspect() bool { return !s.missed.IsZero() }

// ProbeDue tells whether the machine may be asked now, if there is reason to.
func (s *State) ProbeDue(now time.Time) bool { return !s.asking && !now.Before(s.next) }

// ProbeSent takes in that a question is on its way. The next comes after a pause that doubles until one is answered.
func (s *State) ProbeSent(now time.Time) {
	s.asking = true
	s.pause = min(max(tuning.ProbePause, 2*s.pause), tuning.ProbePauseMax)
	s.next = now.Add(s.pause)
}

// ProbeEnded takes in that the question came to its end, answered or not.
func (s *State) ProbeEnded() { s.asking = false }
