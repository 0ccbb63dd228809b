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

// Prefixes of keys in the state service. Any member writes definitions; only the leader writes the others.
const (
	// PrefixDef is the prefix of definitions, which are stored compressed and in parts. The hash of the content
	// follows, so a definition never changes.
	PrefixDef = "graph/def/"
	// PrefixGraph is the prefix of the registered graphs of all teams.
	PrefixGraph = "graph/dag/"
	// PrefixRun is the prefix of runs. Each record contains the states of all steps of its run.
	PrefixRun = "graph/run/"
)

// DefaultPool is the name of the pool of a step that names none.
const DefaultPool = "default_pool"

// The types of runs, with Airflow's names.
const (
	Manual    = "manual"
	Scheduled = "scheduled"
	Backfill  = "backfill"
)

// RunName returns the default ID of a run of some type with some logical date, in Airflow's format.
func RunName(kind string, logical time.Time) string {
	return kind + "__" + logical.UTC().Format("2006-01-02T15:04:05.999999-07:00")
}

// partKeys returns the keys of the n parts of a definition.
func partKeys(hash string, n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s%s/%04d", PrefixDef, hash, i)
	}
	return keys
}

// teamPrefix returns a team's part of a key, with a slash at the end. It is a hash, because a team's name may contain
// characters that a key may not.
func teamPrefix(team string) string {
	sum := sha256.Sum256([]byte(team))
	return hex.EncodeToString(sum[:8]) + "/"
}

func keyGraph(team, graph string) string { return PrefixGraph + teamPrefix(team) + graph }

// runEscapes escapes the characters that a run's ID may contain and a key may not.
var runEscapes = strings.NewReplacer(":", ",c", "+", ",p")

func keyRun(team, graph, run string) string {
	return PrefixRun + teamPrefix(team) + graph + "/" + runEscapes.Replace(run)
}

// validRunID reports whether id is a valid ID of a run.
func validRunID(id string) bool {
	return dag.ValidName(strings.NewReplacer(":", "", "+", "").Replace(id))
}

// GraphRecord is the stored form of a graph that a team registered.
type GraphRecord struct {
	Team   string `json:"team"`
	ID     string `json:"id"`
	Def    string `json:"def"` // hash of its definition
	Paused bool   `json:"paused,omitempty"`
	LastMS int64  `json:"last_ms,omitempty"` // end of the newest data interval that has a run

	// Copied from its definition, so that graphs can be listed without decoding it.
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

// partRecord is the stored form of a part of a definition.
type partRecord struct {
	Parts int    `json:"parts"` // number of parts of the definition
	Zstd  []byte `json:"z"`     // part of the compressed definition
}

// runRecord is the stored form of a run.
type runRecord struct {
	Team  string `json:"team"`
	Graph string `json:"graph"`
	ID    string `json:"id"`
	Def   string `json:"def"` // hash of its definition
	State string `json:"state"`
	runMeta
	// Open is true if jobs of the run are not finished, whatever its state is.
	Open bool   `json:"open,omitempty"`
	Zstd []byte `json:"z"` // stored form of a dag.Run, compressed
	// Tries is the list of the newest tries of its steps, encoded and compressed.
	Tries []byte `json:"tries,omitempty"`
}

// finished reports whether the run is finished: it has ended, and so have all its jobs.
func (r *runRecord) finished() bool { return r.State != dag.RunRunning.String() && !r.Open }

// Pack returns the hash of a definition, and its compressed form in parts of at most tuning.GraphPartMaxBytes.
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

// hashOf returns the hash that identifies a definition.
func hashOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16])
}

// validHash reports whether s has the form of a definition's hash.
func validHash(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == 16 && s == strings.ToLower(s)
}

// errMissingPart means that not all parts of a definition are stored.
var errMissingPart = errors.New("a part of the graph is missing")

// decodeDefinition decodes a compressed definition and checks its hash.
func decodeDefinition(c *charge.Codec, hash string, packed []byte) (*dag.Plan, error) {
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

// collectParts adds records of parts to defs, and counts them in have, both by hash. Items are sorted by key, so the parts
// of a definition are in order. If have is less than definition.parts, the definition is incomplete: its client
// did not finish the upload.
func collectParts(defs map[string]*definition, have map[string]int, items []wire.Item) {
	for _, item := range items {
		hash, _, _ := strings.Cut(strings.TrimPrefix(item.Key, PrefixDef), "/")
		var r partRecord
		if json.Unmarshal(item.Value, &r) != nil {
			continue // the definition is incomplete then
		}
		if defs[hash] == nil {
			defs[hash] = &definition{}
		}
		defs[hash].compressed = append(defs[hash].compressed, r.Zstd...)
		defs[hash].parts = r.Parts
		have[hash]++
	}
}

// encodeRunRecord encodes a run's record. To stay within limit bytes, it discards the oldest tries, and if necessary all. If
// the record is still longer, encodeRunRecord returns it nevertheless.
func encodeRunRecord(c *charge.Codec, x *liveRun, limit int) (json.RawMessage, error) {
	rec := runRecord{
		Team: x.graph.rec.Team, Graph: x.graph.rec.ID, ID: x.run.ID, Def: x.defHash, State: x.run.RunState().String(), runMeta: x.meta,
		Open: x.activeJobs > 0, Zstd: c.Encode(x.run.Encode()),
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

// decodeRun decodes the states of a run's steps.
func decodeRun(c *charge.Codec, rec *runRecord, p *dag.Plan) (*dag.Run, error) {
	var raw []byte
	if err := c.Decode(rec.Zstd, &raw); err != nil {
		return nil, fmt.Errorf("run %s of %s: %w", rec.ID, rec.Graph, err)
	}
	return dag.DecodeRun(p, raw)
}

// instanceJob returns the job of an instance, and the job's stored record with nowMS as the time when it was accepted.
func instanceJob(r *dag.Run, at dag.InstanceRef, nowMS int64) (wire.Job, json.RawMessage, error) {
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
