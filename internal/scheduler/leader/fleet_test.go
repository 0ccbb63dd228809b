package leader

import (
	"context"
	"testing"

	"poppypass/internal/platform/tuning"
)

// Guards against a leader whose process was suspended between a decision and its cloud call: it must not delete
// machines on which the next leader has placed tasks since.
func TestNoCloudCallWithoutValidLeadership(t *testing.T) {
	l, clock := newTestLoop(t) // Env.MayAct reports that this leader may not act
	ctx, endTerm := context.WithCancel(t.Context())
	l.termCtx = ctx
	mayAct := make(chan bool)
	go func() { mayAct <- l.awaitValidLeadership() }()
	for range 3 {
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		select {
		case <-mayAct:
			t.Fatal("the wait ends though the leader may not act")
		default:
		}
		clock.Advance(tuning.Tick)
	}
	endTerm()
	if <-mayAct {
		t.Error("the leader is allowed to act though its term is over")
	}
}
