package graphs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"poppypass/internal/charge"
	"poppypass/internal/dag"
	"poppypass/internal/jobs"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// Keys of the state service. Only the leader writes them.
const (
	// PrefixDef holds graphs, compressed and in parts, under the hash of what they
	// say: they never change.
	PrefixDef = "graph/def/"
	// PrefixRun holds runs, each with the states of all its steps.
	PrefixRun = "graph/run/"
)

func keyPart(hash string, n int) string { return fmt.Sprintf("%s%s/%04d", PrefixDef, hash, n) }

// keyRun is the key of a run. A team's name may hold what a key may not.
func keyRun(team, graph, run string) string {
	sum := sha256.Sum256([]byte(team))
	return PrefixRun + hex.EncodeToString(sum[:8]) + "/" + graph + "/" + run
}

// partRecord is a part of a graph.
type partRecord struct {
	Parts int    `json:"parts"` // there are
	Zstd  []byte `json:"z"`
}

// runRecord is a run.
type runRecord struct {
	Def  string `json:"def"` // the hash of its graph
	Over bool   `json:"over,omitempty"`
	Zstd []byte `json:"z"` // of dag.Run's stored form
}

// parts gives a graph's stored form.
func parts(c *charge.Codec, g *dag.Graph) (hash string, values []json.RawMessage, err error) {
	raw, err := json.Marshal(g)
	if err != nil {
		return "", nil, fmt.Errorf("graph %s: %w", g.ID, err)
	}
	sum := sha256.Sum256(raw)
	packed := c.Squeeze(raw)
	n := (len(packed) + tuning.GraphPart - 1) / tuning.GraphPart
	for i := range n {
		value, err := json.Marshal(partRecord{Parts: n, Zstd: packed[i*tuning.GraphPart : min(len(packed), (i+1)*tuning.GraphPart)]})
		if err != nil {
			return "", nil, fmt.Errorf("graph %s: %w", g.ID, err)
		}
		values = append(values, value)
	}
	return hex.EncodeToString(sum[:16]), values, nil
}

var errParts = errors.New("a part of the graph is missing")

// assemble reads graphs from their parts, by hash. One that lacks a part is left out:
// its leader died before the run that it was stored for was.
func assemble(c *charge.Codec, items []wire.Item) (map[string]*dag.Plan, error) {
	packed := map[string][]byte{}
	have, want := map[string]int{}, map[string]int{}
	for _, item := range items { // in the order of their keys
		hash, _, ok := strings.Cut(strings.TrimPrefix(item.Key, PrefixDef), "/")
		var r partRecord
		if err := json.Unmarshal(item.Value, &r); err != nil || !ok {
			return nil, fmt.Errorf("record %s is malformed", item.Key)
		}
		packed[hash] = append(packed[hash], r.Zstd...)
		have[hash]++
		want[hash] = r.Parts
	}
	plans := map[string]*dag.Plan{}
	for hash := range packed {
		if have[hash] != want[hash] {
			continue
		}
		var raw []byte
		if err := c.Expand(packed[hash], &raw); err != nil {
			return nil, fmt.Errorf("graph %s: %w", hash, err)
		}
		var g dag.Graph
		if err := json.Unmarshal(raw, &g); err != nil {
			return nil, fmt.Errorf("graph %s: %w", hash, err)
		}
		p, err := dag.Check(&g)
		if err != nil {
			return nil, err
		}
		plans[hash] = p
	}
	return plans, nil
}

func runValue(c *charge.Codec, def string, r *dag.Run) (json.RawMessage, error) {
	return json.Marshal(runRecord{Def: def, Over: r.RunState() != dag.RunRunning, Zstd: c.Squeeze(r.Encode())})
}

func decodeRun(c *charge.Codec, item wire.Item, plans map[string]*dag.Plan) (*dag.Run, string, error) {
	var rec runRecord
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		return nil, "", fmt.Errorf("record %s: %w", item.Key, err)
	}
	p := plans[rec.Def]
	if p == nil {
		return nil, "", fmt.Errorf("record %s: %w", item.Key, errParts)
	}
	var raw []byte
	if err := c.Expand(rec.Zstd, &raw); err != nil {
		return nil, "", fmt.Errorf("record %s: %w", item.Key, err)
	}
	r, err := dag.DecodeRun(p, raw)
	return r, rec.Def, err
}

// jobOf is the job of an instance, and its stored record.
func jobOf(r *dag.Run, at dag.Ref, nowMS int64) (wire.Job, json.RawMessage, error) {
	p := r.Plan
	d := p.Steps[at.Step].Job
	j := wire.Job{
		ID: r.JobID(at), Class: d.Class, Team: p.Team, Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: max(1, d.Tasks),
		CPUs: d.CPUs, GPUs: d.GPUs, MemoryGB: d.MemoryGB, Image: d.Image, ImageGB: d.ImageGB, Types: d.Types, Zone: d.Zone,
		OneZone: d.OneZone, Spread: d.Spread, Spot: d.Spot, EstimateS: d.EstimateS, CheckpointS: d.CheckpointS, SaveS: d.SaveS, Account: d.Account,
	}
	if d.Urgency != "" {
		j.Priority = wire.Priority(d.Urgency)
	}
	value, err := json.Marshal(jobs.Record{Job: j, AtMS: nowMS})
	return j, value, err
}
