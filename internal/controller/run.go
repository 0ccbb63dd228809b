package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"golang.org/x/net/netutil"

	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Run serves until ctx ends, and waits for what it started.
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
	conns := newConnections(c.settings.Cluster.Limits.FDLimit)
	if conns.max > 0 {
		users = netutil.LimitListener(users, conns.max)
	}
	srv := c.newServer(conns)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	c.start(ctx, &wg, peers)
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

// newServer makes the server of users and workers.
func (c *Controller) newServer(conns *connections) *http.Server {
	return &http.Server{
		Handler:           conns.closeWhenCrowded(c.routes()),
		ConnState:         conns.count,
		ReadHeaderTimeout: tuning.HeaderTimeout,
		ReadTimeout:       tuning.BodyTimeout,
		WriteTimeout:      tuning.AnswerTimeout,
		IdleTimeout:       tuning.IdleTimeout,
		MaxHeaderBytes:    tuning.MaxHeader,
		ErrorLog:          slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
}

// start starts what runs beside the server until ctx ends.
func (c *Controller) start(ctx context.Context, wg *sync.WaitGroup, peers net.Listener) {
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
		wg.Go(func() { c.serveMetrics(ctx) })
	}
}

// serveMetrics serves the metrics until ctx ends. Its failure is no reason not to schedule.
func (c *Controller) serveMetrics(ctx context.Context) {
	if err := c.metrics.Serve(ctx, c.operator.MetricsAddr(), c.log); err != nil {
		c.log.Error("metrics are not served", "err", err)
	}
}

// routes are the paths that users and workers call.
func (c *Controller) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathJobs, c.userAPI.ServeSubmit)
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}", c.userAPI.ServeStatus)
	mux.HandleFunc("POST "+wire.PathJobs+"/{id}/"+wire.EndCancel, c.userAPI.ServeCancel)
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}/"+wire.EndExplain, c.userAPI.ServeExplanation)
	mux.HandleFunc("GET "+wire.PathHealth, c.userAPI.ServeHealth)
	mux.HandleFunc("POST "+wire.PathHeartbeat, c.workerAPI.ServeHeartbeat)
	if c.ledger != nil {
		c.ledger.Routes(mux)
	}
	if c.graphs != nil {
		c.graphs.Routes(mux)
	}
	return mux
}
