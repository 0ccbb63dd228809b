package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"

	"poppypass/internal/platform/wire"
)

// Cloud is a cloud that rents what is asked for, up to Capacity machines.
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

// NewCloud starts a cloud.
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

// Addr is its address.
func (c *Cloud) Addr() string { return strings.TrimPrefix(c.srv.URL, "http://") }

// Close stops it.
func (c *Cloud) Close() {
	c.srv.CloseClientConnections()
	c.srv.Close()
}

// LoseRentAnswers makes the next n rentals go without an answer, though executed.
func (c *Cloud) LoseRentAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = n
}

// ListOnly makes its lists lack all but the oldest n machines, as they lack new ones for a while; negative: no more.
func (c *Cloud) ListOnly(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = n
}

// Terminate takes a machine back without a word.
func (c *Cloud) Terminate(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = slices.DeleteFunc(c.machines, func(m wire.ListedMachine) bool { return m.Name == name })
}

// Refuse makes it refuse to tell its machine types, or ends that.
func (c *Cloud) Refuse(trouble bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = trouble
}

// Rents gives the rentals asked for, repetitions included.
func (c *Cloud) Rents() []wire.RentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.RentRequest(nil), c.rents...)
}

// Deleted gives the machines whose deletion was asked for.
func (c *Cloud) Deleted() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.deleted...)
}

// Machines gives the machines that are there.
func (c *Cloud) Machines() []wire.ListedMachine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.ListedMachine(nil), c.machines...)
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var q wire.RentRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		answer(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
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
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		answer(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deleted = append(c.deleted, q.Machines...)
	c.machines = slices.DeleteFunc(c.machines, func(m wire.ListedMachine) bool { return slices.Contains(q.Machines, m.Name) })
	answer(w, http.StatusOK, struct{}{})
}
