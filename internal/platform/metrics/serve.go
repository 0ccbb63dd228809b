package metrics

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"poppypass/internal/platform/tuning"
)

// Serve serves the metrics at the path /metrics of an address until ctx ends, and then returns nil.
func (m *Metrics) Serve(ctx context.Context, addr string, log *slog.Logger) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("metrics.addr: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2}))
	srv := &http.Server{
		Handler: mux, ReadHeaderTimeout: tuning.HeaderTimeout, WriteTimeout: tuning.AnswerTimeout, IdleTimeout: tuning.IdleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
