package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// drainReason is the reason why a machine does not receive any more tasks.
type drainReason uint8

const (
	notDraining drainReason = iota
	// drainUnresponsive: for too long there has been no evidence that this controller's messages reach
	// it. Heartbeats alone are no such evidence.
	drainUnresponsive
	// drainUnreachable: its heartbeats show that no replies reach it, and calls to it fail.
	drainUnreachable
	// drainAgentRestarted: its agent restarted within its lease, so its heartbeats can no longer be
	// ordered.
	drainAgentRestarted
	// drainBootTimeout: it never sent a heartbeat.
	drainBootTimeout
	// drainQuarantined: tasks of several jobs failed on it.
	drainQuarantined
	// drainSlow: its tasks take much longer than those of the same jobs elsewhere.
	drainSlow
	// drainUnresolvedStart: a start command whose attempt has been stopped may still arrive.
	drainUnresolvedStart
	// drainCannotReport: it answers calls, but its heartbeats reach no controller.
	drainCannotReport
	// drainKillTimeout: a task of a cancelled job was not reported as exited by its deadline.
	drainKillTimeout
	// drainIdle: it has had no tasks for a while.
	drainIdle
	// drainConsolidation: its service replicas fit on other machines.
	drainConsolidation
	// drainTransfer: it is being transferred to another partition.
	drainTransfer
)

// String returns the reason as it appears in the log.
func (r drainReason) String() string {
	switch r {
	case notDraining:
		return ""
	case drainUnresponsive:
		return "unresponsive"
	case drainUnreachable:
		return "unreachable"
	case drainAgentRestarted:
		return "agent restarted"
	case drainBootTimeout:
		return "boot timeout"
	case drainQuarantined:
		return "quarantined"
	case drainSlow:
		return "slow"
	case drainUnresolvedStart:
		return "unresolved start"
	case drainCannotReport:
		return "cannot report"
	case drainKillTimeout:
		return "kill timeout"
	case drainIdle:
		return "idle"
	case drainConsolidation:
		return "consolidation"
	case drainTransfer:
		return "transfer"
	}
	return "unknown"
}

// decommissions reports whether a machine that drains for this reason is never used again. The
// partition leader then only waits for its termination or the expiry of its agent lease.
func (r drainReason) decommissions() bool {
	return r == drainAgentRestarted || r == drainUnreachable || r == drainKillTimeout
}

// drainState records whether, why and since when a machine is draining.
type drainState struct {
	reason drainReason
	since  micros.Time
}

// startDrain stops assigning tasks to the machine. The next status is sent early, so that the cluster
// leader learns of the drain.
func (p *partitionLeader) startDrain(m *machine, reason drainReason) {
	m.drain = drainState{reason: reason, since: p.core.now}
	p.core.status.soon = true
	p.plan.stale = true
	p.core.log(messages.LevelInfo, "machine draining", "machine", m.id, "reason", reason, "attempts", len(m.attempts))
}

// decommissioned reports whether the machine is draining for a reason that decommissions it.
func (m *machine) decommissioned() bool { return m.drain.reason.decommissions() }
