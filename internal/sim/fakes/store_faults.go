package fakes

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"poppypass/internal/platform/wire"
)

// Endpoint is an address of the store for one caller, so that this caller alone can be refused.
type Endpoint struct {
	s      *Store
	srv    *httptest.Server
	refuse bool // guarded by s.mu
}

// Endpoint opens an endpoint. Store.Close closes it.
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

// Addr returns the endpoint's address.
func (d *Endpoint) Addr() string { return strings.TrimPrefix(d.srv.URL, "http://") }

// Refuse makes the store answer 503 to this caller alone, or ends that. The caller's leases expire meanwhile.
func (d *Endpoint) Refuse(refuse bool) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	d.refuse = refuse
	d.s.changed()
}

// Fate is what becomes of a request.
type Fate int

const (
	// Answered requests are executed and answered.
	Answered Fate = iota
	// Unanswered requests are executed, and only the answer is lost.
	Unanswered
	// Delayed requests get no answer, and are executed by Deliver.
	Delayed
)

// SetFate has fn decide the fate of requests other than transactions and watches, that is, of reads and lease requests;
// nil ends that.
func (s *Store) SetFate(fn func(*http.Request) Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = fn
}

// Refuse makes the store answer 503 to everything, or ends that; then every lease has its full TTL again.
func (s *Store) Refuse(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
	s.changed()
	for _, l := range s.leases {
		l.end = s.clock.Now().Add(l.ttl)
	}
}

// LoseAnswers makes it execute the transactions that fn picks without answering them; nil ends that.
func (s *Store) LoseAnswers(fn func(wire.Txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswer = fn
}

// DelayAnswers makes each request but watches wait, by the store's clock, for as long as fn says before it is executed, even
// if its caller gives up meanwhile; nil ends that.
func (s *Store) DelayAnswers(fn func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerDelay = fn
}

// hold has a request wait as DelayAnswers demands.
func (s *Store) hold(r *http.Request) {
	s.mu.Lock()
	slow := s.answerDelay
	s.mu.Unlock()
	if slow == nil || r.URL.Path == wire.PathWatch {
		return
	}
	if r.Body != nil { // it is executed even if its caller is gone
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

// DelayTransactions makes it hold the transactions that fn picks: they get no answer, and Deliver executes them; nil ends
// that.
func (s *Store) DelayTransactions(fn func(wire.Txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayTxn = fn
}

// Deliver executes the delayed requests, then the held transactions, each in order, and returns the transactions whose
// conditions still held.
func (s *Store) Deliver() []wire.Txn {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, execute := range delayed {
		execute()
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

// Refused returns how many transactions outages have refused.
func (s *Store) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// HeldTransactions returns how many transactions and other requests wait for Deliver.
func (s *Store) HeldTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held) + len(s.delayed)
}
