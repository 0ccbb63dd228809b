package runner

import (
	"fmt"
	"runtime"
	"testing"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/wire"
)

// fanOutPlan returns a graph of a first step, n steps downstream of it and a last step downstream of these.
func fanOutPlan(t testing.TB, n int) *dag.Plan {
	steps := []dag.Step{step("first")}
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("s", i))
		steps = append(steps, step(all[i], "first"))
	}
	return newPlanWith(t, func(g *dag.Graph) { g.MaxRuns, g.MaxTasks = 10_000, 10_000 }, append(steps, step("last", all...))...)
}

// heapBytes returns the bytes of live objects on the heap.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkFailover measures how long a new leader takes to read 1,000 live runs of 30 steps, and their memory.
func BenchmarkFailover(b *testing.B) {
	w := newHarness(b)
	defer w.close()
	p := fanOutPlan(b, 28)
	if a := w.register(p); a.status != 201 {
		b.Fatalf("registering the graph: %+v", a)
	}
	for i := range 1000 {
		w.send(DoTrigger, Order{Run: fmt.Sprint("run", i), Described: true})
	}
	for write := w.graphs.NextWrite(w.clock.Now(), 1000); write != nil; write = w.graphs.NextWrite(w.clock.Now(), 1000) {
		write.Done(w.commit(write.Txn))
	}
	w.graphs = nil
	before := heapBytes()
	for b.Loop() {
		w.changeLeader()
	}
	b.ReportMetric((heapBytes()-before)/1000, "B/run")
	b.ReportMetric(float64(len(w.graphs.runs)), "runs")
}

// BenchmarkJobFinished measures the end of one step's job in a graph of 10,000 steps, and the encoding of the transactions
// that follow.
func BenchmarkJobFinished(b *testing.B) {
	w := newHarness(b)
	defer w.close()
	p := fanOutPlan(b, dag.MaxSteps-2)
	if a := w.register(p); a.status != 201 {
		b.Fatalf("registering the graph: %+v", a)
	}
	next := func() bool {
		write := w.graphs.NextWrite(w.clock.Now(), 1000)
		if write != nil {
			write.Done(1) // not committed: the store is not part of the measurement
		}
		return write != nil
	}
	runs := 0
	begin := func() {
		w.send(DoTrigger, Order{Run: fmt.Sprint("run", runs), Described: true})
		runs++
		for next() {
		}
	}
	for b.Loop() {
		if len(w.graphs.byJob) == 0 {
			begin()
		}
		for id := range w.graphs.byJob {
			w.graphs.jobFinished(id, wire.StateDone, w.clock.Now())
			break
		}
		next()
	}
}

// BenchmarkLargestGraph measures the registration of a graph of 10,000 steps and the start of a run, and their memory.
func BenchmarkLargestGraph(b *testing.B) {
	p := fanOutPlan(b, dag.MaxSteps-2)
	for b.Loop() {
		w := newHarness(b)
		before := heapBytes()
		w.registerAndTrigger(p, "one")
		b.ReportMetric((heapBytes()-before)/(1<<20), "MB")
		w.close()
	}
}
