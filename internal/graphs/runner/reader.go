package runner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Reader reads the stored records of graphs and stores definitions. Any member may use it. It is safe for concurrent
// use. It decodes one definition at a time, because the largest needs some MB of memory.
type Reader struct {
	store *statestore.Client
	lock  chan struct{} // channel of capacity 1, used as a lock for the fields below
	codec *charge.Codec // nil until it is first needed
	hash  string        // of the definition of plan
	plan  *dag.Plan     // the plan that was read last
}

// ErrNotFound means that the team has no such graph or run.
var ErrNotFound = errors.New("it is not known")

// NewReader returns a Reader of a state service.
func NewReader(store *statestore.Client) *Reader {
	return &Reader{store: store, lock: make(chan struct{}, 1)}
}

// acquire acquires r.lock, and creates the codec if there is none. The caller releases the lock by receiving from
// r.lock.
func (r *Reader) acquire(ctx context.Context) error {
	select {
	case r.lock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	if r.codec == nil {
		var err error
		if r.codec, err = charge.NewCodec(); err != nil {
			<-r.lock
			return err
		}
	}
	return nil
}

// get decodes a record into v. The error is ErrNotFound if there is no such record.
func (r *Reader) get(ctx context.Context, key string, v any) error {
	item, ok, err := r.store.Get(ctx, key)
	switch {
	case err != nil:
		return err
	case !ok:
		return ErrNotFound
	}
	return json.Unmarshal(item.Value, v)
}

// Graphs returns a team's graphs, sorted by ID.
func (r *Reader) Graphs(ctx context.Context, team string) (out []GraphRecord, err error) {
	_, err = r.store.ListAll(ctx, PrefixGraph+teamPrefix(team), func(items []wire.Item) error {
		for _, item := range items {
			var rec GraphRecord
			if json.Unmarshal(item.Value, &rec) == nil && rec.Team == team {
				out = append(out, rec)
			}
		}
		return nil
	})
	return out, err
}

// Graph returns a team's graph. The error is ErrNotFound if there is no such graph.
func (r *Reader) Graph(ctx context.Context, team, id string) (rec GraphRecord, err error) {
	if !dag.ValidName(id) {
		return rec, ErrNotFound
	}
	err = r.get(ctx, keyGraph(team, id), &rec)
	return rec, err
}

// RunInfo is the part of a run that can be decoded without its definition.
type RunInfo struct {
	Graph, ID, State, Type, Note string
	Def                          string // hash of its definition
	Logical, Queued              time.Time
	From, To, Start, End         time.Time // zero if there is none; From and To are the data interval
	Conf                         json.RawMessage
}

// timeOf converts a Unix time in milliseconds. It returns the zero time for 0.
func timeOf(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// info returns the RunInfo of a record. A run that has not started yet is "queued".
func (r *runRecord) info() RunInfo {
	i := RunInfo{
		Graph: r.Graph, ID: r.ID, State: r.State, Type: r.Type, Note: r.Note, Def: r.Def, Logical: timeOf(r.LogicalMS), Queued: timeOf(r.QueuedMS),
		From: timeOf(r.FromMS), To: timeOf(r.ToMS), Start: timeOf(r.StartMS), End: timeOf(r.EndMS), Conf: r.Conf,
	}
	if r.StartMS == 0 && r.EndMS == 0 {
		i.State = "queued"
	}
	return i
}

// Runs returns the runs of a team's graph, or those of all its graphs if id is empty.
func (r *Reader) Runs(ctx context.Context, team, id string) (out []RunInfo, err error) {
	prefix := PrefixRun + teamPrefix(team)
	if id != "" {
		prefix += id + "/"
	}
	_, err = r.store.ListAll(ctx, prefix, func(items []wire.Item) error {
		for _, item := range items {
			var rec runRecord
			if json.Unmarshal(item.Value, &rec) == nil && rec.Team == team {
				out = append(out, rec.info())
			}
		}
		return nil
	})
	return out, err
}

// RunView is a run with the states of its steps.
type RunView struct {
	RunInfo
	Run   *dag.Run // without the results that have records of their own; Reader.Result reads those
	Tries []Try    // the newest ones; times are relative to Queued

	key      string
	separate dag.StepSet
}

// Run returns a run of a team's graph. The error is ErrNotFound if there is no such run.
func (r *Reader) Run(ctx context.Context, team, graph, id string) (*RunView, error) {
	if !dag.ValidName(graph) || !validRunID(id) {
		return nil, ErrNotFound
	}
	var rec runRecord
	key := keyRun(team, graph, id)
	if err := r.get(ctx, key, &rec); err != nil {
		return nil, err
	}
	plan, err := r.Plan(ctx, rec.Def)
	if err != nil {
		return nil, err
	}
	if err := r.acquire(ctx); err != nil {
		return nil, err
	}
	defer func() { <-r.lock }()
	run, err := decodeRun(r.codec, &rec, plan)
	if err != nil {
		return nil, err
	}
	return &RunView{RunInfo: rec.info(), Run: run, Tries: readTries(r.codec, &rec), key: key, separate: rec.Results}, nil
}

// Plan returns the plan of a stored definition.
func (r *Reader) Plan(ctx context.Context, hash string) (*dag.Plan, error) {
	if err := r.acquire(ctx); err != nil {
		return nil, err
	}
	defer func() { <-r.lock }()
	if r.hash == hash {
		return r.plan, nil
	}
	definitions, partCounts := map[string]*definition{}, map[string]int{}
	if _, err := r.store.ListAll(ctx, PrefixDefinition+hash+"/", func(items []wire.Item) error {
		collectParts(definitions, partCounts, items)
		return nil
	}); err != nil {
		return nil, err
	}
	def := definitions[hash]
	if def == nil || partCounts[hash] != def.parts {
		return nil, errMissingPart
	}
	if err := def.decodePlan(r.codec, hash); err != nil {
		return nil, err
	}
	r.hash, r.plan = hash, def.plan
	return def.plan, nil
}

// StoreDefinition stores a graph's definition, and returns its hash and its number of parts.
func (r *Reader) StoreDefinition(ctx context.Context, g *dag.Graph) (hash string, n int, err error) {
	if err := r.acquire(ctx); err != nil {
		return "", 0, err
	}
	defer func() { <-r.lock }()
	hash, parts, err := Pack(r.codec, g)
	if err != nil {
		return "", 0, err
	}
	for i, part := range parts {
		if err := r.StorePart(ctx, hash, i, len(parts), part); err != nil {
			return "", 0, err
		}
	}
	return hash, len(parts), nil
}

// ErrInvalidPart means that the arguments of StorePart do not describe a valid part of a definition.
var ErrInvalidPart = errors.New("that is no part of a graph")

// StorePart stores part n (from 0) of a definition that has the given number of parts, unless the part is stored
// already. zstd is the part's compressed content.
func (r *Reader) StorePart(ctx context.Context, hash string, n, parts int, zstd []byte) error {
	if !validHash(hash) || n < 0 || n >= parts || parts > tuning.GraphMaxParts || len(zstd) == 0 || len(zstd) > tuning.GraphPartMaxBytes {
		return ErrInvalidPart
	}
	value, err := json.Marshal(partRecord{Parts: parts, Zstd: zstd})
	if err != nil {
		return err
	}
	key := partKeys(hash, n+1)[n]
	_, err = r.store.Commit(ctx, wire.Txn{If: []wire.Condition{{Key: key}}, Then: []wire.Change{{Put: key, Value: value}}})
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) {
		return nil // the part is stored already; the hash in its key identifies its content
	}
	return err
}

// PoolView is a team's pool.
type PoolView struct {
	Name    string `json:"name"`
	Slots   int    `json:"slots"`
	Used    int    `json:"used"`  // slots of submitted, unfinished steps
	Waiting int    `json:"waits"` // ready steps that wait for slots
}
