package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// attempt is one attempt at a task, on its machine.
type attempt struct {
	id              messages.AttemptID
	machine         *machine
	job             *job // nil: the job has ended or is unknown
	team            string
	resources       workload.Resources
	state           messages.TaskState
	persisted       bool // nothing of it is left to be stored
	startedHere     bool // started by this partition leader
	createdAt       micros.Time
	runningSince    micros.Time
	plannedDuration micros.Time
	start           startState
	stop            stopState
}

// startState is what became of the commands to start an attempt.
type startState struct {
	sent       bool // a start command went out, or a heartbeat showed the attempt
	reported   bool // a heartbeat showed the attempt
	inFlight   int  // start commands without a reply yet
	unanswered int  // start commands that got no reply: they may still arrive late
}

// stopState is what was ordered to end an attempt.
type stopState struct {
	ordered      bool
	gracePeriod  micros.Time
	orderedAt    micros.Time // when the stop was first ordered
	killDeadline micros.Time // of a cancelled job: when it must be shown as gone; 0: not cancelled
}

// index records an attempt under its machine and its job: whatever concerns one job must not
// go through every machine of the fleet.
func (a *attempt) index() {
	a.machine.attempts[a.id] = a
	if a.job != nil {
		a.job.attempts[a] = struct{}{}
	}
}

// unindex undoes index.
func (a *attempt) unindex() {
	delete(a.machine.attempts, a.id)
	if a.job != nil {
		delete(a.job.attempts, a)
	}
}

// sortedAttempts are the ids of a machine's attempts in order, so that a run can be repeated.
func sortedAttempts(m *machine) []messages.AttemptID {
	ids := make([]messages.AttemptID, 0, len(m.attempts))
	for id := range m.attempts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, messages.AttemptID.Compare)
	return ids
}

// reserve counts the resources of an attempt as used.
func (p *partitionLeader) reserve(a *attempt) {
	p.teamUsage[a.team] = p.teamUsage[a.team].Add(a.resources)
	a.machine.lifecycle.idleSince = 0
}

// release marks an attempt as exited and frees its resources. Without effect if it had exited.
func (p *partitionLeader) release(a *attempt) {
	if a.state == messages.Exited {
		return
	}
	a.state = messages.Exited
	p.teamUsage[a.team] = p.teamUsage[a.team].Sub(a.resources)
	for _, other := range a.machine.attempts {
		if other.state != messages.Exited {
			return
		}
	}
	a.machine.lifecycle.idleSince = p.core.now
}

// requeue makes the task of an exited attempt pending again, unless it is completed or a
// duplicate attempt at it is still there.
func (p *partitionLeader) requeue(a *attempt) {
	if a.job == nil || a.job.activeAttempts[a.id.Task] != a {
		return
	}
	delete(a.job.activeAttempts, a.id.Task)
	p.plan.stale = true
	for i, duplicate := range a.job.duplicateAttempts {
		if duplicate.id.Task == a.id.Task && duplicate.state != messages.Exited {
			a.job.duplicateAttempts = slices.Delete(a.job.duplicateAttempts, i, i+1)
			a.job.activeAttempts[a.id.Task] = duplicate
			return
		}
	}
	if !a.job.taskCompleted(a.id.Task) {
		a.job.pendingTasks.Add(a.id.Task)
	}
}

// stopAttempt orders an attempt to stop within a grace period. A stop that was ordered already
// is repeated only to shorten its grace period.
func (p *partitionLeader) stopAttempt(a *attempt, gracePeriod micros.Time) {
	if a.state == messages.Exited || (a.stop.ordered && a.stop.gracePeriod <= gracePeriod) {
		return
	}
	if !a.start.sent {
		p.revoke(a)
		return
	}
	a.stop.ordered, a.stop.gracePeriod = true, gracePeriod
	if a.stop.orderedAt == 0 {
		a.stop.orderedAt = p.core.now
	}
	a.machine.commands.Add(messages.Command{Operation: messages.Stop, AttemptID: a.id, GracePeriod: gracePeriod})
}

// revoke takes back an attempt whose start command was not sent yet.
func (p *partitionLeader) revoke(a *attempt) {
	p.release(a)
	p.requeue(a)
	a.unindex()
	a.machine.commands.RemoveAttempt(a.id)
}
