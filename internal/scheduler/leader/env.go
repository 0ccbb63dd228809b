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

// Env is what a leader's loop finds in its process. It outlives the terms.
type Env struct {
	Settings *config.Settings
	Tunables tuning.Tunables
	Clock    clockwork.Clock
	Log      *slog.Logger

	Store       *statestore.Client
	Cloud       *cloud.Client
	Teams       map[string]config.Team
	FinalStates *jobs.FinalStates

	// Workers is the client for direct commands to workers.
	Workers *http.Client
	// CommandSlots holds one value for each direct command in flight, as many as the sockets allow; nil: any number.
	CommandSlots chan struct{}

	// Observer is told what the loop does; nil: nobody is.
	Observer Observer
	// Accounts is true if charges are kept, by accounts that jobs may name.
	Accounts bool
	// Subsystems makes the subsystems that join the loop of each term.
	Subsystems []func(log *slog.Logger) (Subsystem, error)
	// Valid reports whether this member has the right to act in a term now.
	Valid func(term uint64) bool
	// MayHaveRenewed asks a member, this one or another, which of some machines it may have answered by
	// its zone lease within a worker lease. With an error, when it cannot tell or gives no answer, it may have answered any.
	MayHaveRenewed func(ctx context.Context, member string, names []string) (renewed []string, err error)
	// ProbeWorkers asks the other members whether one of them gets an answer from one of some workers, by their addresses; nil:
	// there are no others.
	ProbeWorkers func(ctx context.Context, addrs []string) bool
	// MemoryFull reports that this process has no memory for more jobs; nil: it always has.
	MemoryFull func() bool
	// MemoryLive is how many bytes of memory are in use by this process, without garbage; nil: it is not known.
	MemoryLive func() uint64
	// Types gives the machine types; nil while none are known.
	Types func() []wire.MachineType
}

// observe calls fn if there is an observer.
func (e *Env) observe(fn func(Observer)) {
	if e.Observer != nil {
		fn(e.Observer)
	}
}

// sleep waits for d on the process's clock, or until ctx ends.
func (e *Env) sleep(ctx context.Context, d time.Duration) {
	clock.Sleep(ctx, e.Clock, d)
}

// typeOf gives a machine type; nil when it is not known.
func (e *Env) typeOf(name string) *wire.MachineType {
	return wire.TypeNamed(e.Types(), name)
}

// workerLease is for how long an answered heartbeat lets a worker run its tasks.
func (e *Env) workerLease() time.Duration { return seconds(e.Settings.Cluster.Workers.LeaseS) }

// maxStartWaitS is how long jobs of a class may wait for their start by the objectives, in seconds; ok is false if none
// speaks of it.
func (e *Env) maxStartWaitS(class string) (withinS float64, ok bool) {
	for _, o := range e.Settings.Cluster.Objectives {
		if (o.Kind == "guarantee" || o.Kind == "wait" && o.Class == class) && (!ok || o.WithinS < withinS) {
			withinS, ok = o.WithinS, true
		}
	}
	return withinS, ok
}

// seconds makes a duration of the seconds in settings, records and messages.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
