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
	recent = append(recent, Arrival{At: now, Job: &wire.Job{ID: "job-2", Team: "t", Class: "patient", Tasks: 50}})
	tasks := func(horizon time.Duration, share float64) (n []int) {
		for _, p := range Forecast(now, recent, horizon, func(class string) float64 {
			if class == "patient" {
				return 0
			}
			return share
		}) {
			n = append(n, p.Waiting)
		}
		return n
	}
	if got := tasks(30*time.Second, 1); !reflect.DeepEqual(got, []int{10, 11, 12}) {
		t.Errorf("within 30 s expects %v, want the shapes of the last three", got)
	}
	if got := tasks(30*time.Second, 0.3); !reflect.DeepEqual(got, []int{12}) {
		t.Errorf("of a third expects %v", got)
	}
	// At scale most arrays find the room of those that end: of nine expected
	// room is reserved for three.
	many := make([]Arrival, 0, 36)
	for i := range 36 {
		many = append(many, Arrival{At: now.Add(time.Duration(i-36) * 10 * time.Second / 3), Job: &wire.Job{ID: "job-1", Team: "t", Class: "c", Kind: wire.KindArray, Tasks: 1}})
	}
	if got := Forecast(now, many, 30*time.Second, func(string) float64 { return 1 }); len(got) != 3 {
		t.Errorf("reserves room for %d arrays", len(got))
	}
	old := []Arrival{{At: now.Add(-time.Hour), Job: recent[0].Job}}
	if got := Forecast(now, old, time.Minute, func(string) float64 { return 1 }); len(got) != 0 {
		t.Errorf("expects %v of an hour ago", got)
	}
}
