package tuning

import "time"

// The leader's loop, and the process's memory.
const (
	// Tick is the period of the timer of the leader's loop, which handles expiries and scheduled work.
	Tick = 100 * time.Millisecond
	// SubsystemTick is the interval at which the leader's loop lets its subsystems do what is due, such as
	// checking budgets and rolling up charges.
	SubsystemTick = 500 * time.Millisecond
	// InboxCapacity is the number of messages that the queue of the leader's loop holds.
	InboxCapacity = 1024
	// MemoryTargetShare is the share of the machine's memory that is the Go runtime's soft memory limit.
	MemoryTargetShare = 0.65
	// MemoryFullShare is the share of the machine's memory above which no more jobs are accepted. The runtime
	// exceeds its soft limit only if reachable objects need the memory. MemoryCheckEvery is the interval between
	// checks.
	MemoryFullShare  = 0.85
	MemoryCheckEvery = 250 * time.Millisecond
	// ProcessMiB is the memory, in MiB, that a leader uses besides its machines: the program, its libraries,
	// and a job store of a few thousand jobs.
	ProcessMiB = 24
	// MachineKiB bounds the memory, in KiB, that one machine uses in the leader: its tasks, its entries in the
	// views of a scheduling cycle, and the connections between its worker and the leader. With as much garbage
	// as the runtime allows, a machine uses 47 KiB in a fleet of 600 to 1,200 machines and 42 KiB in a fleet
	// of 4,000.
	MachineKiB = 64
	// ReachableMemoryShare is the share of the runtime's soft memory limit that reachable objects may fill
	// while machines are rented beyond the number that MachineKiB allows. The memory that a machine uses
	// depends on its tasks. With a fixed 64 KiB for each machine, a leader with 322 MB of memory would rent no
	// more than 2,965 machines. The remaining share is for garbage: at 0.7 the collector runs 2.3 times as
	// often as with ample memory.
	ReachableMemoryShare = 0.7
)
