package tuning

import "time"

// Scale-out and scale-in.
const (
	// FleetEvery is how often the wanted machines are compared with the rented ones.
	FleetEvery = 1 * time.Second
	// ArrivalWindow is how far back arrivals tell what is to come.
	ArrivalWindow = 120 * time.Second
	// ArrivalLeast is the least time over which arrivals are counted as a rate.
	ArrivalLeast = 30 * time.Second
	// BeginRush is how long after the service's very first begin jobs come that
	// waited for it: users ask again after a second or more.
	BeginRush = 5 * time.Second
	// RushShare is one in how many of them counts as a guide to those to come: with
	// none, the services of the first minute found no room.
	RushShare = 8
	// PromptWait and PromptGuarantee say how much of the work expected within a boot has
	// room kept for it: for classes that are to start sooner than a machine
	// boots, and for all others where a guarantee is to be met sooner than that.
	PromptWait      = 1.0
	PromptGuarantee = 0.25
	// ReserveFor is how far ahead room is reserved for prompt work against work
	// of lower priority that waits: what ends meanwhile makes room for the rest.
	ReserveFor = 10 * time.Second
	// FetchExtra is added to the boot time as the horizon of what is expected: the first report and a rental take some seconds.
	FetchExtra = 5 * time.Second
	// ThriftyFor is how long patient work that may run on spot machines waits
	// for one, before an ordinary machine at several times the price is rented for it.
	ThriftyFor = 12 * time.Second
	// RentAtOnce is how many rentals may be on their way: enough to use the
	// cloud's rate, few enough that none waits long for its turn.
	RentAtOnce = 3
	// RentSettle is how long a new leader waits before it rents: the machines
	// that it took over report within that time.
	RentSettle = 4 * time.Second
	// MoveEvery is how often it is looked which machines could be emptied, and
	// replicas are moved off those.
	MoveEvery = 2 * time.Second
	// MoveCandidates is how many machines are looked at for that at the least,
	// and one in MoveCandidateShare of those in use: a large fleet has to shrink
	// as fast as a small one, and each look tries all other machines.
	MoveCandidates     = 3
	MoveCandidateShare = 16
	// MoveAtOnce is how many replicas are moved at a time at the least, and one
	// in MoveAtOnceShare of all: those on their way wait longer if the leader dies.
	MoveAtOnce      = 2
	MoveAtOnceShare = 100
	// MoveDown is how long a moved replica is down beside the fetch of its image.
	MoveDown = 300 * time.Millisecond
	// MoveDownShare is the share of all replicas' time that moves may cost: the
	// strictest aims on replicas miss 0.1 to 0.2 %.
	MoveDownShare = 0.003
	// MoveBudgetMax is how much of that can be saved up at the least: one move with a long
	// fetch. With thousands of replicas it is what they grant between two looks.
	MoveBudgetMax = 10 * time.Second
	// ListEvery is the pause between two readings of the cloud's list, or as long as the one before took if that is
	// more: its pages (12 for 6,000 machines) then use at most half of the cloud's rate, and rentals the rest.
	ListEvery = 5 * time.Second
	// RefusedFor is how long a type, zone and kind is not asked again after "no capacity".
	RefusedFor = 10 * time.Second
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
	// SilentRelease is how long a machine may be silent after its lease ran
	// out before it is returned.
	SilentRelease = 20 * time.Second
	// SilentReleaseMany is the same while at least SilentMany machines and
	// SilentManyShare of all are silent: a cut, which rarely lasts a minute.
	SilentReleaseMany = 90 * time.Second
	SilentMany        = 3
	SilentManyShare   = 0.05
	// CutShare is the share of a zone's machines that must have fallen silent together for
	// the zone to count as cut off: fewer are machines' own troubles.
	CutShare = 0.6
	// ForgetReleased is how long the name of a returned machine is remembered, against late messages.
	ForgetReleased = 15 * time.Minute
	// ListNewer is for how many seconds a listed machine must have been there for those created before it that
	// are not listed to be gone: several are created at once, and ages are rounded.
	ListNewer = 2.0
	// UnlistedLists is how many lists in a row must lack a silent machine before it counts as taken.
	UnlistedLists = 3
)
