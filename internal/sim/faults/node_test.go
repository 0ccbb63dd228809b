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

// node is a controller process of the simulated cluster, with its clock and its network links.
type node struct {
	sim           *simulation
	name          string
	addr          string // address at which users and workers reach it
	bindAddr      string // address at which it listens for them
	peerAddr      string // address at which it listens for the other controllers
	zone          string
	clock         *clockwork.FakeClock // its own clock: follows the simulation's unless the process is stalled
	endpoint      *fakes.Endpoint
	peerLinks     map[string]*link // links to the other controllers, by name
	externalLinks []*link          // links from users and workers to it, and from it to the state service and the cloud
	stateAddr     string           // address of its link to the state service
	cloudAddr     string           // address of its link to the cloud
	controller    *controller.Controller
	stop          func() // stops the process; nil: it is down
	restartAt     time.Time

	// While the process is stalled, its links are paused and its clock is stopped. Then the clock jumps and delayed
	// traffic is delivered. So it may act after the stall on what it had read before. Guarded by sim.mu.
	stalled     bool
	stalledTerm uint64 // its term if it was the leader when it stalled, else 0
}

// start starts the controller as a new process, without any state of an earlier one.
func (n *node) start() {
	s := &config.Settings{
		Member: n.name, Zone: n.zone, Bind: n.bindAddr, PeerAddr: n.peerAddr, External: config.ExternalAddresses{Cloud: n.cloudAddr, State: n.stateAddr},
		Cluster: config.Cluster{
			Zones:   []string{"a", "b"},
			Workers: config.Workers{HeartbeatS: n.sim.deployment.heartbeatS, LeaseS: n.sim.deployment.leaseS, CancelS: n.sim.deployment.cancelS},
			State:   config.StateLimits{RPS: 1e6, WriteRPS: 1e6, MaxValueKiB: 16, MaxTxnOps: 24}, Cloud: config.CloudLimits{RPS: 1e6},
		},
	}
	for _, other := range n.sim.nodes {
		if other != n {
			s.Members = append(s.Members, config.Member{Name: other.name, Zone: other.zone, Endpoint: n.peerLinks[other.name].listener.Addr().String()})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(teamLimits)) {
		s.Cluster.Teams = append(s.Cluster.Teams, config.Team{Name: name, CPUs: teamLimits[name] / 2, CPUsMax: teamLimits[name]})
	}
	properties, err := config.LoadProperties("")
	if err != nil {
		n.sim.t.Fatal(err)
	}
	if n.controller, err = controller.New(s, config.Watch("", nil, properties), n.clock, slog.New(&errorReporter{sim: n.sim, member: n.name})); err != nil {
		n.sim.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.controller.Run(ctx) }()
	n.stop = func() {
		stop()
		if err := <-done; err != nil {
			n.sim.t.Errorf("controller %s ended: %v", n.name, err)
		}
	}
}

// errorReporter is a controller's log handler. It reports each logged error as a violation. However many
// transactions are late, lost or of unknown outcome, a leader must never step down because it finds changes in
// records that nobody else wrote.
type errorReporter struct {
	slog.Handler
	sim    *simulation
	member string
}

func (e *errorReporter) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError
}

func (e *errorReporter) WithAttrs([]slog.Attr) slog.Handler { return e }

func (e *errorReporter) WithGroup(string) slog.Handler { return e }

func (e *errorReporter) Handle(_ context.Context, r slog.Record) error {
	text := r.Message
	r.Attrs(func(a slog.Attr) bool { text += fmt.Sprintf(" %s=%v", a.Key, a.Value); return true })
	e.sim.mu.Lock()
	defer e.sim.mu.Unlock()
	e.sim.reportViolation("error logged: %s logs %s", e.member, text)
	return nil
}

// kill ends a stall and stops the process.
func (n *node) kill() {
	n.setStalled(false)
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
}

// setStalled stalls the process or resumes it.
func (n *node) setStalled(stalled bool) {
	sim := n.sim
	holder, term := sim.observeLeaderKey()
	sim.mu.Lock()
	if n.stalled == stalled {
		sim.mu.Unlock()
		return
	}
	n.stalled, n.stalledTerm = stalled, 0
	if stalled && holder == n {
		n.stalledTerm = term
	}
	sim.mu.Unlock()
	if !stalled {
		n.syncClock()
	}
	for i, link := range n.externalLinks {
		if link.setPaused(stalled); i == 0 && !stalled { // users' requests sent during the stall arrive before any answer of the state service
			time.Sleep(20 * time.Millisecond)
		}
	}
	for _, other := range sim.nodes {
		if other == n {
			continue
		}
		sim.mu.Lock()
		paused := n.stalled || other.stalled
		sim.mu.Unlock()
		n.peerLinks[other.name].setPaused(paused)
		other.peerLinks[n.name].setPaused(paused)
	}
}

// syncClock advances the controller's clock to the simulation's time.
func (n *node) syncClock() { n.clock.Advance(n.sim.now().Sub(n.clock.Now())) }

// isolate cuts the links between the controller and all others, or restores them.
func (n *node) isolate(cut bool) {
	for _, other := range n.sim.nodes {
		if other != n {
			n.peerLinks[other.name].setCut(cut)
			other.peerLinks[n.name].setCut(cut)
		}
	}
}
