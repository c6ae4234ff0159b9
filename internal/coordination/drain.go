package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// drainReason is why a machine takes no more tasks.
type drainReason uint8

const (
	notDraining drainReason = iota
	// drainUnresponsive: nothing has shown for too long that our messages reach it. Heartbeats alone do
	// not show that.
	drainUnresponsive
	// drainUnreachable: it sends heartbeats, but shows that no reply reaches it.
	drainUnreachable
	// drainAgentRestarted: its agent began anew within its lease, so that its heartbeats can't be
	// put in order any more.
	drainAgentRestarted
	// drainBootTimeout: it never sent a heartbeat.
	drainBootTimeout
	// drainQuarantined: tasks of several jobs failed on it.
	drainQuarantined
	// drainSlow: its tasks take much longer than those of the same jobs elsewhere.
	drainSlow
	// drainUnresolvedStart: a start command that is no longer wanted may still arrive.
	drainUnresolvedStart
	// drainCannotReport: calls reach it, but its heartbeats reach no controller.
	drainCannotReport
	// drainKillTimeout: a task of a cancelled job was not shown as gone in time.
	drainKillTimeout
	// drainIdle: it has had no task for a while.
	drainIdle
	// drainConsolidation: its service replicas fit on other machines.
	drainConsolidation
	// drainTransfer: it moves to another partition.
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

// decommissions tells whether a machine that drains for this reason is given up for good: only
// its termination, or the expiry of its agent lease, is waited for.
func (r drainReason) decommissions() bool {
	return r == drainAgentRestarted || r == drainUnreachable || r == drainKillTimeout
}

// drainState says whether, why and since when the machine takes no more tasks.
type drainState struct {
	reason drainReason
	since  micros.Time
}

// startDrain lets the machine take no more tasks; the cluster leader is told soon.
func (p *partitionLeader) startDrain(m *machine, reason drainReason) {
	m.drain = drainState{reason: reason, since: p.core.now}
	p.core.status.soon = true
	p.plan.stale = true
	p.core.log(messages.LevelInfo, "machine draining", "machine", m.id, "reason", reason, "attempts", len(m.attempts))
}

// decommissioned tells whether the machine is given up for good.
func (m *machine) decommissioned() bool { return m.drain.reason.decommissions() }
