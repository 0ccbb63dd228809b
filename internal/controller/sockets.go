package controller

import (
	"net"
	"net/http"
	"sync/atomic"

	"poppypass/internal/platform/tuning"
)

// connections shares the connections that users and workers may hold. Each worker keeps one
// open to its controller; a fleet with more workers than sockets takes turns: near the
// limit an answer closes its connection, rather than have those that come next wait
// for one that never ends.
type connections struct {
	max  int // how many may be open; 0: no limit is known
	open atomic.Int64
}

func newConnections(fdLimit int) *connections {
	return &connections{max: int(float64(fdLimit) * tuning.ConnShare)}
}

// count follows a connection's life, as http.Server.ConnState.
func (s *connections) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// crowded tells whether few are left.
func (s *connections) crowded() bool {
	return s.max > 0 && float64(s.open.Load()) >= tuning.ConnCloseShare*float64(s.max)
}

// closeWhenCrowded has answers close their connections while few are left.
func (s *connections) closeWhenCrowded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.crowded() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
