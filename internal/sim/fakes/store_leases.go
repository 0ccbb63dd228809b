package fakes

import (
	"net/http"
	"strconv"
	"time"

	"poppypass/internal/platform/wire"
)

// lease is a lease that has not ended.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time // when it expires unless it is renewed
}

// Expire ends the leases that have expired by the store's clock, and notifies the watches of the deleted keys.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

// expire ends the leases that have expired, unless the store refuses requests. The caller holds the lock.
func (s *Store) expire() {
	if s.refuse {
		return
	}
	for id, l := range s.leases {
		if s.clock.Now().After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys. The caller holds the lock.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.keys {
		if item.Lease == id {
			s.revision++
			s.apply(wire.Change{Delete: key})
		}
	}
	s.wakeWatches()
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(request.TTLMS) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl: ttl, expiresAt: s.clock.Now().Add(ttl)}
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
	l.expiresAt = s.clock.Now().Add(l.ttl)
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
