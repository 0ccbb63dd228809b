// Package peerrpc carries what controllers say among themselves: FlatBuffers in
// frames with a length, over TCP. A follower hands the leader what only the
// leader may answer. Statuses are HTTP's.
//
// The schema is mesh.fbs, compiled by flatc 2.0.8, as Debian 12 packages it. Its output in fb/ is
// committed, so that building needs no compiler.
package peerrpc

//go:generate flatc --go mesh.fbs

import (
	"context"

	"poppypass/internal/cluster/peerrpc/fb"
	"poppypass/internal/platform/wire"
)

// Verb is what a request asks.
type Verb byte

// The verbs. The generated names behind them stay, as do their numbers: members of different versions talk to each other.
const (
	JobStatus        = Verb(fb.VerbQuery)      // a job's state, of the leader
	CancelJob        = Verb(fb.VerbCancel)     // cancel a job, of the leader
	RequestVote      = Verb(fb.VerbPromise)    // a vote, of a follower: neither to campaign nor to confirm for a while
	NotLeading       = Verb(fb.VerbNotLeading) // whether a member does not lead
	Heartbeat        = Verb(fb.VerbReport)     // a worker's heartbeat, to the leader
	SubmitJob        = Verb(fb.VerbSubmit)     // a submission, to any member
	ConfirmTermOver  = Verb(fb.VerbVouch)      // that no leader of a term, or an earlier one, can count on the member's vote any more
	EndLease         = Verb(fb.VerbYield)      // to revoke the lease of a leader that has resigned
	SubsystemQuery   = Verb(fb.VerbShow)       // what a subsystem of the leader knows, by a path
	MayHaveRenewed   = Verb(fb.VerbKept)       // which of some machines a member may have answered by its zone lease
	SubsystemCommand = Verb(fb.VerbDo)         // a command to a subsystem of the leader
	ProbeWorkers     = Verb(fb.VerbReach)      // whether one of some workers, by their addresses, answers a member
	Ping             = Verb(fb.VerbPing)       // whether a member can be reached, and who leads by its knowledge
)

// prompt reports whether the verb is answered from memory. Others may wait for
// the state service, which says nothing of the peer.
func (v Verb) prompt() bool { return v == Ping || v == Heartbeat }

// Request asks another member.
type Request struct {
	Verb    Verb
	Job     string   // of a ping, who sends it
	Payload []byte   // what a worker or user sent, relayed as it came; of a ping, what its sender claims of its zone lease
	Number  uint64   // the term that a vote or confirmation is about, or the lease to revoke
	Names   []string // the machines that are asked about, or workers' addresses
}

// Response is its answer; Status is an HTTP status.
type Response struct {
	Status  int
	Job     wire.JobStatus
	Payload []byte // the body for the one who asked; to a ping, what its sender claimed last
	Leader  string // answers a ping: who leads, and in which term
	Term    uint64
	Names   []string // those of the machines asked about that the member may have answered by its zone lease
}

// Handler answers a request. It is called concurrently; ctx ends with the connection.
type Handler func(context.Context, Request) Response
