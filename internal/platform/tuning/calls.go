package tuning

import "time"

// Calls to the key-value store, the cloud, workers and other controllers.
const (
	// StateTimeout bounds a call to the key-value store. Most calls take 10 ms, a few take some hundred,
	// and a user waits 2 to 5 s for the answer that depends on it.
	StateTimeout = 1500 * time.Millisecond
	// StateRetry is the first pause before a call to the key-value store is retried. It doubles with each
	// retry.
	StateRetry = 100 * time.Millisecond
	// StateRetryMax bounds the pause before a retry.
	StateRetryMax = 1 * time.Second
	// CloudTimeout bounds a call to the cloud. Renting a machine may take long.
	CloudTimeout = 5 * time.Second
	// CloudRetry is the pause after a failed call to the cloud.
	CloudRetry = 1 * time.Second
	// CommandTimeout bounds a direct command to a worker. The reply to the worker's next heartbeat repeats
	// the command in any case.
	CommandTimeout = 2 * time.Second
	// RelayTimeout bounds a call between members, such as a request relayed to the leader. A user waits
	// 2 s for the answer to a poll.
	RelayTimeout = 800 * time.Millisecond
	// PeerIdle is the idle time after which a connection between members is closed.
	PeerIdle = 30 * time.Second
	// PeerFrameBytes is the largest message between members, in bytes: a relayed body of 64 KiB and its
	// envelope.
	PeerFrameBytes = 72 << 10
	// QueryResponseMax bounds the answer to an operator's query, in bytes. It must fit PeerFrameBytes.
	QueryResponseMax = 64 << 10
	// MaxResponse is the largest response body, in bytes, that is read from another system. The protocol
	// bounds no response of a watch; a list page has 512 KiB.
	MaxResponse = 4 << 20
	// LeaderShare is the share of the key-value store's rate limits that is guaranteed to the leader's
	// loop. All members, the leading one too, divide the rest for their users' requests: a submission must
	// not wait behind hundreds of starts. Each may use more while the store refuses nothing.
	LeaderShare = 0.6
	// RateLimitRecover is how long a client's own rate limit takes to grow from its share to the whole
	// published limit. Refusals in the meantime show how much the other clients use.
	RateLimitRecover = 4 * time.Second
	// RateLimitBurst is the largest burst of calls, in seconds of the client's share of the rate.
	RateLimitBurst = 2.0
	// RetryTxnPause is the mean pause before a refused transaction is retried.
	RetryTxnPause = 60 * time.Millisecond
	// CloudLeaderShare is the leader's share of the cloud's rate limit. Followers only request the machine
	// types, once a minute.
	CloudLeaderShare = 0.85
	// LimitMargin is the share of a published rate limit that is used. The published limit's window and
	// ours do not start together, so the full rate could exceed the limit.
	LimitMargin = 0.9
	// TypesRefresh is the interval at which the machine types and the spot prices are read again.
	TypesRefresh = 60 * time.Second
)
