package leader

import (
	"context"
	"testing"

	"poppypass/internal/platform/tuning"
)

// Guards against a leader whose process was suspended between a decision and its cloud call: it must not delete machines on which
// the next leader has placed tasks since.
func TestNoCloudCallWithoutTheRightToAct(t *testing.T) {
	l, clock := newTestLoop(t) // Env.Valid reports that it may not act
	ctx, end := context.WithCancel(t.Context())
	l.ended = ctx
	may := make(chan bool)
	go func() { may <- l.awaitRightToAct() }()
	for range 3 {
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		select {
		case <-may:
			t.Fatal("the wait ends though the leader may not act")
		default:
		}
		clock.Advance(tuning.Tick)
	}
	end()
	if <-may {
		t.Error("the leader is allowed to act though its term is over")
	}
}
