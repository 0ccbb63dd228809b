package fakes

import (
	"net/http"
	"strconv"
	"time"

	"poppypass/internal/platform/wire"
)

type lease struct {
	ttl time.Duration
	end time.Time
}

// Expire ends the leases that have expired by the clock, and wakes the watches.
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

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var q wire.LeaseRequest
	if !decode(w, r, &q) {
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
