package scenario

import (
	"pipitlatch/internal/micros"
)

// starvationTimeout is how long after all troubles a job may wait while there is room.
const starvationTimeout = 90 * micros.Second

// checkStarvation checks, once a second, that no job is left waiting while a machine that
// fits has room and its team is under its limit.
func (u *users) checkStarvation() {
	if u.w.cloud == nil {
		return
	}
	use := map[string]float64{}
	for _, m := range u.w.cloud.sorted() {
		if !m.gone {
			for _, t := range m.tasks {
				if t.phase != "exited" {
					use[t.job.team] += t.job.cores
				}
			}
		}
	}
	for _, ref := range u.order {
		j := u.jobs[ref]
		if j.accepted == 0 || j.toldDone || j.cancelled != 0 || j.cancelRequested || j.alwaysFails || !u.hasPendingTask(j) || u.isBlocked(j) || !u.hasCapacity(j, use[j.team]) {
			j.starvedSince = 0
			continue
		}
		if j.starvedSince == 0 {
			j.starvedSince = u.w.now
		}
		if u.w.now-max(j.starvedSince, u.w.faultsOver) > starvationTimeout {
			j.starvedSince = u.w.now
			u.w.breakRule("idle_room", "%s waits though a machine has room", ref)
		}
	}
}

// hasPendingTask tells whether a job has a task that is neither done nor on a machine.
func (u *users) hasPendingTask(j *userJob) bool {
	on := len(j.done)
	for _, m := range u.w.cloud.machines {
		if m.gone {
			continue
		}
		for _, t := range m.tasks {
			if t.job == j && t.phase != "exited" {
				on++
			}
		}
	}
	return on < j.taskCount
}

// isBlocked tells whether a job's user knows that it has to wait for others, or is cancelled
// with one.
func (u *users) isBlocked(j *userJob) bool {
	for _, ref := range j.dependencies {
		if n := u.jobs[ref]; n == nil || !n.toldDone {
			return true
		}
	}
	return false
}

// hasCapacity tells whether some machine could take a task of the job now.
func (u *users) hasCapacity(j *userJob, use float64) bool {
	for _, t := range u.w.config.Settings.Teams {
		if t.Name == j.team && t.CPUsMax > 0 && use+j.cores > t.CPUsMax {
			return false
		}
	}
	inZone, other := map[string]int{}, false
	for _, m := range u.w.cloud.machines {
		for _, t := range m.tasks {
			if t.job == j && t.phase != "exited" && !m.gone {
				inZone[m.zone]++
			}
		}
	}
	for _, m := range u.w.cloud.sorted() {
		if m.gone || !m.booted || m.hung || m.faulty || m.agentDown || m.preemptedAt > 0 || (m.spot && !j.spotAllowed) || (j.zone != "" && j.zone != m.zone) ||
			(j.instanceTypes != nil && !contains(j.instanceTypes, m.instanceType.name)) || u.w.now-m.createdAt < starvationTimeout {
			continue
		}
		other = len(inZone) > 0 && inZone[m.zone] == 0
		if (j.oneZone && other) || (j.apart && inZone[m.zone] >= (j.taskCount+1)/2) {
			continue
		}
		cores, ram := m.instanceType.cores-j.cores, m.instanceType.ramGB-j.ram
		for _, t := range m.tasks {
			if t.phase != "exited" {
				cores -= t.job.cores
				ram -= t.job.ram
			}
		}
		if cores >= 0 && ram >= 0 {
			return true
		}
	}
	return false
}
