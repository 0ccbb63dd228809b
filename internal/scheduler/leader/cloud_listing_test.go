package leader

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
)

// Guards against reading a large list so often that its pages use up the cloud's request rate. The pause after a reading
// is at least as long as the reading took.
func TestListingLeavesHalfOfTheCloudsRate(t *testing.T) {
	for _, c := range []struct{ took, pause time.Duration }{
		{0, tuning.CloudListEvery},
		{tuning.CloudListEvery / 2, tuning.CloudListEvery},
		{2 * tuning.CloudListEvery, 2 * tuning.CloudListEvery},
	} {
		if got := listPause(c.took); got != c.pause {
			t.Errorf("a pause of %v after a list that took %v, want %v", got, c.took, c.pause)
		}
	}
}
