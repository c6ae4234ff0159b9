package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// attempt is one attempt to run a task on a machine.
type attempt struct {
	id              messages.AttemptID
	machine         *machine
	job             *job // nil: the job has ended or is unknown
	team            string
	resources       workload.Resources
	state           messages.TaskState
	persisted       bool // its result is stored, or there is none to store
	startedHere     bool // started by this partition leader
	forgetSent      bool // the agent was told to forget it
	createdAt       micros.Time
	runningSince    micros.Time
	plannedDuration micros.Time
	start           startState
	stop            stopState
}

// startState tracks the commands to start an attempt.
type startState struct {
	sent       bool // a start command was sent, or a heartbeat reported the attempt
	reported   bool // a heartbeat reported the attempt
	inFlight   int  // start commands that wait for a reply
	unanswered int  // start commands that got no reply and may still arrive late

	// token is the highest fencing token of a call with a start command; 0 if there was none under this
	// lease. Any copy of such a call may be executed late, whether it was answered or not.
	token uint64
}

// fencedBy reports whether an agent that has acknowledged a fencing token rejects every copy of the calls
// with a start command.
func (s *startState) fencedBy(acknowledged uint64) bool { return s.token < acknowledged }

// stopState tracks the orders to stop an attempt.
type stopState struct {
	ordered      bool
	reason       stopReason
	gracePeriod  micros.Time
	orderedAt    micros.Time // when the stop was first ordered
	killDeadline micros.Time // by when an attempt of a cancelled job must be confirmed as gone; 0: none
}

// stopReason says why an attempt is stopped, as it appears in the log.
type stopReason string

const (
	reasonCancelled     stopReason = "job cancelled"
	reasonJobInactive   stopReason = "job not active in this partition"
	reasonDuplicate     stopReason = "duplicate attempt"
	reasonTaskCompleted stopReason = "task already completed"
	reasonPreempted     stopReason = "preempted"
	reasonInstanceTaken stopReason = "preemption notice of the instance"
	reasonReplicaMoved  stopReason = "replica moved"
)

// index adds an attempt to the indexes of its machine and its job. The index by job avoids a scan of
// all machines of the fleet for operations on one job.
func (a *attempt) index() {
	a.machine.attempts[a.id] = a
	if a.job != nil {
		a.job.attempts[a] = struct{}{}
	}
}

// unindex removes an attempt from the indexes of its machine and its job.
func (a *attempt) unindex() {
	delete(a.machine.attempts, a.id)
	if a.job != nil {
		delete(a.job.attempts, a)
	}
}

// sortedAttempts returns the ids of a machine's attempts in order, which makes runs reproducible.
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

// release marks an attempt as exited and frees its resources. It has no effect on an exited attempt.
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

// requeue makes the task of an exited attempt pending again, unless the task is completed. A duplicate
// attempt that has not exited becomes the active one instead.
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

// stopAttempt orders an attempt to stop within a grace period. Repeated calls only ever shorten the
// grace period. An attempt whose start command was not sent yet is revoked.
func (p *partitionLeader) stopAttempt(a *attempt, reason stopReason, gracePeriod micros.Time) {
	if a.state == messages.Exited || (a.stop.ordered && a.stop.gracePeriod <= gracePeriod) {
		return
	}
	if !a.start.sent {
		p.revoke(a)
		return
	}
	a.stop.ordered, a.stop.reason, a.stop.gracePeriod = true, reason, gracePeriod
	p.core.log(messages.LevelInfo, "task stop ordered",
		"machine", a.machine.id, "attempt", a.id, "reason", string(reason))
	if a.stop.orderedAt == 0 {
		a.stop.orderedAt = p.core.now
	}
	a.machine.commands.Add(messages.Command{Operation: messages.Stop, AttemptID: a.id, GracePeriod: gracePeriod})
}

// revokeUnsentStarts cancels the attempts on a machine whose start commands were not sent yet, so that their tasks
// can be started elsewhere.
func (p *partitionLeader) revokeUnsentStarts(m *machine) {
	for _, id := range sortedAttempts(m) {
		if a := m.attempts[id]; !a.start.sent && a.state != messages.Exited {
			p.revoke(a)
		}
	}
}

// revoke cancels an attempt whose start command was not sent yet.
func (p *partitionLeader) revoke(a *attempt) {
	p.release(a)
	p.requeue(a)
	a.unindex()
	a.machine.commands.RemoveAttempt(a.id)
}
