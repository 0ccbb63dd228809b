package wire

import (
	"encoding/json"
	"fmt"
)

// Paths of the state service. PathEndRenew is the last element of the path that renews a lease.
const (
	PathKV       = "/kv"
	PathTxn      = "/commit"
	PathLeases   = "/grants"
	PathEndRenew = "touch"
	PathWatch    = "/watch"
)

// Item is a key of the state service with its value. Version changes with each write of the key. Lease is the lease that the key
// is attached to; 0: none.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"pass,omitempty"`
}

// ItemPage is a page of keys with their values. Revision is the revision of the store at which the page was read.
type ItemPage struct {
	Items    []Item `json:"pairs"`
	More     bool   `json:"has_next"` // another page follows
	Revision uint64 `json:"ledger"`
}

// Condition requires that a key has a version; 0: that the key does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change is one write of a transaction. It stores Value under the key Put, attached to Lease unless Lease is 0, or it deletes
// the key Delete.
type Change struct {
	Put    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"pass,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Txn is a transaction by compare-and-swap: if all conditions hold, all changes are applied atomically.
type Txn struct {
	If   []Condition `json:"guards"`
	Then []Change    `json:"then,omitempty"`
}

// TxnResult is the answer to a transaction. Failed holds the keys whose conditions did not hold. If it is not empty, nothing
// was changed.
type TxnResult struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed,omitempty"`
}

// LeaseRequest is a request for a lease with a time to live.
type LeaseRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// LeaseGrant is the answer to a LeaseRequest: the id of the new lease.
type LeaseGrant struct {
	Lease uint64 `json:"pass"`
}

// Event is a change that a watch reports. Put or Delete is the key that was written or deleted.
type Event struct {
	Put     string          `json:"write,omitempty"`
	Delete  string          `json:"drop,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"stamp"`
}

// WatchResult is the answer to a watch. Revision is the revision from which the next watch continues.
type WatchResult struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"events"`
}

// EncodeRecord encodes a record for the state service. It panics if the record cannot be encoded. That would be a programming
// error, because no record type has a field that JSON cannot represent.
func EncodeRecord(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("cannot encode a record as JSON: %v", err))
	}
	return raw
}
