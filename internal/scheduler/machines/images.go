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
func (m *Machine) retainImage(allocation *jobs.Allocation, now time.Time) {
	m.usedValid = false
	usage := m.images[allocation.Job.Image]
	if usage == nil {
		if len(m.images) >= tuning.ImagesKnown {
			clear(m.images) // no cache holds so many; what is in use is counted again
		}
		usage = &imageUsage{gb: allocation.Job.ImageGB}
		m.images[allocation.Job.Image] = usage
	}
	usage.tasks++
	usage.lastUsed = now
}

// releaseImage counts an allocation's image as no longer used by it.
func (m *Machine) releaseImage(allocation *jobs.Allocation, now time.Time) {
	m.usedValid = false
	if usage := m.images[allocation.Job.Image]; usage != nil {
		usage.tasks = max(0, usage.tasks-1)
		usage.lastUsed = now
	}
}

// HasImage reports whether a machine whose cache holds cacheGB gigabytes has an image, as far as its tasks show: one of them
// uses it, or what was used since leaves room for it. Without the size every image once used would count for ever.
func (m *Machine) HasImage(image string, cacheGB float64) bool {
	usage := m.images[image]
	if usage == nil || usage.tasks > 0 || cacheGB <= 0 {
		return usage != nil
	}
	sumGB := usage.gb
	for _, other := range m.images {
		if other != usage && (other.tasks > 0 || other.lastUsed.After(usage.lastUsed)) {
			sumGB += other.gb
		}
	}
	return sumGB <= cacheGB
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

// isOn reports whether machine n holds the image.
func (h *HeldImage) isOn(n int) bool { return n/8 < len(h.On) && h.On[n/8]&(1<<(n%8)) != 0 }

// addMachine records that machine n holds the image.
func (h *HeldImage) addMachine(n int) {
	for len(h.On) <= n/8 {
		h.On = append(h.On, 0)
	}
	h.On[n/8] |= 1 << (n % 8)
}

// Images returns which machines hold which images; cacheGB returns the cache size of a machine type, in gigabytes. Images that
// more machines hold come first.
func (r *Registry) Images(cacheGB func(typ string) float64) Images {
	var images Images
	imageIndexes := map[string]int{}  // of images, in out.Held
	machineCounts := map[string]int{} // number of machines, by image
	for _, name := range slices.Sorted(maps.Keys(r.Machines)) {
		m, machineIndex := r.Machines[name], len(images.Machines)
		for image, usage := range m.images {
			if !m.HasImage(image, cacheGB(m.Type)) {
				continue
			}
			if len(images.Machines) == machineIndex {
				images.Machines = append(images.Machines, name)
			}
			imageIndex, ok := imageIndexes[image]
			if !ok {
				imageIndex = len(images.Held)
				imageIndexes[image] = imageIndex
				images.Held = append(images.Held, HeldImage{Name: image, GB: usage.gb})
			}
			images.Held[imageIndex].addMachine(machineIndex)
			machineCounts[image]++
		}
	}
	slices.SortFunc(images.Held, func(a, b HeldImage) int {
		return cmp.Or(cmp.Compare(machineCounts[b.Name], machineCounts[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return images
}

// ByMachine returns the images of each machine, by its name. Their On is empty.
func (i *Images) ByMachine() map[string][]HeldImage {
	out := make(map[string][]HeldImage, len(i.Machines))
	for k := range i.Held {
		h := &i.Held[k]
		for n, name := range i.Machines {
			if h.isOn(n) {
				out[name] = append(out[name], HeldImage{Name: h.Name, GB: h.GB})
			}
		}
	}
	return out
}

// RestoreImages records which images a former leader knew the machine to hold at a time. What its tasks show counts for more.
func (m *Machine) RestoreImages(images []HeldImage, at time.Time) {
	for _, h := range images {
		if m.images[h.Name] == nil {
			m.images[h.Name] = &imageUsage{gb: h.GB, lastUsed: at}
		}
	}
}
