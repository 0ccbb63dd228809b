// Package controller wires one controller process together: the handlers for users, workers and peers, and the leader's
// loop while this member leads.
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

// Controller is one member of the cluster of controllers.
type Controller struct {
	settings         *config.Settings
	operatorSettings *config.OperatorSettingsWatcher
	clock            clockwork.Clock
	log              *slog.Logger

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
	ledger         *ledger.Handler  // nil: no charges are recorded
	graphs         *airflow.Handler // nil: no graphs are served
	metrics        *metrics.Metrics // nil: no metrics are served

	activeLoop atomic.Pointer[leader.Loop] // the loop of the current term; nil while this member does not lead
}

// New returns a controller with these settings. It starts nothing; Run does.
func New(s *config.Settings, operatorSettings *config.OperatorSettingsWatcher, clock clockwork.Clock, log *slog.Logger) (*Controller, error) {
	c := &Controller{settings: s, operatorSettings: operatorSettings, clock: clock, log: log}
	c.addClients()
	c.env = c.newEnv()
	if err := c.addSubsystems(); err != nil {
		return nil, err
	}
	c.addHandlers()
	c.setCloudShare(false)
	return c, nil
}

// addClients creates the clients of the cloud, the state service and the peers, and the components that depend on
// these alone.
func (c *Controller) addClients() {
	settings := c.settings
	c.cloud = cloud.New(settings.External.Cloud, settings.Cluster.Cloud.RPS)
	c.peers = peers.New(settings, c.clock, c.log)
	store := statestore.New(settings.External.State, settings.Cluster.State.RPS, settings.Cluster.State.WriteRPS)
	c.elector = election.New(store.Urgent(), c.peers, settings.Member, c.clock, c.log)
	c.peers.SetElector(c.elector)
	c.store = store.WithShare(c.memberShare(tuning.LeaderRateShare))
	c.catalog = &instancetypes.Catalog{
		Cloud: c.cloud, Store: c.store, MaxValueKiB: settings.Cluster.State.MaxValueKiB, Clock: c.clock, Log: c.log, Guard: c.guard,
	}
	c.followerLeases = workerlease.NewFollowerLeases(settings, c.store, c.clock, c.log)
	c.zoneLease = workerlease.NewZoneLease(settings, c.store, c.clock, c.log)
	c.peers.ShareZoneLease(c.zoneLease)
}

// newEnv returns the settings, clients and callbacks that the loop of each term uses.
func (c *Controller) newEnv() *leader.Env {
	settings := c.settings
	teams := map[string]config.Team{}
	for _, t := range settings.Cluster.Teams {
		teams[t.Name] = t
	}
	fdLimit, memoryMiB := float64(settings.Cluster.Limits.FDLimit), settings.Cluster.Limits.MemoryMiB
	return &leader.Env{
		Settings:       settings,
		Tunables:       c.operatorSettings.Tunables(),
		Clock:          c.clock,
		Log:            c.log,
		Store:          c.store,
		Cloud:          c.cloud,
		Teams:          teams,
		FinalStates:    jobs.NewFinalStates(max(tuning.FinalStatesMin, int(memoryMiB*tuning.FinalStatesPerMiB))),
		Workers:        httpjson.NewClient(2, 1, int(fdLimit*tuning.IdleWorkerConnShare), tuning.CommandTimeout),
		CommandSlots:   make(chan struct{}, max(tuning.CommandConnsMin, int(fdLimit*tuning.CommandConnShare))),
		MayAct:         c.elector.MayAct,
		MayHaveRenewed: c.mayHaveRenewed,
		ProbeWorkers:   c.peers.ProbeWorkers,
		MemoryFull:     memory.New(memoryMiB, c.clock).Full,
		MemoryInUse:    memory.InUse,
		MachineTypes:   c.catalog.Types,
	}
}

// addHandlers creates the handlers for users and workers. It must run after addSubsystems, which changes the Env that
// they use.
func (c *Controller) addHandlers() {
	c.userAPI = userapi.New(c.env, c.peers, c.leader, c.isolated)
	c.workerAPI = workerapi.New(workerapi.Options{
		Member:         c.settings.Member,
		Workers:        c.settings.Cluster.Workers,
		Clock:          c.clock,
		Elector:        c.elector,
		Peers:          c.peers,
		Leases:         c.followerLeases,
		ZoneLease:      c.zoneLease,
		Leader:         c.leader,
		FetchHeartbeat: c.fetchHeartbeat,
		MaxQueries:     cap(c.env.CommandSlots),
	})
}

// isolated reports whether neither the state service nor any other member answers this one. It is false if there are no
// other members.
func (c *Controller) isolated() bool { return c.zoneLease.Isolated() && c.peers.Isolated() }

// memberShare returns the share of a common rate limit that each member may use. The leader's loop has a share of its
// own, and all members, the leading one included, divide the rest equally.
func (c *Controller) memberShare(leaderShare float64) float64 {
	return (1 - leaderShare) / float64(1+len(c.settings.Members))
}

// setCloudShare sets this member's share of the cloud's rate limit. Followers send the cloud very few requests, so
// the leader has nearly all of the limit.
func (c *Controller) setCloudShare(leading bool) {
	share := c.memberShare(tuning.CloudLeaderRateShare)
	if leading {
		share = tuning.CloudLeaderRateShare
	}
	c.cloud.SetShare(share)
}
