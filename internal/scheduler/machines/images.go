package machines

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/jobs"
)

// imageUsage records how many allocations of a machine use an image, and when that number last changed.
type imageUsage struct {
	gb        float64   // size in gigabytes
	taskCount int       // number of allocations that use it
	lastUsed  time.Time // when an allocation that uses it was last added or removed
}

// retainImage records that an allocation uses its image.
func (m *Machine) retainImage(allocation *jobs.Allocation, now time.Time) {
	m.usedValid = false
	usage := m.images[allocation.Job.Image]
	if usage == nil {
		if len(m.images) >= tuning.MachineImagesMax {
			clear(m.images) // no cache has room for so many; later allocations add the images that are still used
		}
		usage = &imageUsage{gb: allocation.Job.ImageGB}
		m.images[allocation.Job.Image] = usage
	}
	usage.taskCount++
	usage.lastUsed = now
}

// releaseImage records that an allocation no longer uses its image.
func (m *Machine) releaseImage(allocation *jobs.Allocation, now time.Time) {
	m.usedValid = false
	if usage := m.images[allocation.Job.Image]; usage != nil {
		usage.taskCount = max(0, usage.taskCount-1)
		usage.lastUsed = now
	}
}

// HasImage reports whether a machine whose image cache has a size of cacheGB gigabytes has an image, as far as its
// tasks show. It has an image that one of its tasks uses. It also has one that was used before, if the images used
// since leave room for it in the cache. If the size is not known (cacheGB is 0), the machine counts as having every
// image that it ever used.
func (m *Machine) HasImage(image string, cacheGB float64) bool {
	usage := m.images[image]
	if usage == nil || usage.taskCount > 0 || cacheGB <= 0 {
		return usage != nil
	}
	sumGB := usage.gb
	for _, other := range m.images {
		if other != usage && (other.taskCount > 0 || other.lastUsed.After(usage.lastUsed)) {
			sumGB += other.gb
		}
	}
	return sumGB <= cacheGB
}

// ImageLocations is a stored record of which machines have which images in their caches, as far as a leader knows. The
// next leader reads the record, because heartbeats do not name the images. Without the record, tasks that start after a
// failover would fetch images that other machines with room have cached. The record is only a hint: if it is wrong, an
// image is fetched.
type ImageLocations struct {
	_        struct{} `cbor:",toarray"`
	Machines []string // names; CachedImage.MachineBits refers to them by index
	Images   []CachedImage
}

// CachedImage is an image and the machines that have it.
type CachedImage struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	GB          float64
	MachineBits []byte // bitmap: bit n%8 of byte n/8 is set if ImageLocations.Machines[n] has the image
}

// isOn reports whether ImageLocations.Machines[n] has the image.
func (i *CachedImage) isOn(n int) bool {
	return n/8 < len(i.MachineBits) && i.MachineBits[n/8]&(1<<(n%8)) != 0
}

// addMachine records that ImageLocations.Machines[n] has the image.
func (i *CachedImage) addMachine(n int) {
	for len(i.MachineBits) <= n/8 {
		i.MachineBits = append(i.MachineBits, 0)
	}
	i.MachineBits[n/8] |= 1 << (n % 8)
}

// ImageLocations returns which machines have which images. cacheGB returns the cache size of a machine type in
// gigabytes. The images are sorted by the number of machines that have them, largest first.
func (r *Registry) ImageLocations(cacheGB func(typ string) float64) ImageLocations {
	var images ImageLocations
	imageIndexes := map[string]int{}  // index in the result, by image name
	machineCounts := map[string]int{} // number of machines that have an image, by image name
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
				imageIndex = len(images.Images)
				imageIndexes[image] = imageIndex
				images.Images = append(images.Images, CachedImage{Name: image, GB: usage.gb})
			}
			images.Images[imageIndex].addMachine(machineIndex)
			machineCounts[image]++
		}
	}
	slices.SortFunc(images.Images, func(a, b CachedImage) int {
		return cmp.Or(cmp.Compare(machineCounts[b.Name], machineCounts[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return images
}

// ByMachine returns the images of each machine by the machine's name, without their bitmaps.
func (i *ImageLocations) ByMachine() map[string][]CachedImage {
	out := make(map[string][]CachedImage, len(i.Machines))
	for k := range i.Images {
		image := &i.Images[k]
		for n, name := range i.Machines {
			if image.isOn(n) {
				out[name] = append(out[name], CachedImage{Name: image.Name, GB: image.GB})
			}
		}
	}
	return out
}

// RestoreImages records which images the machine had at the given time according to a former leader. It changes
// nothing about images that tasks of the machine have used in this term.
func (m *Machine) RestoreImages(images []CachedImage, at time.Time) {
	for _, image := range images {
		if m.images[image.Name] == nil {
			m.images[image.Name] = &imageUsage{gb: image.GB, lastUsed: at}
		}
	}
}
