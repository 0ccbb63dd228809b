package tuning

import "time"

// Scale-out and scale-in.
const (
	// ScaleOutEvery is how often the wanted machines are compared with the rented ones.
	ScaleOutEvery = 1 * time.Second
	// ArrivalWindow is how far back arrivals tell what is to come.
	ArrivalWindow = 120 * time.Second
	// ArrivalWindowMin is the least time over which arrivals are counted as a rate.
	ArrivalWindowMin = 30 * time.Second
	// FirstStartRush is how long after the service's very first begin jobs come that
	// waited for it: users ask again after a second or more.
	FirstStartRush = 5 * time.Second
	// FirstStartRushShare is one in how many of them counts as a guide to those to come: with
	// none, the services of the first minute found no room.
	FirstStartRushShare = 8
	// ForecastShareLatencySensitive and ForecastShareGuaranteed say how much of the work expected within a boot has
	// room kept for it: for classes that are to start sooner than a machine
	// boots, and for all others where a guarantee is to be met sooner than that.
	ForecastShareLatencySensitive = 1.0
	ForecastShareGuaranteed       = 0.25
	// ForecastReserveHorizon is how far ahead room is reserved for prompt work against work
	// of lower priority that waits: what ends meanwhile makes room for the rest.
	ForecastReserveHorizon = 10 * time.Second
	// ForecastBootExtra is added to the boot time as the horizon of what is expected: the first report and a rental take some seconds.
	ForecastBootExtra = 5 * time.Second
	// AwaitSpotFor is how long patient work that may run on spot machines waits
	// for one, before an ordinary machine at several times the price is rented for it.
	AwaitSpotFor = 12 * time.Second
	// RentalsInFlight is how many rentals may be on their way: enough to use the
	// cloud's rate, few enough that none waits long for its turn.
	RentalsInFlight = 3
	// RentAfterFailover is how long a new leader waits before it rents: the machines
	// that it took over report within that time.
	RentAfterFailover = 4 * time.Second
	// ConsolidateEvery is how often it is looked which machines could be emptied, and
	// replicas are moved off those.
	ConsolidateEvery = 2 * time.Second
	// ConsolidateCandidates is how many machines are looked at for that at the least,
	// and one in ConsolidateCandidateShare of those in use: a large fleet has to shrink
	// as fast as a small one, and each look tries all other machines.
	ConsolidateCandidates     = 3
	ConsolidateCandidateShare = 16
	// MovesInFlight is how many replicas are moved at a time at the least, and one
	// in MovesInFlightShare of all: those on their way wait longer if the leader dies.
	MovesInFlight      = 2
	MovesInFlightShare = 100
	// MoveDowntime is how long a moved replica is down beside the fetch of its image.
	MoveDowntime = 300 * time.Millisecond
	// MoveDowntimeShare is the share of all replicas' time that moves may cost: the
	// strictest aims on replicas miss 0.1 to 0.2 %.
	MoveDowntimeShare = 0.003
	// MoveDowntimeBudgetMax is how much of that can be saved up at the least: one move with a long
	// fetch. With thousands of replicas it is what they grant between two looks.
	MoveDowntimeBudgetMax = 10 * time.Second
	// ListEvery is the pause between two readings of the cloud's list, or as long as the one before took if that is
	// more: its pages (12 for 6,000 machines) then use at most half of the cloud's rate, and rentals the rest.
	ListEvery = 5 * time.Second
	// NoCapacityBackoff is how long a type, zone and kind is not asked again after "no capacity".
	NoCapacityBackoff = 10 * time.Second
	// BootFactor times the nominal boot time is when a machine counts as
	// late and is replaced; most are up after 1.5 times.
	BootFactor = 2.0
	// BootGiveUp times the nominal boot time is when a booting machine is deleted.
	BootGiveUp = 3.0
	// BootExtra is added to both, for the list's lag and the first report.
	BootExtra = 5 * time.Second
	// BootUnknown is the boot time allowed a machine of a type no longer known.
	BootUnknown = 120 * time.Second
	// AdoptWait is how long a new leader waits for the first report of a
	// machine found in the list, before it can count as never up.
	AdoptWait = 15 * time.Second
	// SilentReturnAfter is how long a machine may be silent after its lease ran
	// out before it is returned.
	SilentReturnAfter = 20 * time.Second
	// SilentReturnAfterCut is the same while at least SilentMany machines and
	// SilentManyShare of all are silent: a cut, which rarely lasts a minute.
	SilentReturnAfterCut = 90 * time.Second
	SilentMany           = 3
	SilentManyShare      = 0.05
	// CutShare is the share of a zone's machines that must have fallen silent together for
	// the zone to count as cut off: fewer are machines' own troubles.
	CutShare = 0.6
	// ForgetReturned is how long the name of a returned machine is remembered, against late messages.
	ForgetReturned = 15 * time.Minute
	// ListNewer is for how many seconds a listed machine must have been there for those created before it that
	// are not listed to be gone: several are created at once, and ages are rounded.
	ListNewer = 2.0
	// UnlistedLists is how many lists in a row must lack a silent machine before it counts as taken.
	UnlistedLists = 3
)
