package dag

// State is the state of a step, or of one of its instances, in a run.
type State uint8

// The states of steps and instances, named as in Airflow. Stored runs contain these numbers.
const (
	None           State = iota // waits for upstream steps
	Scheduled                   // ready to be submitted; limits of the graph or of its pool may delay that
	Queued                      // its job is submitted, and no task of it has been seen running
	Running                     // a task of its job runs
	UpForRetry                  // waits out the retry delay before its next try
	Success                     // its job is done, or it needs none
	Failed                      // its retries are used up, its job was cancelled, or its branch result is invalid
	Skipped                     // not needed, by decision of its trigger rule, a branch, an empty list or a cancellation
	UpstreamFailed              // cannot run, because a step upstream failed or gave no valid list
	stateCount     = iota
)

// stateNames contains the names of the states, indexed by State.
var stateNames = [stateCount]string{"none", "scheduled", "queued", "running", "up_for_retry", "success", "failed", "skipped", "upstream_failed"}

// String returns the state's name, as in Airflow.
func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText encodes the state as its name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Final reports whether the state is final: a step in a final state changes only when it is cleared.
func (s State) Final() bool { return s >= Success && s < stateCount }

// failed reports whether the state is Failed or UpstreamFailed.
func (s State) failed() bool { return s == Failed || s == UpstreamFailed }

// RunState is the state of a run.
type RunState uint8

// The states of runs, named as in Airflow.
const (
	RunRunning RunState = iota
	RunSuccess
	RunFailed
)

// runStateNames contains the names of the run states, indexed by RunState.
var runStateNames = [...]string{"running", "success", "failed"}

// String returns the state's name, as in Airflow.
func (s RunState) String() string { return runStateNames[s] }

// MarshalText encodes the state as its name.
func (s RunState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
