package leader

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/cloud"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/clock"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Env holds what the loop uses of its process: settings, clients and callbacks. It is the same for all terms of the
// process.
type Env struct {
	Settings *config.Settings
	Tunables tuning.Tunables
	Clock    clockwork.Clock
	Log      *slog.Logger

	Store       *statestore.Client
	Cloud       *cloud.Client
	Teams       map[string]config.Team
	FinalStates *jobs.FinalStates

	// Workers is the HTTP client for direct commands to workers.
	Workers *http.Client
	// CommandSlots is a semaphore that holds one value for each direct command in flight. Its capacity is the number
	// of commands in flight that the sockets allow. If the channel is nil, the number is not limited.
	CommandSlots chan struct{}

	// Observer receives the events of the loop; it may be nil.
	Observer Observer
	// AccountsEnabled is true if charges are recorded by account. Jobs may then name the account to charge.
	AccountsEnabled bool
	// Subsystems are the constructors of the subsystems. They are called once for each term.
	Subsystems []func(log *slog.Logger) (Subsystem, error)
	// MayAct reports whether this member may act as the leader of a term now.
	MayAct func(term uint64) bool
	// MayHaveRenewed asks a member, this one or another, which of the named machines the member may have answered under
	// its zone lease. Such an answer renews the lease of the machine's worker. An error means that the member does not
	// know, or did not respond to this question. The caller must then assume that the member may have answered any of
	// the machines.
	MayHaveRenewed func(ctx context.Context, member string, names []string) (renewed []string, err error)
	// ProbeWorkers asks the other members whether any of them gets an answer from a worker at one of the addresses.
	// The function is nil if there are no other members.
	ProbeWorkers func(ctx context.Context, addrs []string) bool
	// MemoryFull reports whether this process has no memory for more jobs. If the function is nil, there is always
	// enough.
	MemoryFull func() bool
	// MemoryInUse returns how many bytes of memory this process uses, without garbage. The function is nil if that
	// number is not known.
	MemoryInUse func() uint64
	// MachineTypes returns the machine types; nil while none are known.
	MachineTypes func() []wire.MachineType
}

// observe calls fn with the observer, if there is one.
func (e *Env) observe(fn func(Observer)) {
	if e.Observer != nil {
		fn(e.Observer)
	}
}

// sleep waits until d has passed on the process's clock, or until ctx ends.
func (e *Env) sleep(ctx context.Context, d time.Duration) {
	clock.Sleep(ctx, e.Clock, d)
}

// machineType returns a machine type by its name; nil if it is not known.
func (e *Env) machineType(name string) *wire.MachineType {
	return wire.FindMachineType(e.MachineTypes(), name)
}

// workerLease returns how long a worker may run its tasks after a heartbeat that was answered.
func (e *Env) workerLease() time.Duration { return seconds(e.Settings.Cluster.Workers.LeaseS) }

// maxStartWaitS returns how long jobs of a class may wait for their start, in seconds: the shortest time of all
// service-level objectives that apply to the class. ok is false if none applies.
func (e *Env) maxStartWaitS(class string) (withinS float64, ok bool) {
	for _, o := range e.Settings.Cluster.Objectives {
		if (o.Kind == "guarantee" || o.Kind == "wait" && o.Class == class) && (!ok || o.WithinS < withinS) {
			withinS, ok = o.WithinS, true
		}
	}
	return withinS, ok
}

// seconds converts a number of seconds, the unit of times in settings, records and messages, into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
