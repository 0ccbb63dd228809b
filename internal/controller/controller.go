// Package controller wires the subsystems into one process: the handlers for users, workers and peers, and the leader's loop
// while this member leads.
package controller

import (
	"log/slog"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/accounting/ledger"
	"poppypass/internal/api/userapi"
	"poppypass/internal/api/workerapi"
	"poppypass/internal/clients/cloud"
	"poppypass/internal/clients/instancetypes"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/election"
	"poppypass/internal/cluster/peers"
	"poppypass/internal/cluster/workerlease"
	"poppypass/internal/graphs/airflow"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/memory"
	"poppypass/internal/platform/metrics"
	"poppypass/internal/platform/tuning"
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

// New makes a controller from its settings. It starts nothing: Run does.
func New(s *config.Settings, operator *config.OperatorSettingsWatcher, clock clockwork.Clock, log *slog.Logger) (*Controller, error) {
	c := &Controller{settings: s, operator: operator, clock: clock, log: log}
	c.connect()
	c.env = c.newEnv()
	if err := c.addSubsystems(); err != nil {
		return nil, err
	}
	c.addHandlers()
	c.setCloudShare(false)
	return c, nil
}

// connect makes the clients of what is outside this process, and the parts that need nothing but them.
func (c *Controller) connect() {
	s := c.settings
	c.cloud = cloud.New(s.Outside.Cloud, s.Cluster.Cloud.RPS)
	c.peers = peers.New(s, c.clock, c.log)
	store := statestore.New(s.Outside.State, s.Cluster.State.RPS, s.Cluster.State.WriteRPS)
	c.elector = election.New(store.Urgent(), c.peers, s.Member, c.clock, c.log)
	c.peers.SetElector(c.elector)
	c.store = store.WithShare(c.memberShare(tuning.LeaderShare))
	c.catalog = &instancetypes.Catalog{
		Cloud: c.cloud, Store: c.store, ValueKB: s.Cluster.State.ValueKB, Clock: c.clock, Log: c.log, Guard: c.guard,
	}
	c.followerLeases = workerlease.NewFollowerLeases(s, c.store, c.clock, c.log)
	c.zoneLease = workerlease.NewZoneLease(s, c.store, c.clock, c.log)
	c.peers.ShareZoneLease(c.zoneLease)
}

// newEnv makes what the loop of each term works with.
func (c *Controller) newEnv() *leader.Env {
	s := c.settings
	teams := map[string]config.Team{}
	for _, t := range s.Cluster.Teams {
		teams[t.Name] = t
	}
	sockets, memoryMB := float64(s.Cluster.Limits.FDLimit), s.Cluster.Limits.RAMMB
	return &leader.Env{
		Settings:       s,
		Tunables:       c.operator.Tunables(),
		Clock:          c.clock,
		Log:            c.log,
		Store:          c.store,
		Cloud:          c.cloud,
		Teams:          teams,
		FinalStates:    jobs.NewFinalStates(max(tuning.FinalCache, int(memoryMB*tuning.FinalsOfMB))),
		Workers:        httpjson.NewClient(2, 1, int(sockets*tuning.IdleShare), tuning.CommandTimeout),
		CommandSlots:   make(chan struct{}, max(tuning.SendMin, int(sockets*tuning.SendShare))),
		MayAct:         c.elector.Valid,
		MayHaveRenewed: c.mayHaveRenewed,
		ProbeWorkers:   c.peers.ProbeWorkers,
		MemoryFull:     memory.New(memoryMB, c.clock).Full,
		MemoryInUse:    memory.Live,
		MachineTypes:   c.catalog.Types,
	}
}

// addHandlers makes the handlers of users and workers. It comes after the subsystems, which change what the loop works with.
func (c *Controller) addHandlers() {
	c.userAPI = userapi.New(c.env, c.peers, c.leader, c.isolated)
	c.workerAPI = workerapi.New(workerapi.Options{
		Member:     c.settings.Member,
		Workers:    c.settings.Cluster.Workers,
		Clock:      c.clock,
		Elector:    c.elector,
		Peers:      c.peers,
		Leases:     c.followerLeases,
		Zone:       c.zoneLease,
		Leader:     c.leader,
		Fetch:      c.fetchHeartbeat,
		MaxQueries: cap(c.env.CommandSlots),
	})
}

// isolated reports that neither the state service nor any other member answers this one.
func (c *Controller) isolated() bool { return c.zoneLease.Isolated() && c.peers.Isolated() }

// memberShare is what one member may use of a limit that all share, when the leader's work may use a share of it.
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
