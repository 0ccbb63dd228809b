// Package controller wires the slices into one process: the handlers for users,
// workers and peers, and the leader's loop while this member leads.
package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"golang.org/x/net/netutil"

	"poppypass/internal/accounting/ledger"
	"poppypass/internal/api/userapi"
	"poppypass/internal/api/workerapi"
	"poppypass/internal/clients/cloud"
	"poppypass/internal/clients/instancetypes"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/election"
	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/cluster/peers"
	"poppypass/internal/cluster/workerlease"
	"poppypass/internal/graphs/airflow"
	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/memory"
	"poppypass/internal/platform/metrics"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
)

// Controller is one member of the service.
type Controller struct {
	settings *config.Settings
	operator *config.OperatorSettingsWatcher
	clock    clockwork.Clock
	log      *slog.Logger

	env            *leader.Env
	store          *statestore.Client
	cloud          *cloud.Client
	catalog        *instancetypes.Catalog
	elector        *election.Elector
	peers          *peers.Peers
	followerLeases *workerlease.FollowerLeases
	zoneLease      *workerlease.ZoneLease
	userAPI        *userapi.Handler
	workerAPI      *workerapi.Handler
	ledger         *ledger.Handler  // nil: no charges are kept
	graphs         *airflow.Handler // nil: no graphs are served
	metrics        *metrics.Metrics // nil: they are served nowhere

	leading atomic.Pointer[leader.Loop] // the leader's loop, while this member leads
}

// New makes a controller from its settings.
func New(s *config.Settings, own *config.OperatorSettingsWatcher, clock clockwork.Clock, log *slog.Logger) (*Controller, error) {
	c := &Controller{
		settings: s, operator: own, clock: clock, log: log,
		cloud: cloud.New(s.Outside.Cloud, s.Cluster.Cloud.RPS),
		peers: peers.New(s, clock, log),
	}
	store := statestore.New(s.Outside.State, s.Cluster.State.RPS, s.Cluster.State.WriteRPS)
	c.elector = election.New(store.Urgent(), c.peers, s.Member, clock, log)
	c.peers.SetElector(c.elector)
	c.store = store.WithShare(c.memberShare(tuning.LeaderShare))
	c.catalog = &instancetypes.Catalog{
		Cloud: c.cloud, Store: c.store, ValueKB: s.Cluster.State.ValueKB, Clock: clock, Log: log, Guard: c.guard,
	}
	c.followerLeases = workerlease.NewFollowerLeases(s, c.store, clock, log)
	c.zoneLease = workerlease.NewZoneLease(s, c.store, clock, log)
	c.peers.ShareZoneLease(c.zoneLease)
	teams := map[string]config.Team{}
	for _, t := range s.Cluster.Teams {
		teams[t.Name] = t
	}
	fds := s.Cluster.Limits.FDLimit
	c.env = &leader.Env{
		Settings: s, Tunables: own.Tunables(), Clock: clock, Log: log, Store: c.store, Cloud: c.cloud,
		Workers:      httpjson.NewClient(2, 1, int(float64(fds)*tuning.IdleShare), tuning.CommandTimeout),
		CommandSlots: make(chan struct{}, max(tuning.SendMin, int(float64(fds)*tuning.SendShare))), Teams: teams, FinalStates: jobs.NewFinalStates(max(tuning.FinalCache, int(s.Cluster.Limits.RAMMB*tuning.FinalsOfMB))),
		Valid: c.elector.Valid, MayHaveRenewed: c.mayHaveRenewed, ProbeWorkers: c.peers.ProbeWorkers, Types: c.catalog.Types,
		MemoryFull: memory.New(s.Cluster.Limits.RAMMB, clock).Full, MemoryLive: memory.Live,
	}
	if err := c.addSubsystems(); err != nil {
		return nil, err
	}
	c.userAPI = userapi.New(c.env, c.peers, c.leader, func() bool { return c.zoneLease.Isolated() && c.peers.Isolated() })
	c.workerAPI = workerapi.New(workerapi.Options{
		Member: s.Member, Workers: s.Cluster.Workers, Clock: clock, Elector: c.elector, Peers: c.peers, Leases: c.followerLeases, Zone: c.zoneLease,
		Leader: c.leader, Fetch: c.fetchHeartbeat, MaxQueries: cap(c.env.CommandSlots),
	})
	c.setCloudShare(false)
	return c, nil
}

// addSubsystems registers the subsystems that are on.
func (c *Controller) addSubsystems() error {
	if c.operator.MetricsAddr() != "" {
		c.metrics = metrics.New(c.settings.Cluster.State.WriteRPS)
		c.env.Observer = c.metrics
	}
	if on, descriptions := c.operator.Graphs(); on {
		c.addGraphs(descriptions)
	}
	if !c.operator.Ledger() {
		return nil
	}
	state := c.settings.Cluster.State
	cfg := ledger.Config{Clock: c.clock, MaxTxnOps: state.TxnOps - 1, MaxValueKB: state.ValueKB, MachineTypes: c.catalog.Types, Budgets: c.operator.Budgets}
	if c.metrics != nil {
		cfg.OnCharge = c.metrics.Charged
	}
	reader, err := ledger.NewReader(c.store.LowPriority())
	if err != nil {
		return err
	}
	c.ledger = &ledger.Handler{Reader: reader, QueryLeader: func(ctx context.Context, uri string) (int, json.RawMessage) { return c.userAPI.Query(ctx, uri) }}
	c.env.Accounts = true
	c.env.Subsystems = append(c.env.Subsystems, func(log *slog.Logger) (leader.Subsystem, error) { return ledger.New(cfg, log) })
	return nil
}

// addGraphs has graphs served.
func (c *Controller) addGraphs(descriptions string) {
	cluster := c.settings.Cluster
	cfg := runner.Config{
		Clock: c.clock, TxnOps: cluster.State.TxnOps - 1, ValueKB: cluster.State.ValueKB, Bytes: int(cluster.Limits.RAMMB * tuning.GraphShare * (1 << 20)),
		Impossible: func(j *wire.Job) string { return c.userAPI.InfeasibleReason(j) }, Jitter: rand.Float64, Pools: c.operator.PoolSlots,
	}
	if descriptions != "" {
		cfg.Source = &runner.HTTPSource{URL: descriptions, Client: httpjson.NewClient(1, 1, 1, tuning.DescribeTimeout)}
	}
	c.graphs = &airflow.Handler{
		Reader: runner.NewReader(c.store.LowPriority()), Clock: c.clock, Log: c.log,
		Do: func(ctx context.Context, cmd leader.Command) (int, json.RawMessage) {
			return c.userAPI.Command(ctx, cmd)
		},
		Ask: func(ctx context.Context, uri string) (int, json.RawMessage) { return c.userAPI.Query(ctx, uri) },
	}
	c.env.Subsystems = append(c.env.Subsystems, func(log *slog.Logger) (leader.Subsystem, error) { return runner.New(cfg, log) })
}

// memberShare is what one member may use of a limit that all share, when the
// leader's work may use a share of it.
func (c *Controller) memberShare(leader float64) float64 {
	return (1 - leader) / float64(1+len(c.settings.Members))
}

// setCloudShare divides the cloud's limit: followers ask it very little.
func (c *Controller) setCloudShare(leads bool) {
	share := c.memberShare(tuning.CloudLeaderShare)
	if leads {
		share = tuning.CloudLeaderShare
	}
	c.cloud.SetShare(share)
}

// Run serves until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	users, err := net.Listen("tcp", c.settings.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	defer users.Close()
	peers, err := net.Listen("tcp", c.settings.MeshAddr)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	defer peers.Close()
	open := newConnections(c.settings.Cluster.Limits.FDLimit)
	if open.max > 0 {
		users = netutil.LimitListener(users, open.max)
	}
	srv := &http.Server{
		Handler: open.closeWhenCrowded(c.routes()), ConnState: open.count, ReadHeaderTimeout: tuning.HeaderTimeout, ReadTimeout: tuning.BodyTimeout,
		WriteTimeout: tuning.AnswerTimeout, IdleTimeout: tuning.IdleTimeout, MaxHeaderBytes: tuning.MaxHeader,
		ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { peerrpc.Serve(ctx, peers, c.servePeer, c.log) })
	wg.Go(func() { c.catalog.Run(ctx) })
	wg.Go(func() { c.operator.Run(ctx, c.clock, c.log) })
	wg.Go(func() { c.followerLeases.Run(ctx) })
	wg.Go(func() { c.zoneLease.Run(ctx) })
	wg.Go(func() { c.elector.Run(ctx, c.lead) })
	if !c.peers.Alone() {
		wg.Go(func() { c.peers.Run(ctx) })
	}
	if c.metrics != nil {
		wg.Go(func() {
			// Its failure is no reason not to schedule.
			if err := c.metrics.Serve(ctx, c.operator.MetricsAddr(), c.log); err != nil {
				c.log.Error("metrics are not served", "err", err)
			}
		})
	}
	wg.Go(func() {
		<-ctx.Done()
		srv.Close()
	})
	c.log.Info("serving", "member", c.settings.Member, "bind", c.settings.Bind)
	err = srv.Serve(users)
	stop()
	wg.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (c *Controller) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathJobs, c.userAPI.ServeSubmit)
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}", c.userAPI.ServeStatus)
	mux.HandleFunc("POST "+wire.PathJobs+"/{id}/"+wire.EndCancel, c.userAPI.ServeCancel)
	mux.HandleFunc("GET "+wire.PathHealth, c.userAPI.ServeHealth)
	mux.HandleFunc("POST "+wire.PathHeartbeat, c.workerAPI.ServeHeartbeat)
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}/"+wire.EndExplain, c.userAPI.ServeExplanation)
	if c.ledger != nil {
		c.ledger.Routes(mux)
	}
	if c.graphs != nil {
		c.graphs.Routes(mux)
	}
	return mux
}

// lead runs the leader's loop until the tenure is lost.
func (c *Controller) lead(ctx context.Context, t election.Leadership) {
	l := leader.New(c.env, t)
	l.Start(ctx)
	c.setCloudShare(true)
	c.leading.Store(l)
	if c.metrics != nil {
		c.metrics.SetLeading(true)
		defer c.metrics.SetLeading(false)
	}
	defer func() {
		c.leading.Store(nil)
		c.setCloudShare(false)
	}()
	go c.catalog.Save(ctx)
	if errors.Is(l.Run(), leader.ErrUnreachable) {
		c.elector.StandAside(tuning.YieldFor)
	}
}

// mayHaveRenewed asks a member, this one or another, which machines it may have answered.
func (c *Controller) mayHaveRenewed(ctx context.Context, member string, names []string) ([]string, bool) {
	if member == c.settings.Member {
		return c.zoneLease.MayHaveRenewed(names)
	}
	return c.peers.MayHaveRenewed(ctx, member, names)
}

// leader gives the leader's loop when this member has the right to act now.
func (c *Controller) leader() *leader.Loop {
	if l := c.leading.Load(); l != nil && c.elector.Valid(l.Leadership().Term) {
		return l
	}
	return nil
}

// guard is the condition under which this member leads.
func (c *Controller) guard() (wire.Condition, bool) {
	if l := c.leader(); l != nil {
		return l.Leadership().Guard, true
	}
	return wire.Condition{}, false
}
