package wire

import (
	"testing"

	"poppypass/internal/platform/golden"
)

func TestMessageFormats(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
	}{
		{"job-accepted", golden.Fill(new(Accepted))},
		{"job-status", golden.Fill(new(JobStatus))},
		{"job-reasons", golden.Fill(new(Explanation))},
		{"error", golden.Fill(new(Error))},
		{"worker-report", golden.Fill(new(Heartbeat))},
		{"worker-task-report", golden.Fill(new(TaskStatus))},
		{"worker-command", golden.Fill(new(Command))},
		{"worker-report-answer", golden.Fill(new(HeartbeatReply))},
		{"worker-redirect", golden.Fill(new(Redirect))},
		{"worker-direct-commands", golden.Fill(new(DirectCommands))},
		{"cloud-machine-type", golden.Fill(new(MachineType))},
		{"cloud-machine-types", golden.Fill(new(MachineTypes))},
		{"cloud-rent", golden.Fill(new(RentRequest))},
		{"cloud-machine-names", golden.Fill(new(MachineNames))},
		{"cloud-listed-machine", golden.Fill(new(ListedMachine))},
		{"cloud-machine-page", golden.Fill(new(MachinePage))},
		{"state-item", golden.Fill(new(Item))},
		{"state-item-page", golden.Fill(new(ItemPage))},
		{"state-condition", golden.Fill(new(Condition))},
		{"state-change", golden.Fill(new(Change))},
		{"state-transaction", golden.Fill(new(Txn))},
		{"state-transaction-result", golden.Fill(new(TxnResult))},
		{"state-lease-request", golden.Fill(new(LeaseRequest))},
		{"state-lease-grant", golden.Fill(new(LeaseGrant))},
		{"state-event", golden.Fill(new(Event))},
		{"state-watch-result", golden.Fill(new(WatchResult))},
	} {
		t.Run(c.name, func(t *testing.T) { golden.JSONRoundTrip(t, c.name, c.value) })
	}
}

// Guards against a field of a job that the encoder writes and ParseJob or ReadAccount does not read.
func TestSubmissionFormat(t *testing.T) {
	job := golden.Fill(new(Job))
	job.ID, job.Kind, job.Priority = "job-17", KindService, PriorityHigh
	golden.JSONRoundTrip(t, "job", job)
	body := golden.JSONEncoding(t, "job", job)
	parsed, err := ParseJob(body)
	if err != nil {
		t.Fatal(err)
	}
	if err := parsed.ReadAccount(body); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "submission", parsed, job)
}

func TestPaths(t *testing.T) {
	golden.Lines(t, "paths",
		PathJobs, PathHealth, PathEndCancel, PathEndExplain, PathEndCharges,
		PathHeartbeat, PathCommands, PathWorkerHeartbeat,
		PathMachineTypes, PathMachines, PathDelete,
		PathKV, PathTxn, PathLeases, PathEndRenew, PathWatch,
	)
}

func TestWords(t *testing.T) {
	golden.Lines(t, "words",
		string(KindArray), string(KindService),
		string(PriorityProduction), string(PriorityHigh), string(PriorityNormal), string(PriorityLow),
		string(StateQueued), string(StateRunning), string(StateDone), string(StateCancelled),
		string(TaskFetching), string(TaskRunning), string(TaskSaving), string(TaskExited),
		string(ExitDone), string(ExitStopped), string(ExitError), string(ExitNoRoom), string(ExitBusy), string(ExitUnknown),
		string(OpStart), string(OpStop), string(OpForget),
		string(MachineBooting), string(MachineRunning), string(MachineFailed),
		TaskID{Job: "job-17", Index: 3}.String(),
	)
}
