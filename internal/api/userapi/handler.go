// Package userapi is the HTTP handler for users: submissions, polls of jobs' states, cancellations and explanations. What only
// the leader can answer is relayed to it.
package userapi

import (
	"log/slog"
	"net/http"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/peers"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
)

// Handler answers users. It is safe for concurrent use.
type Handler struct {
	settings     *config.Settings
	clock        clockwork.Clock
	log          *slog.Logger
	store        *statestore.Client
	peers        *peers.Peers
	teams        map[string]config.Team
	finalStates  *jobs.FinalStates
	types        func() []wire.MachineType
	leader       func() *leader.Loop
	statusReader *statusReader
	memoryFull   func() bool // this process has no memory for more jobs; nil: it always has
	accounts     bool        // charges are kept: jobs may name an account
	isolated     func() bool // neither the state service nor any other member answers this one
}

// New makes the handler. current returns the leader's loop while this member has the right to act, nil otherwise; isolated
// reports that neither the state service nor any other member answers this one; the rest is what that loop works with as well.
func New(env *leader.Env, p *peers.Peers, current func() *leader.Loop, isolated func() bool) *Handler {
	h := &Handler{
		settings:    env.Settings,
		clock:       env.Clock,
		log:         env.Log,
		store:       env.Store,
		peers:       p,
		teams:       env.Teams,
		finalStates: env.FinalStates,
		types:       env.MachineTypes,
		leader:      current,
		memoryFull:  env.MemoryFull,
		accounts:    env.AccountsEnabled,
		isolated:    isolated,
	}
	h.statusReader = newStatusReader(h)
	return h
}

// ServeHealth answers the load balancer. The node can take requests once it knows the machine types. Whether the state service
// answers is not weighed by itself, since in its outages all nodes would leave the balance for minutes; but one that no other
// member answers either can serve nobody, and its users had better ask another.
func (h *Handler) ServeHealth(w http.ResponseWriter, _ *http.Request) {
	if h.isolated() {
		httpjson.WriteUnavailable(w, "neither the state service nor any other controller answers")
		return
	}
	if h.types() == nil {
		httpjson.WriteUnavailable(w, "the machine types are not known yet")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// requestedJob returns the id of the job that a request names. ok is false if the request was answered already: there can be no
// such job, or this member can serve nobody.
func (h *Handler) requestedJob(w http.ResponseWriter, r *http.Request) (id string, ok bool) {
	id = r.PathValue("id")
	if !wire.ValidJobID(id) {
		writeNoSuchJob(w)
		return id, false
	}
	return id, !h.refuseIfIsolated(w)
}

// refuseIfIsolated answers a user of a member that can serve nobody at once, and closes the connection: through the load
// balancer the user finds another, which an open connection keeps it from. Its polls otherwise failed here for as long as that
// lasts. It reports whether it answered.
func (h *Handler) refuseIfIsolated(w http.ResponseWriter) bool {
	if !h.isolated() {
		return false
	}
	w.Header().Set("Connection", "close")
	httpjson.WriteUnavailable(w, "this controller is cut off from all others")
	return true
}

func writeNoSuchJob(w http.ResponseWriter) {
	httpjson.WriteError(w, http.StatusNotFound, "no such job")
}
