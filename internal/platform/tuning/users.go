package tuning

import "time"

// Limits and timeouts of the user API, shares of the socket limit for all kinds of connections, and the size of the
// cache of final job states.
const (
	// RetryAfterS is the Retry-After header, in seconds, of a response that reports a temporary failure.
	RetryAfterS = 1
	// HeaderTimeout bounds how long a client may take to send the head of its request.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout bounds how long a client may take to send its whole request, head and body.
	BodyTimeout = 10 * time.Second
	// AnswerTimeout bounds how long a client may take to read its response. Users wait 5 s at most.
	AnswerTimeout = 15 * time.Second
	// MaxHeaderBytes is the largest request head, in bytes.
	MaxHeaderBytes = 16 << 10
	// MaxHeartbeatBytes is the largest heartbeat of a worker, in bytes. The protocol bounds all request bodies,
	// heartbeats included.
	MaxHeartbeatBytes = 64 << 10
	// CancelTimeout is how long a cancellation may wait to be stored. A user waits 5 s. A few attempts at one
	// transaction fit into CancelTimeout; after that the response asks the user to try again.
	CancelTimeout = 1500 * time.Millisecond
	// SubmitStoreTimeout bounds how long one member tries to store a submission, including the wait for its own
	// rate limit. After that another member is asked, or the response asks the user to try again later.
	SubmitStoreTimeout = 2 * time.Second
	// SubmitHedgeDelay is how long a member tries to store a submission before it also asks another member. The
	// strictest service-level objective for submissions is 300 ms. The key-value store answers in 10 ms, or
	// in 100 ms when it is slow.
	SubmitHedgeDelay = 150 * time.Millisecond
	// SubmitTimeout bounds a submission including all members that are asked in turn. A user waits 5 s and
	// must get a response that says when to try again.
	SubmitTimeout = 4 * time.Second
	// PollTimeout bounds the search for the answer to a poll. A user waits 2 s.
	PollTimeout = 1800 * time.Millisecond
	// PollBatchMinJobs is the smallest number of jobs polled at the same time for which one listing of the
	// live jobs replaces single reads. A listing costs as much as a few single reads.
	PollBatchMinJobs = 8
	// IdleTimeout is the idle time after which a connection is closed. Users poll every 5 s, and workers
	// send a heartbeat every few seconds.
	IdleTimeout = 60 * time.Second
	// IncomingConnShare is the share of the socket limit that incoming connections may use.
	IncomingConnShare = 0.75
	// ConnCloseShare is the share of the allowed incoming connections above which each response closes its
	// connection. More workers than there are sockets can then take turns.
	ConnCloseShare = 0.92
	// IdleWorkerConnShare is the share of the socket limit that idle connections to workers may use. CommandConnShare is the
	// share that commands in flight to workers may use, and CommandConnsMin the number of such commands that is
	// always allowed: a scheduling cycle after a partition places tasks on every machine at once.
	IdleWorkerConnShare = 0.06
	CommandConnShare    = 0.08
	CommandConnsMin     = 16
	// FinalStatesMin is the smallest capacity, in jobs, of the cache of final job states. FinalStatesPerMiB is
	// its capacity for each MiB of the machine's memory. At some 200 bytes for each job, the cache uses a
	// hundredth of the memory.
	FinalStatesMin    = 4096
	FinalStatesPerMiB = 50
)
