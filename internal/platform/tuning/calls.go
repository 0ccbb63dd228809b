package tuning

import "time"

// Calls to the key-value store, the cloud, workers and other controllers.
const (
	// StateTimeout ends a call to the key-value store: most take 10 ms, a few some
	// hundred, and a user waits 2 to 5 s for the answer behind it.
	StateTimeout = 1500 * time.Millisecond
	// StateRetry is the first pause before a call is retried; it doubles.
	StateRetry = 100 * time.Millisecond
	// StateRetryMax bounds the pause before a retry.
	StateRetryMax = 1 * time.Second
	// CloudTimeout ends a call to the cloud. Renting a machine may take long.
	CloudTimeout = 5 * time.Second
	// CloudRetry is the pause after a failed call to the cloud.
	CloudRetry = 1 * time.Second
	// CommandTimeout ends a direct command to a worker; the answer to the next heartbeat
	// repeats it anyway.
	CommandTimeout = 2 * time.Second
	// RelayTimeout ends a request that is relayed to the leader between members: a user
	// waits 2 s for a poll.
	RelayTimeout = 800 * time.Millisecond
	// PeerIdle closes a connection between members that has been silent for so long.
	PeerIdle = 30 * time.Second
	// PeerFrameBytes is the largest mesh message in bytes: a relayed body of 64 KiB and what is around it.
	PeerFrameBytes = 72 << 10
	// QueryResponseMax bounds the answer to an operator's query, in bytes: it must fit
	// PeerFrameBytes.
	QueryResponseMax = 64 << 10
	// MaxResponse is the largest response body read from outside, in bytes:
	// a watch has no limit of its own, a list page is 512 KiB.
	MaxResponse = 4 << 20
	// LeaderShare is the share of the key-value store's rate limits that the leader's loop
	// may always use. All members, the leading one too, divide the rest for what users ask
	// of them: a submission must not wait behind hundreds of starts. Each may use more
	// while the store refuses nothing.
	LeaderShare = 0.6
	// RateLimitRecover is how long our own limit takes to grow from its share to the whole
	// of the published limit: the refusals in between show where the others are.
	RateLimitRecover = 4 * time.Second
	// RateLimitBurst times a second's share may be used at once.
	RateLimitBurst = 2.0
	// RetryTxnPause is about how long a refused transaction waits before its next turn.
	RetryTxnPause = 60 * time.Millisecond
	// CloudLeaderShare is the same share of the cloud's limits, of which followers only
	// request the machine types, once a minute.
	CloudLeaderShare = 0.85
	// LimitMargin keeps our own rate below the published limit, since its window and ours
	// do not start together.
	LimitMargin = 0.9
	// TypesRefresh is how often the machine types and the spot prices are read again.
	TypesRefresh = 60 * time.Second
)
