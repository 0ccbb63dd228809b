package metrics

import (
	"strings"
	"testing"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/golden"
)

// Operators' dashboards and alarms know metrics by their names and labels.
func TestNamesAndLabels(t *testing.T) {
	m := New(60)
	m.Leading(true)
	m.TookOver(time.Second)
	m.Passed(time.Second)
	m.HeartbeatTaken(time.Second)
	m.Started("train")
	m.Ended("train", "done")
	m.Wrote(1)
	m.Arrived("train", "vision", "largest")
	m.Began("train", "vision", "largest", time.Second)
	m.Found(1)
	m.Holds(1, 2, map[string]int{"train": 3}, map[string]float64{"train": 4})
	m.SetAside("old")
	m.Reachability(1, 2)
	m.Charged("vision", "done", charge.Amounts{Core: 1, Money: 2})
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), "poppypass_") {
			continue // of the Go runtime and the process
		}
		labels := []string{}
		for _, pair := range family.GetMetric()[0].GetLabel() {
			labels = append(labels, pair.GetName()+"="+pair.GetValue())
		}
		lines = append(lines, family.GetName()+"{"+strings.Join(labels, ",")+"} "+family.GetType().String())
	}
	golden.Lines(t, "metrics", lines...)
}
