package machines

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/jobs"
)

// imageUsage is what is known of an image on a machine.
type imageUsage struct {
	gb       float64
	tasks    int       // allocations that use it
	lastUsed time.Time // when the newest of them came or went
}

// retainImage counts an allocation's image as used.
func (m *Machine) retainImage(p *jobs.Allocation, now time.Time) {
	m.usedValid = false
	u := m.images[p.Job.Image]
	if u == nil {
		if len(m.images) >= tuning.ImagesKnown {
			clear(m.images) // no cache holds so many; what is in use is counted again
		}
		u = &imageUsage{gb: p.Job.ImageGB}
		m.images[p.Job.Image] = u
	}
	u.tasks++
	u.lastUsed = now
}

// releaseImage counts an allocation's image as no longer used by it.
func (m *Machine) releaseImage(p *jobs.Allocation, now time.Time) {
	m.usedValid = false
	if u := m.images[p.Job.Image]; u != nil {
		u.tasks = max(0, u.tasks-1)
		u.lastUsed = now
	}
}

// HasImage reports whether a machine whose cache holds cacheGB gigabytes has an image, as far as its tasks show: one of them
// uses it, or what was used since leaves room for it. Without the size every image once used would count for ever.
func (m *Machine) HasImage(image string, cacheGB float64) bool {
	u := m.images[image]
	if u == nil || u.tasks > 0 || cacheGB <= 0 {
		return u != nil
	}
	sum := u.gb
	for _, other := range m.images {
		if other != u && (other.tasks > 0 || other.lastUsed.After(u.lastUsed)) {
			sum += other.gb
		}
	}
	return sum <= cacheGB
}

// Images is which machines hold which images, as far as a leader saw. It is stored for the next leader, which cannot learn it
// from heartbeats: without it each start after a failover fetched again what some machine with room held. It is a hint
// only: where it is wrong, an image is fetched.
type Images struct {
	_        struct{} `cbor:",toarray"`
	Machines []string // names; HeldImage.On refers to them by index
	Held     []HeldImage
}

// HeldImage is an image and the machines that hold it.
type HeldImage struct {
	_    struct{} `cbor:",toarray"`
	Name string
	GB   float64
	On   []byte // bitmap: bit n%8 of byte n/8 stands for machine n of Images.Machines
}

// holds reports whether machine n holds the image.
func (h *HeldImage) holds(n int) bool { return n/8 < len(h.On) && h.On[n/8]&(1<<(n%8)) != 0 }

// add records that machine n holds the image.
func (h *HeldImage) add(n int) {
	for len(h.On) <= n/8 {
		h.On = append(h.On, 0)
	}
	h.On[n/8] |= 1 << (n % 8)
}

// Images returns which machines hold which images; cacheGB returns the cache size of a machine type, in gigabytes. Images that
// more machines hold come first.
func (r *Registry) Images(cacheGB func(typ string) float64) Images {
	var out Images
	index := map[string]int{}   // of images, in out.Held
	holders := map[string]int{} // number of machines, by image
	for _, name := range slices.Sorted(maps.Keys(r.Machines)) {
		m, at := r.Machines[name], len(out.Machines)
		for image, u := range m.images {
			if !m.HasImage(image, cacheGB(m.Type)) {
				continue
			}
			if len(out.Machines) == at {
				out.Machines = append(out.Machines, name)
			}
			i, ok := index[image]
			if !ok {
				i = len(out.Held)
				index[image] = i
				out.Held = append(out.Held, HeldImage{Name: image, GB: u.gb})
			}
			out.Held[i].add(at)
			holders[image]++
		}
	}
	slices.SortFunc(out.Held, func(a, b HeldImage) int {
		return cmp.Or(cmp.Compare(holders[b.Name], holders[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// ByMachine returns the images of each machine, by its name. Their On is empty.
func (i *Images) ByMachine() map[string][]HeldImage {
	out := make(map[string][]HeldImage, len(i.Machines))
	for k := range i.Held {
		h := &i.Held[k]
		for n, name := range i.Machines {
			if h.holds(n) {
				out[name] = append(out[name], HeldImage{Name: h.Name, GB: h.GB})
			}
		}
	}
	return out
}

// RestoreImages records which images a former leader knew the machine to hold at a time. What its tasks show counts for more.
func (m *Machine) RestoreImages(held []HeldImage, at time.Time) {
	for _, h := range held {
		if m.images[h.Name] == nil {
			m.images[h.Name] = &imageUsage{gb: h.GB, lastUsed: at}
		}
	}
}
