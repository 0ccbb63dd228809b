package runner

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// definition is the leader's entry for a stored definition: a graph as it was uploaded. It is identified by the
// hash of its content.
type definition struct {
	plan              *dag.Plan // nil if it is not decoded
	compressed        []byte    // compressed content; only set while the records are being read
	parts             int       // number of its parts; each is a record
	refs              int       // number of graphs and runs that refer to it
	unreferencedSince time.Time // when cleanUp first found it unreferenced; zero if it was in use at the last cleanUp, or not checked yet
}

// fetchAndRegister registers a graph whose definition is stored, or replaces the definition of a registered graph. It
// reads the definition first if it is not in memory.
func (g *Graphs) fetchAndRegister(cmd *Command, respond responder) {
	if d := g.definitions[cmd.Def]; d != nil && d.plan != nil {
		g.register(cmd, d.plan, respond)
		return
	}
	if cmd.Parts < 1 || cmd.Parts > tuning.GraphMaxParts {
		respond.refuse(http.StatusBadRequest, "a graph has 1 to %d parts", tuning.GraphMaxParts)
		return
	}
	if g.fetchingHash != "" || g.isBeingDeleted(cmd.Def) {
		respond.refuse(http.StatusServiceUnavailable, "another graph is being read, or this one's old parts go; ask again")
		return
	}
	g.fetchingHash = cmd.Def
	go func() {
		plan, err := fetch(g.termCtx, g.store, cmd.Def, cmd.Parts)
		if err == nil {
			err = g.validatePlan(plan)
		}
		_ = g.runOnLoop(func() { // fails only when the leadership has ended; the client gets no answer then
			g.fetchingHash = ""
			var invalid *invalidGraphError
			switch {
			case errors.As(err, &invalid):
				g.deleteInvalid(cmd.Def, cmd.Parts)
				respond.refuse(http.StatusBadRequest, "%s", invalid.text)
			case errors.Is(err, errMissingPart):
				respond.refuse(http.StatusConflict, "a part of the graph is not stored; upload it again")
			case err != nil:
				respond.refuse(http.StatusServiceUnavailable, "the graph cannot be read now; ask again")
			default:
				g.cachePlan(cmd.Def, cmd.Parts, plan)
				g.register(cmd, plan, respond)
			}
		})
	}()
}

// cachePlan stores the plan of a definition in memory.
func (g *Graphs) cachePlan(hash string, parts int, plan *dag.Plan) {
	if g.definitions[hash] == nil {
		g.definitions[hash] = &definition{parts: parts}
	}
	if d := g.definitions[hash]; d.plan == nil {
		d.plan = plan
		g.memoryBytes += planBytes(plan)
	}
}

// isBeingDeleted reports whether parts of a definition are about to be deleted. No graph may refer to it then.
func (g *Graphs) isBeingDeleted(hash string) bool {
	prefix := PrefixDefinition + hash + "/"
	return slices.ContainsFunc(g.deletions, func(d deletion) bool { return strings.HasPrefix(d.key, prefix) })
}

// addUnregistered lists the stored definitions and adds those that were uploaded but never registered, so that cleanUp
// deletes them as it does other unreferenced definitions.
func (g *Graphs) addUnregistered() {
	go func() {
		definitions, partCounts := map[string]*definition{}, map[string]int{}
		_, err := g.store.ListAll(g.termCtx, PrefixDefinition, func(items []wire.Item) error {
			collectParts(definitions, partCounts, items)
			for _, d := range definitions {
				d.compressed = nil // only hashes and part counts are needed
			}
			return nil
		})
		if err != nil {
			g.log.Debug("listing the stored definitions failed; unregistered ones are not deleted until the next listing", "err", err)
			return
		}
		_ = g.runOnLoop(func() { // fails only when the leadership has ended
			for hash, d := range definitions {
				if g.definitions[hash] == nil && !g.isBeingDeleted(hash) {
					g.definitions[hash] = &definition{parts: max(d.parts, partCounts[hash])}
				}
			}
		})
	}()
}

// deleteInvalid deletes a definition whose content does not match its hash, or whose graph can never run.
// While it is stored, a valid definition with the same hash cannot be uploaded, because existing parts are not
// overwritten.
func (g *Graphs) deleteInvalid(hash string, parts int) {
	if d := g.definitions[hash]; d != nil && (d.plan != nil || d.refs > 0) {
		return
	}
	delete(g.definitions, hash)
	g.enqueueDeletions(nil, partKeys(hash, parts)...)
}

// invalidGraphError means that a definition can never be registered.
type invalidGraphError struct{ text string }

func (e *invalidGraphError) Error() string { return e.text }

// fetch reads the n parts of a definition from the store. The error is errMissingPart if one is missing, and an
// *invalidGraphError if the content is invalid.
func fetch(ctx context.Context, store *statestore.Client, hash string, n int) (*dag.Plan, error) {
	codec, err := charge.NewCodec()
	if err != nil {
		return nil, err
	}
	var compressed []byte
	for _, key := range partKeys(hash, n) {
		item, ok, err := store.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		var r partRecord
		if !ok {
			return nil, errMissingPart
		}
		if json.Unmarshal(item.Value, &r) != nil || r.Parts != n {
			return nil, &invalidGraphError{"the parts of the graph do not belong together"}
		}
		compressed = append(compressed, r.Zstd...)
	}
	plan, err := decodeDefinition(codec, hash, compressed)
	if err != nil {
		return nil, &invalidGraphError{strings.Join(strings.Fields(err.Error()), " ")}
	}
	return plan, nil
}

// validatePlan returns an *invalidGraphError, with a text of one line, if a graph can never run in this cluster. It is
// safe for concurrent use.
func (g *Graphs) validatePlan(plan *dag.Plan) error {
	run := dag.NewRun(plan, "check")
	for i := range plan.Steps {
		s := &plan.Steps[i]
		if _, ok := g.slots(plan.Team, s.Pool); !ok {
			return &invalidGraphError{fmt.Sprintf("step %s: the team has no pool %q", s.ID, s.Pool)}
		}
		if s.Job == nil {
			continue
		}
		j, value, err := instanceJob(run, dag.InstanceRef{Step: i}, math.MaxInt64)
		if err == nil {
			err = cmp.Or(j.Check(), j.CheckAccount())
		}
		if err == nil && g.cfg.ImpossibleReason != nil {
			if reason := g.cfg.ImpossibleReason(&j); reason != "" {
				err = errors.New(reason)
			}
		}
		if err == nil && len(value) > g.maxValueBytes() {
			err = fmt.Errorf("its job's record would have up to %d bytes; %d are allowed", len(value), g.maxValueBytes())
		}
		if err != nil {
			return &invalidGraphError{fmt.Sprintf("step %s: %s", s.ID, err)}
		}
	}
	if reason := g.runTooLong(run); reason != "" {
		return &invalidGraphError{reason}
	}
	if g.cfg.DescriptionSource == nil && plan.Start != nil && plan.Schedule != "" && plan.Schedule != "None" {
		return &invalidGraphError{noSourceText("it has a schedule and a start_date")}
	}
	return nil
}

// runTooLong returns why runs like the given one cannot be stored; empty if they can. It is safe for concurrent use.
func (g *Graphs) runTooLong(run *dag.Run) string {
	rec := newGraphRecord(run.Plan, "", false, 0)
	live, err := newLiveRun(&graph{rec: rec}, run, "", strings.Repeat("0", hashDigits), runMeta{Type: RunTypeScheduled, LogicalMS: math.MaxInt64}, nil)
	if err != nil {
		return httpjson.OneLine(err)
	}
	if needed := live.recordBound(tuning.RunMinSubmitted); needed > g.maxValueBytes() {
		return fmt.Sprintf("the record of its runs would have up to %d bytes with %d instances of steps; %d are allowed", needed, live.size.instances(), g.maxValueBytes())
	}
	return ""
}

// noSourceText returns the error text for something that requires a source of descriptions, when there is none.
func noSourceText(what string) string {
	return what + ", and the service knows nowhere to have its steps described (graphs.descriptions)"
}

// releaseDefinition removes a reference to a definition.
func (g *Graphs) releaseDefinition(hash string) {
	if d := g.definitions[hash]; d != nil {
		d.refs--
	}
}

// planBytes returns the estimated memory of a plan, in bytes.
func planBytes(p *dag.Plan) int { return len(p.Steps) * tuning.GraphStepBytes }
