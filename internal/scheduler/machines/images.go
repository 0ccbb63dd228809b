package machines

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Images is which machines hold which images, as far as a leader saw. The next one begins
// with it, since reports do not tell: without it each start after a change of leaders fetched anew what some
// machine with room held. It is a hint only: where it is wrong, an image is fetched.
type Images struct {
	_        struct{} `cbor:",toarray"`
	Machines []string
	Held     []HeldImage
}

// HeldImage is an image and those that hold it.
type HeldImage struct {
	_    struct{} `cbor:",toarray"`
	Name string
	GB   float64
	On   []byte // bit n%8 of byte n/8: the machine of that index holds it
}

// Images gives what the machines hold; cacheGB is the size of a type's cache. The images that most hold come first.
func (r *Registry) Images(cacheGB func(typ string) float64) Images {
	var out Images
	index := map[string]int{} // of images
	count := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(r.Machines)) {
		m := r.Machines[name]
		at := len(out.Machines)
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
			h := &out.Held[i]
			for len(h.On) <= at/8 {
				h.On = append(h.On, 0)
			}
			h.On[at/8] |= 1 << (at % 8)
			count[image]++
		}
	}
	slices.SortFunc(out.Held, func(a, b HeldImage) int {
		return cmp.Or(cmp.Compare(count[b.Name], count[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// ByMachine gives the images of each machine.
func (i *Images) ByMachine() map[string][]HeldImage {
	out := make(map[string][]HeldImage, len(i.Machines))
	for _, h := range i.Held {
		for n, name := range i.Machines {
			if n/8 < len(h.On) && h.On[n/8]&(1<<(n%8)) != 0 {
				out[name] = append(out[name], HeldImage{Name: h.Name, GB: h.GB})
			}
		}
	}
	return out
}

// RestoreImages takes in what a former leader knew a machine to hold at a time. What its tasks show counts for more.
func (m *Machine) RestoreImages(held []HeldImage, at time.Time) {
	for _, h := range held {
		if m.images[h.Name] == nil {
			m.images[h.Name] = &imageUse{gb: h.GB, last: at}
		}
	}
}
