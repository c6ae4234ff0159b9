package provisioning

import "testing"

// taskEnd is the end of a task of a job on a machine.
type taskEnd struct {
	machine, job string
	succeeded    bool
}

func failed(machine, job string) taskEnd    { return taskEnd{machine, job, false} }
func succeeded(machine, job string) taskEnd { return taskEnd{machine, job, true} }

// trackerOf is a tracker that has seen tasks end.
func trackerOf(ends ...taskEnd) *FaultTracker {
	tracker := NewFaultTracker()
	for _, end := range ends {
		if end.succeeded {
			tracker.Succeeded(end.machine, end.job)
		} else {
			tracker.Failed(end.machine, end.job)
		}
	}
	return tracker
}

var faultCases = []struct {
	name       string
	ends       []taskEnd
	machine    bool // is machine m at fault
	job        bool // is job j
	ofJob      int  // failures of job j
	withoutJob bool // is machine m at fault once job j is forgotten
}{
	{name: "nobody without failures"},
	{name: "nobody for one failure", ends: []taskEnd{failed("m", "j")}, ofJob: 1},
	{name: "the machine for two failures of one job", ends: []taskEnd{failed("m", "j"), failed("m", "j")},
		machine: true, ofJob: 2},
	{name: "the machine for failures of two jobs", ends: []taskEnd{failed("m", "j"), failed("m", "k")},
		machine: true, ofJob: 1},
	{name: "the job that failed on two machines", ends: []taskEnd{failed("m", "j"), failed("n", "j")},
		job: true, ofJob: 2},
	{name: "the job, not the machine on which it failed twice",
		ends: []taskEnd{failed("m", "j"), failed("m", "j"), failed("n", "j")}, job: true, ofJob: 3},
	{name: "the machine for failures of two jobs besides a mistaken one",
		ends:    []taskEnd{failed("m", "j"), failed("n", "j"), failed("m", "k"), failed("m", "l")},
		machine: true, job: true, ofJob: 2, withoutJob: true},
	{name: "not the job of which a task completed",
		ends: []taskEnd{failed("m", "j"), failed("n", "j"), succeeded("o", "j")}, ofJob: 2},
	{name: "not the machine where a task completed since",
		ends: []taskEnd{failed("m", "j"), succeeded("m", "k"), failed("m", "j")}, ofJob: 2},
	{name: "the machine for two failures since a success",
		ends:    []taskEnd{succeeded("m", "j"), failed("m", "j"), failed("m", "j")},
		machine: true, ofJob: 2},
	{name: "not the machine for failures elsewhere", ends: []taskEnd{failed("n", "j"), failed("n", "j")}, ofJob: 2},
}

func TestFaultTrackerBlames(t *testing.T) {
	for _, test := range faultCases {
		t.Run(test.name, func(t *testing.T) {
			tracker := trackerOf(test.ends...)
			if got := tracker.MachineAtFault("m"); got != test.machine {
				t.Errorf("MachineAtFault = %v, want %v", got, test.machine)
			}
			if got := tracker.JobAtFault("j"); got != test.job {
				t.Errorf("JobAtFault = %v, want %v", got, test.job)
			}
			if got := tracker.Failures("j"); got != test.ofJob {
				t.Errorf("Failures = %d, want %d", got, test.ofJob)
			}
		})
	}
}

func TestFaultTrackerForgets(t *testing.T) {
	for _, test := range faultCases {
		t.Run(test.name, func(t *testing.T) {
			tracker := trackerOf(test.ends...)
			tracker.ForgetJob("j")
			if tracker.JobAtFault("j") || tracker.Failures("j") != 0 {
				t.Error("a forgotten job is still at fault")
			}
			if got := tracker.MachineAtFault("m"); got != test.withoutJob {
				t.Errorf("MachineAtFault once the job is forgotten = %v, want %v", got, test.withoutJob)
			}
			tracker.ForgetMachine("m")
			if tracker.MachineAtFault("m") {
				t.Error("a forgotten machine is still at fault")
			}
		})
	}
}

func TestFaultTrackerForgetJobForgetsItsSuccesses(t *testing.T) {
	tracker := NewFaultTracker()
	tracker.Succeeded("m", "j")
	tracker.ForgetJob("j")
	tracker.Failed("m", "j")
	tracker.Failed("n", "j")
	if !tracker.JobAtFault("j") {
		t.Error("a success before the job was forgotten still counts")
	}
}
