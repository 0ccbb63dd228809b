// Package dagfile reads graphs from files in Starlark, a language like Python, with the
// words that Airflow's users know: DAG, operators, a >> b, trigger_rule, retries, expand.
//
// A file cannot read files, reach a network or tell the time. Its steps, time and memory
// are bounded (Limits). It is run where it is written, by the client; the service is
// given what comes out, a dag.Graph.
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

// Limits bound what a file may take.
type Limits struct {
	Bytes  int           // of the file
	Steps  uint64        // of the interpreter
	Time   time.Duration // by the clock
	Memory uint64        // bytes that the process's heap may grow by
}

// DefaultLimits are enough for a graph of 10,000 steps.
func DefaultLimits() Limits {
	return Limits{Bytes: 1 << 20, Steps: 5_000_000, Time: 5 * time.Second, Memory: 64 << 20}
}

// maxRange bounds range(): what it gives is turned into lists by built-in functions
// that count no steps.
const maxRange = 100_000

// Load runs a file and gives the graphs that it describes, in their order. An error says
// in one line what is wrong, with the file, line and column where that is known.
func Load(name string, src []byte, limits Limits) ([]*dag.Graph, error) {
	if len(src) > limits.Bytes {
		return nil, fmt.Errorf("%s: the file has %d bytes; up to %d are allowed", name, len(src), limits.Bytes)
	}
	if !utf8.Valid(src) {
		return nil, fmt.Errorf("%s: the file is not UTF-8", name)
	}
	l := &loader{}
	predeclared := l.predeclared()
	opts := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	f, err := opts.Parse(name, src, 0)
	if err != nil {
		return nil, withPosition(name, err)
	}
	if err := guardProducts(f); err != nil {
		return nil, withPosition(name, err)
	}
	prog, err := starlark.FileProgram(f, predeclared.Has)
	if err != nil {
		return nil, withPosition(name, err)
	}
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(limits.Steps)
	thread.OnMaxSteps = func(t *starlark.Thread) { t.Cancel(fmt.Sprintf("it takes more than %d steps", limits.Steps)) }
	done := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		watch(thread, limits, done)
	}()
	_, err = prog.Init(thread, predeclared)
	close(done)
	<-watched
	if err != nil {
		return nil, withPosition(name, err)
	}
	if len(l.dags) == 0 {
		return nil, fmt.Errorf("%s: the file describes no DAG", name)
	}
	var out []*dag.Graph
	for _, d := range l.dags {
		out = append(out, d.graph())
	}
	return out, nil
}

// watch ends a file that takes too long, or too much memory. Between two looks one
// operation may overshoot; the largest are bounded one by one (guard, maxRange).
func watch(t *starlark.Thread, limits Limits, done <-chan struct{}) {
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(heap)
	before := heap[0].Value.Uint64()
	over := time.NewTimer(limits.Time)
	defer over.Stop()
	look := time.NewTicker(time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-done:
			return
		case <-over.C:
			t.Cancel(fmt.Sprintf("it takes longer than %v", limits.Time))
			return
		case <-look.C:
			metrics.Read(heap)
			if now := heap[0].Value.Uint64(); now > before && now-before > limits.Memory {
				t.Cancel(fmt.Sprintf("it takes more than %d MB of memory", limits.Memory>>20))
				return
			}
		}
	}
}

// withPosition returns an error with its place, in one line.
func withPosition(name string, err error) error {
	text, pos := err.Error(), ""
	var evalErr *starlark.EvalError
	var syntaxErr syntax.Error
	var resolveErr resolve.ErrorList
	switch {
	case errors.As(err, &evalErr):
		for i := range len(evalErr.CallStack) {
			// The innermost place that lies in the file.
			if p := evalErr.CallStack.At(i).Pos; p.Filename() == name && p.Line > 0 {
				pos = p.String()
				break
			}
		}
		text = evalErr.Msg
		text = strings.TrimPrefix(text, "Starlark computation cancelled: ")
	case errors.As(err, &syntaxErr):
		pos, text = syntaxErr.Pos.String(), syntaxErr.Msg
	case errors.As(err, &resolveErr) && len(resolveErr) > 0:
		pos, text = resolveErr[0].Pos.String(), resolveErr[0].Msg
	}
	if pos == "" {
		pos = name
	}
	return fmt.Errorf("%s: %s", pos, strings.Join(strings.Fields(text), " "))
}
