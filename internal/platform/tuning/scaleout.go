package tuning

import "time"

// Scale-out and scale-in.
const (
	// ScaleOutEvery is the interval at which the wanted machines are compared with the rented ones.
	ScaleOutEvery = 1 * time.Second
	// ArrivalWindow is the age up to which arrivals of jobs are used for the forecast.
	ArrivalWindow = 120 * time.Second
	// ArrivalWindowMin is the shortest time over which arrivals are converted to a rate.
	ArrivalWindowMin = 30 * time.Second
	// InitialBacklogWindow is how long, after the service's very first start, arriving jobs count as part of
	// the initial backlog: the jobs that waited for the service to start. Users retry after a second or more.
	InitialBacklogWindow = 5 * time.Second
	// InitialBacklogDivisor is the number of jobs of the initial backlog that count as one arrival in the
	// forecast. If none of them counted, the forecast would expect no jobs at first, and the services that
	// arrive in the first minute would find no room.
	InitialBacklogDivisor = 8
	// ForecastShareLatencySensitive is the share of the work expected within a boot time for which room is
	// reserved, for classes that must start sooner than a machine boots. ForecastShareGuaranteed is that share
	// for all other classes, if a guarantee must be met sooner than a machine boots.
	ForecastShareLatencySensitive = 1.0
	ForecastShareGuaranteed       = 0.25
	// ForecastReserveHorizon is how far ahead room is reserved for latency-sensitive work against waiting work
	// of lower priority. Expected work beyond this horizon gets the room of tasks that end in the meantime.
	ForecastReserveHorizon = 10 * time.Second
	// ForecastBootExtra is added to the boot time to give the horizon of the forecast. The rental and the
	// first heartbeat take some seconds.
	ForecastBootExtra = 5 * time.Second
	// AwaitSpotFor is how long work that is not latency-sensitive and may run on spot machines waits for
	// one, before an on-demand machine is rented for it at several times the price.
	AwaitSpotFor = 12 * time.Second
	// RentalsInFlightMax is the largest number of rent requests in flight. It is large enough to use the
	// cloud's rate limit, and small enough that no request waits long for the limit.
	RentalsInFlightMax = 3
	// RentDelayAfterFailover is how long a new leader waits before it rents. The machines that it took over send
	// a heartbeat within that time.
	RentDelayAfterFailover = 4 * time.Second
	// ConsolidateEvery is the interval between checks for machines to drain. In each check, service
	// replicas are also moved off draining machines.
	ConsolidateEvery = 2 * time.Second
	// ConsolidateCandidatesMin is the smallest limit on the number of machines that one check considers for
	// draining. In a large fleet the limit is the number of machines in use, divided by
	// ConsolidateCandidateDivisor, because a large fleet has to shrink as fast as a small one. There is a limit
	// because the tasks of each candidate are tried on all other machines.
	ConsolidateCandidatesMin    = 3
	ConsolidateCandidateDivisor = 16
	// MovesPerCheckMin is the smallest limit on the number of replicas that one check moves. In a large fleet
	// the limit is the number of all replicas, divided by MovesPerCheckDivisor. There is a limit because
	// replicas that are being moved wait longer if the leader dies.
	MovesPerCheckMin     = 2
	MovesPerCheckDivisor = 100
	// MoveDowntime is how long a moved replica is down, besides the fetch of its image.
	MoveDowntime = 300 * time.Millisecond
	// MoveDowntimeShare is the share of the time of all replicas that the downtime of all moves together may
	// take. It is an average over the replicas of all services, and larger than the 0.1 to 0.2 % of downtime
	// that the strictest service-level objectives of replicas allow.
	MoveDowntimeShare = 0.003
	// MoveDowntimeBudgetMax is the largest downtime budget that accumulates. It is enough for one move with a
	// long fetch. If the budget gains more than this between two checks, as with thousands of replicas, that
	// gain is the limit instead.
	MoveDowntimeBudgetMax = 10 * time.Second
	// CloudListEvery is the interval at which the cloud's list of machines is read.
	CloudListEvery = 5 * time.Second
	// NoCapacityBackoff is how long an offering (type, zone and kind) is not requested again after the
	// cloud reported that it has no capacity.
	NoCapacityBackoff = 10 * time.Second
	// BootLateFactor is the multiple of the nominal boot time after which a booting machine counts as late and
	// is replaced. Most machines have booted after 1.5 times the nominal boot time.
	BootLateFactor = 2.0
	// BootGiveUpFactor is the multiple of the nominal boot time after which a booting machine is deleted.
	BootGiveUpFactor = 3.0
	// BootExtra is added to the times that result from BootLateFactor and BootGiveUpFactor, for the lag of the
	// cloud's list and for the first heartbeat.
	BootExtra = 5 * time.Second
	// UnknownTypeBootTime is the boot time allowed to a machine of a type that the cloud no longer offers.
	UnknownTypeBootTime = 120 * time.Second
	// AdoptedMachineWait is how long a new leader waits for the first heartbeat of a machine that it found in
	// the cloud's list, before the machine can count as one that never came up.
	AdoptedMachineWait = 15 * time.Second
	// SilentReturnAfter is how long a machine may be silent after its lease expired, or be unreachable, before
	// it is returned.
	SilentReturnAfter = 20 * time.Second
	// SilentReturnAfterPartition replaces SilentReturnAfter during a network partition. A partition rarely
	// lasts a minute. Silence counts as a partition if at least PartitionMinMachines machines and at least
	// PartitionFleetShare of all machines are silent.
	SilentReturnAfterPartition = 90 * time.Second
	PartitionMinMachines       = 3
	PartitionFleetShare        = 0.05
	// PartitionZoneShare is the share of a zone's machines that must have become silent together for the zone to
	// count as partitioned. Fewer are failures of single machines.
	PartitionZoneShare = 0.6
	// ForgetReturnedAfter is how long the name of a returned machine is remembered, so that late messages of
	// the machine are recognized.
	ForgetReturnedAfter = 15 * time.Minute
	// ListSettledAgeS is the age, in seconds, that a listed machine must have for the list to prove that
	// unlisted machines created before it are gone. The order of younger machines is uncertain, because
	// several machines are created at once and ages are rounded.
	ListSettledAgeS = 2.0
	// MissedListingsMin is the number of consecutive listings of the cloud's machines in which a silent machine
	// must be missing before it counts as interrupted by the cloud.
	MissedListingsMin = 3
)
