package tuning

import "time"

// The leader's loop, and the process's memory.
const (
	// Tick is the period of the leader's own timer for expiries and timed work.
	Tick = 100 * time.Millisecond
	// SubsystemTick is how often the subsystems of the leader's loop are asked what is
	// due: budgets are checked and charges rolled up that often.
	SubsystemTick = 500 * time.Millisecond
	// Inbox is how many messages may wait for the leader's loop.
	Inbox = 1024
	// MemoryShare is the share of the machine's memory that the Go runtime aims to stay under.
	MemoryShare = 0.65
	// MemoryFull is the share above which no more jobs are accepted: the runtime holds
	// more than its target only if reachable objects need it. MemoryEvery is how often
	// that is checked.
	MemoryFull  = 0.85
	MemoryEvery = 250 * time.Millisecond
	// ProcessMB is what of that a leader takes beside its machines, in MiB: the program,
	// its libraries, and a job store of some thousand jobs.
	ProcessMB = 24
	// MachineKB is what a machine takes of it at the most, in KiB: its tasks, its place in the
	// views of a pass, its worker's connection and ours to it. Measured, with as much garbage as the runtime lets grow:
	// 47 at 600 to 1,200 machines, 42 at 4,000.
	MachineKB = 64
	// LiveShare is the share of what the runtime aims at that may live (be reachable). More machines than MachineKB
	// allows are rented while less lives: what a machine takes hangs on its tasks, and a fixed 64 KiB stopped at 2,965
	// machines with 322 MB. The rest is for garbage: at 0.7 the collector runs 2.3 times as often as it does with room.
	LiveShare = 0.7
)
