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

// Cloud is a cloud that rents what is asked for, up to Capacity machines. It is safe for concurrent use.
type Cloud struct {
	srv *httptest.Server

	mu       sync.Mutex
	Types    []wire.MachineType
	Capacity int
	booked   map[string][]string
	machines []wire.ListedMachine
	rents    []wire.RentRequest
	deleted  []string
	named    int // machines so far
	refusing bool
	silent   int // rentals that are executed without an answer
	listed   int // how many machines its lists name at the most; negative: all
}

// NewCloud starts a cloud with room for that many machines, of the given types.
func NewCloud(capacity int, types ...wire.MachineType) *Cloud {
	c := &Cloud{Types: types, Capacity: capacity, booked: map[string][]string{}, listed: -1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathMachineTypes, func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.refusing {
			answer(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
			return
		}
		answer(w, http.StatusOK, wire.MachineTypes{Types: c.Types})
	})
	mux.HandleFunc("POST "+wire.PathMachines, c.rent)
	mux.HandleFunc("POST "+wire.PathDelete, c.remove)
	mux.HandleFunc("GET "+wire.PathMachines, func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		list := append([]wire.ListedMachine{}, c.machines...)
		if c.listed >= 0 {
			list = list[:min(c.listed, len(list))]
		}
		answer(w, http.StatusOK, wire.MachinePage{Machines: list})
	})
	c.srv = httptest.NewServer(mux)
	return c
}

// Addr returns its address.
func (c *Cloud) Addr() string { return strings.TrimPrefix(c.srv.URL, "http://") }

// Close stops it and drops its connections.
func (c *Cloud) Close() {
	c.srv.CloseClientConnections()
	c.srv.Close()
}

// LoseRentAnswers makes it execute the next n rentals without answering them.
func (c *Cloud) LoseRentAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = n
}

// ListOnly limits its lists to the oldest n machines, as a list that lags behind; a negative n ends that.
func (c *Cloud) ListOnly(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = n
}

// Terminate takes a machine back without notice.
func (c *Cloud) Terminate(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = slices.DeleteFunc(c.machines, func(m wire.ListedMachine) bool { return m.Name == name })
}

// Refuse makes it answer 503 to requests for its machine types, or ends that.
func (c *Cloud) Refuse(refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = refuse
}

// Rents returns the rentals requested so far, repeated requests included.
func (c *Cloud) Rents() []wire.RentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.RentRequest(nil), c.rents...)
}

// Deleted returns the names of the machines whose deletion was requested.
func (c *Cloud) Deleted() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.deleted...)
}

// Machines returns the machines that exist.
func (c *Cloud) Machines() []wire.ListedMachine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.ListedMachine(nil), c.machines...)
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var q wire.RentRequest
	if !decode(w, r, &q) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rents = append(c.rents, q)
	names, known := c.booked[q.Request]
	if !known {
		for len(names) < q.Count && len(c.machines) < c.Capacity {
			c.named++
			name := fmt.Sprintf("n-%06d", c.named)
			names = append(names, name)
			c.machines = append(c.machines, wire.ListedMachine{Name: name, Type: q.Type, Zone: q.Zone, Spot: q.Spot, State: wire.MachineBooting})
		}
		if len(names) == 0 {
			answer(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
			return
		}
		c.booked[q.Request] = names
	}
	if c.silent > 0 {
		c.silent--
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, wire.MachineNames{Machines: names})
}

func (c *Cloud) remove(w http.ResponseWriter, r *http.Request) {
	var q wire.MachineNames
	if !decode(w, r, &q) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deleted = append(c.deleted, q.Machines...)
	c.machines = slices.DeleteFunc(c.machines, func(m wire.ListedMachine) bool { return slices.Contains(q.Machines, m.Name) })
	answer(w, http.StatusOK, struct{}{})
}
