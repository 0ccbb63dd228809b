package leader

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against a leader that receives heartbeats but reaches no worker, and remains the leader for as long as it can
// renew its lease. It has to step down if another member reaches workers, and only then.
func TestLeaderThatReachesNoWorkerStepsDown(t *testing.T) {
	for _, otherReachesWorkers := range []bool{true, false} {
		l, advance := newTwoZoneLoop(t, 4)
		ctx, end := context.WithCancelCause(t.Context())
		l.termCtx, l.endTerm = ctx, end
		l.env.MayAct = func(uint64) bool { return true }
		l.env.ProbeWorkers = func(_ context.Context, addrs []string) bool {
			return otherReachesWorkers && len(addrs) == tuning.UnansweredMachinesMin
		}
		for second := range 20 {
			advance(time.Second)
			for i := range 8 {
				l.mustHandle(t, &wire.Heartbeat{Machine: fmt.Sprintf("n-%d", i), Address: "127.0.0.1:1", Type: "small", Zone: []string{"a", "b"}[i/4], Incarnation: 1, Seq: uint64(second + 2), FencingToken: 1,
					Tasks: []wire.TaskStatus{{Task: fmt.Sprintf("job-1/%d", i), Attempt: 1, State: wire.TaskRunning}}})
				if i < tuning.UnansweredMachinesMin {
					l.sendCommandsTo(fmt.Sprintf("n-%d", i), "127.0.0.1:1", &wire.DirectCommands{Incarnation: 1})
				}
			}
			for len(l.inbox) > 0 {
				(<-l.inbox)()
			}
			if l.probeAll(); l.probing.askingPeers {
				select {
				case fn := <-l.inbox:
					fn()
				case <-ctx.Done():
				}
			}
			if ctx.Err() != nil {
				break
			}
		}
		if got := errors.Is(context.Cause(ctx), ErrUnreachable); got != otherReachesWorkers {
			t.Errorf("another member reaches workers: %v; the leader stepped down: %v", otherReachesWorkers, got)
		}
	}
}
