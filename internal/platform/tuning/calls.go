package tuning

import "time"

// Calls to the key-value store, the cloud, workers and other controllers.
const (
	// StateTimeout bounds a call to the key-value store. Most calls take 10 ms, a few take several hundred ms.
	// A user waits 2 to 5 s for an answer that depends on such a call.
	StateTimeout = 1500 * time.Millisecond
	// StateRetryPause is the first pause before a call to the key-value store is retried. It doubles with each
	// retry.
	StateRetryPause = 100 * time.Millisecond
	// StateRetryPauseMax bounds the pause before a retry.
	StateRetryPauseMax = 1 * time.Second
	// CloudTimeout bounds a call to the cloud. Renting a machine may take long.
	CloudTimeout = 5 * time.Second
	// CloudRetryPause is the pause after a failed call to the cloud.
	CloudRetryPause = 1 * time.Second
	// CommandTimeout bounds a direct command to a worker. The reply to the worker's next heartbeat repeats
	// the command in any case.
	CommandTimeout = 2 * time.Second
	// RelayTimeout bounds a call between members, such as a request relayed to the leader. A user waits
	// 2 s for the answer to a poll.
	RelayTimeout = 800 * time.Millisecond
	// PeerIdleTimeout is the idle time after which a connection between members is closed.
	PeerIdleTimeout = 30 * time.Second
	// PeerFrameMaxBytes is the largest message between members, in bytes: a relayed body of 64 KiB and its
	// envelope.
	PeerFrameMaxBytes = 72 << 10
	// QueryResponseMaxBytes bounds the answer to an operator's query, in bytes. It must fit PeerFrameMaxBytes.
	QueryResponseMaxBytes = 64 << 10
	// MaxResponseBytes is the largest response body, in bytes, that is read from another system. The protocol
	// does not bound the response to a watch; a page of a list has 512 KiB.
	MaxResponseBytes = 4 << 20
	// LeaderRateShare is the share of the key-value store's rate limits that is guaranteed to the leader's
	// loop. The rest is divided among all members, including the leading one, for their users' requests: a
	// submission must not wait behind hundreds of starts. Each client may use more than its share while the
	// store refuses nothing.
	LeaderRateShare = 0.6
	// RateLimitRecoverTime is how long a client's own rate limit takes to grow from its share to the whole
	// published limit. Refusals in the meantime show how much the other clients use.
	RateLimitRecoverTime = 4 * time.Second
	// RateLimitBurstS is the largest burst of calls, in seconds of the client's share of the rate.
	RateLimitBurstS = 2.0
	// TxnRetryPause is the mean pause before a refused transaction is retried.
	TxnRetryPause = 60 * time.Millisecond
	// CloudLeaderRateShare is the leader's share of the cloud's rate limit. Followers only request the machine
	// types, once a minute.
	CloudLeaderRateShare = 0.85
	// RateLimitUsedShare is the share of a published rate limit that is used. The windows over which the
	// server and this client count calls do not start together, so a client that uses the full rate could
	// exceed the limit.
	RateLimitUsedShare = 0.9
	// TypesRefreshEvery is the interval at which the machine types and the spot prices are read again.
	TypesRefreshEvery = 60 * time.Second
)
