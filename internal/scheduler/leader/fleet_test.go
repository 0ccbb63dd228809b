package leader

import (
	"context"
	"testing"

	"poppypass/internal/platform/tuning"
)

// Guards against a leader that stood still between a decision and its call: it
// must not delete machines on which the next one has placed tasks meanwhile.
func TestNoCloudCallWithoutTheRightToAct(t *testing.T) {
	l, clock := newTestLoop(t) // its elector has no right to act
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
			t.Fatal("calls the cloud without the right to act")
		default:
		}
		clock.Advance(tuning.Tick)
	}
	end()
	if <-may {
		t.Error("calls the cloud though the tenure is over")
	}
}
