package fakes

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"

	"poppypass/internal/platform/wire"
)

// Cloud is a fake cloud. It rents out whatever machines are requested, up to Capacity machines at a time. It is safe for
// concurrent use.
type Cloud struct {
	srv *httptest.Server

	mu                sync.Mutex
	Types             []wire.MachineType   // machine types on offer
	Capacity          int                  // largest number of machines that exist at a time
	namesByRequest    map[string][]string  // names of rented machines by idempotency key
	machines          []wire.ListedMachine // machines that exist, oldest first
	rentRequests      []wire.RentRequest   // all rent requests, repeated ones included
	deletionRequests  []string             // names of the machines whose deletion was requested
	createdCount      int                  // number of machines created so far
	refuseTypes       bool                 // whether requests for the machine types are answered with 503
	rentAnswersToLose int                  // number of rent requests yet to be executed without an answer
	listLimit         int                  // largest number of machines in a list; negative: no limit
}

// NewCloud starts a cloud on a loopback address. It rents out machines of the given types, up to capacity at a time.
func NewCloud(capacity int, types ...wire.MachineType) *Cloud {
	c := &Cloud{Types: types, Capacity: capacity, namesByRequest: map[string][]string{}, listLimit: -1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathMachineTypes, func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.refuseTypes {
			answer(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
			return
		}
		answer(w, http.StatusOK, wire.MachineTypes{Types: c.Types})
	})
	mux.HandleFunc("POST "+wire.PathMachines, c.rent)
	mux.HandleFunc("POST "+wire.PathDelete, c.deleteMachines)
	mux.HandleFunc("GET "+wire.PathMachines, func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		list := append([]wire.ListedMachine{}, c.machines...)
		if c.listLimit >= 0 {
			list = list[:min(c.listLimit, len(list))]
		}
		answer(w, http.StatusOK, wire.MachinePage{Machines: list})
	})
	c.srv = httptest.NewServer(mux)
	return c
}

// Addr returns the cloud's address as host:port.
func (c *Cloud) Addr() string { return strings.TrimPrefix(c.srv.URL, "http://") }

// Close stops the cloud and closes its connections.
func (c *Cloud) Close() {
	c.srv.CloseClientConnections()
	c.srv.Close()
}

// LoseRentAnswers makes the cloud execute the next n rent requests without answering them.
func (c *Cloud) LoseRentAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rentAnswersToLose = n
}

// ListOnly limits the cloud's lists to the oldest n machines, like a list that lags behind. A negative n removes the
// limit.
func (c *Cloud) ListOnly(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listLimit = n
}

// Terminate ends a machine from the cloud's side without notice.
func (c *Cloud) Terminate(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = slices.DeleteFunc(c.machines, func(m wire.ListedMachine) bool { return m.Name == name })
}

// RefuseMachineTypes sets whether the cloud answers requests for its machine types with 503.
func (c *Cloud) RefuseMachineTypes(refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseTypes = refuse
}

// RentRequests returns all rent requests so far, repeated ones included.
func (c *Cloud) RentRequests() []wire.RentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.RentRequest(nil), c.rentRequests...)
}

// Deleted returns the names of the machines whose deletion was requested.
func (c *Cloud) Deleted() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.deletionRequests...)
}

// Machines returns the machines that exist.
func (c *Cloud) Machines() []wire.ListedMachine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.ListedMachine(nil), c.machines...)
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request wire.RentRequest
	if !decode(w, r, &request) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rentRequests = append(c.rentRequests, request)
	names, known := c.namesByRequest[request.Request]
	if !known {
		for len(names) < request.Count && len(c.machines) < c.Capacity {
			c.createdCount++
			name := fmt.Sprintf("n-%06d", c.createdCount)
			names = append(names, name)
			c.machines = append(c.machines, wire.ListedMachine{Name: name, Type: request.Type, Zone: request.Zone, Spot: request.Spot, State: wire.MachineBooting})
		}
		if len(names) == 0 {
			answer(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
			return
		}
		c.namesByRequest[request.Request] = names
	}
	if c.rentAnswersToLose > 0 {
		c.rentAnswersToLose--
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, wire.MachineNames{Machines: names})
}

func (c *Cloud) deleteMachines(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineNames
	if !decode(w, r, &request) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deletionRequests = append(c.deletionRequests, request.Machines...)
	c.machines = slices.DeleteFunc(c.machines, func(m wire.ListedMachine) bool { return slices.Contains(request.Machines, m.Name) })
	answer(w, http.StatusOK, struct{}{})
}
