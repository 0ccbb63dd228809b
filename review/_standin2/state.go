package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// State is a stand-in of the state service, as PROTOCOL-poppypass.md describes it.
type State struct {
	addr string

	mu        sync.Mutex
	revision  uint64
	keys      map[string]stateItem
	leases    map[uint64]*stateLease
	lastLease uint64
	events    []stateEvent
	wake      chan struct{}
	down      bool
	latency   func() time.Duration // before a request is executed
	calls     bucket
	writes    bucket
	valueKB   float64
	txnOps    int
	onCommit  func(revision uint64, changes []stateChange)
}

type stateItem struct {
	Path  string          `json:"path"`
	Data  json.RawMessage `json:"data"`
	Stamp uint64          `json:"stamp"`
	Pass  uint64          `json:"pass,omitempty"`
}

type stateEvent struct {
	Write string          `json:"write,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
	Stamp uint64          `json:"stamp"`
}

type stateChange struct {
	Write string          `json:"write"`
	Data  json.RawMessage `json:"data"`
	Pass  uint64          `json:"pass"`
	Drop  string          `json:"drop"`
}

type stateTxn struct {
	Guards []struct {
		Path  string `json:"path"`
		Stamp uint64 `json:"stamp"`
	} `json:"guards"`
	Then []stateChange `json:"then"`
}

type stateLease struct {
	ttl time.Duration
	end time.Time
}

// bucket is a rate limit with a burst of one second's worth.
type bucket struct {
	perSecond, left float64
	at              time.Time
}

func (b *bucket) take(n float64, now time.Time) bool {
	b.left = min(b.perSecond, b.left+now.Sub(b.at).Seconds()*b.perSecond)
	b.at = now
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

const keptEvents = 10_000

// NewState starts a state service on a loopback address.
func NewState(rps, writeRPS, valueKB float64, txnOps int) (*State, error) {
	now := time.Now()
	s := &State{
		keys: map[string]stateItem{}, leases: map[uint64]*stateLease{}, wake: make(chan struct{}), valueKB: valueKB, txnOps: txnOps,
		calls: bucket{rps, rps, now}, writes: bucket{writeRPS, writeRPS, now}, latency: func() time.Duration { return 3 * time.Millisecond },
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.serve)) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

func reply(w http.ResponseWriter, status int, v any) {
	raw, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type object = map[string]any

// SetDown begins or ends an outage. After it every lease has its full time again.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, l := range s.leases {
		l.end = time.Now().Add(l.ttl)
	}
	s.notify()
}

// SetLatency sets the time that each request takes.
func (s *State) SetLatency(fn func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = fn
}

func (s *State) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *State) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *State) endLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	changed := false
	for key, item := range s.keys {
		if item.Pass == id {
			s.revision++
			s.apply(stateChange{Drop: key})
			changed = true
		}
	}
	if changed {
		s.notify()
	}
}

func (s *State) apply(c stateChange) {
	if c.Drop != "" {
		delete(s.keys, c.Drop)
		s.events = append(s.events, stateEvent{Drop: c.Drop, Stamp: s.revision})
	} else {
		s.keys[c.Write] = stateItem{c.Write, c.Data, s.revision, c.Pass}
		s.events = append(s.events, stateEvent{Write: c.Write, Data: c.Data, Stamp: s.revision})
	}
	if len(s.events) > 2*keptEvents {
		s.events = append([]stateEvent(nil), s.events[len(s.events)-keptEvents:]...)
	}
}

func (s *State) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10+1))
	if err != nil {
		return
	}
	s.mu.Lock()
	down, latency, allowed := s.down, s.latency(), s.calls.take(1, time.Now())
	s.mu.Unlock()
	switch {
	case down:
		time.Sleep(time.Millisecond)
		reply(w, http.StatusServiceUnavailable, object{"error": "trouble"})
		return
	case len(body) > 64<<10:
		reply(w, http.StatusBadRequest, object{"error": "too long"})
		return
	case !allowed:
		reply(w, http.StatusTooManyRequests, object{"error": "too many requests"})
		return
	}
	path := r.URL.Path
	if path == "/watch" {
		s.watch(w, r)
		return
	}
	time.Sleep(latency)
	switch {
	case r.Method == http.MethodGet && path == "/kv":
		s.list(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/kv/"):
		s.get(w, strings.TrimPrefix(path, "/kv/"))
	case r.Method == http.MethodPost && path == "/commit":
		s.commit(w, body)
	case strings.HasPrefix(path, "/grants"):
		s.grants(w, r, body)
	default:
		reply(w, http.StatusBadRequest, object{"error": "malformed"})
	}
}

func (s *State) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	item, ok := s.keys[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, object{"ledger": revision})
		return
	}
	reply(w, http.StatusOK, item)
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("starts"), r.FormValue("after")
	page, _ := strconv.Atoi(r.FormValue("page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	s.mu.Lock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	pairs, size, more := []stateItem{}, 0, false
	for _, key := range keys {
		size += len(s.keys[key].Data) + len(key) + 60
		if len(pairs) == page || size > 500<<10 {
			more = true
			break
		}
		pairs = append(pairs, s.keys[key])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, object{"pairs": pairs, "has_next": more, "ledger": revision})
}

func (s *State) commit(w http.ResponseWriter, body []byte) {
	var t stateTxn
	if json.Unmarshal(body, &t) != nil || len(t.Then) > s.txnOps || len(t.Guards) > 4*s.txnOps {
		reply(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	seen := map[string]bool{}
	for _, c := range t.Then {
		key := c.Write + c.Drop
		if key == "" || len(key) > 200 || strings.Contains(key, " ") || float64(len(c.Data)) > s.valueKB*1024 {
			reply(w, http.StatusBadRequest, object{"error": "malformed"})
			return
		}
		seen[key] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writes.take(float64(len(t.Then)), time.Now()) {
		reply(w, http.StatusTooManyRequests, object{"error": "too many requests"})
		return
	}
	for _, c := range t.Then {
		if c.Pass != 0 && s.leases[c.Pass] == nil {
			reply(w, http.StatusBadRequest, object{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, g := range t.Guards {
		if s.keys[g.Path].Stamp != g.Stamp {
			failed = append(failed, g.Path)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, object{"failed": failed, "ledger": s.revision})
		return
	}
	if len(t.Then) > 0 {
		s.revision++
		for _, c := range t.Then {
			s.apply(c)
		}
		if s.onCommit != nil {
			s.onCommit(s.revision, t.Then)
		}
		s.notify()
	}
	reply(w, http.StatusOK, object{"ledger": s.revision})
}

func (s *State) grants(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 && r.Method == http.MethodPost {
		var request struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &request) != nil || request.TTL < 100 || request.TTL > 600_000 {
			reply(w, http.StatusBadRequest, object{"error": "malformed"})
			return
		}
		s.lastLease++
		ttl := time.Duration(request.TTL) * time.Millisecond
		s.leases[s.lastLease] = &stateLease{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, object{"pass": s.lastLease})
		return
	}
	if len(parts) < 2 {
		reply(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		reply(w, http.StatusNotFound, object{"error": "no such lease"})
	case r.Method == http.MethodDelete:
		s.endLease(id)
		reply(w, http.StatusOK, object{})
	default:
		l.end = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, object{})
	}
}

func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("starts")
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timeout := time.After(time.Duration(min(waitMS, 60_000)) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		oldest := uint64(0)
		if len(s.events) > keptEvents {
			oldest = s.events[len(s.events)-keptEvents].Stamp
		}
		events := []stateEvent{}
		for i := len(s.events) - 1; i >= 0 && s.events[i].Stamp > after; i-- {
			if e := s.events[i]; strings.HasPrefix(e.Write+e.Drop, prefix) {
				events = append(events, e)
			}
		}
		for i, k := 0, len(events)-1; i < k; i, k = i+1, k-1 {
			events[i], events[k] = events[k], events[i]
		}
		revision, wake, down := s.revision, s.wake, s.down
		s.mu.Unlock()
		if !down {
			if oldest > 0 && after+1 < oldest {
				reply(w, http.StatusGone, object{"error": "too old"})
				return
			}
			if len(events) > 0 || over {
				reply(w, http.StatusOK, object{"ledger": revision, "events": events})
				return
			}
		}
		select {
		case <-wake:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
		if over && down {
			select {
			case <-wake:
			case <-r.Context().Done():
				return
			}
		}
	}
}

// Value returns the value of a key, nil if there is none.
func (s *State) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].Data
}

// Leader returns the member that holds the leader key, "" if none does.
func (s *State) Leader() string {
	var holder struct{ Member string }
	_ = json.Unmarshal(s.Value("lead/holder"), &holder)
	return holder.Member
}
