package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/wire"
)

// Store is a consensus-backed key-value store in memory. Leases run by the clock that it was given. It is safe for
// concurrent use.
type Store struct {
	clock clockwork.Clock
	srv   *httptest.Server
	mux   *http.ServeMux

	mu          sync.Mutex
	revision    uint64
	keys        map[string]wire.Item
	leases      map[uint64]*lease
	nextID      uint64
	events      []wire.Event
	wake        chan struct{} // closed at each change
	refuse      bool
	refused     int // transactions that an outage refused
	loseAnswer  func(wire.Txn) bool
	delayTxn    func(wire.Txn) bool
	answerDelay func() time.Duration
	fate        func(*http.Request) Fate
	delayed     []func()   // requests without an answer that are not executed yet
	held        []wire.Txn // transactions without an answer that are not executed yet
	applied     []wire.Txn
	endpoints   []*Endpoint
}

// NewStore starts a store on a loopback address.
func NewStore(clock clockwork.Clock) *Store {
	s := &Store{clock: clock, keys: map[string]wire.Item{}, leases: map[uint64]*lease{}, wake: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", s.get)
	mux.HandleFunc("GET /kv", s.list)
	mux.HandleFunc("POST "+wire.PathTxn, s.commit)
	mux.HandleFunc("POST "+wire.PathLeases, s.grant)
	mux.HandleFunc("POST "+wire.PathLeases+"/{id}/"+wire.EndRenew, s.renew)
	mux.HandleFunc("DELETE "+wire.PathLeases+"/{id}", s.revoke)
	s.mux = mux
	s.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, nil) }))
	return s
}

// serve answers a request that came to an endpoint, or to the store's own address if d is nil.
func (s *Store) serve(w http.ResponseWriter, r *http.Request, d *Endpoint) {
	s.mu.Lock()
	refuse := s.refuse
	if refuse && r.URL.Path == wire.PathTxn {
		s.refused++
	}
	fate := Answered
	if s.fate != nil && r.URL.Path != wire.PathTxn && r.URL.Path != wire.PathWatch {
		fate = s.fate(r)
	}
	s.mu.Unlock()
	if refuse {
		answer(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
		return
	}
	if r.URL.Path == wire.PathWatch {
		s.watch(w, r, d)
		return
	}
	s.hold(r)
	if fate == Answered {
		s.mux.ServeHTTP(w, r)
		return
	}
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		r = r.Clone(context.WithoutCancel(r.Context()))
		r.Body = io.NopCloser(bytes.NewReader(raw))
		carryOut := func() { s.mux.ServeHTTP(httptest.NewRecorder(), r) }
		if fate == Unanswered {
			carryOut()
		} else {
			s.mu.Lock()
			s.delayed = append(s.delayed, carryOut)
			s.mu.Unlock()
		}
	}
	panic(http.ErrAbortHandler) // the connection ends without an answer
}

// Addr returns its address.
func (s *Store) Addr() string { return strings.TrimPrefix(s.srv.URL, "http://") }

// Close stops it and its endpoints, and drops their connections.
func (s *Store) Close() {
	s.mu.Lock()
	endpoints := s.endpoints
	s.mu.Unlock()
	for _, d := range endpoints {
		d.srv.CloseClientConnections()
		d.srv.Close()
	}
	s.srv.CloseClientConnections()
	s.srv.Close()
}

func (s *Store) apply(c wire.Change) {
	if c.Delete != "" {
		delete(s.keys, c.Delete)
		s.events = append(s.events, wire.Event{Delete: c.Delete, Version: s.revision})
		return
	}
	s.keys[c.Put] = wire.Item{Key: c.Put, Value: c.Value, Version: s.revision, Lease: c.Lease}
	s.events = append(s.events, wire.Event{Put: c.Put, Value: c.Value, Version: s.revision})
}

func (s *Store) changed() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// decode reads a request's JSON body; if it is malformed, it answers 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if json.NewDecoder(r.Body).Decode(v) != nil {
		answer(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return false
	}
	return true
}

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
	var t wire.Txn
	if !decode(w, r, &t) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.delayTxn != nil && s.delayTxn(t) {
		s.held = append(s.held, t)
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	status, body := s.execute(t)
	if status == http.StatusOK && s.loseAnswer != nil && s.loseAnswer(t) {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, body)
}

// execute applies a transaction if its conditions hold. The caller holds the lock.
func (s *Store) execute(t wire.Txn) (status int, body any) {
	var failed []string
	for _, c := range t.If {
		if s.keys[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	for _, c := range t.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return http.StatusBadRequest, wire.Error{Error: "no such lease"}
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResult{Failed: failed, Revision: s.revision}
	}
	if len(t.Then) > 0 {
		s.revision++
		for _, c := range t.Then {
			s.apply(c)
		}
		s.changed()
	}
	s.applied = append(s.applied, t)
	return http.StatusOK, wire.TxnResult{Revision: s.revision}
}

// watch answers a watch as soon as there are events. While its caller is refused it waits.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, d *Endpoint) {
	prefix := r.FormValue("starts")
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	for {
		s.mu.Lock()
		res := wire.WatchResult{Revision: s.revision}
		for _, e := range s.events {
			if e.Version > after && strings.HasPrefix(e.Put+e.Delete, prefix) {
				res.Events = append(res.Events, e)
			}
		}
		wake, waits := s.wake, s.refuse || d != nil && d.refuse
		s.mu.Unlock()
		if len(res.Events) > 0 && !waits {
			answer(w, http.StatusOK, res)
			return
		}
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		}
	}
}
