package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateLimits are the limits of the state service, as the settings give them.
type stateLimits struct {
	RPS, WriteRPS float64
	ValueKB       float64
	TxnOps        int
}

type kvItem struct {
	Path  string          `json:"path"`
	Data  json.RawMessage `json:"data"`
	Stamp uint64          `json:"stamp"`
	Pass  uint64          `json:"pass,omitempty"`
}

type kvEvent struct {
	Write string          `json:"write,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
	Stamp uint64          `json:"stamp"`
}

type grant struct {
	ttl     time.Duration
	expires time.Time
}

type guard struct {
	Path  string `json:"path"`
	Stamp uint64 `json:"stamp"`
}

type change struct {
	Write string          `json:"write"`
	Data  json.RawMessage `json:"data"`
	Pass  uint64          `json:"pass"`
	Drop  string          `json:"drop"`
}

type commitBody struct {
	Guards []guard  `json:"guards"`
	Then   []change `json:"then"`
}

// bucket is a rate limit with a burst of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64, now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// stateService is a stand-in of the state service, by PROTOCOL-poppypass.md, "Controller nodes -> state service". Each
// controller has an address of its own, so that a trouble can concern one controller alone.
type stateService struct {
	rec *record

	mu          sync.Mutex
	ledger      uint64
	items       map[string]kvItem
	events      []kvEvent
	grants      map[uint64]*grant
	nextGrant   uint64
	limits      stateLimits
	reqs, wrs   bucket
	wake        chan struct{}
	outage      bool
	refused     map[string]bool // members that alone get 503
	delay       func(path string) time.Duration
	lateCommits func() (after time.Duration, late bool) // nil: none
	rejected    map[string]int                          // answers 400, by reason
	servers     []*http.Server
}

func newStateService(rec *record, limits stateLimits) *stateService {
	now := time.Now()
	s := &stateService{
		rec: rec, items: map[string]kvItem{}, grants: map[uint64]*grant{}, limits: limits, wake: make(chan struct{}),
		refused: map[string]bool{}, rejected: map[string]int{},
		reqs: bucket{limits.RPS, limits.RPS, now}, wrs: bucket{limits.WriteRPS, limits.WriteRPS, now},
	}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// listen opens an address for one member.
func (s *stateService) listen(member string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(member, w, r) })}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String()
}

func (s *stateService) setLimits(l stateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
	s.reqs.rate, s.wrs.rate = l.RPS, l.WriteRPS
}

// setOutage begins or ends an outage. After it every lease has its full time again.
func (s *stateService) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for _, g := range s.grants {
		g.expires = time.Now().Add(g.ttl)
	}
	s.wakeAll()
}

func (s *stateService) setRefused(member string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[member] = on
	s.wakeAll()
}

func (s *stateService) wakeAll() { close(s.wake); s.wake = make(chan struct{}) }

func (s *stateService) expire() {
	if s.outage {
		return
	}
	now := time.Now()
	for id, g := range s.grants {
		if now.After(g.expires) {
			s.end(id)
		}
	}
}

func (s *stateService) end(id uint64) {
	delete(s.grants, id)
	var keys []string
	for k, it := range s.items {
		if it.Pass == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.ledger++
	for _, k := range keys {
		delete(s.items, k)
		s.event(kvEvent{Drop: k, Stamp: s.ledger})
	}
	s.wakeAll()
}

func (s *stateService) event(e kvEvent) {
	s.events = append(s.events, e)
	if len(s.events) > 10000 {
		s.events = s.events[len(s.events)-10000:]
	}
}

func send(w http.ResponseWriter, status int, v any) {
	raw, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func errorOf(text string) map[string]string { return map[string]string{"error": text} }

func (s *stateService) serve(member string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.expire()
	unavailable := s.outage || s.refused[member]
	delay := s.delay
	late := s.lateCommits
	if !unavailable && !s.reqs.take(1, time.Now()) {
		s.mu.Unlock()
		send(w, 429, errorOf("too many requests"))
		return
	}
	s.mu.Unlock()
	if unavailable {
		send(w, 503, errorOf("trouble"))
		return
	}
	if r.URL.Path == "/commit" && late != nil {
		if after, yes := late(); yes {
			time.AfterFunc(after, func() { s.commit(body) })
			<-r.Context().Done() // no answer
			return
		}
	}
	if delay != nil {
		time.Sleep(delay(r.URL.Path))
	} else {
		time.Sleep(time.Duration(1+rand.IntN(3)) * time.Millisecond)
	}
	switch {
	case r.Method == "GET" && strings.HasPrefix(r.URL.Path, "/kv/"):
		key, _ := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/kv/"))
		s.mu.Lock()
		it, ok := s.items[key]
		ledger := s.ledger
		s.mu.Unlock()
		if !ok {
			send(w, 404, map[string]uint64{"ledger": ledger})
			return
		}
		send(w, 200, it)
	case r.Method == "GET" && r.URL.Path == "/kv":
		s.list(w, r)
	case r.Method == "POST" && r.URL.Path == "/commit":
		status, answer := s.commit(body)
		send(w, status, answer)
	case r.Method == "POST" && r.URL.Path == "/grants":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &in) != nil || in.TTL < 100 || in.TTL > 600000 {
			send(w, 400, errorOf("malformed"))
			return
		}
		s.mu.Lock()
		s.nextGrant++
		id := s.nextGrant
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.grants[id] = &grant{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		send(w, 200, map[string]uint64{"pass": id})
	case r.Method == "POST" && strings.HasPrefix(r.URL.Path, "/grants/") && strings.HasSuffix(r.URL.Path, "/touch"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/touch"), 10, 64)
		s.mu.Lock()
		g := s.grants[id]
		if g != nil {
			g.expires = time.Now().Add(g.ttl)
		}
		s.mu.Unlock()
		if g == nil {
			send(w, 404, errorOf("no such lease"))
			return
		}
		send(w, 200, struct{}{})
	case r.Method == "DELETE" && strings.HasPrefix(r.URL.Path, "/grants/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/grants/"), 10, 64)
		s.mu.Lock()
		if s.grants[id] != nil {
			s.end(id)
		}
		s.mu.Unlock()
		send(w, 200, struct{}{})
	case r.Method == "GET" && r.URL.Path == "/watch":
		s.watch(member, w, r)
	default:
		send(w, 400, errorOf("malformed"))
	}
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("starts"), q.Get("after")
	page, err := strconv.Atoi(q.Get("page"))
	if err != nil || page <= 0 || page > 1000 {
		page = 1000
	}
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := struct {
		Pairs  []kvItem `json:"pairs"`
		More   bool     `json:"has_next"`
		Ledger uint64   `json:"ledger"`
	}{Pairs: []kvItem{}, Ledger: s.ledger}
	bytes := 0
	for _, k := range keys {
		it := s.items[k]
		bytes += len(it.Data) + len(k) + 60
		if len(out.Pairs) == page || bytes > 512<<10 && len(out.Pairs) > 0 {
			out.More = true
			break
		}
		out.Pairs = append(out.Pairs, it)
	}
	s.mu.Unlock()
	send(w, 200, out)
}

func (s *stateService) commit(body []byte) (int, any) {
	var t commitBody
	if json.Unmarshal(body, &t) != nil || t.Guards == nil {
		return 400, errorOf("malformed")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.outage {
		return 503, errorOf("trouble")
	}
	reject := func(reason string) (int, any) {
		s.rejected[reason]++
		s.rec.log("state", "400 to a transaction of %d changes, %d conditions, %d bytes: %s", len(t.Then), len(t.Guards), len(body), reason)
		return 400, errorOf(reason)
	}
	switch {
	case len(t.Then) > s.limits.TxnOps:
		return reject("too many changes in a transaction")
	case len(t.Guards) > 4*s.limits.TxnOps:
		return reject("too many conditions in a transaction")
	case len(body) > 64<<10:
		return reject("the transaction is too long")
	}
	for _, c := range t.Then {
		if float64(len(c.Data)) > s.limits.ValueKB*1024 {
			return reject("a value is too long")
		}
	}
	if !s.wrs.take(float64(len(t.Then)), time.Now()) {
		return 429, errorOf("too many changes")
	}
	for _, c := range t.Then {
		if c.Write != "" && c.Pass != 0 && s.grants[c.Pass] == nil {
			return 400, errorOf("no such lease")
		}
	}
	failed := []string{}
	for _, g := range t.Guards {
		if s.items[g.Path].Stamp != g.Stamp {
			failed = append(failed, g.Path)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "ledger": s.ledger}
	}
	if len(t.Then) > 0 {
		s.ledger++
		for _, c := range t.Then {
			if c.Drop != "" {
				if _, ok := s.items[c.Drop]; ok {
					delete(s.items, c.Drop)
					s.event(kvEvent{Drop: c.Drop, Stamp: s.ledger})
				}
				continue
			}
			s.items[c.Write] = kvItem{c.Write, c.Data, s.ledger, c.Pass}
			s.event(kvEvent{Write: c.Write, Data: c.Data, Stamp: s.ledger})
		}
		s.wakeAll()
	}
	return 200, map[string]uint64{"ledger": s.ledger}
}

func (s *stateService) watch(member string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("starts")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
	defer deadline.Stop()
	for over := false; ; {
		s.mu.Lock()
		if len(s.events) == 10000 && s.events[0].Stamp > after+1 {
			s.mu.Unlock()
			send(w, 410, errorOf("too old"))
			return
		}
		events := []kvEvent{}
		for _, e := range s.events {
			if e.Stamp > after && strings.HasPrefix(e.Write+e.Drop, prefix) {
				events = append(events, e)
			}
		}
		ledger, wake, held := s.ledger, s.wake, s.outage || s.refused[member]
		s.mu.Unlock()
		if (len(events) > 0 || over) && !held {
			send(w, 200, map[string]any{"ledger": ledger, "events": events})
			return
		}
		select {
		case <-wake:
		case <-deadline.C:
			over = true
		case <-r.Context().Done():
			return
		}
		if over && held {
			select {
			case <-wake:
			case <-r.Context().Done():
				return
			}
		}
	}
}

// leader returns the member that the leader key names. Only the driver's own steps use it, to choose a process; no verdict
// rests on it.
func (s *stateService) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var h struct {
		Member string `json:"member"`
	}
	if it, ok := s.items["lead/holder"]; ok {
		_ = json.Unmarshal(it.Data, &h)
	}
	return h.Member
}

func (s *stateService) rejections() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.rejected)
}
