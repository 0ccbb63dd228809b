package main

import (
	"fmt"
	"os"
	"time"
)

// kenya is a small deployment: the settings of the ops site of the Ticket Resale Authority, with three controllers.
func kenya() setup {
	teams := []team{}
	for i := range 4 {
		teams = append(teams, team{fmt.Sprintf("fraud-desk-%02d", i), 40, 64})
	}
	return setup{
		Members: 3, Zones: []string{"nairobi-west", "mombasa-port"}, Teams: append(teams, team{"stadium-board", 0, 120}),
		ReportS: 3, LeaseS: 18, CancelS: 43,
		State:    stateLimits{150, 60, 16, 12},
		CloudRPS: 3, ListLag: 4, RAM: 98, FD: 700,
		Types:    []machineType{{"scorer-16", 16, 0, 64, 25, 0.5, 0.88, 0.36, 35, []string{"nairobi-west", "mombasa-port"}}},
		Capacity: 48,
	}
}

// gatePings is the case of many tiny tasks. A service of two replicas runs. Then a guest team submits one array. With the
// trouble its tasks are tiny, 0.01 CPUs each; without it they take 0.25 CPUs, as in the site file. Nothing else happens:
// all processes, connections and machines are sound.
//
// The rule is broken if the array is accepted, its tasks are started, each machine with tasks loses its lease although it
// reports in time, so that the replicas are killed, and the array is not done after three times its tasks' run time.
func gatePings(rec *record, trouble bool) (bool, string) {
	const run = 25 * time.Second // longer than a lease, as the 150 s of the site file
	w := newWorld(rec, kenya())
	w.withhold = os.Getenv("WITHHOLD") == "1"
	w.startAll()
	lookup := &job{ID: "job-000001", Team: "fraud-desk-00", Shape: "service", Urgency: "production", Seats: 2, CPUs: 1, MemGB: 3, Image: "img-lookup", ImageGB: 0.5, Apart: true}
	if !w.submit(lookup) {
		fatal(fmt.Errorf("the service was not accepted"))
	}
	for until := time.Now().Add(20 * time.Second); w.onOf(lookup.ID) < 2; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			fatal(fmt.Errorf("the service does not run"))
		}
	}
	time.Sleep(2 * time.Second)
	pings := &job{ID: "job-000002", Team: "stadium-board", Shape: "array", Urgency: "low", Seats: 200, CPUs: 0.25, MemGB: 0.9, Image: "img-pings", ImageGB: 0.5, Run: run}
	if trouble {
		pings.Seats, pings.CPUs, pings.MemGB = 5600, 0.01, 0.02
	}
	if !w.submit(pings) {
		fatal(fmt.Errorf("the array was not accepted"))
	}
	for begin := time.Now(); time.Since(begin) < 92*time.Second; time.Sleep(5 * time.Second) {
		_, state, _ := w.poll(pings.ID, false)
		w.poll(lookup.ID, false)
		if state == "done" {
			break
		}
	}
	tooLong, refused, expiries, longest, direct := 0, 0, 0, 0, 0
	if w.onOf(pings.ID) > 0 {
		w.cancel(pings.ID)
		time.Sleep(time.Second)
	}
	for _, m := range w.cloud.workers() {
		m.mu.Lock()
		rec.log(m.name, "session %d; leases that ended with tasks on the machine: %d; longest report: %d tasks, %d bytes; %d reports over 64 KiB, of which %d were answered 400", m.shift, m.expiries, m.maxSeats, m.maxReport, m.tooLong, m.refused400)
		tooLong, refused, expiries, longest = tooLong+m.tooLong, refused+m.refused400, expiries+m.expiries, max(longest, m.maxReport)
		direct += m.directTooLong
		m.mu.Unlock()
	}
	w.mu.Lock()
	replicaStarts := w.starts[lookup.ID+"/0"] + w.starts[lookup.ID+"/1"]
	pingStarts := 0
	for i := range pings.Seats {
		pingStarts += w.starts[fmt.Sprintf("%s/%d", pings.ID, i)]
	}
	w.mu.Unlock()
	done := w.doneOf(pings.ID)
	w.copyLogs(false, 40)
	text := fmt.Sprintf("%d of %d tasks of the accepted array are done after %d starts; %d leases ended with tasks on a machine that reported in time; the service's 2 replicas were started %d times; %d reports over 64 KiB, %d answered 400, the longest has %d bytes; at the end the user cancels, and the controllers send %d direct requests over 64 KiB",
		done, pings.Seats, pingStarts, expiries, replicaStarts, tooLong, refused, longest, direct)
	return !(done < pings.Seats && pingStarts > pings.Seats && expiries >= 2 && replicaStarts > 2) && (done == pings.Seats || trouble) && w.ends == 0, text
}

func init() { scenarios["gate-pings"] = gatePings }
