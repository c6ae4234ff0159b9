package provisioning

import "testing"

// taskEnd is the outcome of a task of a job on a machine.
type taskEnd struct {
	machine, job string
	succeeded    bool
}

func failed(machine, job string) taskEnd    { return taskEnd{machine, job, false} }
func succeeded(machine, job string) taskEnd { return taskEnd{machine, job, true} }

// trackerOf returns a tracker that has recorded the given outcomes.
func trackerOf(ends ...taskEnd) *FaultTracker {
	tracker := NewFaultTracker()
	record(tracker, ends)
	return tracker
}

// record records outcomes.
func record(tracker *FaultTracker, ends []taskEnd) {
	for _, end := range ends {
		if end.succeeded {
			tracker.Succeeded(end.machine, end.job)
		} else {
			tracker.Failed(end.machine, end.job)
		}
	}
}

var faultCases = []struct {
	name                  string
	ends                  []taskEnd
	machine               bool // whether machine m is at fault
	job                   bool // whether job j is at fault
	jobFailures           int  // failures of job j
	machineAfterForgetJob bool // whether machine m is at fault once job j is forgotten
}{
	{name: "no failures"},
	{name: "one failure", ends: []taskEnd{failed("m", "j")}, jobFailures: 1},
	{name: "two failures of one job: machine", ends: []taskEnd{failed("m", "j"), failed("m", "j")},
		machine: true, jobFailures: 2},
	{name: "failures of two jobs: machine", ends: []taskEnd{failed("m", "j"), failed("m", "k")},
		machine: true, jobFailures: 1},
	{name: "failures on two machines: job", ends: []taskEnd{failed("m", "j"), failed("n", "j")},
		job: true, jobFailures: 2},
	{name: "two failures on one of two machines: job, not machine",
		ends: []taskEnd{failed("m", "j"), failed("m", "j"), failed("n", "j")}, job: true, jobFailures: 3},
	{name: "failures of two jobs and a faulty job: machine and job",
		ends:    []taskEnd{failed("m", "j"), failed("n", "j"), failed("m", "k"), failed("m", "l")},
		machine: true, job: true, jobFailures: 2, machineAfterForgetJob: true},
	{name: "failures on two machines and a completed task: not job",
		ends: []taskEnd{failed("m", "j"), failed("n", "j"), succeeded("o", "j")}, jobFailures: 2},
	{name: "task completed between two failures: not machine",
		ends: []taskEnd{failed("m", "j"), succeeded("m", "k"), failed("m", "j")}, jobFailures: 2},
	{name: "two failures since a success: machine",
		ends:    []taskEnd{succeeded("m", "j"), failed("m", "j"), failed("m", "j")},
		machine: true, jobFailures: 2},
	{name: "failures on another machine: not machine",
		ends: []taskEnd{failed("n", "j"), failed("n", "j")}, jobFailures: 2},
}

func TestFaultTrackerAttribution(t *testing.T) {
	for _, test := range faultCases {
		t.Run(test.name, func(t *testing.T) {
			tracker := trackerOf(test.ends...)
			if got := tracker.MachineAtFault("m"); got != test.machine {
				t.Errorf("MachineAtFault = %v, want %v", got, test.machine)
			}
			if got := tracker.JobAtFault("j"); got != test.job {
				t.Errorf("JobAtFault = %v, want %v", got, test.job)
			}
			if got := tracker.Failures("j"); got != test.jobFailures {
				t.Errorf("Failures = %d, want %d", got, test.jobFailures)
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
			if got := tracker.MachineAtFault("m"); got != test.machineAfterForgetJob {
				t.Errorf("MachineAtFault after ForgetJob = %v, want %v", got, test.machineAfterForgetJob)
			}
			tracker.ForgetMachine("m")
			if tracker.MachineAtFault("m") {
				t.Error("a forgotten machine is still at fault")
			}
		})
	}
}

func TestFaultTrackerForgetJobRemovesSuccesses(t *testing.T) {
	tracker := NewFaultTracker()
	tracker.Succeeded("m", "j")
	tracker.ForgetJob("j")
	tracker.Failed("m", "j")
	tracker.Failed("n", "j")
	if !tracker.JobAtFault("j") {
		t.Error("a success before the job was forgotten still counts")
	}
}

// TestExonerated checks when a machine that was quarantined after the first outcomes is exonerated by the later
// ones.
func TestExonerated(t *testing.T) {
	twice := []taskEnd{failed("m", "j"), failed("m", "j")}
	for _, test := range []struct {
		name   string
		before []taskEnd // the quarantine
		after  []taskEnd
		forget []string // jobs that end after that
		want   bool
	}{
		{name: "nothing new", before: twice},
		{name: "the job fails on another machine too", before: twice, after: []taskEnd{failed("n", "j")}, want: true},
		{name: "the job fails on another machine and completes on a third", before: twice,
			after: []taskEnd{failed("n", "j"), succeeded("o", "j")}},
		{name: "the job ends without a completed task", before: twice, forget: []string{"j"}, want: true},
		{name: "the job ends after completing elsewhere", before: twice, after: []taskEnd{succeeded("n", "j")},
			forget: []string{"j"}},
		{name: "one of two jobs fails on another machine too",
			before: []taskEnd{failed("m", "j"), failed("m", "k")}, after: []taskEnd{failed("n", "j")}},
		{name: "both jobs fail on another machine too", before: []taskEnd{failed("m", "j"), failed("m", "k")},
			after: []taskEnd{failed("n", "j"), failed("n", "k")}, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := trackerOf(test.before...)
			if tracker.Exonerated("m") {
				t.Error("exonerated before it was quarantined")
			}
			tracker.Quarantined("m")
			record(tracker, test.after)
			for _, job := range test.forget {
				tracker.ForgetJob(job)
			}
			if got := tracker.Exonerated("m"); got != test.want {
				t.Errorf("exonerated %v, want %v", got, test.want)
			}
			tracker.ForgetMachine("m")
			if tracker.Exonerated("m") {
				t.Error("exonerated after it is gone")
			}
		})
	}
}
