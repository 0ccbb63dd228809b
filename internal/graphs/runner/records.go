package runner

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Keys of the state service. Any member writes definitions, only the leader the others.
const (
	// PrefixDef holds definitions, compressed and in parts, under the hash of what they
	// say: they never change.
	PrefixDef = "graph/def/"
	// PrefixGraph holds the graphs that teams registered.
	PrefixGraph = "graph/dag/"
	// PrefixRun holds runs, each with the states of all its steps.
	PrefixRun = "graph/run/"
)

// DefaultPool is the pool of a step that names none.
const DefaultPool = "default_pool"

// The types of runs, by Airflow's names.
const (
	Manual    = "manual"
	Scheduled = "scheduled"
	Backfill  = "backfill"
)

// RunName is the id of a run that has no other, as Airflow gives it.
func RunName(kind string, logical time.Time) string {
	return kind + "__" + logical.UTC().Format("2006-01-02T15:04:05.999999-07:00")
}

func partKeys(hash string, n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s%s/%04d", PrefixDef, hash, i)
	}
	return keys
}

// ofTeam is a team's part of a key: its name may hold what a key may not.
func ofTeam(team string) string {
	sum := sha256.Sum256([]byte(team))
	return hex.EncodeToString(sum[:8]) + "/"
}

func keyGraph(team, graph string) string { return PrefixGraph + ofTeam(team) + graph }

// runEscapes are for what a run's id may hold and a graph's may not.
var runEscapes = strings.NewReplacer(":", ",c", "+", ",p")

func keyRun(team, graph, run string) string {
	return PrefixRun + ofTeam(team) + graph + "/" + runEscapes.Replace(run)
}

// validRun reports whether a run's id is one.
func validRun(id string) bool {
	return dag.ValidName(strings.NewReplacer(":", "", "+", "").Replace(id))
}

// GraphRecord is a graph that a team registered, as it is stored.
type GraphRecord struct {
	Team   string `json:"team"`
	ID     string `json:"id"`
	Def    string `json:"def"` // the hash of its definition
	Paused bool   `json:"paused,omitempty"`
	LastMS int64  `json:"last_ms,omitempty"` // end of the newest interval that has a run

	// Of its definition, for those who list graphs.
	Description string     `json:"description,omitempty"`
	Schedule    string     `json:"schedule,omitempty"`
	Zone        string     `json:"zone,omitempty"`
	Start       *time.Time `json:"start,omitempty"`
	End         *time.Time `json:"end,omitempty"`
	Catchup     bool       `json:"catchup,omitempty"`
	MaxRuns     int        `json:"max_runs"`
	MaxTasks    int        `json:"max_tasks"`
	Tags        []string   `json:"tags,omitempty"`
	Steps       int        `json:"steps"`
}

// partRecord is a part of a definition.
type partRecord struct {
	Parts int    `json:"parts"` // there are
	Zstd  []byte `json:"z"`
}

// runRecord is a run.
type runRecord struct {
	Team  string `json:"team"`
	Graph string `json:"graph"`
	ID    string `json:"id"`
	Def   string `json:"def"` // the hash of its definition
	State string `json:"state"`
	meta
	// Open says that jobs of it are not over, whatever its state.
	Open bool   `json:"open,omitempty"`
	Zstd []byte `json:"z"` // of dag.Run's stored form
	// Tries are the newest tries of its steps, compressed.
	Tries []byte `json:"tries,omitempty"`
}

func (r *runRecord) over() bool { return r.State != dag.RunRunning.String() && !r.Open }

// Pack returns a definition's stored form: its hash, and its parts.
func Pack(c *charge.Codec, g *dag.Graph) (hash string, parts [][]byte, err error) {
	raw, err := json.Marshal(g)
	if err != nil {
		return "", nil, fmt.Errorf("graph %s: %w", g.ID, err)
	}
	packed := c.Encode(raw)
	for len(packed) > 0 {
		n := min(len(packed), tuning.GraphPartMaxBytes)
		parts = append(parts, packed[:n])
		packed = packed[n:]
	}
	if len(parts) > tuning.GraphMaxParts {
		return "", nil, fmt.Errorf("graph %s: it takes %d parts of %d bytes; up to %d are allowed", g.ID, len(parts), tuning.GraphPartMaxBytes, tuning.GraphMaxParts)
	}
	return hashOf(raw), parts, nil
}

func hashOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16])
}

// validHash reports whether a text is the hash of a definition.
func validHash(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == 16 && s == strings.ToLower(s)
}

var errParts = errors.New("a part of the graph is missing")

// unpack reads a definition.
func unpack(c *charge.Codec, hash string, packed []byte) (*dag.Plan, error) {
	var raw []byte
	if err := c.Decode(packed, &raw); err != nil {
		return nil, err
	}
	if hashOf(raw) != hash {
		return nil, errors.New("the graph is not what its hash says")
	}
	g, err := dag.ParseJSON("graph", raw)
	if err != nil {
		return nil, err
	}
	return dag.NewPlan(g)
}

// gather collects parts of definitions, by hash, in the order of their keys. One that
// lacks a part has none: its client never came back.
func gather(defs map[string]*definition, have map[string]int, items []wire.Item) {
	for _, item := range items {
		hash, _, _ := strings.Cut(strings.TrimPrefix(item.Key, PrefixDef), "/")
		var r partRecord
		if json.Unmarshal(item.Value, &r) != nil {
			continue // what it is a part of lacks it
		}
		if defs[hash] == nil {
			defs[hash] = &definition{}
		}
		defs[hash].packed = append(defs[hash].packed, r.Zstd...)
		defs[hash].parts = r.Parts
		have[hash]++
	}
}

// runValue is a run's record, of up to limit bytes: the oldest tries go before that.
func runValue(c *charge.Codec, x *liveRun, limit int) (json.RawMessage, error) {
	rec := runRecord{
		Team: x.graph.rec.Team, Graph: x.graph.rec.ID, ID: x.run.ID, Def: x.def, State: x.run.RunState().String(), meta: x.meta,
		Open: x.active > 0, Zstd: c.Encode(x.run.Encode()),
	}
	if n := int(tuning.TriesRecordShare*float64(limit)) / tuning.TryBytes; len(x.tries) > n {
		x.tries = slices.Clone(x.tries[len(x.tries)-n:])
	}
	if len(x.tries) > 0 {
		rec.Tries = c.Encode(x.tries)
	}
	value, err := json.Marshal(rec)
	if err == nil && len(value) > limit && rec.Tries != nil {
		rec.Tries, x.tries = nil, nil
		value, err = json.Marshal(rec)
	}
	return value, err
}

func decodeRun(c *charge.Codec, rec *runRecord, p *dag.Plan) (*dag.Run, error) {
	var raw []byte
	if err := c.Decode(rec.Zstd, &raw); err != nil {
		return nil, fmt.Errorf("run %s of %s: %w", rec.ID, rec.Graph, err)
	}
	return dag.DecodeRun(p, raw)
}

// jobOf is the job of an instance, and its stored record.
func jobOf(r *dag.Run, at dag.InstanceRef, nowMS int64) (wire.Job, json.RawMessage, error) {
	p := r.Plan
	d := p.Steps[at.Step].Job
	j := wire.Job{
		ID: r.JobID(at), Class: d.Class, Team: p.Team, Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: max(1, d.Tasks),
		CPUs: d.CPUs, GPUs: d.GPUs, MemoryGB: d.MemoryGB, Image: d.Image, ImageGB: d.ImageGB, Types: d.Types, Zone: d.Zone,
		OneZone: d.SameZone, Spread: d.Spread, Spot: d.Spot, EstimateS: d.EstimateS, CheckpointS: d.CheckpointS, SaveS: d.SaveS, Account: d.Account,
	}
	if d.Urgency != "" {
		j.Priority = wire.Priority(d.Urgency)
	}
	value, err := json.Marshal(jobs.JobRecord{Job: j, AcceptedAtMS: nowMS})
	return j, value, err
}
