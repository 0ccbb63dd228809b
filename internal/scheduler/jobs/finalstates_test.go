package jobs

import (
	"testing"

	"poppypass/internal/platform/wire"
)

func TestFinalStatesEvictTheOldest(t *testing.T) {
	f := NewFinalStates(2)
	for _, id := range []string{"job-1", "job-2", "job-2", "job-3"} {
		f.Add(wire.JobStatus{ID: id, State: wire.StateDone})
	}
	_, one := f.Get("job-1")
	_, two := f.Get("job-2")
	_, three := f.Get("job-3")
	if one || !two || !three {
		t.Errorf("cached: job-1 %v, job-2 %v, job-3 %v; want only the last two", one, two, three)
	}
}
