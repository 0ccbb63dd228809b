package dag

import "container/heap"

// IsReady reports whether an instance is ready to be submitted.
func (r *Run) IsReady(ref InstanceRef) bool {
	inst := r.instance(ref)
	return inst != nil && inst.State == Scheduled && !r.cancelled
}

// IsReadyWithJob reports whether an instance is ready and its job has the given ID. If so, the step was not
// cleared since the ID was computed, and the run is not cancelled.
func (r *Run) IsReadyWithJob(ref InstanceRef, id string) bool {
	return r.IsReady(ref) && r.JobID(ref) == id
}

// TakeReady removes and returns up to n ready instances: those of the greatest weight first, and among equal
// weights in the order in which they became ready. Each instance is returned once. The caller submits its job
// and then calls JobSubmitted.
func (r *Run) TakeReady(n int) []InstanceRef {
	var out []InstanceRef
	for len(out) < n && r.ready.Len() > 0 {
		ref := heap.Pop(&r.ready).(readyRef).InstanceRef
		if r.IsReady(ref) {
			out = append(out, ref)
		}
	}
	return out
}

// ReadyCount returns an upper bound on the number of instances that TakeReady can still return. It also counts
// instances that were cancelled after they became ready.
func (r *Run) ReadyCount() int { return r.ready.Len() }

// enqueue adds an instance to the queue of ready instances.
func (r *Run) enqueue(ref InstanceRef) {
	weight := max(1, r.Plan.Steps[ref.Step].Weight)
	r.lastReadySeq++
	heap.Push(&r.ready, readyRef{ref, weight, r.lastReadySeq})
}

// readyRef is an entry of the queue of ready instances.
type readyRef struct {
	InstanceRef
	weight, seq int
}

// readyHeap orders ready instances by weight, then by when they became ready.
type readyHeap []readyRef

// Len implements heap.Interface.
func (h readyHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h readyHeap) Less(i, j int) bool {
	if h[i].weight != h[j].weight {
		return h[i].weight > h[j].weight
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h readyHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *readyHeap) Push(x any) { *h = append(*h, x.(readyRef)) }

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
