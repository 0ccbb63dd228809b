// Package reachability detects one-way partitions: machines whose heartbeats arrive while nothing that the leader
// sends reaches them. A heartbeat proves only that the machine sent it at some time. Replies and commands to the
// machine may be lost, its heartbeats may be copies that the network delayed by minutes, and its worker process may
// have been restarted. Two things prove that a machine exists now and that the leader reaches it: its answer to a
// probe, and a heartbeat that shows an effect that only a reply of the leader can have had.
//
// The reasoning is in docs/design/reach.md. The package does no I/O.
package reachability

import (
	"time"

	"poppypass/internal/platform/tuning"
)

// State is what the leader knows in this term about the network path to one machine. It belongs to the leader's
// loop and is not safe for concurrent use. The zero value is the state of a machine that has not acknowledged any
// message yet.
type State struct {
	acknowledgedAt   time.Time // when it last acknowledged a message; zero: not yet in this term
	missedSince      time.Time // when a reply to its heartbeats was first seen to have had no effect, since acknowledgedAt; zero: never
	unansweredSentAt time.Time // when the newest probe or command without an answer was sent; zero: none since acknowledgedAt

	unreachableSince time.Time // zero: it does not count as unreachable
	timesUnreachable int       // how often it was found unreachable, each time less than tuning.UnreachableForgetAfter after the previous noWorkUntil
	noWorkUntil      time.Time // it gets no work before this time because it was unreachable

	nextProbe     time.Time     // it is not probed before this time
	probePause    time.Duration // the pause after the last probe; doubles until a message is acknowledged
	probeInFlight bool          // a probe is in flight
}

// Acknowledged records that a message reached the machine: it answered a probe or command, or its heartbeat shows
// the effect of a reply. A machine that was unreachable gets work again after a pause, which doubles each time up
// to tuning.UnreachablePauseMax.
func (s *State) Acknowledged(now time.Time) {
	if s.Unreachable() {
		pause := tuning.UnreachablePause << min(s.timesUnreachable-1, 16)
		s.noWorkUntil = now.Add(min(pause, tuning.UnreachablePauseMax))
	}
	s.acknowledgedAt = now
	s.missedSince, s.unansweredSentAt, s.unreachableSince = time.Time{}, time.Time{}, time.Time{}
	s.probePause = 0
	if soon := now.Add(tuning.ProbePause); s.nextProbe.After(soon) {
		s.nextProbe = soon
	}
}

// NoteMissedReply records a heartbeat that shows no effect of the reply to the heartbeat before it: that reply did not
// arrive, or arrived too late. By itself this proves nothing about the path, but it makes the machine a suspect
// (Suspect).
func (s *State) NoteMissedReply(now time.Time) {
	if s.missedSince.IsZero() {
		s.missedSince = now
	}
	s.updateUnreachable(now)
}

// NoteUnanswered records that a probe or command, sent at sentAt, got no answer. The failure is ignored if the machine
// has acknowledged a message since sentAt.
func (s *State) NoteUnanswered(sentAt, now time.Time) {
	if sentAt.Before(s.acknowledgedAt) {
		return
	}
	if s.unansweredSentAt.Before(sentAt) {
		s.unansweredSentAt = sentAt
	}
	s.updateUnreachable(now)
}

// updateUnreachable marks a machine as unreachable if its heartbeats show no effect of a reply and it also left a
// probe or command unanswered. A slow reply, a lost probe or a delayed copy of a heartbeat alone is not enough.
func (s *State) updateUnreachable(now time.Time) {
	if s.Unreachable() || s.missedSince.IsZero() || s.unansweredSentAt.IsZero() {
		return
	}
	if now.Sub(s.noWorkUntil) > tuning.UnreachableForgetAfter {
		s.timesUnreachable = 0
	}
	s.unreachableSince = now
	s.timesUnreachable++
}

// Unreachable reports whether the machine was found to send heartbeats while nothing reaches it.
func (s *State) Unreachable() bool { return !s.unreachableSince.IsZero() }

// UnreachableSince returns since when the machine is unreachable; zero: it is not.
func (s *State) UnreachableSince() time.Time { return s.unreachableSince }

// EverAcknowledged reports whether the machine ever acknowledged a message in this term.
func (s *State) EverAcknowledged() bool { return !s.acknowledgedAt.IsZero() }

// AcknowledgedAt returns when the machine last acknowledged a message; zero: never in this term.
func (s *State) AcknowledgedAt() time.Time { return s.acknowledgedAt }

// Usable reports whether the machine may get work now, as far as the path to it is concerned. It must have acknowledged
// a message, unless it is trusted. It must not be unreachable, and the pause after it was unreachable must be over.
func (s *State) Usable(now time.Time, trusted bool) bool {
	return (trusted || s.EverAcknowledged()) && !s.Unreachable() && !now.Before(s.noWorkUntil)
}

// Suspect reports whether a reply to the machine had no effect and the machine has acknowledged no message since. Such a
// machine is to be probed.
func (s *State) Suspect() bool { return !s.missedSince.IsZero() }

// ProbeDue reports whether the machine may be probed now: no probe is in flight and the pause after the last one is
// over.
func (s *State) ProbeDue(now time.Time) bool { return !s.probeInFlight && !now.Before(s.nextProbe) }

// ProbeSent records that a probe was sent. The next one is due after a pause, which doubles from tuning.ProbePause
// up to tuning.ProbePauseMax until the machine acknowledges a message.
func (s *State) ProbeSent(now time.Time) {
	s.probeInFlight = true
	s.probePause = min(max(tuning.ProbePause, 2*s.probePause), tuning.ProbePauseMax)
	s.nextProbe = now.Add(s.probePause)
}

// ProbeEnded records that the probe ended, answered or not.
func (s *State) ProbeEnded() { s.probeInFlight = false }
