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

// Store is a state service in memory. Leases run by the test's clock.
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
	refused     int // transactions
	loseAnswer  func(wire.Txn) bool
	delayTxn    func(wire.Txn) bool
	answerDelay func() time.Duration
	fate        func(*http.Request) Fate
	delayed     []func()   // requests without an answer that are not carried out yet
	held        []wire.Txn // without an answer, and not carried out yet
	applied     []wire.Txn // that were applied
	endpoints   []*Endpoint
}

// Endpoint is an address of the service of its own, for one caller: it may refuse that one alone.
type Endpoint struct {
	s      *Store
	srv    *httptest.Server
	refuse bool // guarded by s.mu
}

// Endpoint opens one. Close of the service closes it.
func (s *Store) Endpoint() *Endpoint {
	d := &Endpoint{s: s}
	d.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuse := d.refuse
		s.mu.Unlock()
		if refuse {
			answer(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
			return
		}
		s.serve(w, r, d)
	}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = append(s.endpoints, d)
	return d
}

// Addr is the endpoint's address.
func (d *Endpoint) Addr() string { return strings.TrimPrefix(d.srv.URL, "http://") }

// Refuse makes it answer 503 to this caller alone, whose leases run out meanwhile, or ends that.
func (d *Endpoint) Refuse(refuse bool) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	d.refuse = refuse
	d.s.changed()
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// NewStore starts a state service.
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

// serve serves a request that came to an endpoint; nil: to the service's own address.
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

// Fate is what becomes of a request.
type Fate int

const (
	// Answered requests are carried out and answered.
	Answered Fate = iota
	// Unanswered requests are carried out, and only the answer is lost.
	Unanswered
	// Delayed requests get no answer, and are carried out by Deliver.
	Delayed
)

// SetFate has fn say what becomes of requests other than transactions and watches: reads and what is asked of leases. nil ends that.
func (s *Store) SetFate(fn func(*http.Request) Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = fn
}

// Addr is its address.
func (s *Store) Addr() string { return strings.TrimPrefix(s.srv.URL, "http://") }

// Close stops it.
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

// Refuse makes it answer 503 to everything, or ends that; then every lease
// has its full time again.
func (s *Store) Refuse(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
	s.changed()
	for _, l := range s.leases {
		l.end = s.clock.Now().Add(l.ttl)
	}
}

// LoseAnswers makes it apply transactions that fn picks without answering them.
func (s *Store) LoseAnswers(fn func(wire.Txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswer = fn
}

// DelayAnswers makes each request wait, by the test's clock, for as long as fn says before it is carried out, also when its caller has given
// it up meanwhile; nil ends that. Watches wait as they do anyway.
func (s *Store) DelayAnswers(fn func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerDelay = fn
}

// hold has a request wait while the service is slow.
func (s *Store) hold(r *http.Request) {
	s.mu.Lock()
	slow := s.answerDelay
	s.mu.Unlock()
	if slow == nil || r.URL.Path == wire.PathWatch {
		return
	}
	if r.Body != nil { // it is carried out even if its caller is gone
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
	}
	if d := slow(); d > 0 {
		<-s.clock.After(d)
	}
}

// DelayTransactions makes it keep transactions that fn picks: they get no answer, and are carried out when Deliver says so.
func (s *Store) DelayTransactions(fn func(wire.Txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayTxn = fn
}

// Deliver carries out the requests that were kept, then the transactions, in their order, and gives those whose conditions still held.
func (s *Store) Deliver() []wire.Txn {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, carryOut := range delayed {
		carryOut()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var applied []wire.Txn
	for _, t := range s.held {
		if status, _ := s.execute(t); status == http.StatusOK {
			applied = append(applied, t)
		}
	}
	s.held = nil
	return applied
}

// Refused is how many transactions were refused in outages.
func (s *Store) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// HeldTransactions is how many transactions and other requests are kept.
func (s *Store) HeldTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held) + len(s.delayed)
}

// Value reads a key.
func (s *Store) Value(key string) (wire.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.keys[key]
	return i, ok
}

// Holder gives the member that the leader key names, and its term; "" if none does.
func (s *Store) Holder() (member string, term uint64) {
	var h struct {
		Member string
		Term   uint64
	}
	if item, ok := s.Value("lead/holder"); !ok || json.Unmarshal(item.Value, &h) != nil {
		return "", 0
	}
	return h.Member, h.Term
}

// Applied gives the transactions that were applied so far.
func (s *Store) Applied() []wire.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]wire.Txn(nil), s.applied...)
}

// Expire ends what the clock has run out, and wakes the watches.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

func (s *Store) expire() {
	if s.refuse {
		return
	}
	for id, l := range s.leases {
		if s.clock.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.keys {
		if item.Lease == id {
			s.revision++
			s.apply(wire.Change{Delete: key})
		}
	}
	s.changed()
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
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		answer(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
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

// execute carries out a transaction if its conditions hold. The lock is held.
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

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var q wire.LeaseRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		answer(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(q.TTLMS) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl: ttl, end: s.clock.Now().Add(ttl)}
	answer(w, http.StatusOK, wire.LeaseGrant{Lease: s.nextID})
}

func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.end = s.clock.Now().Add(l.ttl)
	answer(w, http.StatusOK, struct{}{})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
	answer(w, http.StatusOK, struct{}{})
}

// watch answers a watch. One that is open as its caller is refused waits until that is over.
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
