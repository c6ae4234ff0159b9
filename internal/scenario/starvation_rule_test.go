package scenario

import "pipitlatch/internal/micros"

// starvationTimeout is how long a job may wait despite free capacity after the last fault has ended.
const starvationTimeout = 90 * micros.Second

// checkStarvation checks that no job waits beyond starvationTimeout while a suitable machine has
// free capacity and the job's team is below its limit. It runs once a second.
func (u *users) checkStarvation() {
	if u.w.cloud == nil {
		return
	}
	use := u.coresByTeam()
	for _, ref := range u.order {
		j := u.jobs[ref]
		if !u.isWaiting(j) || !u.hasCapacity(j, use[j.spec.team]) {
			j.observed.starvedSince = 0
			continue
		}
		if j.observed.starvedSince == 0 {
			j.observed.starvedSince = u.w.now
		}
		if u.w.now-max(j.observed.starvedSince, u.w.faultsOver) > starvationTimeout {
			j.observed.starvedSince = u.w.now
			u.w.breakRule("idle_room", "%s waits though a machine has room", ref)
		}
	}
}

// coresByTeam returns the cores in use by each team.
func (u *users) coresByTeam() map[string]float64 {
	use := map[string]float64{}
	for _, m := range u.w.cloud.sorted() {
		if m.lifecycle.gone {
			continue
		}
		for _, t := range m.tasks {
			if t.phase != "exited" {
				use[t.job.spec.team] += t.job.spec.cores
			}
		}
	}
	return use
}

// isWaiting reports whether a job is runnable and has a pending task.
func (u *users) isWaiting(j *userJob) bool {
	if j.told.accepted == 0 || j.told.done || j.told.cancelled != 0 || j.cancelRequested || j.execution.alwaysFails {
		return false
	}
	return u.hasPendingTask(j) && !u.isBlocked(j)
}

// hasPendingTask reports whether a job has a task that is neither done nor on a machine.
func (u *users) hasPendingTask(j *userJob) bool {
	on := len(j.observed.done)
	for _, m := range u.w.cloud.machines {
		if m.lifecycle.gone {
			continue
		}
		for _, t := range m.tasks {
			if t.job == j && t.phase != "exited" {
				on++
			}
		}
	}
	return on < j.spec.taskCount
}

// isBlocked reports whether the user has not been told that all dependencies of the job are done,
// so that the job may still have to wait for one or be cancelled with it.
func (u *users) isBlocked(j *userJob) bool {
	for _, ref := range j.spec.dependencies {
		if n := u.jobs[ref]; n == nil || !n.told.done {
			return true
		}
	}
	return false
}

// hasCapacity reports whether some machine could run a task of the job now, given the cores that
// the job's team uses.
func (u *users) hasCapacity(j *userJob, use float64) bool {
	for _, t := range u.w.config.Settings.Teams {
		if t.Name == j.spec.team && t.CPUsMax > 0 && use+j.spec.cores > t.CPUsMax {
			return false
		}
	}
	inZone := u.tasksByZone(j)
	for _, m := range u.w.cloud.sorted() {
		if !m.healthy() || u.w.now-m.createdAt < starvationTimeout || !j.spec.allows(m) {
			continue
		}
		elsewhere := len(inZone) > 0 && inZone[m.zone] == 0
		if (j.spec.oneZone && elsewhere) || (j.spec.apart && inZone[m.zone] >= (j.spec.taskCount+1)/2) {
			continue
		}
		if m.fits(&j.spec) {
			return true
		}
	}
	return false
}

// tasksByZone returns the number of tasks of a job on machines in each zone.
func (u *users) tasksByZone(j *userJob) map[string]int {
	inZone := map[string]int{}
	for _, m := range u.w.cloud.machines {
		for _, t := range m.tasks {
			if t.job == j && t.phase != "exited" && !m.lifecycle.gone {
				inZone[m.zone]++
			}
		}
	}
	return inZone
}

// healthy reports whether a machine is running and has no fault and no pending preemption.
func (m *machine) healthy() bool {
	return m.lifecycle.booted && !m.lifecycle.gone && !m.faults.hung && !m.faults.faulty && !m.agent.down &&
		m.faults.preemptedAt == 0
}

// fits reports whether a machine has enough free cores and memory for a task.
func (m *machine) fits(s *jobSpec) bool {
	cores, ram := m.instanceType.cores-s.cores, m.instanceType.ramGB-s.ram
	for _, t := range m.tasks {
		if t.phase != "exited" {
			cores -= t.job.spec.cores
			ram -= t.job.spec.ram
		}
	}
	return cores >= 0 && ram >= 0
}
