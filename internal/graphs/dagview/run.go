package dagview

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"poppypass/internal/graphs/dag"
)

// Run is what is displayed of a run of a graph.
type Run struct {
	Plan       *dag.Plan
	ID, State  string
	Start, End time.Time // zero: not started or not ended yet
	Now        time.Time // time of the display; unfinished tries are drawn up to it
	Instances  []Instance
	Tries      []Try
}

// Instance is an instance of a step, with its state.
type Instance struct {
	Step  int    // index into Plan.Steps
	Index int    // number of the instance, from 0; -1: the step is not mapped
	State string // name of a dag.State
	Try   int    // number of its last try; 0: none yet
	Job   string // job ID; empty: none yet
}

// Try is a try of an instance. Step and Index identify the instance as in Instance. End is zero while the try runs.
type Try struct {
	Step, Index int
	Begin, End  time.Time
	State       string
}

// ref returns the instance that the try belongs to.
func (t *Try) ref() dag.InstanceRef { return dag.InstanceRef{Step: t.Step, Index: t.Index} }

// endOr returns the end of the try, or now if the try has not ended.
func (t *Try) endOr(now time.Time) time.Time {
	if t.End.IsZero() {
		return now
	}
	return t.End
}

// ref identifies the instance. Its Index is -1 if the step is not mapped.
func (x *Instance) ref() dag.InstanceRef { return dag.InstanceRef{Step: x.Step, Index: x.Index} }

// instanceName returns an instance's display name: the step's ID, followed by the index in brackets if the
// step is mapped.
func (r *Run) instanceName(ref dag.InstanceRef) string {
	if ref.Index < 0 {
		return r.Plan.Steps[ref.Step].ID
	}
	return fmt.Sprintf("%s[%d]", r.Plan.Steps[ref.Step].ID, ref.Index)
}

// RunText writes the state of a run and a table of its instances: all of them, or only those that neither
// wait nor have succeeded.
func RunText(w io.Writer, r *Run, all bool) error {
	if _, err := fmt.Fprintf(w, "%s of %s: %s; %s\n", r.ID, r.Plan.ID, r.State, r.countsByState()); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "STEP\tSTATE\tTRY\tTOOK\tJOB"); err != nil {
		return err
	}
	durations := r.durations()
	for _, inst := range r.Instances {
		if !all && (inst.State == dag.Success.String() || inst.State == dag.None.String()) {
			continue
		}
		if _, err := fmt.Fprintf(t, "%s\t%s\t%d\t%v\t%s\n", r.instanceName(inst.ref()), inst.State, inst.Try, durations[inst.ref()].Round(time.Second), inst.Job); err != nil {
			return err
		}
	}
	return t.Flush()
}

// countsByState returns, as text, the number of instances in each state that occurs.
func (r *Run) countsByState() string {
	counts := map[string]int{}
	for _, inst := range r.Instances {
		counts[inst.State]++
	}
	var parts []string
	for _, state := range states {
		if n := counts[state.Name]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, state.Name))
		}
	}
	return strings.Join(parts, ", ")
}

// durations returns the running time of each instance, summed over its tries.
func (r *Run) durations() map[dag.InstanceRef]time.Duration {
	total := map[dag.InstanceRef]time.Duration{}
	for i := range r.Tries {
		t := &r.Tries[i]
		total[t.ref()] += t.endOr(r.Now).Sub(t.Begin)
	}
	return total
}

// RunDot writes a run in the DOT language. The colour of a step shows its state.
func RunDot(w io.Writer, r *Run) error {
	colours := make([]string, len(r.Plan.Steps))
	for _, inst := range r.Instances {
		colours[inst.Step] = colourOf(inst.State)
	}
	return writeDot(w, r.Plan, func(i int) string {
		return fmt.Sprintf("style=\"rounded,filled\", fillcolor=%q", cmp.Or(colours[i], defaultColour))
	})
}

// defaultColour is the colour of steps that wait, and of unknown states.
const defaultColour = "#eeeeee"

// state is the name of a state of steps, with its colour.
type state struct{ Name, Colour string }

// states lists all states of steps with the colours that Airflow uses for them, in the order of the legend.
var states = []state{
	{"success", "#2e8b57"}, {"running", "#7fff00"}, {"failed", "#e0311f"}, {"up_for_retry", "#ffd700"}, {"upstream_failed", "#ffa500"},
	{"skipped", "#ff8fc7"}, {"queued", "#a9a9a9"}, {"scheduled", "#d2b48c"}, {"none", defaultColour},
}

// colourOf returns the colour of a state.
func colourOf(name string) string {
	if i := slices.IndexFunc(states, func(s state) bool { return s.Name == name }); i >= 0 {
		return states[i].Colour
	}
	return defaultColour
}
