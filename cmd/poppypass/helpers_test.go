package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/controller"
	"poppypass/internal/platform/config"
	"poppypass/internal/sim/fakes"
	"poppypass/internal/sim/testutil"
)

// runCommand runs a command and returns its output.
func runCommand(args ...string) (string, error) {
	cmd := rootCommand()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

// writeSettings writes a settings file for member m0 and returns its path.
func writeSettings(t *testing.T, bind, state, cloud string) string {
	t.Helper()
	return testutil.TempFile(t, "settings.toml", fmt.Sprintf(`
member = "m0"
bind = %q
mesh_addr = %q
[outside]
cloud = %q
state = %q
[[cluster.teams]]
name = "t"
cpus = 4.0
cpus_max = 8.0
[cluster.workers]
report_s = 3.0
lease_s = 18.0
cancel_s = 43.0
[cluster.state]
rps = 1000.0
write_rps = 1000.0
value_kb = 16.0
txn_ops = 12
[cluster.cloud]
rps = 100.0
`, bind, testutil.FreeAddr(t), cloud, state))
}

// startController runs a controller with the operators' settings in a properties file. When the test ends, it
// stops the controller and closes the fakes that it uses.
func startController(t *testing.T, settings *config.Settings, propertiesFile string, store *fakes.Store, cloud *fakes.Cloud) {
	t.Helper()
	operatorSettings, err := config.LoadProperties(propertiesFile)
	if err != nil {
		t.Fatal(err)
	}
	c, err := controller.New(settings, config.Watch("", settings, operatorSettings), clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("the controller returned error %v", err)
		}
		store.Close()
		cloud.Close()
	})
}
