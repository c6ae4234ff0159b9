package provisioning

const (
	// jobFaultMachines is on how many machines a job has to fail to be at fault itself.
	jobFaultMachines = 2
	// machineFaultFailures is how many failures put a machine at fault.
	machineFaultFailures = 2
)

// FaultTracker tells faulty machines, which are quarantined, from mistaken jobs.
type FaultTracker struct {
	byMachine map[string]map[string]int // machine, job: failures since a success there
	byJob     map[string]map[string]int // job, machine: failures
	completed map[string]int            // job: completed tasks
}

// NewFaultTracker is a tracker without failures.
func NewFaultTracker() *FaultTracker {
	return &FaultTracker{
		byMachine: map[string]map[string]int{},
		byJob:     map[string]map[string]int{},
		completed: map[string]int{},
	}
}

// Failed notes that a task of the job failed on the machine.
func (t *FaultTracker) Failed(machine, job string) {
	if t.byMachine[machine] == nil {
		t.byMachine[machine] = map[string]int{}
	}
	if t.byJob[job] == nil {
		t.byJob[job] = map[string]int{}
	}
	t.byMachine[machine][job]++
	t.byJob[job][machine]++
}

// Succeeded notes that a task of the job completed on the machine.
func (t *FaultTracker) Succeeded(machine, job string) {
	delete(t.byMachine, machine)
	t.completed[job]++
}

// JobAtFault tells whether the job, not the machines, is to blame: it failed on two machines
// or more and no task of it ever completed.
func (t *FaultTracker) JobAtFault(job string) bool {
	return t.completed[job] == 0 && len(t.byJob[job]) >= jobFaultMachines
}

// MachineAtFault tells whether the machine is to blame: since its last success, tasks of two
// jobs that are not mistaken failed there, or one such job failed twice.
func (t *FaultTracker) MachineAtFault(machine string) bool {
	failures := 0
	for job, count := range t.byMachine[machine] {
		if !t.JobAtFault(job) {
			failures += count
		}
	}
	return failures >= machineFaultFailures
}

// Failures is how often tasks of the job failed.
func (t *FaultTracker) Failures(job string) int {
	failures := 0
	for _, count := range t.byJob[job] {
		failures += count
	}
	return failures
}

// ForgetMachine drops what is known of a machine that is gone.
func (t *FaultTracker) ForgetMachine(machine string) { delete(t.byMachine, machine) }

// ForgetJob drops what is known of a job that is over.
func (t *FaultTracker) ForgetJob(job string) {
	delete(t.byJob, job)
	delete(t.completed, job)
	for _, jobs := range t.byMachine {
		delete(jobs, job)
	}
}
