package runner

import (
	"fmt"
	"runtime"
	"testing"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/wire"
)

// fanOutPlan returns the plan of a graph with a first step, n steps downstream of it, and a last step downstream of
// these.
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
	h := newHarness(b)
	defer h.close()
	p := fanOutPlan(b, 28)
	if a := h.register(p); a.status != 201 {
		b.Fatalf("registering the graph: %+v", a)
	}
	for i := range 1000 {
		h.send(CommandTrigger, Command{Run: fmt.Sprint("run", i), Described: true})
	}
	for write := h.graphs.NextWrite(h.clock.Now(), 1000); write != nil; write = h.graphs.NextWrite(h.clock.Now(), 1000) {
		write.Done(h.commit(write.Txn))
	}
	h.graphs = nil
	before := heapBytes()
	for b.Loop() {
		h.changeLeader()
	}
	b.ReportMetric((heapBytes()-before)/1000, "B/run")
	b.ReportMetric(float64(len(h.graphs.runs)), "runs")
}

// BenchmarkJobFinished measures the handling of one finished job of a run of 10,000 steps, and the encoding of the
// transaction that follows.
func BenchmarkJobFinished(b *testing.B) {
	h := newHarness(b)
	defer h.close()
	p := fanOutPlan(b, dag.MaxSteps-2)
	if a := h.register(p); a.status != 201 {
		b.Fatalf("registering the graph: %+v", a)
	}
	next := func() bool {
		write := h.graphs.NextWrite(h.clock.Now(), 1000)
		if write != nil {
			write.Done(1) // not committed: the store is not part of the measurement
		}
		return write != nil
	}
	runs := 0
	triggerRun := func() {
		h.send(CommandTrigger, Command{Run: fmt.Sprint("run", runs), Described: true})
		runs++
		for next() {
		}
	}
	for b.Loop() {
		if len(h.graphs.byJob) == 0 {
			triggerRun()
		}
		for id := range h.graphs.byJob {
			h.graphs.jobFinished(id, wire.StateDone, h.clock.Now())
			break
		}
		next()
	}
}

// BenchmarkLargestGraph measures the registration of a graph of 10,000 steps and the start of a run, and their memory.
func BenchmarkLargestGraph(b *testing.B) {
	p := fanOutPlan(b, dag.MaxSteps-2)
	for b.Loop() {
		h := newHarness(b)
		before := heapBytes()
		h.registerAndTrigger(p, "one")
		b.ReportMetric((heapBytes()-before)/(1<<20), "MB")
		h.close()
	}
}
