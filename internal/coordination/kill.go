package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// killLatency is the maximum time that a stop takes on a healthy machine.
const killLatency = 1500 * micros.Millisecond

// requestCancel kills all attempts of a job that is known to be cancelled. No further attempts of the
// job are started, whether or not the change stream has delivered the cancellation yet.
func (p *partitionLeader) requestCancel(j *job) {
	if j.cancelRequested {
		return
	}
	j.cancelRequested = true
	p.core.log(messages.LevelInfo, "job cancellation received", "job", j.ID, "tasks", len(j.activeAttempts))
	for _, task := range sortedKeys(j.activeAttempts) {
		p.kill(j.activeAttempts[task])
	}
	for _, a := range j.duplicateAttempts {
		p.kill(a)
	}
	p.plan.stale = true
}

// kill stops an attempt of a cancelled job and sets the deadline by which it must be reported as
// exited. A kill is complete when the task has ended, not when the command was sent.
func (p *partitionLeader) kill(a *attempt) {
	if a.state == messages.Exited {
		return
	}
	p.stopAttempt(a, reasonCancelled, 0)
	if a.state == messages.Exited || a.stop.killDeadline != 0 {
		return // its start had not been sent, or it already has a deadline
	}
	a.stop.killDeadline = p.killDeadline()
	p.pendingKills = append(p.pendingKills, a)
}

// killDeadline returns the deadline for a task to be reported as exited if its job becomes known to be
// cancelled now.
//
// The cancellation was committed after the watch before the last successful one was sent, since that
// watch would have returned it otherwise. The time allowed for the cancellation is counted from then.
// If an agent gets its last reply before the deadline, its lease expires, which ends the task, within
// cancel_s; the cloud has as much time to delete the machine. If the time allowed is already over,
// the agent still gets killLatency to carry out the stop.
func (p *partitionLeader) killDeadline() micros.Time {
	return max(p.core.replica.PreviousWatchSentAt()+p.core.config.LeadershipTerm(), p.core.now+killLatency)
}

// killAdopted kills an attempt that a former partition leader started. It is not known when the job was
// cancelled, but the machine has just sent a heartbeat with this leader's fencing token, so a stop
// should take effect quickly and the deadline is at most two suspicion timeouts away.
func (p *partitionLeader) killAdopted(a *attempt) {
	p.kill(a)
	if a.stop.killDeadline != 0 {
		a.stop.killDeadline = min(a.stop.killDeadline, p.core.now+2*p.suspicionTimeout())
	}
}

// drainOverdueKills decommissions machines on which a task of a cancelled job has not been reported as
// exited by its deadline, because the machine hangs or is unreachable. They are terminated, and
// their heartbeats are no longer replied to, so that their agent leases expire as well.
func (p *partitionLeader) drainOverdueKills() {
	p.pendingKills = slices.DeleteFunc(p.pendingKills, func(a *attempt) bool {
		if a.state == messages.Exited || p.machine(a.machine.id) != a.machine {
			return true
		}
		if p.core.now >= a.stop.killDeadline && !a.machine.decommissioned() {
			p.startDrain(a.machine, drainKillTimeout)
		}
		return false
	})
}
