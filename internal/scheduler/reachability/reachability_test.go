package reachability

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"poppypass/internal/platform/tuning"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against marking a machine as unreachable because of a slow reply, a lost probe or a delayed copy of a
// heartbeat alone.
func TestUnreachableNeedsAMissedReplyAndAFailedProbe(t *testing.T) {
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		name        string
		events      func(s *State)
		unreachable bool
	}{
		{"a slow reply", func(s *State) { s.NoteMissedReply(at(5)); s.NoteMissedReply(at(10)) }, false},
		{"a lost probe", func(s *State) { s.NoteUnanswered(at(5), at(7)) }, false},
		{"a missed reply, then a failed probe", func(s *State) { s.NoteMissedReply(at(5)); s.NoteUnanswered(at(5), at(7)) }, true},
		{"a failed probe, then a missed reply", func(s *State) { s.NoteUnanswered(at(5), at(7)); s.NoteMissedReply(at(10)) }, true},
		{"acknowledged in between", func(s *State) { s.NoteMissedReply(at(5)); s.Acknowledged(at(6)); s.NoteUnanswered(at(7), at(9)) }, false},
		{"a probe sent before the acknowledgment", func(s *State) { s.Acknowledged(at(6)); s.NoteMissedReply(at(8)); s.NoteUnanswered(at(5), at(9)) }, false},
		{"acknowledged since", func(s *State) { s.NoteMissedReply(at(5)); s.NoteUnanswered(at(5), at(7)); s.Acknowledged(at(9)) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &State{}
			s.Acknowledged(t0)
			c.events(s)
			if got := s.Unreachable(); got != c.unreachable {
				t.Errorf("machine is unreachable: %v", got)
			}
		})
	}
	if new(State).Usable(t0, false) {
		t.Error("a machine that acknowledged nothing and is not trusted gets work")
	}
}

// Checks three properties over random histories: a machine that is found unreachable repeatedly waits longer for
// work, a machine that acknowledges messages gets work again within the longest pause, and the pauses between
// probes are respected.
func TestPausesBeforeWorkAndProbesOverRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, lastProbe := &State{}, t0, time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
			wasUnreachable, timesBefore := s.Unreachable(), s.timesUnreachable
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s.NoteMissedReply(now)
			case 1:
				s.NoteUnanswered(now.Add(-time.Second), now)
			case 2:
				s.Acknowledged(now)
				if pause := s.noWorkUntil.Sub(now); wasUnreachable && timesBefore > 1 && pause < min(2*tuning.UnreachablePause, tuning.UnreachablePauseMax) {
					t.Fatalf("work after a pause of only %v though the machine was unreachable %d times", pause, timesBefore)
				}
			case 3:
				if s.ProbeDue(now) {
					if !lastProbe.IsZero() && now.Sub(lastProbe) < tuning.ProbePause {
						t.Fatalf("probed only %v after the last probe", now.Sub(lastProbe))
					}
					s.ProbeSent(now)
					if s.ProbeDue(now) {
						t.Fatal("a probe is due while another is in flight")
					}
					s.ProbeEnded()
					lastProbe = now
				}
			}
			if s.Unreachable() && s.Usable(now, true) {
				t.Fatal("an unreachable machine gets work")
			}
		}
		s.Acknowledged(now)
		if !s.Usable(now.Add(tuning.UnreachablePauseMax), false) {
			t.Fatal("the machine gets no work though the longest pause is over")
		}
	})
}

// Guards against a machine that gets no work long after the path to it works again. A path that flapped for a
// quarter of an hour had its machine excluded for five minutes, while a job that fitted nowhere else waited.
func TestMachineGetsWorkSoonAfterFlappingPathRecovers(t *testing.T) {
	s, now := &State{}, t0
	for range 12 {
		now = now.Add(20 * time.Second)
		s.NoteMissedReply(now)
		s.NoteUnanswered(now, now.Add(time.Second))
		now = now.Add(20 * time.Second)
		s.Acknowledged(now)
	}
	if maxWait := 75 * time.Second; !s.Usable(now.Add(maxWait), true) {
		t.Errorf("the machine gets no work %v after it acknowledged a message", maxWait)
	}
}
