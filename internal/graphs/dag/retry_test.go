package dag

import (
	"testing"
	"time"
)

func TestRetryDelaysDoubleUpToTheirBound(t *testing.T) {
	r := Retry{Delay: Duration(time.Minute), Exponential: true, MaxDelay: Duration(5 * time.Minute)}
	for try, want := range map[int]time.Duration{1: time.Minute, 2: 2 * time.Minute, 3: 4 * time.Minute, 4: 5 * time.Minute, 99: 5 * time.Minute} {
		if got := r.DelayBefore(try, 1); got != want {
			t.Errorf("delay before retry %d: %v, want %v", try, got, want)
		}
		if got := r.DelayBefore(try, 0); got != want/2 {
			t.Errorf("delay before retry %d with jitter 0: %v, want half of the full delay", try, got)
		}
	}
	if got := (&Retry{}).DelayBefore(3, 0); got != 5*time.Minute {
		t.Errorf("default delay: %v, want 5 minutes", got)
	}
}
