package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

func (p *partitionLeader) checkMachine(m *machine) {
	now := p.core.now
	if m.instanceType == nil && p.core.catalog.Types() != nil {
		m.instanceType = p.core.catalog.Types()[m.record.InstanceType]
	}
	up := m.inUse()
	quiet := p.detector.Silence(now, m.contact.LastContact())
	// A holder that is cut off may have been replaced long before its term ends, and its
	// successor may answer a machine that is silent here: only news from after the lease's end,
	// that this is still the holder, show that nobody renewed it.
	if up && !m.agent.LeaseExpired() && p.core.term.ConfirmedSince(p.lastPossibleRenewal(m)+p.core.config.AgentLeaseExpiry()) && quiet > p.suspicionTimeout() {
		p.core.log(messages.LevelInfo, "agent lease expired", "machine", m.id)
		p.clearAttempts(m)
		m.agent.ExpireLease()
	}
	if up && p.mayProbe(m) && (m.contact.FailedCalls() > 0 || !m.agent.Acknowledged(p.lease.fencingToken) || (m.lifecycle.preemptAt != 0 && now > m.lifecycle.preemptAt) || (quiet > p.suspicionTimeout()/4 && quiet > p.probeAfter(m))) {
		p.probeQueue = append(p.probeQueue, m)
	}
	if m.drain.reason == notDraining {
		switch {
		case up && quiet > p.suspicionTimeout() && (m.contact.FailedCalls() > 0 || m.address == "") && p.networkRuledOut(m):
			p.startDrain(m, drainUnresponsive)
		case up && m.contact.FailedCalls() > 1 && quiet > p.probeAfter(m)+1500*micros.Millisecond && replicasOn(m) > 0 && p.networkRuledOut(m):
			// Two calls in a row without an answer: its replicas do not wait for the
			// time that reports may take.
			p.startDrain(m, drainUnresponsive)
		case up && m.agent.LeaseExpired() && quiet > 3*p.core.config.AgentLeaseExpiry():
			// Long empty; a fault near this controller would have shown by now.
			p.startDrain(m, drainUnresponsive)
		case up && m.lifecycle.preemptAt != 0 && now > m.lifecycle.preemptAt+micros.Second && m.contact.FailedCalls() > 0:
			// It was to be taken by now, and does not answer.
			p.startDrain(m, drainUnresponsive)
		case m.contact.RepliesLost() && m.contact.FailedCalls() > 1:
			p.startDrain(m, drainUnreachable)
		case !m.agent.Reconciled() && m.contact.FailedCalls() > 1 && p.detector.MostReconciled(now):
			// Older jobs wait for the last machine that could have their tasks: after
			// a takeover one that does not answer, while the others do, is not waited
			// for any longer. Its reports may arrive: that says nothing of the way back.
			p.startDrain(m, drainUnresponsive)
		case !up && m.instanceType != nil && now-m.lifecycle.addedAt > 3*m.instanceType.Boot+10*micros.Second:
			p.startDrain(m, drainBootTimeout)
		case p.cannotReport(m):
			p.startDrain(m, drainCannotReport)
		case p.core.faults.MachineAtFault(m.id):
			p.startDrain(m, drainQuarantined)
		case m.runtime.IsSlow():
			p.startDrain(m, drainSlow)
		case p.hasUnresolvedStart(m):
			// A start that is no longer wanted may still arrive: only the end of the
			// machine, or of its session, settles that.
			p.startDrain(m, drainUnresolvedStart)
		}
	}
	if m.drain.reason == drainUnresponsive && quiet < micros.Second && p.reconciledHere(m) {
		m.drain.reason = notDraining // it came back before it was deleted
		p.plan.stale = true
	}
}

// hasUnresolvedStart tells whether a start was sent in vain, is no longer wanted, and
// has not been settled for a good part of a worker's lease.
func (p *partitionLeader) hasUnresolvedStart(m *machine) bool {
	if !m.commands.HasUnansweredStarts() {
		return false
	}
	for _, a := range m.attempts {
		if a.stop.ordered && !a.start.reported && a.start.unanswered > 0 && p.core.now-a.stop.orderedAt > p.core.config.AgentLease()/2 {
			return true
		}
	}
	return false
}
