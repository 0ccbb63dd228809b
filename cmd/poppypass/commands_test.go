package main

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
	"poppypass/internal/sim/testutil"
)

func TestInvalidSettingsErrorIsOneLine(t *testing.T) {
	validSettings := writeSettings(t, "127.0.0.1:8080", "127.0.0.1:1", "127.0.0.1:2")
	if out, err := runCommand("check", "--config", validSettings); err != nil || !strings.Contains(out, "good settings for member m0") {
		t.Errorf("check of valid settings printed %q, error %v", out, err)
	}
	for _, c := range []struct {
		name string
		args []string
		want string
	}{
		{"no --config flag", nil, "config"},
		{"a file that does not exist", []string{"--config", "none.toml"}, "none.toml"},
		{"a missing field", []string{"--config", testutil.TempFile(t, "s.toml", `member = "m0"`)}, "field bind is missing"},
		{"invalid properties", []string{"--config", validSettings, "--properties", testutil.TempFile(t, "p.properties", "fleet.idle.kep=3s")}, "fleet.idle.kep"},
	} {
		for _, verb := range []string{"check", "serve"} {
			if _, err := runCommand(append([]string{verb}, c.args...)...); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s with %s returned error %v", verb, c.name, err)
			}
		}
	}
}

func TestVersionIsPrinted(t *testing.T) {
	if out, err := runCommand("version"); err != nil || out != "poppypass "+version+"\n" {
		t.Errorf("printed %q, error %v", out, err)
	}
}

// Submits, queries and cancels a job with the client commands. The controller uses a fake state
// service and a fake cloud.
func TestClientCommandsAgainstAController(t *testing.T) {
	store := fakes.NewStore(clockwork.NewRealClock())
	cloud := fakes.NewCloud(3, wire.MachineType{Name: "g8", CPUs: 16, MemoryGB: 64, Price: 1, BootS: 30, Zones: []string{"a"}})
	bind := testutil.FreeAddr(t)
	settingsFile := writeSettings(t, bind, store.Addr(), cloud.Addr())
	loaded, err := config.Load(settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	propertiesFile := testutil.TempFile(t, "own.properties", "ledger = on\nbudget.t.month.core-hours = 7\n")
	startController(t, loaded, propertiesFile, store, cloud)
	// runUntil repeats a job command until its output contains the given text. It fails after a minute, so
	// that a hang is a test failure.
	runUntil := func(want string, args ...string) {
		t.Helper()
		for start := time.Now(); ; {
			out, err := runCommand(append([]string{"job", "--addr", bind}, args...)...)
			if err == nil && strings.Contains(out, want) {
				return
			}
			if time.Since(start) > time.Minute {
				t.Fatalf("%v still prints %q, error %v", args, out, err)
			}
		}
	}
	if out, err := runCommand("ledger", "verify", "--config", settingsFile, "--properties", propertiesFile); err != nil || !strings.Contains(out, "all totals are right") {
		t.Errorf("verify printed %q, error %v", out, err)
	}
	jobFile := testutil.TempFile(t, "job.json", `{"ref":"job-1","lane":"l","desk":"t","shape":"array","urgency":"low","seats":2,
		"cpus":1,"gpus":0,"mem_gb":1,"bundle":"i","image_gb":1,"same_place":false,"apart":false,"standby":false,
		"ride_s":1,"stub_s":0,"stamp_s":0}`)
	runUntil(`"pending"`, "submit", jobFile)
	runUntil(`"pending"`, "get", "job-1")
	runUntil(`no machine has room`, "why", "job-1")
	for _, c := range []struct {
		want string
		args []string
	}{
		{"total", []string{"ledger", "show", "--team", "t"}},
		{`"core_us": 0`, []string{"ledger", "show", "--team", "t", "--output", "json"}},
		{"day,team,account", []string{"ledger", "show", "--team", "t", "--output", "csv"}},
		{"TASK", []string{"ledger", "show", "--job", "job-1"}},
		{"Statement for t", []string{"ledger", "statement", "--team", "t"}},
		{"<!doctype html>", []string{"ledger", "statement", "--team", "t", "--format", "html"}},
		{"core-hours", []string{"budget", "show"}},
	} {
		if out, err := runCommand(append(c.args, "--addr", bind)...); err != nil || !strings.Contains(out, c.want) {
			t.Errorf("%v printed %q, error %v", c.args, out, err)
		}
	}
	for _, args := range [][]string{{"ledger", "show"}, {"ledger", "show", "--team", "t", "--by", "x"}, {"ledger", "show", "--team", "t", "--output", "x"}, {"ledger", "statement"}} {
		if out, err := runCommand(append(args, "--addr", bind)...); err == nil {
			t.Errorf("%v printed %q, want an error", args, out)
		}
	}
	runUntil(`"withdrawn"`, "cancel", "job-1")
	runUntil(`"withdrawn"`, "get", "job-1")
	runUntil(`"withdrawn"`, "submit", jobFile)
	if _, err := runCommand("job", "--addr", bind, "get", "job-2"); err == nil || !strings.Contains(err.Error(), "404") {
		t.Errorf("get of a job that was never submitted returned error %v", err)
	}
	store.Refuse(true)
	for _, c := range []struct {
		id   string
		want int // exit status, which says whether a retry may succeed
	}{{"job-9", exitTemporaryFailure}, {"x", 1}} {
		_, err := runCommand("job", "--addr", bind, "cancel", c.id)
		if err == nil || exitStatus(err) != c.want || strings.Contains(err.Error(), "\n") {
			t.Errorf("cancellation of %s without the state service returned error %v", c.id, err)
		}
	}
	store.Refuse(false)
	if _, err := runCommand("job", "--addr", bind, "submit", testutil.TempFile(t, "bad.json", `{"ref":"job-3"}`)); err == nil || !strings.Contains(err.Error(), `"lane" is missing`) {
		t.Errorf("submission of an invalid job returned error %v", err)
	}
}
