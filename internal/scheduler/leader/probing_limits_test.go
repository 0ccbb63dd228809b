package leader

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// workersTransport is an HTTP transport that answers direct commands for any number of workers. A worker's address
// is the name of its machine.
type workersTransport struct {
	mu       sync.Mutex
	requests map[string]int
}

func (a *workersTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var req wire.DirectCommands
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	name := r.URL.Host
	a.requests[name]++
	body, err := json.Marshal(&wire.Heartbeat{
		Machine: name, Address: name, Type: "small", Zone: "a", Incarnation: 1, Seq: 100 + uint64(a.requests[name]), FencingToken: 1, Tasks: []wire.TaskStatus{},
	})
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, err
}

// Guards against a limit on probes in flight that is so low that the last of many suspects is probed only after its
// lease has expired. With one eighth of 400 command slots, used every half second, at most 100 machines were probed per
// second.
func TestEverySuspectMachineIsProbedWithinALease(t *testing.T) {
	for _, c := range []struct {
		name               string
		machines           int
		fdLimit            float64
		leaseS, heartbeatS float64
	}{
		{"400 machines", 400, 700, 18, 3},
		{"4,000 machines", 4000, 5000, 42, 10},
		{"6,000 machines", maxDeploymentMachines, 5000, 42, 10},
		{"6,000 machines with short leases", maxDeploymentMachines, 5000, 18, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, clock := newTestLoop(t)
			workers := &workersTransport{requests: map[string]int{}}
			l.env.Workers = &http.Client{Transport: workers}
			l.env.CommandSlots = make(chan struct{}, int(c.fdLimit*tuning.CommandConnShare))
			l.env.Settings.Cluster.Workers.LeaseS, l.env.Settings.Cluster.Workers.HeartbeatS = c.leaseS, c.heartbeatS
			l.env.MayAct = func(uint64) bool { return true }
			clear(l.machines.Machines)
			for i := range c.machines {
				hb := newHeartbeat(machineName(i), "small", "a")
				hb.Address = hb.Machine
				l.register(t, hb)
				l.machines.Machines[machineName(i)].SuspectCopy = true
			}
			for started := clock.Now(); clock.Since(started) < seconds(c.leaseS); clock.Advance(tuning.SubsystemTick) {
				if l.probeAll(); l.probing.probesInFlight > 0 {
					t.Fatal("probes are still in flight after probeAll")
				}
			}
			if len(workers.requests) != c.machines {
				t.Errorf("only %d of %d machines were probed within a lease", len(workers.requests), c.machines)
			}
		})
	}
}

// Guards against probes that leave no command slots for the commands of a scheduling cycle.
func TestProbesLeaveRoomForCommands(t *testing.T) {
	l, _ := newTestLoop(t)
	for _, c := range []struct {
		name           string
		commandSlots   int
		suspects, want int
	}{
		{"few machines", 400, 10, 50},
		{"as many as an eighth of the slots can probe", 400, 500, 50},
		{"more machines", 400, 1500, 150},
		{"at most half of the command slots", 400, maxDeploymentMachines, 200},
		{"few command slots", 16, maxDeploymentMachines, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			l.env.CommandSlots = make(chan struct{}, c.commandSlots)
			if got := l.maxProbesInFlight(c.suspects); got != c.want {
				t.Errorf("%d probes may be in flight, want %d", got, c.want)
			}
		})
	}
}
