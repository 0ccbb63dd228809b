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

// Run serves users, workers and peers until ctx ends, and then waits for the goroutines that it started. The error is
// that of a listener or of the server.
func (c *Controller) Run(ctx context.Context) error {
	userListener, err := net.Listen("tcp", c.settings.Bind)
	if err != nil {
		return fmt.Errorf("cannot listen for users and workers (setting bind): %w", err)
	}
	defer userListener.Close()
	peerListener, err := net.Listen("tcp", c.settings.PeerAddr)
	if err != nil {
		return fmt.Errorf("cannot listen for peers (setting mesh_addr): %w", err)
	}
	defer peerListener.Close()
	conns := newConnections(c.settings.Cluster.Limits.FDLimit)
	if conns.max > 0 {
		userListener = netutil.LimitListener(userListener, conns.max)
	}
	srv := c.newServer(conns)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	c.start(ctx, &wg, peerListener)
	wg.Go(func() {
		<-ctx.Done()
		srv.Close()
	})
	c.log.Info("controller started; serving users and workers", "member", c.settings.Member, "bind", c.settings.Bind)
	err = srv.Serve(userListener)
	stop()
	wg.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// newServer returns the HTTP server for users and workers.
func (c *Controller) newServer(conns *connections) *http.Server {
	return &http.Server{
		Handler:           conns.closeNearLimit(c.routes()),
		ConnState:         conns.count,
		ReadHeaderTimeout: tuning.HeaderTimeout,
		ReadTimeout:       tuning.BodyTimeout,
		WriteTimeout:      tuning.AnswerTimeout,
		IdleTimeout:       tuning.IdleTimeout,
		MaxHeaderBytes:    tuning.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
}

// start starts the background goroutines of the controller; they end with ctx.
func (c *Controller) start(ctx context.Context, wg *sync.WaitGroup, peerListener net.Listener) {
	wg.Go(func() { peerrpc.Serve(ctx, peerListener, c.servePeer, c.log) })
	wg.Go(func() { c.catalog.Run(ctx) })
	wg.Go(func() { c.operatorSettings.Run(ctx, c.clock, c.log) })
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

// serveMetrics serves the metrics until ctx ends. A failure is only logged: scheduling continues without metrics.
func (c *Controller) serveMetrics(ctx context.Context) {
	if err := c.metrics.Serve(ctx, c.operatorSettings.MetricsAddr(), c.log); err != nil {
		c.log.Error("metrics server failed; continuing without metrics", "err", err)
	}
}

// routes returns the handler of all paths that users and workers call.
func (c *Controller) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathJobs, c.userAPI.ServeSubmit)
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}", c.userAPI.ServeStatus)
	mux.HandleFunc("POST "+wire.PathJobs+"/{id}/"+wire.PathEndCancel, c.userAPI.ServeCancel)
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}/"+wire.PathEndExplain, c.userAPI.ServeExplanation)
	mux.HandleFunc("GET "+wire.PathHealth, c.userAPI.ServeHealth)
	mux.HandleFunc("POST "+wire.PathHeartbeat, c.workerAPI.ServeHeartbeat)
	if c.ledger != nil {
		c.ledger.RegisterRoutes(mux)
	}
	if c.graphs != nil {
		c.graphs.RegisterRoutes(mux)
	}
	return mux
}
