package wire

import (
	"encoding/json"
	"fmt"
)

// Paths of the state service.
const (
	PathKV     = "/kv"
	PathTxn    = "/commit"
	PathLeases = "/grants"
	EndRenew   = "touch"
	PathWatch  = "/watch"
)

// Item is a key of the state service with its value.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"pass,omitempty"`
}

// ItemPage is a page of keys.
type ItemPage struct {
	Items    []Item `json:"pairs"`
	More     bool   `json:"has_next"`
	Revision uint64 `json:"ledger"`
}

// Condition requires the version of a key; 0: the key does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change puts or deletes a key.
type Change struct {
	Put    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"pass,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Txn is an atomic change of the store by compare-and-swap: if all conditions hold, all changes are made.
type Txn struct {
	If   []Condition `json:"guards"`
	Then []Change    `json:"then,omitempty"`
}

// TxnResult answers a transaction.
type TxnResult struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed,omitempty"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// LeaseGrant answers it.
type LeaseGrant struct {
	Lease uint64 `json:"pass"`
}

// Event is a change seen by a watch.
type Event struct {
	Put     string          `json:"write,omitempty"`
	Delete  string          `json:"drop,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"stamp"`
}

// WatchResult answers a watch.
type WatchResult struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"events"`
}

// EncodeRecord encodes a stored record for the state service. It panics on what cannot be
// encoded, which no record holds.
func EncodeRecord(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("records are always encodable: %v", err))
	}
	return raw
}
