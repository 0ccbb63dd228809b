package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
)

// Guards against placing work on a machine that hangs, or died a moment ago. Such a machine counts as alive for two and a
// half heartbeat intervals, and a task that is started on it in that time waits for as long as the machine hangs.
func TestNothingIsPlacedOnMachineWithUnansweredCommand(t *testing.T) {
	l, advance := newTwoZoneLoop(t, 1)
	openMachines := func() string {
		var names []string
		for _, v := range l.schedulableMachines(l.env.Clock.Now()) {
			names = append(names, v.Name)
		}
		slices.Sort(names)
		return fmt.Sprint(names)
	}
	if got := openMachines(); got != "[n-0 n-1]" {
		t.Fatalf("machines open for placement at first: %s", got)
	}
	advance(time.Second)
	l.env.MayAct = func(uint64) bool { return true }
	l.sendCommandsTo("n-0", "127.0.0.1:1", &wire.DirectCommands{Incarnation: 1}) // nothing listens there
	for len(l.inbox) > 0 {
		(<-l.inbox)()
	}
	if got := openMachines(); got != "[n-1]" {
		t.Errorf("machines open for placement after n-0 left a command unanswered: %s", got)
	}
	advance(time.Second)
	if _, err := l.handleHeartbeat(&wire.Heartbeat{Machine: "n-0", Address: "127.0.0.1:1", Type: "small", Zone: "a", Incarnation: 1, Seq: 2, FencingToken: 1}); err != nil {
		t.Fatal(err)
	}
	if got := openMachines(); got != "[n-0 n-1]" {
		t.Errorf("machines open for placement after the next heartbeat of n-0: %s", got)
	}
}
