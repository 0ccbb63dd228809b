package autoscale

import (
	"reflect"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
)

func TestForecastFollowsRecentArrivals(t *testing.T) {
	var recent []Arrival
	for i := range 12 { // one every 10 s
		recent = append(recent, Arrival{At: now.Add(time.Duration(i-12) * 10 * time.Second), Job: &wire.Job{ID: "job-1", Team: "t", Class: "c", Tasks: i + 1}})
	}
	recent = append(recent, Arrival{At: now, Job: &wire.Job{ID: "job-2", Team: "t", Class: "unreserved", Tasks: 50}})
	tasks := func(horizon time.Duration, share float64) (n []int) {
		for _, p := range Forecast(now, recent, horizon, func(class string) float64 {
			if class == "unreserved" {
				return 0
			}
			return share
		}) {
			n = append(n, p.Waiting)
		}
		return n
	}
	if got := tasks(30*time.Second, 1); !reflect.DeepEqual(got, []int{10, 11, 12}) {
		t.Errorf("expected jobs within 30 s have %v tasks, want those of the last three arrivals", got)
	}
	if got := tasks(30*time.Second, 0.3); !reflect.DeepEqual(got, []int{12}) {
		t.Errorf("expected jobs for a share of 0.3 have %v tasks, want those of the last arrival", got)
	}
	// If many arrays are expected, most of them can use the room of arrays that end in the meantime. Room is reserved
	// only for the square root of the number: for three of the nine arrays that are expected here.
	many := make([]Arrival, 0, 36)
	for i := range 36 {
		many = append(many, Arrival{At: now.Add(time.Duration(i-36) * 10 * time.Second / 3), Job: &wire.Job{ID: "job-1", Team: "t", Class: "c", Kind: wire.KindArray, Tasks: 1}})
	}
	if got := Forecast(now, many, 30*time.Second, func(string) float64 { return 1 }); len(got) != 3 {
		t.Errorf("room is reserved for %d arrays, want 3", len(got))
	}
	old := []Arrival{{At: now.Add(-time.Hour), Job: recent[0].Job}}
	if got := Forecast(now, old, time.Minute, func(string) float64 { return 1 }); len(got) != 0 {
		t.Errorf("jobs %v are expected from an arrival an hour ago, want none", got)
	}
}
