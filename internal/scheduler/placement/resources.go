package placement

// Resources is an amount of resources: those of a machine, or those that a task requests.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// roundingTolerance covers the rounding errors of sums of decimal amounts.
const roundingTolerance = 1e-9

// Fits reports whether a task that requests t fits into r.
func (r Resources) Fits(t Resources) bool {
	return t.CPUs <= r.CPUs+roundingTolerance && t.GPUs <= r.GPUs+roundingTolerance && t.MemoryGB <= r.MemoryGB+roundingTolerance
}

// Sub subtracts n times t from r.
func (r *Resources) Sub(t Resources, n float64) {
	r.CPUs -= n * t.CPUs
	r.GPUs -= n * t.GPUs
	r.MemoryGB -= n * t.MemoryGB
}

// Add adds t to r.
func (r *Resources) Add(t Resources) {
	r.CPUs += t.CPUs
	r.GPUs += t.GPUs
	r.MemoryGB += t.MemoryGB
}

// MinRequest returns, for each resource, the smallest amount that a task of any of the jobs requests. There
// must be at least one job.
func MinRequest(pending []*PendingJob) Resources {
	least := pending[0].Request()
	for _, p := range pending[1:] {
		r := p.Request()
		least = Resources{min(least.CPUs, r.CPUs), min(least.GPUs, r.GPUs), min(least.MemoryGB, r.MemoryGB)}
	}
	return least
}
