package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// reconcileTasks makes the attempts known for a machine match the tasks that its heartbeat reports.
func (p *partitionLeader) reconcileTasks(m *machine, h *messages.Heartbeat) {
	reported := make(map[messages.AttemptID]bool, len(h.Tasks))
	for i := range h.Tasks {
		status := &h.Tasks[i]
		reported[status.AttemptID] = true
		a := m.attempts[status.AttemptID]
		if a == nil {
			a = p.adoptAttempt(m, status)
			if attemptToken(status.Number) >= m.requiredToken {
				p.logRepeatedStart(m, status, h)
				a.start.token = p.lease.fencingToken
			}
		}
		a.start.reported = true
		p.updateAttempt(a, status)
	}
	if len(m.attempts) > len(reported) {
		p.removeAbsentAttempts(m, reported)
	}
}

// removeAbsentAttempts removes the attempts that a heartbeat does not report, unless a start command
// may still arrive. The agent was told to forget them, or, if they were never reported, did not
// start them.
func (p *partitionLeader) removeAbsentAttempts(m *machine, reported map[messages.AttemptID]bool) {
	var ended []messages.AttemptID
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if reported[id] || a.startMayArrive(m.agent.AcknowledgedToken()) {
			continue
		}
		if a.state != messages.Exited {
			ended = append(ended, id)
		}
		a.unindex()
		m.commands.RemoveAttempt(id)
		p.release(a)
		p.requeue(a)
	}
	p.logEnd(m, messages.EndNotStarted, ended)
}

// startMayArrive reports whether the agent may still execute the start command of an attempt that its
// heartbeat, with this fencing token, does not report: the command is not sent yet, or got no reply. Treating
// such an attempt as not started could run the task twice. A start that got no reply is sent again until its
// attempt is stopped; then it is over once the agent rejects it.
func (a *attempt) startMayArrive(acknowledged uint64) bool {
	if !a.start.sent {
		return true
	}
	if a.start.reported || a.start.inFlight+a.start.unanswered == 0 {
		return false
	}
	return !a.stop.ordered || !a.start.fencedBy(acknowledged)
}

// lostAttempts reports whether a heartbeat lacks an attempt that the agent reported before and was not told to
// forget. Only an agent that has restarted loses attempts within an epoch. Copies of earlier commands may have
// told it the current fencing token since, so its token need not be lower than before.
func (m *machine) lostAttempts(h *messages.Heartbeat) bool {
	missing := 0
	for _, a := range m.attempts {
		if a.remembered() {
			missing++
		}
	}
	for i := range h.Tasks {
		if a := m.attempts[h.Tasks[i].AttemptID]; a != nil && a.remembered() {
			missing--
		}
	}
	return missing > 0
}

// remembered reports whether the agent has reported the attempt and was not told to forget it.
func (a *attempt) remembered() bool { return a.start.reported && !a.forgetSent }

// adoptAttempt takes over an attempt that this partition leader did not start.
func (p *partitionLeader) adoptAttempt(m *machine, status *messages.TaskStatus) *attempt {
	a := p.newAdoptedAttempt(m, status)
	a.index()
	p.reserve(a)
	switch {
	case a.job == nil:
		p.endAdoptedWithoutJob(a, status)
	case status.State == messages.Exited:
		// reconcileTasks records the exit afterwards, with updateAttempt.
	case a.job.activeAttempts[status.Task] != nil:
		p.stopDuplicate(a)
	default:
		p.adoptActiveAttempt(a, status)
	}
	return a
}

// newAdoptedAttempt returns an attempt for a task that a heartbeat reports. Its job is nil if the
// job has ended or has no such task.
func (p *partitionLeader) newAdoptedAttempt(m *machine, status *messages.TaskStatus) *attempt {
	a := &attempt{
		id:        status.AttemptID,
		machine:   m,
		state:     status.State,
		createdAt: p.core.now,
		start:     startState{sent: true},
	}
	if status.State == messages.Exited {
		a.state = messages.Fetching // so that the updateAttempt that follows records the exit
	}
	a.job = p.jobs[status.Job]
	if entry := p.core.cache.Jobs[status.Job]; entry != nil {
		a.team, a.resources = entry.Job.Team, entry.Job.Resources
	}
	if a.job != nil && (status.Task < 0 || status.Task >= a.job.Tasks) {
		a.job = nil
	}
	return a
}

// endAdoptedWithoutJob stops an adopted attempt whose job is not active in this partition.
func (p *partitionLeader) endAdoptedWithoutJob(a *attempt, status *messages.TaskStatus) {
	a.persisted = true
	switch {
	case status.State == messages.Exited:
	case p.core.isCancelled(status.Job):
		p.killAdopted(a)
	default:
		p.stopAttempt(a, reasonJobInactive, 0)
	}
}

// stopDuplicate stops a second attempt at an active task. Duplicates indicate a fault: a task must
// never have two active attempts. The task is pending again only after both attempts have ended.
func (p *partitionLeader) stopDuplicate(a *attempt) {
	active := a.job.activeAttempts[a.id.Task]
	p.core.metrics.DuplicateAttempts++
	p.core.log(messages.LevelWarn, "duplicate task attempt",
		"job", a.id.Job, "task", a.id.Task, "machine", a.machine.id, "other_machine", active.machine.id)
	a.job.duplicateAttempts = append(a.job.duplicateAttempts, a)
	a.persisted = true
	p.stopAttempt(a, reasonDuplicate, 0)
}

// adoptActiveAttempt makes an adopted attempt the active one of its task, and stops it if its job is
// cancelled or the task is already completed.
func (p *partitionLeader) adoptActiveAttempt(a *attempt, status *messages.TaskStatus) {
	a.job.activeAttempts[status.Task] = a
	a.job.pendingTasks.Remove(status.Task)
	if status.State == messages.Running {
		// The image is cached on the machine, and the time since now is a lower bound of the task's
		// run time. Without this, every failover would lose the locations of images and the estimates
		// of when machines become free.
		a.runningSince = p.core.now
		a.machine.useImage(a.job.Image, a.job.ImageGB)
	}
	switch {
	case a.job.cancelRequested:
		p.killAdopted(a)
	case a.job.taskCompleted(status.Task):
		p.stopAttempt(a, reasonTaskCompleted, 0)
	}
	p.plan.stale = true
}

// updateAttempt updates the state of an attempt from a heartbeat.
func (p *partitionLeader) updateAttempt(a *attempt, status *messages.TaskStatus) {
	switch {
	case a.state == messages.Exited:
	case status.State == messages.Exited:
		p.observeExit(a, status.ExitReason)
	default:
		if status.State == messages.Running && a.state != messages.Running {
			p.observeRunning(a)
		}
		a.state = status.State
	}
}

// observeRunning records that an attempt has started running.
func (p *partitionLeader) observeRunning(a *attempt) {
	a.runningSince = p.core.now
	if a.job == nil {
		return
	}
	a.machine.useImage(a.job.Image, a.job.ImageGB)
	if a.job.Kind == workload.Service && a.startedHere {
		p.core.log(messages.LevelDebug, "service replica running",
			"job", a.job.ID, "task", a.id.Task, "machine", a.machine.id,
			"since_submitted_ms", (p.core.wall-a.job.Submitted)/micros.Millisecond,
			"since_start_ms", (p.core.now-a.createdAt)/micros.Millisecond)
	}
}

// observeExit handles the exit of an attempt.
func (p *partitionLeader) observeExit(a *attempt, reason messages.ExitReason) {
	p.core.metrics.AttemptsEnded[messages.EndReported]++
	p.release(a)
	p.plan.stale = true
	switch {
	case a.job == nil:
		a.persisted = true
	case reason == messages.ExitCompleted:
		p.observeRuntime(a)
		p.core.faults.Succeeded(a.machine.id, a.job.ID)
		p.completeTask(a)
	default:
		p.observeIncompleteExit(a, reason)
		a.persisted = true
		p.requeue(a)
	}
}

// minRatioSamples is the number of completed tasks of a job from which the run time of a further one
// is compared with their mean. The job owner's estimate is too unreliable to compare with.
const minRatioSamples = 2

// observeRuntime records the run time of a completed task that was started under this lease.
func (p *partitionLeader) observeRuntime(a *attempt) {
	if !a.startedHere || a.runningSince <= 0 {
		return
	}
	j, duration := a.job, p.core.now-a.runningSince
	if j.runtime.samples >= minRatioSamples {
		ratio := float64(duration) * float64(j.runtime.samples) / float64(max(1, j.runtime.total))
		a.machine.runtime.Observe(ratio)
	}
	p.core.runtimes.Observe(j.Class, j.Estimate, duration)
	j.runtime.total += duration
	j.runtime.samples++
}

const (
	// refusedStartPause is how long a machine that refused a start gets no further ones.
	refusedStartPause = micros.Second
	// unknownTaskPause is how long no task of a job is started after an agent did not know its task.
	unknownTaskPause = 2 * micros.Second
	// maxFailurePause limits the pause between starts of a job that fails on every machine.
	maxFailurePause = 60 * micros.Second
	// maxFailureDoublings limits how often the pause after failures is doubled.
	maxFailureDoublings = 6
)

// observeIncompleteExit applies the consequences of an exit without completion to the machine and the
// job.
func (p *partitionLeader) observeIncompleteExit(a *attempt, reason messages.ExitReason) {
	j, m := a.job, a.machine
	switch reason {
	case messages.ExitFailed:
		p.observeFailure(a)
	case messages.ExitInsufficientResources, messages.ExitDuplicateTask:
		m.lifecycle.startsPausedUntil = p.core.now + refusedStartPause
		p.core.log(messages.LevelInfo, "task start refused",
			"job", j.ID, "task", a.id.Task, "machine", m.id, "reason", reason)
	case messages.ExitUnknownTask:
		j.startsPausedUntil = p.core.now + unknownTaskPause
	case messages.NotExited, messages.ExitCompleted, messages.ExitStopped:
		// Neither the machine nor the job is at fault.
	}
}

// observeFailure records a failed task. A job that fails on every machine is started at increasing
// intervals until its user cancels it.
func (p *partitionLeader) observeFailure(a *attempt) {
	j := a.job
	p.core.faults.Failed(a.machine.id, j.ID)
	p.core.log(messages.LevelInfo, "task failed", "job", j.ID, "task", a.id.Task, "machine", a.machine.id)
	if p.core.faults.JobAtFault(j.ID) {
		pause := micros.Second << min(maxFailureDoublings, p.core.faults.Failures(j.ID))
		j.startsPausedUntil = p.core.now + min(maxFailurePause, pause)
	}
}
