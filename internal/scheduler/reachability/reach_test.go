package reachability

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"poppypass/internal/platform/tuning"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against a slow answer, a lost question or a late copy that looks like a machine which nothing reaches.
func TestOnlyAMachineThatShowsNoEffectAndDoesNotAnswerIsDeaf(t *testing.T) {
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		name string
		does func(s *State)
		deaf bool
	}{
		{"a slow answer", func(s *State) { s.NoteMissed(at(5)); s.NoteMissed(at(10)) }, false},
		{"a lost question", func(s *State) { s.NoteFailed(at(5), at(7)) }, false},
		{"no effect, and no answer", func(s *State) { s.NoteMissed(at(5)); s.NoteFailed(at(5), at(7)) }, true},
		{"no answer, then no effect", func(s *State) { s.NoteFailed(at(5), at(7)); s.NoteMissed(at(10)) }, true},
		{"an answer in between", func(s *State) { s.NoteMissed(at(5)); s.Acknowledged(at(6)); s.NoteFailed(at(7), at(9)) }, false},
		{"a question that was sent before the proof", func(s *State) { s.Acknowledged(at(6)); s.NoteMissed(at(8)); s.NoteFailed(at(5), at(9)) }, false},
		{"proved since", func(s *State) { s.NoteMissed(at(5)); s.NoteFailed(at(5), at(7)); s.Acknowledged(at(9)) }, false},
	} {
		s := &State{}
		s.Acknowledged(t0)
		c.does(s)
		if deaf := s.Unreachable(); deaf != c.deaf {
			t.Errorf("%s: deaf %v", c.name, deaf)
		}
	}
	if new(State).Usable(t0, false) {
		t.Error("a machine that proved nothing is given work")
	}
}

// Random histories: a machine that is found deaf again and again gets work ever more seldom, one that goes on
// proving itself gets work again within the longest pause, and questions keep their pauses.
func TestHysteresis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, asked := &State{}, t0, time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
			wasDeaf, times := !s.deaf.IsZero(), s.times
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s.NoteMissed(now)
			case 1:
				s.NoteFailed(now.Add(-time.Second), now)
			case 2:
				s.Acknowledged(now)
				if pause := s.until.Sub(now); wasDeaf && times > 1 && pause < min(2*tuning.UnreachablePause, tuning.UnreachablePauseMax) {
					t.Fatalf("work %v after it was deaf %d times", pause, times)
				}
			case 3:
				if s.ProbeDue(now) {
					if !asked.IsZero() && now.Sub(asked) < tuning.ProbePause {
						t.Fatalf("asked %v after the last question", now.Sub(asked))
					}
					s.ProbeSent(now)
					if s.ProbeDue(now) {
						t.Fatal("two questions at a time")
					}
					s.ProbeEnded()
					asked = now
				}
			}
			if s.Unreachable() && s.Usable(now, true) {
				t.Fatal("a deaf machine is given work")
			}
		}
		s.Acknowledged(now)
		if !s.Usable(now.Add(tuning.UnreachablePauseMax), false) {
			t.Fatal("shut out for longer than the longest pause")
		}
	})
}

// Guards against a machine that gets no work long after the way to it is whole again: a way that flapped for a quarter of an hour had it
// shut out for five minutes, and a job that fitted nowhere else waited beside its room.
func TestAMachineIsNotShutOutForLong(t *testing.T) {
	s, now := &State{}, t0
	for range 12 {
		now = now.Add(20 * time.Second)
		s.NoteMissed(now)
		s.NoteFailed(now, now.Add(time.Second))
		now = now.Add(20 * time.Second)
		s.Acknowledged(now)
	}
	if most := 75 * time.Second; !s.Usable(now.Add(most), true) {
		t.Errorf("%v after it heard us it is given no work", most)
	}
}
