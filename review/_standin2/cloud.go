package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// MachineType is a machine type of the cloud.
type MachineType struct {
	SKU      string   `json:"sku"`
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"gpus"`
	MemGB    float64  `json:"mem_gb"`
	CacheGB  float64  `json:"cache_gb"`
	FetchGB  float64  `json:"fetch_gb_per_s"`
	Rate     float64  `json:"rate"`
	Spot     float64  `json:"spot_price"`
	StartupS float64  `json:"startup_s"`
	Yards    []string `json:"yards"`
}

// Machine is a rented machine. Its worker runs from when it is up until it is released.
type Machine struct {
	Name, Address, Yard string
	Standby             bool
	Type                *MachineType
	rentedAt            time.Time
	upAt                time.Time
	goneAt              time.Time // zero: it exists
	worker              *Worker
}

// Cloud is a stand-in of the cloud. It rents ordinary machines only.
type Cloud struct {
	addr      string
	types     []MachineType
	capacity  int // of machines for each type and zone
	lag       time.Duration
	newWorker func(*Machine) *Worker

	mu       sync.Mutex
	bookings map[string][]string
	machines []*Machine // in the order of creation
	calls    bucket
}

// NewCloud starts a cloud on a loopback address.
func NewCloud(types []MachineType, capacity int, rps float64, lag time.Duration, newWorker func(*Machine) *Worker) (*Cloud, error) {
	c := &Cloud{types: types, capacity: capacity, lag: lag, newWorker: newWorker, bookings: map[string][]string{}, calls: bucket{rps, 2 * rps, time.Now()}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, object{"builds": c.types})
	})
	mux.HandleFunc("POST /machines", c.rent)
	mux.HandleFunc("POST /machines/release", c.release)
	mux.HandleFunc("GET /machines", c.list)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c.mu.Lock()
			now := time.Now()
			c.calls.left = min(2*c.calls.perSecond, c.calls.left+now.Sub(c.calls.at).Seconds()*c.calls.perSecond)
			c.calls.at = now
			allowed := c.calls.left >= 1
			if allowed {
				c.calls.left--
			}
			c.mu.Unlock()
			if !allowed {
				reply(w, http.StatusTooManyRequests, object{"error": "too many requests"})
				return
			}
			time.Sleep(50 * time.Millisecond)
			mux.ServeHTTP(w, r)
		}))
	}()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			c.boot()
		}
	}()
	return c, nil
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Booking string `json:"booking"`
		Build   string `json:"build"`
		Yard    string `json:"yard"`
		Standby bool   `json:"standby"`
		Number  int    `json:"number"`
	}
	i := -1
	if json.NewDecoder(r.Body).Decode(&request) == nil {
		i = slices.IndexFunc(c.types, func(t MachineType) bool { return t.SKU == request.Build })
	}
	if i < 0 || request.Number < 1 || request.Number > 50 {
		reply(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.bookings[request.Booking]
	if !known {
		existing := 0
		for _, m := range c.machines {
			if m.goneAt.IsZero() && m.Type.SKU == request.Build && m.Yard == request.Yard {
				existing++
			}
		}
		for len(names) < request.Number && existing < c.capacity && !request.Standby {
			m := &Machine{Name: fmt.Sprintf("n-%06d", len(c.machines)+1), Yard: request.Yard, Type: &c.types[i], rentedAt: time.Now()}
			m.upAt = m.rentedAt.Add(time.Duration(m.Type.StartupS * float64(time.Second)))
			c.machines = append(c.machines, m)
			names = append(names, m.Name)
			existing++
		}
		if len(names) == 0 {
			reply(w, http.StatusServiceUnavailable, object{"error": "no capacity"})
			return
		}
		c.bookings[request.Booking] = names
	}
	reply(w, http.StatusOK, object{"stalls": names})
}

// boot starts the workers of the machines that are up.
func (c *Cloud) boot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker == nil && m.goneAt.IsZero() && time.Now().After(m.upAt) {
			m.worker = c.newWorker(m)
		}
	}
}

func (c *Cloud) release(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Stalls []string `json:"stalls"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Stalls) > 100 {
		reply(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.goneAt.IsZero() && slices.Contains(request.Stalls, m.Name) {
			m.goneAt = time.Now()
			if m.worker != nil {
				m.worker.Stop()
			}
		}
	}
	reply(w, http.StatusOK, object{})
}

// list answers with the machines as they were when the list's lag began.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.FormValue("after")
	page, _ := strconv.Atoi(r.FormValue("page"))
	if page <= 0 || page > 500 {
		page = 500
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-c.lag)
	stalls, more := []object{}, false
	for _, m := range c.machines {
		if m.Name <= after || m.rentedAt.After(at) || !m.goneAt.IsZero() && m.goneAt.Before(at) {
			continue
		}
		if len(stalls) == page {
			more = true
			break
		}
		status, address := "booting", ""
		if m.worker != nil && m.upAt.Before(at) {
			status, address = "running", m.worker.address
		}
		stalls = append(stalls, object{"ref": m.Name, "address": address, "build": m.Type.SKU, "yard": m.Yard, "standby": m.Standby, "status": status, "age_s": at.Sub(m.rentedAt).Seconds()})
	}
	reply(w, http.StatusOK, object{"stalls": stalls, "has_next": more})
}
