package machines

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against a new leader under which every image is fetched once more.
func TestImagesAreRestoredByTheNextLeader(t *testing.T) {
	r := New(1, 40)
	cacheGB := func(string) float64 { return 2 }
	use := func(machine, image string) {
		allocation := &jobs.Allocation{Job: &jobs.Job{Job: wire.Job{ID: "job-" + image, Image: image, ImageGB: 1}}, Machine: machine, Attempt: 1}
		r.AddAllocation(allocation, t0)
		r.RemoveAllocation(allocation, t0)
	}
	for i := range 20 {
		name := fmt.Sprintf("n-%02d", i)
		r.Register(RentedMachine{Name: name, Type: "small", Zone: "a", Spot: true, RentedAt: t0}, t0)
		if i%2 == 0 {
			use(name, "img-1")
		}
		if i%9 == 0 {
			use(name, "img-2")
		}
	}
	images := r.ImageLocations(cacheGB)
	if len(images.Images) != 2 || images.Images[0].Name != "img-1" {
		t.Errorf("images are %+v, want first the one that most machines have", images.Images)
	}
	next := New(2, 40)
	restored := images.ByMachine()
	for i := range 20 {
		m := next.Register(RentedMachine{Name: fmt.Sprintf("n-%02d", i), Type: "small", Zone: "a", Spot: true, RentedAt: t0}, t0)
		m.RestoreImages(restored[m.Name], t0)
		if m.HasImage("img-1", 2) != (i%2 == 0) || m.HasImage("img-2", 2) != (i%9 == 0) || m.HasImage("img-3", 2) {
			t.Errorf("machine %s has images %v", m.Name, m.images)
		}
	}
	// An image that was evicted from a machine's cache is not stored for the next leader.
	use("n-00", "img-3")
	use("n-00", "img-4")
	r.Machines["n-00"].images["img-1"].lastUsed = t0.Add(-1)
	if stored := r.ImageLocations(cacheGB); stored.Images[0].MachineBits[0]&1 != 0 && !r.Machines["n-00"].HasImage("img-1", 2) {
		t.Error("an image is stored for the next leader although its machine has evicted it")
	}
}

// Guards against allocating tasks that should start at once to a machine whose cache has evicted their image, where they
// wait until the image is fetched again. A cache evicts the least recently used image.
func TestLeastRecentlyUsedImageLeavesAFullCache(t *testing.T) {
	f := newFixture(t)
	use := func(image string, at time.Duration) *jobs.Allocation {
		allocation := newAllocation(1)
		allocation.Job = &jobs.Job{Job: wire.Job{ID: "job-" + image, Tasks: 1, Image: image, ImageGB: 4}}
		f.AddAllocation(allocation, t0.Add(at))
		return allocation
	}
	f.receive(heartbeat(1, 1, 0), 0, mayNotForget)
	inUse := use("1", 0)
	f.RemoveAllocation(use("2", 0), t0.Add(time.Second))
	f.RemoveAllocation(use("3", 0), t0.Add(2*time.Second))
	m := f.Machines["n-1"]
	checkImages := func(want string) {
		t.Helper()
		got := ""
		for _, image := range []string{"1", "2", "3", "4"} {
			if m.HasImage(image, 10) { // room for two images of 4 GB
				got += image
			}
		}
		if got != want {
			t.Errorf("machine has images %q, want %q", got, want)
		}
	}
	checkImages("13")
	f.RemoveAllocation(inUse, t0.Add(3*time.Second))
	f.RemoveAllocation(use("2", 4*time.Second), t0.Add(5*time.Second))
	checkImages("12")
}
