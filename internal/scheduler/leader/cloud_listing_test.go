package leader

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
)

// Guards against a large list whose pages take all of the cloud's rate: the pause after it is as long as it took.
func TestListingLeavesHalfOfTheCloudsRate(t *testing.T) {
	for _, c := range []struct{ took, pause time.Duration }{
		{0, tuning.ListEvery},
		{tuning.ListEvery / 2, tuning.ListEvery},
		{2 * tuning.ListEvery, 2 * tuning.ListEvery},
	} {
		if got := listPause(c.took); got != c.pause {
			t.Errorf("a pause of %v after a list that took %v, want %v", got, c.took, c.pause)
		}
	}
}
