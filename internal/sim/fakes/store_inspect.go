package fakes

import (
	"encoding/json"

	"poppypass/internal/platform/wire"
)

// Value returns the item that is stored under a key, and whether there is one.
func (s *Store) Value(key string) (wire.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.keys[key]
	return item, ok
}

// LeaderAndTerm returns the name and the term of the member that the leader key names as the leader; "" if there is none.
func (s *Store) LeaderAndTerm() (member string, term uint64) {
	var holder struct {
		Member string
		Term   uint64
	}
	if item, ok := s.Value("lead/holder"); !ok || json.Unmarshal(item.Value, &holder) != nil {
		return "", 0
	}
	return holder.Member, holder.Term
}

// Applied returns the transactions that were applied so far, in order.
func (s *Store) Applied() []wire.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]wire.Txn(nil), s.applied...)
}
