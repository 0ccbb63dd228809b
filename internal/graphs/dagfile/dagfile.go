// Package dagfile reads graphs from files in Starlark, a dialect of Python, with the names
// that users of Airflow know: DAG, operators, a >> b, trigger_rule, retries, expand.
//
// A graph file cannot read other files, access a network or read the clock. Its execution
// steps, time and memory are bounded (Limits). The client runs the file; the service receives
// only the result, a dag.Graph.
package dagfile

import (
	"errors"
	"fmt"
	"runtime/metrics"
	"strings"
	"time"
	"unicode/utf8"

	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"poppypass/internal/graphs/dag"
)

// Limits bounds a graph file's size and the resources that running it uses.
type Limits struct {
	Bytes  int           // size of the file
	Steps  uint64        // execution steps of the Starlark interpreter
	Time   time.Duration // elapsed time
	Memory uint64        // bytes that the process's heap may grow by
}

// DefaultLimits returns limits that suffice for a graph of 10,000 steps.
func DefaultLimits() Limits {
	return Limits{Bytes: 1 << 20, Steps: 5_000_000, Time: 5 * time.Second, Memory: 64 << 20}
}

// maxRange is the maximum length of range(). It needs a limit of its own, because built-in
// functions that count no execution steps turn its result into lists.
const maxRange = 100_000

// Load runs a graph file and returns the graphs that it describes, in the order of the file.
// The graphs are not validated yet; dag.NewPlan does that. An error is one line that names the
// file, the line and column if they are known, and the cause.
func Load(name string, src []byte, limits Limits) ([]*dag.Graph, error) {
	if len(src) > limits.Bytes {
		return nil, fmt.Errorf("%s: the file has %d bytes; up to %d are allowed", name, len(src), limits.Bytes)
	}
	if !utf8.Valid(src) {
		return nil, fmt.Errorf("%s: the file is not UTF-8", name)
	}
	loader := &loader{}
	predeclared := loader.predeclared()
	program, err := compile(name, src, predeclared)
	if err != nil {
		return nil, withPosition(name, err)
	}
	if err := run(name, program, predeclared, limits); err != nil {
		return nil, withPosition(name, err)
	}
	if len(loader.dags) == 0 {
		return nil, fmt.Errorf("%s: the file describes no DAG", name)
	}
	var graphs []*dag.Graph
	for _, d := range loader.dags {
		graphs = append(graphs, d.graph())
	}
	return graphs, nil
}

// compile parses a file, replaces its products by bounded ones (guardProducts), and resolves its names.
func compile(name string, src []byte, predeclared starlark.StringDict) (*starlark.Program, error) {
	opts := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	file, err := opts.Parse(name, src, 0)
	if err != nil {
		return nil, err
	}
	if err := guardProducts(file); err != nil {
		return nil, err
	}
	return starlark.FileProgram(file, predeclared.Has)
}

// run executes a program within the limits. What the program prints is discarded.
func run(name string, program *starlark.Program, predeclared starlark.StringDict, limits Limits) error {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(limits.Steps)
	thread.OnMaxSteps = func(t *starlark.Thread) { t.Cancel(fmt.Sprintf("it takes more than %d steps", limits.Steps)) }
	done := make(chan struct{})
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		watch(thread, limits, done)
	}()
	_, err := program.Init(thread, predeclared)
	close(done)
	<-watchDone
	return err
}

// watchInterval is the interval between two checks of a running file's memory use.
const watchInterval = time.Millisecond

// watch cancels a file that exceeds the limit of time or memory. It returns when it has
// cancelled the file or when done is closed. Between two checks, one operation may exceed the
// memory limit; the operations that could allocate most have bounds of their own
// (guardProducts, maxRange).
func watch(thread *starlark.Thread, limits Limits, done <-chan struct{}) {
	heap := newHeapGrowth()
	deadline := time.NewTimer(limits.Time)
	defer deadline.Stop()
	check := time.NewTicker(watchInterval)
	defer check.Stop()
	for {
		select {
		case <-done:
			return
		case <-deadline.C:
			thread.Cancel(fmt.Sprintf("it takes longer than %v", limits.Time))
			return
		case <-check.C:
			if heap.exceeds(limits.Memory) {
				thread.Cancel(fmt.Sprintf("it takes more than %d MB of memory", limits.Memory>>20))
				return
			}
		}
	}
}

// heapGrowth measures by how much the process's heap has grown since newHeapGrowth was called.
type heapGrowth struct {
	samples []metrics.Sample
	initial uint64 // the heap's size in bytes when the heapGrowth was created
}

// newHeapGrowth returns a heapGrowth that starts from the heap's current size.
func newHeapGrowth() *heapGrowth {
	h := &heapGrowth{samples: []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}}
	h.initial = h.size()
	return h
}

// size returns the heap's current size in bytes.
func (h *heapGrowth) size() uint64 {
	metrics.Read(h.samples)
	return h.samples[0].Value.Uint64()
}

// exceeds reports whether the heap has grown by more than a number of bytes.
func (h *heapGrowth) exceeds(limit uint64) bool {
	now := h.size()
	return now > h.initial && now-h.initial > limit
}

// withPosition returns an error in one line, prefixed with its position, or with the file's name if the position is not
// known.
func withPosition(name string, err error) error {
	position, text := positionOf(name, err)
	if position == "" {
		position = name
	}
	return fmt.Errorf("%s: %s", position, strings.Join(strings.Fields(text), " "))
}

// positionOf returns the position and text of an error of parsing, resolving or running a
// file. The position is empty if it is not known.
func positionOf(name string, err error) (position, text string) {
	var evalErr *starlark.EvalError
	var syntaxErr syntax.Error
	var resolveErr resolve.ErrorList
	switch {
	case errors.As(err, &evalErr):
		return innermostPosition(name, evalErr), strings.TrimPrefix(evalErr.Msg, "Starlark computation cancelled: ")
	case errors.As(err, &syntaxErr):
		return syntaxErr.Pos.String(), syntaxErr.Msg
	case errors.As(err, &resolveErr) && len(resolveErr) > 0:
		return resolveErr[0].Pos.String(), resolveErr[0].Msg
	}
	return "", err.Error()
}

// innermostPosition returns the innermost position of a call stack that is in the file and
// not in a built-in function; empty if there is none.
func innermostPosition(name string, err *starlark.EvalError) string {
	for i := range len(err.CallStack) {
		if p := err.CallStack.At(i).Pos; p.Filename() == name && p.Line > 0 {
			return p.String()
		}
	}
	return ""
}
