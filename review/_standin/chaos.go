package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// userView is what the users of one job have been told, for the checks of answers.
type userView struct {
	mu        sync.Mutex
	accepted  bool
	cancelled bool // cancellation was asked for
	final     string
	finalAt   time.Time
}

func (w *world) look(j *job, v *userView, n *node) {
	v.mu.Lock()
	accepted, final, asked := v.accepted, v.final, v.cancelled
	v.mu.Unlock()
	status, out := w.ask(pollClient, n, "GET", "/v2/runs/"+j.ID, nil)
	state, _ := out["status"].(string)
	w.judge(j, v, n, status, state, accepted, final, asked, "poll")
}

func (w *world) judge(j *job, v *userView, n *node, status int, state string, accepted bool, final string, asked bool, what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	if accepted && (status == 404 || status == 400 || status == 422) {
		w.breaks("forgotten", "%s of accepted %s at %s: %d", what, j.ID, n.name, status)
	}
	if status != 200 {
		return
	}
	if final != "" && state != final {
		w.breaks("went_back", "%s of %s at %s: %s after %s", what, j.ID, n.name, state, final)
	}
	if state == "withdrawn" && !v.cancelled {
		w.breaks("went_back", "%s of %s at %s: withdrawn, nobody cancelled it", what, j.ID, n.name)
	}
	if state == "done" {
		j.mu.Lock()
		if len(j.doneTasks) < j.Seats {
			w.breaks("not_done", "%s of %s at %s: done with %d of %d tasks", what, j.ID, n.name, len(j.doneTasks), j.Seats)
		}
		j.mu.Unlock()
	}
	if (state == "done" || state == "withdrawn") && v.final == "" {
		v.final, v.finalAt = state, time.Now()
		w.rec.log("user", "%s is %s (%s at %s)", j.ID, state, what, n.name)
		if state == "withdrawn" {
			if n := w.onOfLocked(j.ID); n > 0 {
				w.rec.log("note", "%s: %d tasks on machines when told withdrawn", j.ID, n)
			}
		}
	}
}

func (w *world) onOfLocked(id string) int {
	n := 0
	for seat, on := range w.on {
		if len(seat) > len(id) && seat[:len(id)+1] == id+"/" {
			n += len(on)
		}
	}
	return n
}

func (w *world) user(j *job, cancelAfter time.Duration, stop <-chan struct{}, v *userView) {
	j.doneTasks = map[int]bool{}
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	for !v.accepted {
		n := w.anyNode()
		status, out := w.ask(userClient, n, "POST", "/v2/runs", j.body())
		if status == 200 || status == 201 {
			v.mu.Lock()
			v.accepted = true
			v.mu.Unlock()
			w.rec.log("user", "%s accepted at %s (%d)", j.ID, n.name, status)
		} else if status == 400 || status == 422 {
			w.rec.log("user", "%s refused at %s (%d %v)", j.ID, n.name, status, out)
			return
		} else {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	}
	at := time.Now().Add(cancelAfter)
	for i := 0; ; i++ {
		for _, n := range w.nodes {
			go w.look(j, v, n)
		}
		pause := time.Duration(500+rand.IntN(2500)) * time.Millisecond
		if cancelAfter > 0 && time.Now().After(at) && v.final == "" {
			v.mu.Lock()
			v.cancelled = true
			accepted, final := v.accepted, v.final
			v.mu.Unlock()
			n := w.anyNode()
			status, out := w.ask(userClient, n, "POST", "/v2/runs/"+j.ID+"/cancel", nil)
			state, _ := out["status"].(string)
			w.judge(j, v, n, status, state, accepted, final, true, "cancel")
			pause = time.Second
			if status == 200 {
				pause = time.Millisecond
			}
		}
		if v.final != "" && i%3 == 0 {
			n := w.anyNode()
			status, out := w.ask(userClient, n, "POST", "/v2/runs", j.body())
			state, _ := out["status"].(string)
			w.judge(j, v, n, status, state, true, v.final, true, "resubmission")
			pause = 5 * time.Second
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func init() {
	scenarios["chaos"] = func(rec *record, trouble bool) (bool, string) {
		set := ecuador()
		set.Teams = []team{{"sales-team", 32, 40}, {"fares-team", 64, 60}, {"routes-team", 56, 50}}
		w := newWorld(rec, set)
		w.startAll()
		w.cloud.bootAfter = func() time.Duration { return time.Duration(500+rand.IntN(3000)) * time.Millisecond }
		stop := make(chan struct{})
		views := map[string]*userView{}
		var ids []*job
		var wg sync.WaitGroup
		newJob := func(i int) {
			t := set.Teams[rand.IntN(3)].Name
			j := &job{ID: fmt.Sprintf("job-%06d", i), Team: t, Shape: "array", Urgency: []string{"production", "urgent", "standard", "low"}[rand.IntN(4)], Seats: 1 + rand.IntN(12), CPUs: float64(1 + rand.IntN(3)), MemGB: 1,
				Image: fmt.Sprint("img-", rand.IntN(3)), ImageGB: 0.2, Run: time.Duration(500+rand.IntN(12000)) * time.Millisecond, Standby: rand.IntN(2) == 0}
			if rand.IntN(5) == 0 {
				j.Apart = true
			} else if rand.IntN(5) == 0 {
				j.SamePlace = true
			}
			if rand.IntN(2) == 0 {
				j.StubS, j.StampS = 3, 1
			}
			cancel := time.Duration(0)
			if rand.IntN(6) == 0 {
				j.Shape, j.Run = "service", 0
				cancel = time.Duration(5+rand.IntN(50)) * time.Second
			} else if rand.IntN(3) == 0 {
				cancel = time.Duration(1+rand.IntN(15000)) * time.Millisecond
			}
			v := &userView{}
			views[j.ID] = v
			ids = append(ids, j)
			wg.Add(1)
			go func() { defer wg.Done(); w.user(j, cancel, stop, v) }()
		}
		begin := time.Now()
		troubleUntil := begin.Add(75 * time.Second)
		var tr sync.WaitGroup
		if trouble {
			spawn := func(every int, fn func()) {
				tr.Add(1)
				go func() {
					defer tr.Done()
					for {
						time.Sleep(time.Duration(rand.IntN(every*1000)) * time.Millisecond)
						if time.Now().After(troubleUntil) {
							return
						}
						fn()
					}
				}()
			}
			var nodeMu sync.Mutex
			spawn(20, func() { // kill
				nodeMu.Lock()
				defer nodeMu.Unlock()
				n := w.node(w.state.leader())
				if n == nil || rand.IntN(3) == 0 {
					n = w.anyNode()
				}
				rec.log("trouble", "kill %s", n.name)
				n.kill()
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
				w.start(n)
			})
			spawn(30, func() { // stop
				nodeMu.Lock()
				defer nodeMu.Unlock()
				n := w.node(w.state.leader())
				if n == nil {
					n = w.anyNode()
				}
				d := time.Duration(3000+rand.IntN(9000)) * time.Millisecond
				rec.log("trouble", "stop %s for %v", n.name, d)
				n.signal(syscall.SIGSTOP)
				time.Sleep(d)
				n.signal(syscall.SIGCONT)
				rec.log("trouble", "continue %s", n.name)
			})
			spawn(40, func() {
				d := time.Duration(2000+rand.IntN(15000)) * time.Millisecond
				rec.log("trouble", "state outage for %v", d)
				w.state.setOutage(true)
				time.Sleep(d)
				w.state.setOutage(false)
				rec.log("trouble", "state outage over")
			})
			spawn(30, func() {
				n := w.node(w.state.leader())
				if n == nil {
					n = w.anyNode()
				}
				d := time.Duration(2000+rand.IntN(10000)) * time.Millisecond
				rec.log("trouble", "state refuses %s for %v", n.name, d)
				w.state.setRefused(n.name, true)
				time.Sleep(d)
				w.state.setRefused(n.name, false)
			})
			spawn(30, func() {
				rec.log("trouble", "late commits")
				w.state.mu.Lock()
				w.state.lateCommits = func() (time.Duration, bool) {
					return time.Duration(2000+rand.IntN(10000)) * time.Millisecond, rand.IntN(6) == 0
				}
				w.state.mu.Unlock()
				time.Sleep(10 * time.Second)
				w.state.mu.Lock()
				w.state.lateCommits = nil
				w.state.mu.Unlock()
			})
			spawn(6, func() {
				ms := w.cloud.workers()
				if len(ms) == 0 {
					return
				}
				m := ms[rand.IntN(len(ms))]
				switch rand.IntN(4) {
				case 0:
					d := time.Duration(rand.IntN(1500)) * time.Millisecond
					rec.log("trouble", "restart %s after %v", m.name, d)
					m.restart(d)
				case 1:
					d := time.Duration(2000+rand.IntN(14000)) * time.Millisecond
					rec.log("trouble", "hang %s for %v", m.name, d)
					m.mu.Lock()
					m.hangUntil = time.Now().Add(d)
					m.mu.Unlock()
				case 2:
					d := time.Duration(2000+rand.IntN(18000)) * time.Millisecond
					rec.log("trouble", "mute %s for %v", m.name, d)
					m.mu.Lock()
					m.muteUntil = time.Now().Add(d)
					m.mu.Unlock()
				case 3:
					rec.log("trouble", "late commands %s", m.name)
					m.mu.Lock()
					m.lateCommands = func() (time.Duration, bool) {
						return time.Duration(2000+rand.IntN(14000)) * time.Millisecond, rand.IntN(2) == 0
					}
					m.mu.Unlock()
					time.AfterFunc(10*time.Second, func() { m.mu.Lock(); m.lateCommands = nil; m.mu.Unlock() })
				}
			})
			go func() { // copies of reports
				for time.Now().Before(troubleUntil) {
					time.Sleep(100 * time.Millisecond)
					ms := w.cloud.workers()
					if len(ms) == 0 {
						continue
					}
					m := ms[rand.IntN(len(ms))]
					m.mu.Lock()
					if !m.up || len(m.seats) == 0 {
						m.mu.Unlock()
						continue
					}
					raw := m.lastRaw
					m.mu.Unlock()
					if raw == nil {
						continue
					}
					n := w.anyNode()
					time.AfterFunc(time.Duration(2000+rand.IntN(18000))*time.Millisecond, func() {
						c := &http.Client{Timeout: time.Second}
						m.post(c, n.bind, raw)
						c.CloseIdleConnections()
					})
				}
			}()
		}
		i := 0
		for time.Since(begin) < 70*time.Second {
			i++
			newJob(i)
			time.Sleep(time.Duration(200+rand.IntN(1200)) * time.Millisecond)
		}
		tr.Wait()
		rec.log("trouble", "over")
		allOver := func() int {
			left := 0
			for _, j := range ids {
				v := views[j.ID]
				v.mu.Lock()
				if v.accepted && v.final == "" && (j.Shape == "array" || v.cancelled) {
					left++
				}
				v.mu.Unlock()
			}
			return left
		}
		for until := time.Now().Add(100 * time.Second); time.Now().Before(until) && allOver() > 0; {
			time.Sleep(time.Second)
		}
		left := allOver()
		close(stop)
		time.Sleep(3 * time.Second)
		lostCharges, twiceCharges := 0, 0
		for _, j := range ids {
			if v := views[j.ID]; v.accepted && v.final != "" {
				lost, twice := w.checkCharges(j)
				if len(lost)+len(twice) > 0 {
					rec.log("charges", "%s %s %s: lost %v, twice %v", j.ID, j.Shape, v.final, lost, twice)
				}
				lostCharges, twiceCharges = lostCharges+len(lost), twiceCharges+len(twice)
			}
		}
		w.copyLogs(os.Getenv("CASE_LOG_LEVEL") != "", 20000)
		for _, j := range ids {
			v := views[j.ID]
			if v.accepted && v.final == "" && (j.Shape == "array" || v.cancelled) {
				rec.log("left", "%s %s done %d of %d cancelled %v", j.ID, j.Shape, len(j.doneTasks), j.Seats, v.cancelled)
			}
		}
		return len(w.broken) == 0 && left == 0 && w.ends == 0, fmt.Sprintf("%d jobs; broken %v; left %d; ends %d; charges lost %d, twice %d", len(ids), w.broken, left, w.ends, lostCharges, twiceCharges)
	}
}
