// Package leader is the leader's loop: while this member leads, it owns the
// book of jobs, the roster of machines and the fleet's plans, and brings what is
// in line with what is wanted.
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

// Env is what a leader's loop finds in its process.
type Env struct {
	Settings *config.Settings
	Tunables tuning.Tunables
	Clock    clockwork.Clock
	Log      *slog.Logger

	Store        *statestore.Client
	Cloud        *cloud.Client
	Workers      *http.Client  // for direct commands
	CommandSlots chan struct{} // holds one for each of them on its way, as many as sockets allow; nil: any number
	Teams        map[string]config.Team
	FinalStates  *jobs.FinalStates

	// Observer hears what the loop does; nil: nobody does.
	Observer Observer
	// Accounts tells that charges are kept, by accounts that jobs may name.
	Accounts bool
	// Subsystems makes the slices that join each tenure's loop.
	Subsystems []func(log *slog.Logger) (Subsystem, error)
	// Valid tells whether this member has the right to act in a term now.
	Valid func(term uint64) bool
	// MayHaveRenewed asks a member, this one or another, which of some machines it may have answered by
	// its zone's right within a lease; sure is false when it cannot tell, or gives no answer.
	MayHaveRenewed func(ctx context.Context, member string, names []string) (kept []string, sure bool)
	// ProbeWorkers asks the other members whether one of them gets an answer from one of some workers, by their addresses; nil:
	// there are no others.
	ProbeWorkers func(ctx context.Context, addrs []string) bool
	// MemoryFull tells that this process has no memory for more jobs; nil: it always has.
	MemoryFull func() bool
	// MemoryLive is how many bytes of memory are in use by this process, without garbage; nil: it is not known.
	MemoryLive func() uint64
	// Types gives the machine types; nil while none are known.
	Types func() []wire.MachineType
}

// Observer hears what a leader's loop does, for metrics. Its methods must not wait.
type Observer interface {
	FailoverDone(took time.Duration)
	CycleDone(took time.Duration)
	HeartbeatHandled(took time.Duration)
	TaskStarted(class string)
	AttemptEnded(class, how string)
	RecordsWritten(changes int)
	// Holds: waiting tasks, and seconds for which the oldest job waits to begin, by class.
	StateSize(jobs, machines int, waiting map[string]int, oldest map[string]float64)
	JobArrived(class, team, size string)
	JobBegan(class, team, size string, waited time.Duration) // a job's first task runs
	MissingJobsFound(jobs int)                               // stored jobs that the leader did not know
	HeartbeatRejected(why string)                            // a report was set aside
	Reachability(deaf, unproven int)
}

// observe calls fn if somebody observes.
func (e *Env) observe(fn func(Observer)) {
	if e.Observer != nil {
		fn(e.Observer)
	}
}

func (e *Env) sleep(ctx context.Context, d time.Duration) {
	clock.Sleep(ctx, e.Clock, d)
}

// typeOf gives a machine type; nil when it is not known.
func (e *Env) typeOf(name string) *wire.MachineType {
	return wire.TypeNamed(e.Types(), name)
}
