package tuning

import "time"

// Scale-out and scale-in.
const (
	// ScaleOutEvery is how often the wanted machines are compared with the rented ones.
	ScaleOutEvery = 1 * time.Second
	// ArrivalWindow is how far back arrivals are used for the forecast.
	ArrivalWindow = 120 * time.Second
	// ArrivalWindowMin is the shortest time over which arrivals are counted as a rate.
	ArrivalWindowMin = 30 * time.Second
	// FirstStartRush is how long after the service's very first start jobs come that had
	// waited for it: users try again after a second or more.
	FirstStartRush = 5 * time.Second
	// FirstStartRushShare is how many of those jobs count as one in the forecast: with
	// none counted, the services of the first minute found no room.
	FirstStartRushShare = 8
	// ForecastShareLatencySensitive and ForecastShareGuaranteed are the shares of the work
	// expected within a boot that room is reserved for: for classes that are to start
	// sooner than a machine boots, and for all others where a guarantee is to be met
	// sooner than that.
	ForecastShareLatencySensitive = 1.0
	ForecastShareGuaranteed       = 0.25
	// ForecastReserveHorizon is how far ahead room is reserved for latency-sensitive work
	// against waiting work of lower priority: what ends in the meantime makes room for the
	// rest.
	ForecastReserveHorizon = 10 * time.Second
	// ForecastBootExtra is added to the boot time as the horizon of the forecast: the
	// first heartbeat and renting take some seconds.
	ForecastBootExtra = 5 * time.Second
	// AwaitSpotFor is how long work that is not latency-sensitive and may run on spot
	// machines waits for one, before an on-demand machine at several times the price is
	// rented for it.
	AwaitSpotFor = 12 * time.Second
	// RentalsInFlight is how many requests to rent may be on their way: enough to use the
	// cloud's rate, few enough that none waits long for its turn.
	RentalsInFlight = 3
	// RentAfterFailover is how long a new leader waits before it rents: the machines that
	// it took over send a heartbeat within that time.
	RentAfterFailover = 4 * time.Second
	// ConsolidateEvery is how often it is checked which machines could be drained, and how
	// often service replicas are moved off those.
	ConsolidateEvery = 2 * time.Second
	// ConsolidateCandidates is how many machines are considered for that at the least, and
	// one in ConsolidateCandidateShare of those in use: a large fleet has to shrink as
	// fast as a small one, and each candidate is tried on all other machines.
	ConsolidateCandidates     = 3
	ConsolidateCandidateShare = 16
	// MovesInFlight is how many replicas are moved at a time at the least, and one in
	// MovesInFlightShare of all: those on their way wait longer if the leader dies.
	MovesInFlight      = 2
	MovesInFlightShare = 100
	// MoveDowntime is how long a moved replica is down beside the fetch of its image.
	MoveDowntime = 300 * time.Millisecond
	// MoveDowntimeShare is the share of all replicas' time that moves may cost: the
	// strictest service-level objectives of replicas allow 0.1 to 0.2 % of downtime.
	MoveDowntimeShare = 0.003
	// MoveDowntimeBudgetMax is how much of that can be saved up at the least: one move
	// with a long fetch. With thousands of replicas it is what they grant between two
	// checks.
	MoveDowntimeBudgetMax = 10 * time.Second
	// ListEvery is how often the cloud's list is read.
	ListEvery = 5 * time.Second
	// NoCapacityBackoff is how long an offering (type, zone and kind) is not asked for
	// again after "no capacity".
	NoCapacityBackoff = 10 * time.Second
	// BootFactor times the nominal boot time is when a machine counts as late and is
	// replaced; most are up after 1.5 times.
	BootFactor = 2.0
	// BootGiveUp times the nominal boot time is when a booting machine is deleted.
	BootGiveUp = 3.0
	// BootExtra is added to both, for the list's lag and the first heartbeat.
	BootExtra = 5 * time.Second
	// BootUnknown is the boot time allowed to a machine of a type that is no longer known.
	BootUnknown = 120 * time.Second
	// AdoptWait is how long a new leader waits for the first heartbeat of a machine that
	// it found in the list, before the machine can count as never up.
	AdoptWait = 15 * time.Second
	// SilentReturnAfter is how long a machine may be silent after its lease expiry before
	// it is returned.
	SilentReturnAfter = 20 * time.Second
	// SilentReturnAfterCut is the same while at least SilentMany machines and
	// SilentManyShare of all are silent: that is a network partition, which rarely lasts a
	// minute.
	SilentReturnAfterCut = 90 * time.Second
	SilentMany           = 3
	SilentManyShare      = 0.05
	// CutShare is the share of a zone's machines that must have become silent together for
	// the zone to count as partitioned: fewer are failures of single machines.
	CutShare = 0.6
	// ForgetReturned is how long the name of a returned machine is remembered, against
	// late messages.
	ForgetReturned = 15 * time.Minute
	// ListNewer is for how many seconds a listed machine must have been there for those
	// created before it that are not listed to be gone: several are created at once, and
	// ages are rounded.
	ListNewer = 2.0
	// UnlistedLists is how many lists in a row must lack a silent machine before it counts
	// as interrupted by the cloud.
	UnlistedLists = 3
)
