package placement

// zoneHeap is a binary heap of the machines of one zone that have room for a task shape. The best machine is
// at the front.
type zoneHeap struct {
	zone    string
	shape   *taskShape
	entries []candidate
}

// before reports whether entry i ranks before entry k. Both are in the same zone, so spreading tasks over
// zones does not matter.
func (h *zoneHeap) before(i, k int) bool {
	return h.shape.ranksBefore(&h.entries[i], &h.entries[k], nil)
}

func (h *zoneHeap) swap(i, k int) { h.entries[i], h.entries[k] = h.entries[k], h.entries[i] }

// build establishes the heap order of all entries.
func (h *zoneHeap) build() {
	for k := len(h.entries)/2 - 1; k >= 0; k-- {
		h.siftDown(k)
	}
}

// siftDown moves entry k down until no child ranks before it.
func (h *zoneHeap) siftDown(k int) {
	for {
		best := k
		for child := 2*k + 1; child <= 2*k+2 && child < len(h.entries); child++ {
			if h.before(child, best) {
				best = child
			}
		}
		if best == k {
			return
		}
		h.swap(k, best)
		k = best
	}
}

// push adds an entry and restores the heap order.
func (h *zoneHeap) push(c candidate) {
	h.entries = append(h.entries, c)
	for k := len(h.entries) - 1; k > 0 && h.before(k, (k-1)/2); k = (k - 1) / 2 {
		h.swap(k, (k-1)/2)
	}
}

// pop removes the best entry.
func (h *zoneHeap) pop() {
	last := len(h.entries) - 1
	h.entries[0] = h.entries[last]
	h.entries = h.entries[:last]
	h.siftDown(0)
}
