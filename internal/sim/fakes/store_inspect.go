package fakes

import (
	"encoding/json"

	"poppypass/internal/platform/wire"
)

// Value returns what is stored under a key.
func (s *Store) Value(key string) (wire.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.keys[key]
	return i, ok
}

// Holder returns the member that the leader key names, and its term; "" if there is none.
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

// Applied returns the transactions that were applied so far.
func (s *Store) Applied() []wire.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]wire.Txn(nil), s.applied...)
}
