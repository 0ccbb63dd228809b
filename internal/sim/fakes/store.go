package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/wire"
)

// The store's limits on sizes, in bytes: those of every deployment so far. A transaction beyond them is answered with 400.
const (
	MaxValueBytes = 16 << 10 // of a value
	MaxTxnBytes   = 64 << 10 // of a transaction
)

// Store is an in-memory fake of the consensus-backed key-value store. Its leases expire by the clock given to NewStore.
// It is safe for concurrent use.
type Store struct {
	clock clockwork.Clock
	srv   *httptest.Server
	mux   *http.ServeMux

	mu              sync.Mutex
	revision        uint64 // grows by one with each transaction that changes keys
	keys            map[string]wire.Item
	leases          map[uint64]*lease                   // by lease ID
	nextID          uint64                              // ID of the last lease granted
	events          []wire.Event                        // all changes so far, oldest first
	wake            chan struct{}                       // closed and replaced whenever the waiting watches must check for events again
	refuse          bool                                // whether every request is answered with 503
	refusedTxns     int                                 // number of transactions refused while refuse was set
	loseAnswer      func(wire.Txn) bool                 // selects transactions to execute without an answer; nil: none
	delayTxn        func(wire.Txn) bool                 // selects transactions to delay until Deliver; nil: none
	requestDelay    func() time.Duration                // delay before the next request is executed; nil: none
	requestHandling func(*http.Request) RequestHandling // decides how a request is handled; nil: all are answered
	delayedRequests []func()                            // each executes a delayed request that is not a transaction; called by Deliver
	delayedTxns     []wire.Txn                          // transactions that Deliver is to execute
	applied         []wire.Txn                          // transactions whose conditions held, oldest first
	endpoints       []*Endpoint
}

// NewStore starts a store on a loopback address.
func NewStore(clock clockwork.Clock) *Store {
	s := &Store{clock: clock, keys: map[string]wire.Item{}, leases: map[uint64]*lease{}, wake: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", s.get)
	mux.HandleFunc("GET /kv", s.list)
	mux.HandleFunc("POST "+wire.PathTxn, s.commit)
	mux.HandleFunc("POST "+wire.PathLeases, s.grant)
	mux.HandleFunc("POST "+wire.PathLeases+"/{id}/"+wire.PathEndRenew, s.renew)
	mux.HandleFunc("DELETE "+wire.PathLeases+"/{id}", s.revoke)
	s.mux = mux
	s.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, nil) }))
	return s
}

// serve answers a request to an endpoint, or to the store's own address if endpoint is nil.
func (s *Store) serve(w http.ResponseWriter, r *http.Request, endpoint *Endpoint) {
	s.mu.Lock()
	refuse := s.refuse
	if refuse && r.URL.Path == wire.PathTxn {
		s.refusedTxns++
	}
	requestHandling := Answered
	if s.requestHandling != nil && r.URL.Path != wire.PathTxn && r.URL.Path != wire.PathWatch {
		requestHandling = s.requestHandling(r)
	}
	s.mu.Unlock()
	if refuse {
		answer(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
		return
	}
	if r.URL.Path == wire.PathWatch {
		s.watch(w, r, endpoint)
		return
	}
	s.waitBeforeExecution(r)
	if requestHandling == Answered {
		s.mux.ServeHTTP(w, r)
		return
	}
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		r = r.Clone(context.WithoutCancel(r.Context()))
		r.Body = io.NopCloser(bytes.NewReader(raw))
		execute := func() { s.mux.ServeHTTP(httptest.NewRecorder(), r) }
		if requestHandling == AnswerLost {
			execute()
		} else {
			s.mu.Lock()
			s.delayedRequests = append(s.delayedRequests, execute)
			s.mu.Unlock()
		}
	}
	panic(http.ErrAbortHandler) // closes the connection without an answer
}

// Addr returns the store's address as host:port.
func (s *Store) Addr() string { return strings.TrimPrefix(s.srv.URL, "http://") }

// Close stops the store and its endpoints, and closes their connections.
func (s *Store) Close() {
	s.mu.Lock()
	endpoints := s.endpoints
	s.mu.Unlock()
	for _, endpoint := range endpoints {
		endpoint.srv.CloseClientConnections()
		endpoint.srv.Close()
	}
	s.srv.CloseClientConnections()
	s.srv.Close()
}

// apply changes one key at the current revision. The caller holds the lock.
func (s *Store) apply(c wire.Change) {
	if c.Delete != "" {
		delete(s.keys, c.Delete)
		s.events = append(s.events, wire.Event{Delete: c.Delete, Version: s.revision})
		return
	}
	s.keys[c.Put] = wire.Item{Key: c.Put, Value: c.Value, Version: s.revision, Lease: c.Lease}
	s.events = append(s.events, wire.Event{Put: c.Put, Value: c.Value, Version: s.revision})
}

// wakeWatches makes the waiting watches check for events again. The caller holds the lock.
func (s *Store) wakeWatches() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// decode reads a request's JSON body into v. If the body is malformed, it answers with 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if json.NewDecoder(r.Body).Decode(v) != nil {
		answer(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return false
	}
	return true
}

// answer writes a response with v as its JSON body.
func answer(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	item, ok := s.Value(r.PathValue("key"))
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, item)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.FormValue("starts"), r.FormValue("after")
	page, _ := strconv.Atoi(r.FormValue("page"))
	out := wire.ItemPage{Items: []wire.Item{}, Revision: s.revision}
	for key, item := range s.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			out.Items = append(out.Items, item)
		}
	}
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Key < out.Items[j].Key })
	if page > 0 && len(out.Items) > page {
		out.Items, out.More = out.Items[:page], true
	}
	answer(w, http.StatusOK, out)
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var txn wire.Txn
	if err != nil || json.Unmarshal(raw, &txn) != nil || len(raw) > MaxTxnBytes || slices.ContainsFunc(txn.Then, tooLong) {
		answer(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.delayTxn != nil && s.delayTxn(txn) {
		s.delayedTxns = append(s.delayedTxns, txn)
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	status, body := s.execute(txn)
	if status == http.StatusOK && s.loseAnswer != nil && s.loseAnswer(txn) {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, body)
}

// tooLong reports whether a change stores a value that is longer than a value may be.
func tooLong(c wire.Change) bool { return len(c.Value) > MaxValueBytes }

// execute applies a transaction if its conditions hold, and returns the answer. The caller holds the lock.
func (s *Store) execute(txn wire.Txn) (status int, body any) {
	var failed []string
	for _, c := range txn.If {
		if s.keys[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	for _, c := range txn.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return http.StatusBadRequest, wire.Error{Error: "no such lease"}
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResult{Failed: failed, Revision: s.revision}
	}
	if len(txn.Then) > 0 {
		s.revision++
		for _, c := range txn.Then {
			s.apply(c)
		}
		s.wakeWatches()
	}
	s.applied = append(s.applied, txn)
	return http.StatusOK, wire.TxnResult{Revision: s.revision}
}

// watch answers a watch as soon as there are events. While the store or the endpoint refuses requests, a watch that was
// accepted before waits.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, endpoint *Endpoint) {
	prefix := r.FormValue("starts")
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	for {
		s.mu.Lock()
		result := wire.WatchResult{Revision: s.revision}
		for _, e := range s.events {
			if e.Version > after && strings.HasPrefix(e.Put+e.Delete, prefix) {
				result.Events = append(result.Events, e)
			}
		}
		wake, refused := s.wake, s.refuse || endpoint != nil && endpoint.refuse
		s.mu.Unlock()
		if len(result.Events) > 0 && !refused {
			answer(w, http.StatusOK, result)
			return
		}
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		}
	}
}
