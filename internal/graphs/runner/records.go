package runner

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
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
	// PrefixDefinition is the prefix of definitions, which are stored compressed and in parts. The hash of the content
	// follows, so a definition never changes.
	PrefixDefinition = "graph/def/"
	// PrefixGraph is the prefix of the registered graphs of all teams.
	PrefixGraph = "graph/dag/"
	// PrefixRun is the prefix of runs. Each record contains the states of all steps of its run.
	PrefixRun = "graph/run/"
	// PrefixResult is the prefix of the results of steps that have no room in the record of their run.
	PrefixResult = "graph/result/"
)

// DefaultPool is the name of the pool of steps that do not specify one.
const DefaultPool = "default_pool"

// The types of runs, with Airflow's names.
const (
	RunTypeManual    = "manual"
	RunTypeScheduled = "scheduled"
	RunTypeBackfill  = "backfill"
)

// DefaultRunID returns the default ID of a run with the given type and logical date, in Airflow's format.
func DefaultRunID(kind string, logical time.Time) string {
	return kind + "__" + logical.UTC().Format("2006-01-02T15:04:05.999999-07:00")
}

// partKeys returns the keys of the n parts of a definition.
func partKeys(hash string, n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s%s/%04d", PrefixDefinition, hash, i)
	}
	return keys
}

// teamPrefix returns a team's part of a key, with a slash at the end. It is a hash, because a team's name may contain
// characters that a key may not.
func teamPrefix(team string) string {
	sum := sha256.Sum256([]byte(team))
	return hex.EncodeToString(sum[:8]) + "/"
}

// keyGraph returns the key of a graph.
func keyGraph(team, graph string) string { return PrefixGraph + teamPrefix(team) + graph }

// runEscapes escapes the characters that a run's ID may contain and a key may not.
var runEscapes = strings.NewReplacer(":", ",c", "+", ",p")

// keyRun returns the key of a run.
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
	Description string     `json:"description,omitempty"` // may be shortened
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

// Pack returns the hash of a definition, and its compressed form in parts of at most tuning.GraphPartMaxBytes.
func Pack(codec *charge.Codec, g *dag.Graph) (hash string, parts [][]byte, err error) {
	raw, err := json.Marshal(g)
	if err != nil {
		return "", nil, fmt.Errorf("graph %s: %w", g.ID, err)
	}
	compressed := codec.Encode(raw)
	for len(compressed) > 0 {
		n := min(len(compressed), tuning.GraphPartMaxBytes)
		parts = append(parts, compressed[:n])
		compressed = compressed[n:]
	}
	if len(parts) > tuning.GraphMaxParts {
		return "", nil, fmt.Errorf("graph %s: it takes %d parts of %d bytes; up to %d are allowed", g.ID, len(parts), tuning.GraphPartMaxBytes, tuning.GraphMaxParts)
	}
	return hashOf(raw), parts, nil
}

// hashOf returns the hash that identifies a definition.
func hashOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:hashDigits/2])
}

// hashDigits is the number of hexadecimal digits of a definition's hash.
const hashDigits = 32

// validHash reports whether s has the form of a definition's hash.
func validHash(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == hashDigits/2 && s == strings.ToLower(s)
}

// errMissingPart means that not all parts of a definition are stored.
var errMissingPart = errors.New("a part of the graph is missing")

// decodeDefinition decodes a compressed definition and checks its hash.
func decodeDefinition(codec *charge.Codec, hash string, compressed []byte) (*dag.Plan, error) {
	var raw []byte
	if err := codec.Decode(compressed, &raw); err != nil {
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

// collectParts adds records of parts to definitions, and counts them in partCounts. Both maps are by hash. Items are
// sorted by key, so the parts of a definition are in order. If the count differs from definition.parts, the definition
// is incomplete, because its client did not finish the upload.
func collectParts(definitions map[string]*definition, partCounts map[string]int, items []wire.Item) {
	for _, item := range items {
		hash, _, _ := strings.Cut(strings.TrimPrefix(item.Key, PrefixDefinition), "/")
		var r partRecord
		if json.Unmarshal(item.Value, &r) != nil {
			continue // the definition is incomplete then
		}
		if definitions[hash] == nil {
			definitions[hash] = &definition{}
		}
		definitions[hash].compressed = append(definitions[hash].compressed, r.Zstd...)
		definitions[hash].parts = r.Parts
		partCounts[hash]++
	}
}

// instanceJob returns the job of an instance, and the job's stored record. nowMS is the time when the job is accepted, as
// a Unix time in milliseconds.
func instanceJob(r *dag.Run, ref dag.InstanceRef, nowMS int64) (wire.Job, json.RawMessage, error) {
	p := r.Plan
	dagJob := p.Steps[ref.Step].Job
	j := wire.Job{
		ID: r.JobID(ref), Class: dagJob.Class, Team: p.Team, Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: max(1, dagJob.Tasks),
		CPUs: dagJob.CPUs, GPUs: dagJob.GPUs, MemoryGB: dagJob.MemoryGB, Image: dagJob.Image, ImageGB: dagJob.ImageGB, Types: dagJob.Types, Zone: dagJob.Zone,
		OneZone: dagJob.SameZone, Spread: dagJob.Spread, Spot: dagJob.Spot, EstimateS: dagJob.EstimateS, CheckpointS: dagJob.CheckpointS, SaveS: dagJob.SaveS, Account: dagJob.Account,
	}
	if dagJob.Urgency != "" {
		j.Priority = wire.Priority(dagJob.Urgency)
	}
	value, err := json.Marshal(jobs.JobRecord{Job: j, AcceptedAtMS: nowMS})
	return j, value, err
}
