package controller

import (
	"net"
	"net/http"
	"sync/atomic"

	"poppypass/internal/platform/tuning"
)

// connections bounds those that users and workers may hold. Each worker keeps one open to its controller; a fleet with more
// workers than sockets shares them: near the limit an answer closes its connection, rather than have those that come next wait
// for one that never ends.
type connections struct {
	max  int // how many may be open; 0: no limit is known
	open atomic.Int64
}

func newConnections(fdLimit int) *connections {
	return &connections{max: int(float64(fdLimit) * tuning.ConnShare)}
}

// count counts the open connections, as http.Server.ConnState.
func (c *connections) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// crowded reports whether few are left.
func (c *connections) crowded() bool {
	return c.max > 0 && float64(c.open.Load()) >= tuning.ConnCloseShare*float64(c.max)
}

// closeWhenCrowded has answers close their connections while few are left.
func (c *connections) closeWhenCrowded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.crowded() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
