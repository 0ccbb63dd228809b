package machines

import (
	"fmt"
	"testing"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against a new leader that has every image fetched anew.
func TestWhatMachinesHoldIsHandedOn(t *testing.T) {
	r := New(1, 40)
	cache := func(string) float64 { return 2 }
	use := func(machine, image string) {
		p := &jobs.Allocation{Job: &jobs.Job{Job: wire.Job{ID: "job-" + image, Image: image, ImageGB: 1}}, Machine: machine, Attempt: 1}
		r.AddAllocation(p, t0)
		r.RemoveAllocation(p, t0)
	}
	for i := range 20 {
		name := fmt.Sprintf("n-%02d", i)
		r.Register(name, "small", "a", true, t0, t0)
		if i%2 == 0 {
			use(name, "img-1")
		}
		if i%9 == 0 {
			use(name, "img-2")
		}
	}
	images := r.Images(cache)
	if len(images.Held) != 2 || images.Held[0].Name != "img-1" {
		t.Errorf("held are %+v, want first what most hold", images.Held)
	}
	next := New(2, 40)
	told := images.ByMachine()
	for i := range 20 {
		m := next.Register(fmt.Sprintf("n-%02d", i), "small", "a", true, t0, t0)
		m.RestoreImages(told[m.Name], t0)
		if m.HasImage("img-1", 2) != (i%2 == 0) || m.HasImage("img-2", 2) != (i%9 == 0) || m.HasImage("img-3", 2) {
			t.Errorf("%s holds %v", m.Name, m.images)
		}
	}
	// What was pushed out of a cache is not told.
	use("n-00", "img-3")
	use("n-00", "img-4")
	r.Machines["n-00"].images["img-1"].lastUsed = t0.Add(-1)
	if held := r.Images(cache); held.Held[0].On[0]&1 != 0 && !r.Machines["n-00"].HasImage("img-1", 2) {
		t.Error("an image is told of that its machine no longer holds")
	}
}
