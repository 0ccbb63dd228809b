// Package userapi is the HTTP handler for users: submissions, polls of jobs' states, cancellations and explanations.
// Requests that only the leader can answer are relayed to it.
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
	settings        *config.Settings
	clock           clockwork.Clock
	log             *slog.Logger
	store           *statestore.Client
	peers           *peers.Peers
	teams           map[string]config.Team
	finalStates     *jobs.FinalStates
	machineTypes    func() []wire.MachineType // nil while none are known
	leader          func() *leader.Loop       // the leader's loop while this member may act as the leader, nil otherwise
	statusReader    *statusReader
	memoryFull      func() bool // reports whether this process has no memory for more jobs; nil: there is always enough
	accountsEnabled bool        // charges are recorded, and jobs may name the account to charge
	isolated        func() bool // reports whether neither the state service nor any other member answers this one
}

// New returns a handler. activeLoop returns the leader's loop while this member may act as the leader, nil otherwise.
// isolated reports whether neither the state service nor any other member answers this one. The settings, clients and
// callbacks are those that the leader's loop uses too.
func New(env *leader.Env, p *peers.Peers, activeLoop func() *leader.Loop, isolated func() bool) *Handler {
	h := &Handler{
		settings:        env.Settings,
		clock:           env.Clock,
		log:             env.Log,
		store:           env.Store,
		peers:           p,
		teams:           env.Teams,
		finalStates:     env.FinalStates,
		machineTypes:    env.MachineTypes,
		leader:          activeLoop,
		memoryFull:      env.MemoryFull,
		accountsEnabled: env.AccountsEnabled,
		isolated:        isolated,
	}
	h.statusReader = newStatusReader(h)
	return h
}

// ServeHealth answers the health check of the load balancer. A member is healthy once it knows the machine types. An
// outage of the state service alone does not make it unhealthy: the load balancer would remove all members for
// minutes. A member that gets no answer from any other member either cannot serve any user, so its users are better
// served by another member.
func (h *Handler) ServeHealth(w http.ResponseWriter, _ *http.Request) {
	if h.isolated() {
		httpjson.WriteUnavailable(w, "neither the state service nor any other controller answers")
		return
	}
	if h.machineTypes() == nil {
		httpjson.WriteUnavailable(w, "the machine types are not known yet")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// requestedJob returns the ID of the job that a request names. ok is false if requestedJob has answered the request:
// with 404, since no job can have that ID, or with 503, since this member is isolated.
func (h *Handler) requestedJob(w http.ResponseWriter, r *http.Request) (id string, ok bool) {
	id = r.PathValue("id")
	if !wire.ValidJobID(id) {
		writeNoSuchJob(w)
		return id, false
	}
	return id, !h.refuseIfIsolated(w)
}

// refuseIfIsolated answers with 503 at once and closes the connection if this member is isolated and so cannot serve
// any user. With a new connection the load balancer routes the user to another member. On an open connection the user
// would stay with this member, and its polls would fail for as long as the isolation lasts.
// refuseIfIsolated reports whether it answered the request.
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
