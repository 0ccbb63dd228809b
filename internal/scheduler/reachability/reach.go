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

// Proved takes in that the machine heard us: it answered a question, or reports the effect of an answer. One that was deaf
// is given work again after a pause, which doubles each time.
func (s *State) Proved(now time.Time) {
	if !s.deaf.IsZero() {
		s.until = now.Add(min(tuning.DeafPause<<min(s.times-1, 16), tuning.DeafPauseMax))
	}
	s.proven = now
	s.missed, s.failed, s.deaf = time.Time{}, time.Time{}, time.Time{}
	s.pause = 0
	if soon := now.Add(tuning.AskPause); s.next.After(soon) {
		s.next = soon
	}
}

// Missed takes in a report that shows no effect of the answer to the one before: that answer did not arrive, or came too
// late. By itself this proves nothing of the way; it has the machine asked.
func (s *State) Missed(now time.Time) {
	if s.missed.IsZero() {
		s.missed = now
	}
	s.judge(now)
}

// Failed takes in that a question or command, sent at a time, had no answer.
func (s *State) Failed(sent, now time.Time) {
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
	if now.Sub(s.until) > tuning.DeafForget {
		s.times = 0
	}
	s.deaf, s.times = now, s.times+1
}

// Deaf tells whether the machine reports but does not hear us.
func (s *State) Deaf() bool { return !s.deaf.IsZero() }

// DeafSince is since when it does not; zero: it does.
func (s *State) DeafSince() time.Time { return s.deaf }

// Proven tells whether the machine ever proved in this term to be there and to hear us.
func (s *State) Proven() bool { return !s.proven.IsZero() }

// ProvenAt is when it last did.
func (s *State) ProvenAt() time.Time { return s.proven }

// Usable tells whether the machine may be given work now, as far as the way to it goes: it proved to hear us, or is
// trusted until there is reason to doubt it.
func (s *State) Usable(now time.Time, trusted bool) bool {
	return (trusted || s.Proven()) && s.deaf.IsZero() && !now.Before(s.until)
}

// Doubted tells whether an answer of ours has had no effect so far, so that the machine is to be asked.
func (s *State) Doubted() bool { return !s.missed.IsZero() }

// Due tells whether the machine may be asked now, if there is reason to.
func (s *State) Due(now time.Time) bool { return !s.asking && !now.Before(s.next) }

// Ask takes in that a question is on its way. The next comes after a pause that doubles until one is answered.
func (s *State) Ask(now time.Time) {
	s.asking = true
	s.pause = min(max(tuning.AskPause, 2*s.pause), tuning.AskPauseMax)
	s.next = now.Add(s.pause)
}

// Asked takes in that the question came to its end, answered or not.
func (s *State) Asked() { s.asking = false }
