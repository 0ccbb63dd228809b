package dag

// State is the state of a step, or of one instance of a mapped one, in a run.
type State uint8

// The states, by Airflow's names. Runs are stored with these numbers.
const (
	None           State = iota // it waits for the steps that it follows
	Scheduled                   // it is ready; the limits of the graph and its pool may let it wait
	Queued                      // its job is submitted and no task runs
	Running                     // its job runs
	UpForRetry                  // it rests before its next try
	Success                     // done
	Failed                      // its tries are used up, or its job was cancelled
	Skipped                     // it is not needed
	UpstreamFailed              // it cannot run, since one that it follows failed
	stateCount     = iota
)

// stateNames are indexed by State.
var stateNames = [stateCount]string{"none", "scheduled", "queued", "running", "up_for_retry", "success", "failed", "skipped", "upstream_failed"}

// String returns the state's name.
func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Final reports whether a step in this state stays in it, unless it is cleared.
func (s State) Final() bool { return s >= Success && s < stateCount }

// failed reports whether a step did not run to its end, by its own fault or another's.
func (s State) failed() bool { return s == Failed || s == UpstreamFailed }

// RunState is the state of a run.
type RunState uint8

// The states of runs, by Airflow's names.
const (
	RunRunning RunState = iota
	RunSuccess
	RunFailed
)

// runStateNames are indexed by RunState.
var runStateNames = [...]string{"running", "success", "failed"}

// String returns the state's name.
func (s RunState) String() string { return runStateNames[s] }

// MarshalText returns the state's name.
func (s RunState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
