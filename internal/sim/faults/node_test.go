package faults_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/controller"
	"poppypass/internal/platform/config"
	"poppypass/internal/sim/fakes"
)

type node struct {
	w        *simulation
	name     string
	addr     string // where users and workers reach it
	bind     string // where it listens for them
	mesh     string
	zone     string
	clock    *clockwork.FakeClock // its own: it goes with the simulation's unless the process stands still
	endpoint *fakes.Endpoint
	links    map[string]*link // ways to the others, by their names
	ways     []*link          // its ways from users and workers, and to the state service and the cloud
	toState  string           // the addresses of the last two
	toCloud  string
	c        *controller.Controller
	stop     func() // nil: it is down
	back     time.Time

	// While it stands still nothing comes in or goes out, and its clock is as it was; then its clock jumps, and all that was held
	// up goes on. So what it had looked at before, it uses after. Guarded by the simulation's lock.
	still bool
	term  uint64 // the last that it led, if it stood still as a leader
}

// boot starts a controller, as a process with no memory of an earlier one.
func (n *node) boot() {
	s := &config.Settings{
		Member: n.name, Zone: n.zone, Bind: n.bind, MeshAddr: n.mesh, External: config.ExternalAddresses{Cloud: n.toCloud, State: n.toState},
		Cluster: config.Cluster{
			Zones:   []string{"a", "b"},
			Workers: config.Workers{HeartbeatS: n.w.site.report, LeaseS: n.w.site.lease, CancelS: n.w.site.cancelS},
			State:   config.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 24}, Cloud: config.Cloud{RPS: 1e6},
		},
	}
	for _, o := range n.w.nodes {
		if o != n {
			s.Members = append(s.Members, config.Member{Name: o.name, Zone: o.zone, Endpoint: n.links[o.name].l.Addr().String()})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(teamLimits)) {
		s.Cluster.Teams = append(s.Cluster.Teams, config.Team{Name: name, CPUs: teamLimits[name] / 2, CPUsMax: teamLimits[name]})
	}
	own, err := config.LoadProperties("")
	if err != nil {
		n.w.t.Fatal(err)
	}
	if n.c, err = controller.New(s, config.Watch("", nil, own), n.clock, slog.New(&errorLog{w: n.w, name: n.name})); err != nil {
		n.w.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.c.Run(ctx) }()
	n.stop = func() {
		stop()
		if err := <-done; err != nil {
			n.w.t.Errorf("controller %s ended: %v", n.name, err)
		}
	}
}

// errorLog is a controller's log, of which errors count: whatever is in doubt, late or lost, a leader whose records nobody else
// wrote must never find them changed and give up.
type errorLog struct {
	slog.Handler
	w    *simulation
	name string
}

func (l *errorLog) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelError }

func (l *errorLog) WithAttrs([]slog.Attr) slog.Handler { return l }

func (l *errorLog) WithGroup(string) slog.Handler { return l }

func (l *errorLog) Handle(_ context.Context, r slog.Record) error {
	text := r.Message
	r.Attrs(func(a slog.Attr) bool { text += fmt.Sprintf(" %s=%v", a.Key, a.Value); return true })
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	l.w.violation("error: %s logs %s", l.name, text)
	return nil
}

// end kills it.
func (n *node) end() {
	n.freeze(false)
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
}

// stallController has the process stand still, or go on.
func (n *node) freeze(still bool) {
	sim := n.w
	holder, term := sim.holder()
	sim.mu.Lock()
	if n.still == still {
		sim.mu.Unlock()
		return
	}
	n.still, n.term = still, 0
	if still && holder == n {
		n.term = term
	}
	sim.mu.Unlock()
	if !still {
		n.syncClock()
	}
	for i, g := range n.ways {
		if g.hold(still); i == 0 && !still { // what users asked meanwhile is there before any answer of the state service
			time.Sleep(20 * time.Millisecond)
		}
	}
	for _, o := range sim.nodes {
		if o == n {
			continue
		}
		sim.mu.Lock()
		held := n.still || o.still
		sim.mu.Unlock()
		n.links[o.name].hold(held)
		o.links[n.name].hold(held)
	}
}

// syncClock has its clock show what the simulation's does.
func (n *node) syncClock() { n.clock.Advance(n.w.now().Sub(n.clock.Now())) }

// isolate cuts it from the others, or ends that.
func (n *node) isolate(cut bool) {
	for _, o := range n.w.nodes {
		if o != n {
			n.links[o.name].set(cut)
			o.links[n.name].set(cut)
		}
	}
}
