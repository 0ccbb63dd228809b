// Package peerrpc carries requests and responses between controllers: FlatBuffers
// messages in length-prefixed frames, over TCP. With it a follower relays to the
// leader the requests that only the leader may answer. Statuses are HTTP statuses.
//
// The schema is mesh.fbs, compiled by flatc 2.0.8, the version that Debian 12 packages. The
// generated code in fb/ is committed, so that a build does not need the compiler.
package peerrpc

//go:generate flatc --go mesh.fbs

import (
	"context"

	"poppypass/internal/cluster/peerrpc/fb"
	"poppypass/internal/platform/wire"
)

// Verb is the kind of a request.
type Verb byte

// The verbs. The names in the generated code and the numbers never change: members of different versions exchange them.
const (
	JobStatus         = Verb(fb.VerbQuery)      // asks the leader for a job's state
	CancelJob         = Verb(fb.VerbCancel)     // asks the leader to cancel a job
	RequestVote       = Verb(fb.VerbPromise)    // asks a member for its vote, a promise neither to campaign nor to confirm for a while
	ConfirmNotLeading = Verb(fb.VerbNotLeading) // asks a member whether it does not lead
	Heartbeat         = Verb(fb.VerbReport)     // relays a worker's heartbeat to the leader
	SubmitJob         = Verb(fb.VerbSubmit)     // relays a job submission to any member
	ConfirmTermOver   = Verb(fb.VerbVouch)      // asks a member to confirm that no leader up to a term can rely on its vote
	EndLease          = Verb(fb.VerbYield)      // asks a member to revoke the lease of a leader that has resigned
	SubsystemQuery    = Verb(fb.VerbShow)       // asks the leader for a subsystem's data under a path
	MayHaveRenewed    = Verb(fb.VerbKept)       // asks a member which machines it may have answered under its zone lease
	SubsystemCommand  = Verb(fb.VerbDo)         // sends a command to a subsystem of the leader
	ProbeWorkers      = Verb(fb.VerbReach)      // asks a member whether one of the workers at some addresses answers it
	Ping              = Verb(fb.VerbPing)       // checks that a member answers, and asks it who leads
)

// answeredFromMemory reports whether a peer answers the verb from memory. The answer to another verb may wait for
// the state service, so a missing answer does not show that the peer is unreachable.
func (v Verb) answeredFromMemory() bool { return v == Ping || v == Heartbeat }

// Request is a request to another member. Which fields are set depends on the verb.
type Request struct {
	Verb        Verb
	Job         string   // the job's ID; in a ping, the sender's name
	Payload     []byte   // the body that a worker or user sent, unchanged; in a ping, the sender's claim to its zone lease
	TermOrLease uint64   // the term that a vote or confirmation is about, or the lease to revoke
	Names       []string // names of machines, or addresses of workers
}

// Response is a member's answer to a Request.
type Response struct {
	Status  int // an HTTP status
	Job     wire.JobStatus
	Payload []byte   // the body for the worker or user; to a ping, the last claim of the ping's sender
	Leader  string   // to a ping: the member that leads as far as the answering member knows
	Term    uint64   // to a ping: the term of Leader
	Names   []string // to MayHaveRenewed: the machines that the member may have answered under its zone lease
}

// Handler answers a request. It is called concurrently. Its ctx ends when the connection is closed.
type Handler func(context.Context, Request) Response
