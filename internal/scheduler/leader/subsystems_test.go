package leader

import (
	"net/http"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
)

// busySubsystem always has something to write, and serves one command.
type busySubsystem struct {
	Subsystem
	name           string
	nextWriteCalls int
}

func (s *busySubsystem) NextWrite(time.Time, int) *SubsystemWrite {
	s.nextWriteCalls++
	return &SubsystemWrite{Txn: wire.Txn{Then: []wire.Change{{Put: s.name}}}}
}

func (s *busySubsystem) Command(c Command, _ time.Time, answer func(Answer)) error {
	if c.URI != "/"+s.name {
		return ErrUnknownPath
	}
	answer(Answer{http.StatusOK, s.name})
	return nil
}

func TestCommandsFindTheirSubsystem(t *testing.T) {
	l, _ := newTestLoop(t)
	l.subsystems.active = []Subsystem{&busySubsystem{name: "a"}, &busySubsystem{name: "b"}}
	for uri, want := range map[string]int{"/a": http.StatusOK, "/b": http.StatusOK, "/c": http.StatusNotFound} {
		got := make(chan int, 1)
		go func() {
			a, err := l.Command(t.Context(), Command{URI: uri})
			if err != nil {
				a.Status = -1
			}
			got <- a.Status
		}()
		(<-l.inbox)()
		if status := <-got; status != want {
			t.Errorf("command %s: status %d, want %d", uri, status, want)
		}
	}
}
