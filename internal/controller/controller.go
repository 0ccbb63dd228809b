// Package controller wires the slices into one process: it serves users,
// workers and peers, and runs the leader's loop while this member leads.
package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/net/netutil"

	"poppypass/internal/cloud"
	"poppypass/internal/config"
	"poppypass/internal/httpjson"
	"poppypass/internal/leadership"
	"poppypass/internal/mesh"
	"poppypass/internal/statestore"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// Controller is one member of the service.
type Controller struct {
	settings *config.Settings
	knobs    tuning.Knobs
	clock    clockwork.Clock
	log      *slog.Logger

	store    *statestore.Client
	cloud    *cloud.Client
	elector  *leadership.Elector
	peers    *mesh.Client
	workers  *http.Client
	endpoint map[string]string // mesh addresses by member
	teams    map[string]config.Team

	leading atomic.Pointer[leader] // the leader's loop, while this member leads
	types   atomic.Pointer[[]wire.MachineType]
	finals  *finals

	reach     reach
	redirects redirects
	keeper    *keeper
	polls     *poller
}

// New makes a controller from its settings.
func New(s *config.Settings, k tuning.Knobs, clock clockwork.Clock, log *slog.Logger) *Controller {
	c := &Controller{
		settings: s, knobs: k, clock: clock, log: log,
		store:    statestore.New(s.Outside.State, s.Cluster.State.RPS, s.Cluster.State.WriteRPS),
		cloud:    cloud.New(s.Outside.Cloud, s.Cluster.Cloud.RPS),
		peers:    mesh.NewClient(),
		workers:  httpjson.NewClient(2, 1, tuning.CommandTimeout),
		endpoint: map[string]string{}, teams: map[string]config.Team{},
		finals: newFinals(tuning.FinalCache),
	}
	c.redirects = redirects{sent: map[string]time.Time{}, kept: map[string]time.Time{}}
	c.keeper = newKeeper(c)
	c.polls = newPoller(c)
	c.elector = leadership.New(c.store.Urgent(), c, s.Member, clock, log)
	for _, m := range s.Members {
		c.endpoint[m.Name] = m.Endpoint
	}
	for _, t := range s.Cluster.Teams {
		c.teams[t.Name] = t
	}
	c.store = c.store.Share(c.memberShare(tuning.LeaderShare))
	c.setCloudShare(false)
	return c
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
	if limit := int(float64(c.settings.Cluster.Limits.FDLimit) * tuning.ConnShare); limit > 0 {
		users = netutil.LimitListener(users, limit)
	}
	srv := &http.Server{
		Handler: c.routes(), ReadHeaderTimeout: tuning.HeaderTimeout, ReadTimeout: tuning.BodyTimeout,
		WriteTimeout: tuning.AnswerTimeout, IdleTimeout: tuning.IdleTimeout, MaxHeaderBytes: tuning.MaxHeader,
		ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { mesh.Serve(ctx, peers, c.servePeer, c.log) })
	wg.Go(func() { c.readTypes(ctx) })
	wg.Go(func() { c.keeper.run(ctx) })
	wg.Go(func() { c.elector.Run(ctx, c.lead) })
	if len(c.endpoint) > 0 {
		wg.Go(func() { c.pingPeers(ctx) })
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
	mux.HandleFunc("POST "+wire.PathJobs, c.serveSubmit)
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}", c.serveGet)
	mux.HandleFunc("POST "+wire.PathJobs+"/{id}/"+wire.EndCancel, c.serveCancel)
	mux.HandleFunc("GET "+wire.PathHealth, c.serveHealth)
	mux.HandleFunc("POST "+wire.PathReport, c.serveReport)
	return mux
}

// keyTypes holds the machine types as a leader last read them.
const keyTypes = "cloud/types"

// readTypes keeps the machine types and their prices. While the cloud does not
// answer a member that was just started, it takes those that a leader stored:
// machines that are there can then be used, and jobs accepted.
func (c *Controller) readTypes(ctx context.Context) {
	for ctx.Err() == nil {
		pause := tuning.TypesRefresh
		types, err := c.cloud.Types(ctx)
		switch {
		case err == nil:
			c.types.Store(&types)
			c.storeTypes(ctx, types)
		default:
			c.log.Debug("machine types unreadable", "err", err)
			pause = tuning.CloudRetry
			if c.machineTypes() == nil {
				c.loadTypes(ctx)
			}
		}
		c.sleep(ctx, pause)
	}
}

// storeTypes stores the types if this member leads.
func (c *Controller) storeTypes(ctx context.Context, types []wire.MachineType) {
	l := c.leader()
	if l == nil {
		return
	}
	value, err := json.Marshal(types)
	if err != nil || float64(len(value)) > c.settings.Cluster.State.ValueKB*1024 {
		return
	}
	if _, err := c.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{l.tenure.Guard},
		Then: []wire.Change{{Put: keyTypes, Value: value}},
	}); err != nil {
		c.log.Debug("machine types not stored", "err", err)
	}
}

func (c *Controller) loadTypes(ctx context.Context) {
	item, ok, err := c.store.Get(ctx, keyTypes)
	if err != nil || !ok {
		return
	}
	var types []wire.MachineType
	if err := json.Unmarshal(item.Value, &types); err != nil || len(types) == 0 {
		c.log.Error("stored machine types are malformed", "err", err)
		return
	}
	c.types.Store(&types)
	c.log.Info("machine types taken from the state service", "types", len(types))
}

func (c *Controller) machineTypes() []wire.MachineType {
	if t := c.types.Load(); t != nil {
		return *t
	}
	return nil
}

// leader gives the leader's loop when this member has the right to act now.
func (c *Controller) leader() *leader {
	if l := c.leading.Load(); l != nil && c.elector.Valid(l.tenure.Term) {
		return l
	}
	return nil
}

// finals remembers the final states of jobs, which never change. When full it
// forgets the oldest; the state service still knows them.
type finals struct {
	mu    sync.Mutex
	byID  map[string]wire.JobStatus
	order []string
	next  int
}

func newFinals(size int) *finals {
	return &finals{byID: make(map[string]wire.JobStatus), order: make([]string, size)}
}

func (f *finals) add(s wire.JobStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.byID[s.ID]; known {
		return
	}
	delete(f.byID, f.order[f.next])
	f.order[f.next] = s.ID
	f.next = (f.next + 1) % len(f.order)
	f.byID[s.ID] = s
}

func (f *finals) get(id string) (wire.JobStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.byID[id]
	return s, ok
}
