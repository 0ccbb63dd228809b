// Package reachability detects one-way partitions: machines whose heartbeats arrive while nothing that the leader sends gets
// to them. A heartbeat proves only that the machine sends. Replies and commands to it may be lost, its heartbeats may be
// copies that the network kept for minutes, and its worker process may have been restarted. What proves that a machine
// is there now and is reached is its answer to a probe, or a heartbeat that shows what only a reply of the leader can have
// brought about.
//
// The argument is in docs/design/reach.md. The package does no I/O.
package reachability

import (
	"time"

	"poppypass/internal/platform/tuning"
)

// State is what is known of the path to one machine in this term. It belongs to the leader's loop and is not safe for
// concurrent use. The zero value is a machine that has acknowledged nothing yet.
type State struct {
	acknowledgedAt time.Time // when it last acknowledged a message; zero: not yet in this term
	missedSince    time.Time // since when replies to its heartbeats have had no effect; zero: the last one had, or was to have none
	failedAt       time.Time // when a probe or command was sent that had no answer; zero: none since acknowledgedAt

	unreachableSince time.Time // zero: it does not count as unreachable
	timesUnreachable int       // how often it was found unreachable, within tuning.UnreachableForget of the time before
	noWorkUntil      time.Time // it gets no work before, since it was unreachable

	nextProbe  time.Time // it is not probed before
	probePause time.Duration
	probing    bool // a probe is on its way
}

// Acknowledged records that a message reached the machine: it answered a probe, or its heartbeat shows the effect of a reply.
// One that was unreachable gets work again after a pause, which doubles each time up to tuning.UnreachablePauseMax.
func (s *State) Acknowledged(now time.Time) {
	if s.Unreachable() {
		pause := tuning.UnreachablePause << min(s.timesUnreachable-1, 16)
		s.noWorkUntil = now.Add(min(pause, tuning.UnreachablePauseMax))
	}
	s.acknowledgedAt = now
	s.missedSince, s.failedAt, s.unreachableSince = time.Time{}, time.Time{}, time.Time{}
	s.probePause = 0
	if soon := now.Add(tuning.ProbePause); s.nextProbe.After(soon) {
		s.nextProbe = soon
	}
}

// NoteMissed records a heartbeat that shows no effect of the reply to the one before: that reply did not arrive, or came too
// late. By itself this proves nothing of the path; it makes the machine Suspect.
func (s *State) NoteMissed(now time.Time) {
	if s.missedSince.IsZero() {
		s.missedSince = now
	}
	s.judge(now)
}

// NoteFailed records that a probe or command, sent at a time, had no answer. It counts for nothing if the machine has
// acknowledged a message since it was sent.
func (s *State) NoteFailed(sent, now time.Time) {
	if sent.Before(s.acknowledgedAt) {
		return
	}
	if s.failedAt.Before(sent) {
		s.failedAt = sent
	}
	s.judge(now)
}

// judge finds a machine unreachable that goes on sending heartbeats, shows no effect of a reply and did not answer a probe or
// command. A slow reply alone, a lost probe or a delayed copy are not enough.
func (s *State) judge(now time.Time) {
	if s.Unreachable() || s.missedSince.IsZero() || s.failedAt.IsZero() {
		return
	}
	if now.Sub(s.noWorkUntil) > tuning.UnreachableForget {
		s.timesUnreachable = 0
	}
	s.unreachableSince = now
	s.timesUnreachable++
}

// Unreachable reports whether heartbeats of the machine arrive while nothing reaches it.
func (s *State) Unreachable() bool { return !s.unreachableSince.IsZero() }

// UnreachableSince returns since when the machine is unreachable; zero: it is not.
func (s *State) UnreachableSince() time.Time { return s.unreachableSince }

// EverAcknowledged reports whether the machine ever acknowledged a message in this term.
func (s *State) EverAcknowledged() bool { return !s.acknowledgedAt.IsZero() }

// AcknowledgedAt returns when the machine last acknowledged a message; zero: never in this term.
func (s *State) AcknowledgedAt() time.Time { return s.acknowledgedAt }

// Usable reports whether the machine may be given work now, as far as reaching it goes: it has acknowledged a message, or is
// trusted until something speaks against it.
func (s *State) Usable(now time.Time, trusted bool) bool {
	return (trusted || s.EverAcknowledged()) && !s.Unreachable() && !now.Before(s.noWorkUntil)
}

// Suspect reports whether a reply has had no effect so far, so that the machine is to be probed.
func (s *State) Suspect() bool { return !s.missedSince.IsZero() }

// ProbeDue reports whether the machine may be probed now, if there is reason to: one probe at a time, with pauses.
func (s *State) ProbeDue(now time.Time) bool { return !s.probing && !now.Before(s.nextProbe) }

// ProbeSent records that a probe is on its way. The next one is due after a pause, which doubles from tuning.ProbePause to
// tuning.ProbePauseMax until one is answered.
func (s *State) ProbeSent(now time.Time) {
	s.probing = true
	s.probePause = min(max(tuning.ProbePause, 2*s.probePause), tuning.ProbePauseMax)
	s.nextProbe = now.Add(s.probePause)
}

// ProbeEnded records that the probe ended, answered or not.
func (s *State) ProbeEnded() { s.probing = false }
