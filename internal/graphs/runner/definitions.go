package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// definition is a definition: a graph as it was uploaded, under the hash of what it says.
type definition struct {
	plan   *dag.Plan // nil: it is stored, and nothing needed it yet
	packed []byte    // its stored form, while a new leader reads
	parts  int       // records
	refs   int       // graphs and runs that refer to it
	idle   time.Time // since when none does; zero: it was not looked at since
}

// put registers a graph whose definition is stored, or another definition of it.
func (g *Graphs) put(o *Order, tell responder) {
	if d := g.defs[o.Def]; d != nil && d.plan != nil {
		g.register(o, d.plan, tell)
		return
	}
	if o.Parts < 1 || o.Parts > tuning.GraphMaxParts {
		tell.refuse(http.StatusBadRequest, "a graph has 1 to %d parts", tuning.GraphMaxParts)
		return
	}
	if g.fetching != "" || g.dropping(o.Def) {
		tell.refuse(http.StatusServiceUnavailable, "another graph is being read, or this one's old parts go; ask again")
		return
	}
	g.fetching = o.Def
	go func() {
		plan, err := fetch(g.ended, g.store, o.Def, o.Parts)
		if err == nil {
			err = g.examine(plan)
		}
		_ = g.ask(func() { // fails when the leadership is over, and with it whoever waits
			g.fetching = ""
			var bad *badGraph
			switch {
			case errors.As(err, &bad):
				g.deleteInvalid(o.Def, o.Parts)
				tell.refuse(http.StatusBadRequest, "%s", bad.text)
			case errors.Is(err, errParts):
				tell.refuse(http.StatusConflict, "a part of the graph is not stored; upload it again")
			case err != nil:
				tell.refuse(http.StatusServiceUnavailable, "the graph cannot be read now; ask again")
			default:
				g.learn(o.Def, o.Parts, plan)
				g.register(o, plan, tell)
			}
		})
	}()
}

// learn keeps the plan of a definition.
func (g *Graphs) learn(hash string, parts int, p *dag.Plan) {
	if g.defs[hash] == nil {
		g.defs[hash] = &definition{parts: parts}
	}
	if d := g.defs[hash]; d.plan == nil {
		d.plan = p
		g.bytes += planBytes(p)
	}
}

// dropping reports whether parts of a definition are about to go: it must not be referred to then.
func (g *Graphs) dropping(hash string) bool {
	prefix := PrefixDef + hash + "/"
	return slices.ContainsFunc(g.deletions, func(d deletion) bool { return strings.HasPrefix(d.key, prefix) })
}

// sweep looks for definitions that were uploaded and never registered: they go like others
// that nothing refers to.
func (g *Graphs) sweep() {
	go func() {
		defs, have := map[string]*definition{}, map[string]int{}
		_, err := g.store.ListAll(g.ended, PrefixDef, func(items []wire.Item) error {
			gather(defs, have, items)
			for _, d := range defs {
				d.packed = nil // their names are enough
			}
			return nil
		})
		if err != nil {
			g.log.Debug("definitions cannot be listed", "err", err)
			return
		}
		_ = g.ask(func() { // fails when the leadership is over
			for hash, d := range defs {
				if g.defs[hash] == nil && !g.dropping(hash) {
					g.defs[hash] = &definition{parts: max(d.parts, have[hash])}
				}
			}
		})
	}()
}

// deleteInvalid drops a definition that is not what its name says, or no graph that could run:
// one that cannot be read must not block a good one.
func (g *Graphs) deleteInvalid(hash string, parts int) {
	if d := g.defs[hash]; d != nil && (d.plan != nil || d.refs > 0) {
		return
	}
	delete(g.defs, hash)
	g.enqueueDeletions(nil, partKeys(hash, parts)...)
}

// badGraph is a definition that can never be registered.
type badGraph struct{ text string }

func (e *badGraph) Error() string { return e.text }

// fetch reads a definition.
func fetch(ctx context.Context, store *statestore.Client, hash string, n int) (*dag.Plan, error) {
	codec, err := charge.NewCodec()
	if err != nil {
		return nil, err
	}
	var packed []byte
	for _, key := range partKeys(hash, n) {
		item, ok, err := store.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		var r partRecord
		if !ok {
			return nil, errParts
		}
		if json.Unmarshal(item.Value, &r) != nil || r.Parts != n {
			return nil, &badGraph{"the parts of the graph do not belong together"}
		}
		packed = append(packed, r.Zstd...)
	}
	plan, err := unpack(codec, hash, packed)
	if err != nil {
		return nil, &badGraph{strings.Join(strings.Fields(err.Error()), " ")}
	}
	return plan, nil
}

// examine says why a graph can never run here, in one line. It is safe for concurrent use.
func (g *Graphs) examine(p *dag.Plan) error {
	r := dag.NewRun(p, "check")
	for i := range p.Steps {
		s := &p.Steps[i]
		if _, ok := g.slots(p.Team, s.Pool); !ok {
			return &badGraph{fmt.Sprintf("step %s: the team has no pool %q", s.ID, s.Pool)}
		}
		if s.Job == nil {
			continue
		}
		j, value, err := jobOf(r, dag.InstanceRef{Step: i}, 0)
		if err == nil {
			err = j.Check()
		}
		if err == nil && g.cfg.Impossible != nil {
			if why := g.cfg.Impossible(&j); why != "" {
				err = errors.New(why)
			}
		}
		if err == nil && len(value) > int(g.cfg.ValueKB*1024) {
			err = errors.New("its job's description is too long")
		}
		if err != nil {
			return &badGraph{fmt.Sprintf("step %s: %s", s.ID, err)}
		}
	}
	if g.cfg.Source == nil && p.Start != nil && p.Schedule != "" && p.Schedule != "None" {
		return &badGraph{noSource("it has a schedule and a start_date")}
	}
	return nil
}

// noSource says what cannot be done without a source of descriptions.
func noSource(what string) string {
	return what + ", and the service knows nowhere to have its steps described (graphs.descriptions)"
}

func (g *Graphs) releaseDefinition(hash string) {
	if d := g.defs[hash]; d != nil {
		d.refs--
	}
}

func planBytes(p *dag.Plan) int { return len(p.Steps) * tuning.GraphStepBytes }
