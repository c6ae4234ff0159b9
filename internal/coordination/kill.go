package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// killLatency is how long a stop takes at most where nothing is wrong.
const killLatency = 1500 * micros.Millisecond

// requestCancel kills all attempts of a job that is known to be cancelled. It starts nothing any
// more, whether or not the change stream shows the cancellation yet.
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

// kill stops an attempt of a cancelled job, which must be shown as gone by a deadline: a kill is done
// when its task is gone, not when the command was sent.
func (p *partitionLeader) kill(a *attempt) {
	if a.state == messages.Exited {
		return
	}
	p.stopAttempt(a, 0)
	if a.state == messages.Exited || a.stop.killDeadline != 0 {
		return // its start was not sent yet; or it has a deadline already
	}
	a.stop.killDeadline = p.killDeadline()
	p.pendingKills = append(p.pendingKills, a)
}

// killDeadline is until when a task whose job is known to be cancelled now must be shown as gone.
//
// The cancellation was committed after the watch before the last one was sent: else that watch would
// have shown it. From there the time of the cancellation is taken to run. An agent whose last reply
// comes before the deadline loses the task to its lease within cancel_s, and as much time is left
// for the cloud to delete the machine. One whose time is over already still gets the moment that a
// stop takes.
func (p *partitionLeader) killDeadline() micros.Time {
	return max(p.core.replica.PreviousWatchSentAt()+p.core.config.LeadershipTerm(), p.core.now+killLatency)
}

// killAdopted kills an attempt that a former partition leader started. When its job was cancelled is
// not known, but its machine has just sent a heartbeat under this leader's fencing token, so that a
// stop takes a moment.
func (p *partitionLeader) killAdopted(a *attempt) {
	p.kill(a)
	if a.stop.killDeadline != 0 {
		a.stop.killDeadline = min(a.stop.killDeadline, p.core.now+2*p.suspicionTimeout())
	}
}

// drainOverdueKills gives up the machines on which a task of a cancelled job is not shown as gone in
// time: hung, or out of reach. They are terminated, and get no replies, so that their agent leases
// expire too.
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
