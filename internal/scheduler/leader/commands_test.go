package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
)

// Guards against work that is placed on machines that hang or died a moment ago: they count
// as heard for two and a half heartbeats, and what is started there waits for as long as they hang.
func TestNothingIsPlacedOnMachineWithUnansweredCommand(t *testing.T) {
	l, advance := twoZones(t, 1)
	open := func() string {
		var names []string
		for _, v := range l.openMachines(l.env.Clock.Now()) {
			names = append(names, v.Name)
		}
		slices.Sort(names)
		return fmt.Sprint(names)
	}
	if got := open(); got != "[n-0 n-1]" {
		t.Fatalf("open: %s", got)
	}
	advance(time.Second)
	l.env.Valid = func(uint64) bool { return true }
	l.sendCommandsTo("n-0", "127.0.0.1:1", &wire.DirectCommands{Incarnation: 1}) // nobody is there
	for len(l.inbox) > 0 {
		(<-l.inbox)()
	}
	if got := open(); got != "[n-1]" {
		t.Errorf("open after a command without an answer: %s", got)
	}
	advance(time.Second)
	if _, err := l.handleHeartbeat(&wire.Heartbeat{Machine: "n-0", Address: "127.0.0.1:1", Type: "small", Zone: "a", Incarnation: 1, Seq: 2, FencingToken: 1}); err != nil {
		t.Fatal(err)
	}
	if got := open(); got != "[n-0 n-1]" {
		t.Errorf("open after its next heartbeat: %s", got)
	}
}
