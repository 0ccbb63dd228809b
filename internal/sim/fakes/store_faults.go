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

// Endpoint is an additional address of the store for a single caller, so that requests of this caller alone can be
// refused.
type Endpoint struct {
	s      *Store // the store that the endpoint belongs to
	srv    *httptest.Server
	refuse bool // guarded by s.mu
}

// Endpoint opens a new endpoint. Store.Close closes it.
func (s *Store) Endpoint() *Endpoint {
	endpoint := &Endpoint{s: s}
	endpoint.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuse := endpoint.refuse
		s.mu.Unlock()
		if refuse {
			answer(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
			return
		}
		s.serve(w, r, endpoint)
	}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = append(s.endpoints, endpoint)
	return endpoint
}

// Addr returns the endpoint's address as host:port.
func (e *Endpoint) Addr() string { return strings.TrimPrefix(e.srv.URL, "http://") }

// Refuse sets whether the store answers requests to this endpoint with 503. Leases of the caller expire as usual
// meanwhile, since it cannot renew them.
func (e *Endpoint) Refuse(refuse bool) {
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	e.refuse = refuse
	e.s.wakeWatches()
}

// RequestHandling says whether a request is executed and answered.
type RequestHandling int

const (
	// Answered requests are executed and answered.
	Answered RequestHandling = iota
	// AnswerLost requests are executed, but their answer is lost.
	AnswerLost
	// Delayed requests get no answer. Deliver executes them later.
	Delayed
)

// SetRequestHandling makes fn decide about requests other than transactions and watches, that is, about reads and lease
// requests. With nil, all of them are answered.
func (s *Store) SetRequestHandling(fn func(*http.Request) RequestHandling) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestHandling = fn
}

// Refuse sets whether the store answers all requests with 503, as in an outage. No lease expires meanwhile, and
// afterwards every lease has its full TTL again.
func (s *Store) Refuse(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
	s.wakeWatches()
	for _, l := range s.leases {
		l.expiresAt = s.clock.Now().Add(l.ttl)
	}
}

// LoseAnswers makes the store execute the transactions that fn selects without answering them. With nil, all of them are
// answered.
func (s *Store) LoseAnswers(fn func(wire.Txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswer = fn
}

// DelayRequests makes each request other than a watch wait, by the store's clock, for the duration that fn returns before
// it is executed. The request is executed even if its caller has given up meanwhile. With nil, no request waits.
func (s *Store) DelayRequests(fn func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestDelay = fn
}

// waitBeforeExecution makes a request wait for the delay that DelayRequests has set.
func (s *Store) waitBeforeExecution(r *http.Request) {
	s.mu.Lock()
	delay := s.requestDelay
	s.mu.Unlock()
	if delay == nil || r.URL.Path == wire.PathWatch {
		return
	}
	if r.Body != nil { // read now, since the body is lost once the caller disconnects
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
	}
	if d := delay(); d > 0 {
		<-s.clock.After(d)
	}
}

// DelayTransactions delays the transactions that fn selects: they get no answer, and Deliver executes them later. With
// nil, no more transactions are delayed.
func (s *Store) DelayTransactions(fn func(wire.Txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayTxn = fn
}

// Deliver executes the delayed requests and then the delayed transactions, each in the order of their arrival. It returns
// the transactions that were applied because their conditions still held.
func (s *Store) Deliver() []wire.Txn {
	s.mu.Lock()
	delayedRequests := s.delayedRequests
	s.delayedRequests = nil
	s.mu.Unlock()
	for _, execute := range delayedRequests {
		execute()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var applied []wire.Txn
	for _, t := range s.delayedTxns {
		if status, _ := s.execute(t); status == http.StatusOK {
			applied = append(applied, t)
		}
	}
	s.delayedTxns = nil
	return applied
}

// RefusedTransactions returns how many transactions the store has refused while Refuse(true) was in effect.
func (s *Store) RefusedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedTxns
}

// UndeliveredRequests returns the number of transactions and other requests that Deliver is to execute.
func (s *Store) UndeliveredRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.delayedTxns) + len(s.delayedRequests)
}
