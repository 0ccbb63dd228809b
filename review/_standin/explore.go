package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

func ecuador() setup {
	return setup{
		Members: 3, Zones: []string{"quito-north", "guayaquil-south"},
		Teams:   []team{{"sales-team", 32, 64}, {"fares-team", 64, 176}, {"routes-team", 56, 136}},
		ReportS: 1.5, LeaseS: 10, CancelS: 35,
		State:    stateLimits{150, 50, 16, 40},
		CloudRPS: 6, ListLag: 6, RAM: 98, FD: 1200,
		Types: []machineType{
			{"small-4", 4, 0, 16, 20, 0.5, 0.2, 0.05, 20, []string{"quito-north", "guayaquil-south"}},
			{"mid-16", 16, 0, 32, 40, 0.5, 0.66, 0.21, 25, []string{"quito-north", "guayaquil-south"}},
			{"big-64", 64, 0, 512, 80, 1, 3.42, 1.05, 20, []string{"quito-north", "guayaquil-south"}},
		},
		Capacity: 28,
	}
}

func init() {
	scenarios["limits"] = func(rec *record, trouble bool) (bool, string) {
		set := ecuador()
		set.Next = &stateLimits{150, 35, 2, 13}
		w := newWorld(rec, set)
		w.startAll()
		w.submit(&job{ID: "job-000001", Team: "fares-team", Shape: "array", Urgency: "standard", Seats: 20, CPUs: 2, MemGB: 4, Image: "img-1", ImageGB: 0.5, Run: 3 * time.Second})
		time.Sleep(8 * time.Second)
		if trouble {
			w.rec.log("state", "the limits are lowered")
			w.state.setLimits(*set.Next)
		}
		for i := range 20 {
			w.submit(&job{ID: fmt.Sprintf("job-%06d", 100+i), Team: "fares-team", Shape: "array", Urgency: "standard", Seats: 25, CPUs: 2, MemGB: 4, Image: "img-1", ImageGB: 0.5, Run: 3 * time.Second})
		}
		time.Sleep(60 * time.Second)
		n := 0
		for i := range 20 {
			id := fmt.Sprintf("job-%06d", 100+i)
			_, s, _ := w.poll(id, false)
			if s == "done" {
				n++
			}
		}
		w.copyLogs(true, 60)
		return n == 20, fmt.Sprintf("%d of 20 jobs are done; rejections %s", n, w.state.rejections())
	}
	scenarios["limits2"] = func(rec *record, trouble bool) (bool, string) {
		set := ecuador()
		set.Next = &stateLimits{150, 35, 2, 13}
		w := newWorld(rec, set)
		w.startAll()
		w.submit(&job{ID: "job-000001", Team: "routes-team", Shape: "service", Urgency: "production", Seats: 4, CPUs: 1, MemGB: 1.6, Image: "img-0", ImageGB: 0.5})
		time.Sleep(5 * time.Second)
		if trouble {
			w.rec.log("state", "the limits are lowered")
			w.state.setLimits(*set.Next)
		}
		w.submit(&job{ID: "job-000002", Team: "fares-team", Shape: "array", Urgency: "low", Seats: 160, CPUs: 1, MemGB: 1.6, Image: "img-1", ImageGB: 0.5, Run: 10 * time.Second})
		time.Sleep(10 * time.Second)
		w.submit(&job{ID: "job-000003", Team: "sales-team", Shape: "array", Urgency: "urgent", Seats: 3, CPUs: 1, MemGB: 1.6, Image: "img-0", ImageGB: 0.5, Run: 5 * time.Second})
		for range 12 {
			time.Sleep(5 * time.Second)
			w.poll("job-000001", false)
			w.poll("job-000002", false)
			w.poll("job-000003", false)
		}
		w.copyLogs(false, 60)
		return w.doneOf("job-000002") == 160, fmt.Sprintf("%d done; rejections %s", w.doneOf("job-000002"), w.state.rejections())
	}
	scenarios["mem"] = func(rec *record, trouble bool) (bool, string) {
		set := ecuador()
		w := newWorld(rec, set)
		w.startAll()
		n := 0
		for i := range 60 {
			if w.submit(&job{ID: fmt.Sprintf("job-%06d", 100+i), Team: "fares-team", Shape: "array", Urgency: "low", Seats: 100000, CPUs: 0.25, MemGB: 0.1, Image: "img-1", ImageGB: 0.1, Run: 5 * time.Second}) {
				n++
			}
			for _, x := range w.nodes {
				if r := peakMiB(x.cmd.Process.Pid); r > 0 {
					rec.log(x.name, "peak %.0f MiB", r)
				}
			}
			if time.Since(rec.start) > 70*time.Second {
				break
			}
		}
		for range 5 {
			time.Sleep(2 * time.Second)
			for _, x := range w.nodes {
				rec.log(x.name, "peak %.0f MiB", peakMiB(x.cmd.Process.Pid))
			}
		}
		return true, fmt.Sprint(n)
	}
	scenarios["zero"] = func(rec *record, trouble bool) (bool, string) {
		set := ecuador()
		w := newWorld(rec, set)
		w.startAll()
		w.submit(&job{ID: "job-000001", Team: "routes-team", Shape: "service", Urgency: "production", Seats: 2, CPUs: 1, MemGB: 1, Image: "img-0", ImageGB: 0.1})
		time.Sleep(4 * time.Second)
		w.submit(&job{ID: "job-000002", Team: "fares-team", Shape: "array", Urgency: "low", Seats: 20000, CPUs: 0, MemGB: 0, Image: "img-1", ImageGB: 0.1, Run: 5 * time.Second})
		for i := range 12 {
			time.Sleep(5 * time.Second)
			w.submit(&job{ID: fmt.Sprintf("job-%06d", 10+i), Team: "sales-team", Shape: "array", Urgency: "urgent", Seats: 2, CPUs: 1, MemGB: 1, Image: "img-0", ImageGB: 0.1, Run: 3 * time.Second})
			w.poll("job-000002", false)
			w.poll("job-000001", false)
			for _, m := range w.cloud.workers() {
				m.mu.Lock()
				rec.log(m.name, "shift %d seats %d maxreport %d tooLong %d expiries %d", m.shift, len(m.seats), m.maxReport, m.tooLong, m.expiries)
				m.mu.Unlock()
			}
		}
		for i := range 12 {
			w.poll(fmt.Sprintf("job-%06d", 10+i), false)
		}
		w.copyLogs(false, 60)
		return true, fmt.Sprint(w.doneOf("job-000002"), " done ", w.ends)
	}
	scenarios["tiny"] = func(rec *record, trouble bool) (bool, string) {
		set := ecuador()
		set.Capacity = 2
		set.Types = set.Types[2:]
		w := newWorld(rec, set)
		w.startAll()
		w.submit(&job{ID: "job-000001", Team: "routes-team", Shape: "service", Urgency: "production", Seats: 2, CPUs: 1, MemGB: 1, Image: "img-0", ImageGB: 0.1})
		seats := 3000
		w.submit(&job{ID: "job-000002", Team: "fares-team", Shape: "array", Urgency: "low", Seats: seats, CPUs: 0.04, MemGB: 0.1, Image: "img-1", ImageGB: 0.1, Run: 40 * time.Second})
		for range 20 {
			time.Sleep(5 * time.Second)
			w.poll("job-000002", false)
			for _, m := range w.cloud.workers() {
				m.mu.Lock()
				rec.log(m.name, "shift %d seats %d maxreport %d tooLong %d expiries %d", m.shift, len(m.seats), m.maxReport, m.tooLong, m.expiries)
				m.mu.Unlock()
			}
		}
		w.copyLogs(true, 60)
		return w.doneOf("job-000002") == seats, fmt.Sprint(w.doneOf("job-000002"), " done")
	}
	scenarios["huge"] = func(rec *record, trouble bool) (bool, string) {
		set := ecuador()
		w := newWorld(rec, set)
		w.startAll()
		w.submit(&job{ID: "job-000001", Team: "routes-team", Shape: "service", Urgency: "production", Seats: 2, CPUs: 1, MemGB: 1, Image: "img-0", ImageGB: 0.1})
		w.submit(&job{ID: "job-000002", Team: "fares-team", Shape: "array", Urgency: "low", Seats: 100000, CPUs: 0.25, MemGB: 0.1, Image: "img-1", ImageGB: 0.1, Run: 5 * time.Second})
		for range 12 {
			time.Sleep(5 * time.Second)
			w.poll("job-000002", false)
			w.poll("job-000001", false)
			for _, m := range w.cloud.workers() {
				m.mu.Lock()
				rec.log(m.name, "shift %d seats %d maxreport %d tooLong %d expiries %d", m.shift, len(m.seats), m.maxReport, m.tooLong, m.expiries)
				m.mu.Unlock()
			}
		}
		w.copyLogs(true, 60)
		return true, fmt.Sprint(w.doneOf("job-000002"), " done ", w.ends)
	}
}

func peakMiB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		var kiB float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kiB); err == nil {
			return kiB / 1024
		}
	}
	return 0
}
