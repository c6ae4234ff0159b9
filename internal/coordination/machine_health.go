package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

const (
	// probeReplyMargin is how long after a probe was due a machine that serves users may take to
	// answer.
	probeReplyMargin = 1500 * micros.Millisecond
	// preemptionMargin is how long after its preemption notice is over a spot machine may take to
	// disappear.
	preemptionMargin = micros.Second
	// bootMargin is added to some boot times of its type before a machine counts as one that
	// never boots.
	bootMargin = 10 * micros.Second
	// recoverySilence is within which time a machine must have been reached to be taken back.
	recoverySilence = micros.Second
)

// checkMachine judges the health of a machine in each tick: it notes that the agent lease
// expired, asks for a heartbeat that is missed, and starts or ends a drain.
func (p *partitionLeader) checkMachine(m *machine) {
	if m.instanceType == nil && p.core.catalog.Types() != nil {
		m.instanceType = p.core.catalog.Types()[m.record.InstanceType]
	}
	silence := p.detector.Silence(p.core.now, m.contact.LastContact())
	if p.agentLeaseExpired(m, silence) {
		p.core.log(messages.LevelInfo, "agent lease expired", "machine", m.id)
		p.clearAttempts(m)
		m.agent.ExpireLease()
	}
	if p.needsProbe(m, silence) {
		p.probeQueue = append(p.probeQueue, m)
	}
	if m.drain.reason == notDraining {
		if reason := p.reasonToDrain(m, silence); reason != notDraining {
			p.startDrain(m, reason)
		}
	}
	if p.recovered(m, silence) {
		m.drain.reason = notDraining
		p.plan.stale = true
	}
}

// agentLeaseExpired tells whether the agent lease has surely expired since the machine was last
// reached, so that all its tasks have ended. A partition leader that is cut off may have been
// replaced long before its term ends, and its successor may reply to a machine that is silent
// here: only a confirmation from after the lease's end that this process still leads shows that
// nobody renewed it.
func (p *partitionLeader) agentLeaseExpired(m *machine, silence micros.Time) bool {
	return m.inUse() &&
		!m.agent.LeaseExpired() &&
		p.core.term.ConfirmedSince(p.lastPossibleRenewal(m)+p.detector.AgentLeaseExpiry()) &&
		silence > p.suspicionTimeout()
}

// needsProbe tells whether the machine is to be asked for a heartbeat now: it did not answer the
// last call, does not obey the current fencing token, should have been preempted by now, or is
// silent.
func (p *partitionLeader) needsProbe(m *machine, silence micros.Time) bool {
	if !m.inUse() || !p.mayProbe(m) {
		return false
	}
	return m.contact.FailedCalls() > 0 ||
		!m.agent.Acknowledged(p.lease.fencingToken) ||
		p.preemptedFor(m, 0) ||
		(silence > p.suspicionTimeout()/4 && silence > p.probeAfter(m))
}

// reasonToDrain returns why the machine is to take no more tasks, or notDraining. What is cheap
// and certain about its connection comes first.
func (p *partitionLeader) reasonToDrain(m *machine, silence micros.Time) drainReason {
	switch {
	case p.unresponsive(m, silence),
		p.replicasUnresponsive(m, silence),
		p.silentSinceLeaseExpiry(m, silence),
		p.unresponsiveAfterPreemption(m):
		return drainUnresponsive
	case m.repliesNeverArrive():
		return drainUnreachable
	case p.delaysReconciliation(m):
		return drainUnresponsive
	case p.bootTimedOut(m):
		return drainBootTimeout
	case p.cannotReport(m):
		return drainCannotReport
	case p.core.faults.MachineAtFault(m.id):
		return drainQuarantined
	case m.runtime.IsSlow():
		return drainSlow
	case p.hasUnresolvedStart(m):
		return drainUnresolvedStart
	}
	return notDraining
}

// unresponsive tells whether neither heartbeats nor answers to calls came for too long, and the
// machine rather than the network is at fault.
func (p *partitionLeader) unresponsive(m *machine, silence micros.Time) bool {
	return m.inUse() &&
		silence > p.suspicionTimeout() &&
		(m.contact.FailedCalls() > 0 || m.address == "") &&
		p.networkRuledOut(m)
}

// replicasUnresponsive tells whether the machine has service replicas and did not answer two calls
// in a row: these do not wait for as long as heartbeats may take.
func (p *partitionLeader) replicasUnresponsive(m *machine, silence micros.Time) bool {
	return m.inUse() &&
		m.contact.FailedCalls() > 1 &&
		silence > p.probeAfter(m)+probeReplyMargin &&
		replicasOn(m) > 0 &&
		p.networkRuledOut(m)
}

// silentSinceLeaseExpiry tells whether the machine has long been empty and silent: a fault of the
// network near this controller would have shown by now.
func (p *partitionLeader) silentSinceLeaseExpiry(m *machine, silence micros.Time) bool {
	return m.inUse() && m.agent.LeaseExpired() && silence > 3*p.detector.AgentLeaseExpiry()
}

// unresponsiveAfterPreemption tells whether the cloud was to take the machine by now, and it does
// not answer.
func (p *partitionLeader) unresponsiveAfterPreemption(m *machine) bool {
	return m.inUse() && p.preemptedFor(m, preemptionMargin) && m.contact.FailedCalls() > 0
}

// preemptedFor tells whether the cloud was to take the machine more than some time ago.
func (p *partitionLeader) preemptedFor(m *machine, duration micros.Time) bool {
	return m.lifecycle.preemptAt != 0 && p.core.now > m.lifecycle.preemptAt+duration
}

// repliesNeverArrive tells whether the machine sends heartbeats, but neither replies to them nor
// calls reach it.
func (m *machine) repliesNeverArrive() bool {
	return m.contact.RepliesLost() && m.contact.FailedCalls() > 1
}

// delaysReconciliation tells whether the machine may have tasks of jobs from before this lease and
// does not answer, while most others do. These jobs wait for the last machine that could have their
// tasks: after a failover one that does not answer is not waited for any longer. Its heartbeats may
// arrive: that says nothing of the way back.
func (p *partitionLeader) delaysReconciliation(m *machine) bool {
	return !m.agent.Reconciled() && m.contact.FailedCalls() > 1 && p.detector.MostReconciled(p.core.now)
}

// bootTimedOut tells whether the machine has not sent its first heartbeat in some times the boot
// time of its type.
func (p *partitionLeader) bootTimedOut(m *machine) bool {
	return !m.inUse() &&
		m.instanceType != nil &&
		p.core.now-m.lifecycle.addedAt > 3*m.instanceType.Boot+bootMargin
}

// hasUnresolvedStart tells whether a start command got no reply, is no longer wanted, and has not
// been resolved for a good part of an agent lease. It may still arrive: only the end of the machine,
// or of its agent's epoch, resolves it.
func (p *partitionLeader) hasUnresolvedStart(m *machine) bool {
	if !m.commands.HasUnansweredStarts() {
		return false
	}
	for _, a := range m.attempts {
		if a.stop.ordered && !a.start.reported && a.start.unanswered > 0 &&
			p.core.now-a.stop.orderedAt > p.core.config.AgentLease()/2 {
			return true
		}
	}
	return false
}

// recovered tells whether a machine that drains as unresponsive came back before it was
// terminated.
func (p *partitionLeader) recovered(m *machine, silence micros.Time) bool {
	return m.drain.reason == drainUnresponsive &&
		silence < recoverySilence &&
		m.agent.Usable(p.lease.fencingToken)
}
