package tuning

import "time"

// The user API, and the sockets for all callers.
const (
	// RetryAfterS is the Retry-After, in seconds, of an answer that cannot be given now.
	RetryAfterS = 1
	// HeaderTimeout ends a connection whose client does not send its request's head.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout ends a connection whose client does not finish its request, head and
	// body.
	BodyTimeout = 10 * time.Second
	// AnswerTimeout ends an answer that its client does not read; users wait 5 s at most.
	AnswerTimeout = 15 * time.Second
	// MaxHeader is the largest request head, in bytes.
	MaxHeader = 16 << 10
	// MaxHeartbeat is the largest heartbeat of a worker, in bytes: the protocol bounds a
	// request body, heartbeats included.
	MaxHeartbeat = 64 << 10
	// CancelWait is how long a cancellation may wait to be stored: a user waits 5 s. It
	// fits a few tries of one transaction; after that the user is told to try again.
	CancelWait = 1500 * time.Millisecond
	// SubmitWait bounds how long a member tries to store a submission, our own rate limit
	// included; then a peer is asked, or the user told to come back.
	SubmitWait = 2 * time.Second
	// SubmitHedge is how long a submission is tried here before another member is asked as
	// well: the strictest service-level objective of submissions is 300 ms, and the
	// key-value store answers in 10 ms, or 100 when it is slow.
	SubmitHedge = 150 * time.Millisecond
	// SubmitTotal bounds a submission with all members that are asked in turn: a user
	// waits 5 s, and is to be told when to come back.
	SubmitTotal = 4 * time.Second
	// PollWait bounds the search for an answer to a poll: a user waits 2 s.
	PollWait = 1800 * time.Millisecond
	// PollBatch is how many polls at a time share one listing of the live jobs: it costs
	// as much as a few single reads.
	PollBatch = 8
	// IdleTimeout closes a connection on which nothing is requested. Users poll every 5 s
	// and workers send a heartbeat every few seconds.
	IdleTimeout = 60 * time.Second
	// ConnShare is the share of the socket limit that incoming connections may take.
	ConnShare = 0.75
	// ConnCloseShare is the share of those above which each answer closes its connection,
	// so that more workers than sockets take turns.
	ConnCloseShare = 0.92
	// IdleShare is the share of the socket limit that idle connections to workers may
	// take, and SendShare that of commands in flight to them, at least SendMin: a
	// scheduling cycle after a partition places on every machine at once.
	IdleShare = 0.06
	SendShare = 0.08
	SendMin   = 16
	// FinalCache is how many final states of jobs are kept in memory at the least, and
	// FinalsOfMB how many for each MiB that the machine has: at some 200 bytes a hundredth
	// of it.
	FinalCache = 4096
	FinalsOfMB = 50
)
