package controller

import (
	"net"
	"net/http"
	"sync/atomic"

	"poppypass/internal/platform/tuning"
)

// connections counts the open connections of users and workers and limits their number. Each worker has one connection
// open to its controller. If there are more workers than sockets, they share the sockets: near the limit, each response
// closes its connection. Otherwise new clients would wait for a connection that is never closed.
type connections struct {
	max  int // the largest number of open connections; 0: no limit is known
	open atomic.Int64
}

func newConnections(fdLimit int) *connections {
	return &connections{max: int(float64(fdLimit) * tuning.IncomingConnShare)}
}

// count updates the number of open connections. It is the ConnState callback of an http.Server.
func (c *connections) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// nearLimit reports whether the number of open connections is near the limit: at least tuning.ConnCloseShare of it.
func (c *connections) nearLimit() bool {
	return c.max > 0 && float64(c.open.Load()) >= tuning.ConnCloseShare*float64(c.max)
}

// closeNearLimit wraps a handler: each response closes its connection while the number of open ones is near the limit.
func (c *connections) closeNearLimit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.nearLimit() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
