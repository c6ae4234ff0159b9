package provisioning

const (
	// jobFaultMachines is the number of machines on which a job must fail to be considered faulty.
	jobFaultMachines = 2
	// machineFaultFailures is the number of failures after which a machine is considered faulty.
	machineFaultFailures = 2
)

// FaultTracker attributes task failures either to faulty machines, which are quarantined, or to
// faulty jobs.
type FaultTracker struct {
	byMachine map[string]map[string]int // failures by machine and job since the machine's last success
	byJob     map[string]map[string]int // failures by job and machine
	completed map[string]int            // completed tasks by job
	// blamed has, by machine, the jobs for whose failures a machine was quarantined and that are not known to be
	// at fault themselves.
	blamed map[string]map[string]bool
}

// NewFaultTracker returns a tracker without failures.
func NewFaultTracker() *FaultTracker {
	return &FaultTracker{
		byMachine: map[string]map[string]int{},
		byJob:     map[string]map[string]int{},
		completed: map[string]int{},
		blamed:    map[string]map[string]bool{},
	}
}

// Failed records that a task of the job failed on the machine.
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

// Succeeded records that a task of the job completed on the machine.
func (t *FaultTracker) Succeeded(machine, job string) {
	delete(t.byMachine, machine)
	t.completed[job]++
}

// JobAtFault reports whether failures are attributed to the job instead of the machines: it failed
// on at least two machines and none of its tasks has completed.
func (t *FaultTracker) JobAtFault(job string) bool {
	return t.completed[job] == 0 && len(t.byJob[job]) >= jobFaultMachines
}

// MachineAtFault reports whether failures are attributed to the machine: since the last success on
// it, at least two tasks failed there whose jobs are not at fault.
func (t *FaultTracker) MachineAtFault(machine string) bool {
	failures := 0
	for job, count := range t.byMachine[machine] {
		if !t.JobAtFault(job) {
			failures += count
		}
	}
	return failures >= machineFaultFailures
}

// Quarantined records that a machine is quarantined for the failures on it so far.
func (t *FaultTracker) Quarantined(machine string) {
	jobs := map[string]bool{}
	for job := range t.byMachine[machine] {
		jobs[job] = true
	}
	t.blamed[machine] = jobs
}

// Exonerated reports whether all jobs for whose failures a machine was quarantined are now considered faulty,
// or ended without a completed task: then nothing shows that the machine is faulty.
func (t *FaultTracker) Exonerated(machine string) bool {
	jobs, quarantined := t.blamed[machine]
	for job := range jobs {
		if !t.JobAtFault(job) {
			return false
		}
	}
	return quarantined
}

// Failures returns the number of failures of the job's tasks.
func (t *FaultTracker) Failures(job string) int {
	failures := 0
	for _, count := range t.byJob[job] {
		failures += count
	}
	return failures
}

// ForgetMachine removes the failures recorded for a machine, once it no longer exists.
func (t *FaultTracker) ForgetMachine(machine string) {
	delete(t.byMachine, machine)
	delete(t.blamed, machine)
}

// ForgetJob removes the results recorded for a job, once it has ended. A quarantined machine remains blamed for
// a job that completed tasks elsewhere.
func (t *FaultTracker) ForgetJob(job string) {
	if t.completed[job] == 0 {
		for _, jobs := range t.blamed {
			delete(jobs, job)
		}
	}
	delete(t.byJob, job)
	delete(t.completed, job)
	for _, jobs := range t.byMachine {
		delete(jobs, job)
	}
}
