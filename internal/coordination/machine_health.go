package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

const (
	// probeReplyMargin is how long a machine with service replicas may take to answer, counted from
	// when it was due to be probed.
	probeReplyMargin = 1500 * micros.Millisecond
	// preemptionMargin is how long a spot machine may remain after the time given in its preemption
	// notice.
	preemptionMargin = micros.Second
	// bootMargin is added to three times the boot time of an instance type to give the boot timeout
	// of its machines.
	bootMargin = 10 * micros.Second
	// silentLeases is the number of agent leases after which a silent machine without tasks is terminated, even
	// if most of the fleet is silent.
	silentLeases = 3
	// silentLeasesWithTasks is the same for a machine with tasks, which wait for the termination.
	silentLeasesWithTasks = 2
	// recoverySilence is how recently an unresponsive machine must have been in contact for its drain
	// to end.
	recoverySilence = micros.Second
)

// checkMachine checks the health of a machine on each tick: it detects that the agent lease has
// expired, queues a probe if one is needed, and starts or ends a drain.
func (p *partitionLeader) checkMachine(m *machine) {
	if m.instanceType == nil && p.core.catalog.Types() != nil {
		m.instanceType = p.core.catalog.Types()[m.record.InstanceType]
	}
	silence := p.detector.Silence(p.core.now, m.contact.LastContact())
	if p.agentLeaseExpired(m, silence) {
		p.endAgentLease(m)
	}
	if p.needsProbe(m, silence) {
		p.probeQueue = append(p.probeQueue, m)
	}
	if m.drain.reason == notDraining {
		if reason := p.reasonToDrain(m, silence); reason != notDraining {
			p.startDrain(m, reason)
			if reason == drainQuarantined {
				p.core.faults.Quarantined(m.id)
			}
		}
	}
	if p.recovered(m, silence) {
		p.core.log(messages.LevelInfo, "machine recovered", "machine", m.id, "reason", m.drain.reason)
		m.drain.reason = notDraining
		p.plan.stale = true
	}
}

// agentLeaseExpired reports whether the last agent lease that this process knows of is certain to have expired
// since the last contact with the machine. An isolated partition leader may have been replaced long before its term
// ends, and its successor may be replying to a machine that is silent here. Therefore this process's leadership must
// have been confirmed after the lease expired: only that rules out that another leader renewed it.
func (p *partitionLeader) agentLeaseExpired(m *machine, silence micros.Time) bool {
	return m.inUse() &&
		!m.agent.LeaseExpired() &&
		silence > p.suspicionTimeout() &&
		p.core.term.ConfirmedSince(p.lastPossibleLeaseStart(m)+p.detector.AgentLeaseExpiry())
}

// lastPossibleLeaseStart returns the latest time at which the machine's agent can have begun or renewed its lease,
// as far as time can tell. The tasks of a machine that is not reconciled are unknown, and keep all older jobs waiting.
// Its agent may have restarted once before its lease expired; a further restart is not waited for.
func (p *partitionLeader) lastPossibleLeaseStart(m *machine) micros.Time {
	start := p.lastPossibleRenewal(m)
	if !m.agent.Reconciled() {
		start += p.core.config.AgentLease()
	}
	return start
}

// endAgentLease records that the last known agent lease of a silent machine expired. This ends no attempt whose start
// was sent: the agent may have restarted unseen, which began another lease, and may have executed a copy of the start
// since. Such attempts wait until the machine is terminated or heard again.
func (p *partitionLeader) endAgentLease(m *machine) {
	p.revokeUnsentStarts(m)
	if m.hasActiveAttempts() {
		return
	}
	p.core.log(messages.LevelInfo, "agent lease expired", "machine", m.id)
	p.clearAttempts(m, messages.EndLeaseExpired)
	m.agent.ExpireLease()
}

// needsProbe reports whether the machine should be asked for a heartbeat now: it did not answer the
// last call, has not acknowledged its required fencing token, should have been preempted by now, or
// is silent.
func (p *partitionLeader) needsProbe(m *machine, silence micros.Time) bool {
	if !m.inUse() || !p.mayProbe(m) {
		return false
	}
	// A quarter of the suspicion timeout is a lower bound of probeAfter: comparing with it first avoids
	// counting the service replicas of most machines.
	return m.contact.FailedCalls() > 0 ||
		!m.agent.Acknowledged(m.requiredToken) ||
		p.preemptionOverdue(m, 0) ||
		(silence > p.suspicionTimeout()/4 && silence > p.probeAfter(m))
}

// reasonToDrain returns why the machine should not receive any more tasks, or notDraining. Cheap and
// reliable checks of its connection come first.
func (p *partitionLeader) reasonToDrain(m *machine, silence micros.Time) drainReason {
	switch {
	case p.unresponsive(m, silence),
		p.replicasUnresponsive(m, silence),
		p.silentSinceLeaseExpiry(m, silence),
		p.unresponsiveAfterPreemption(m):
		return drainUnresponsive
	case m.unreachable():
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

// unresponsive reports whether there has been no contact with the machine for too long, by heartbeats
// or by calls, and the machine rather than the network is at fault.
func (p *partitionLeader) unresponsive(m *machine, silence micros.Time) bool {
	return m.inUse() &&
		silence > p.suspicionTimeout() &&
		(m.contact.FailedCalls() > 0 || m.address == "") &&
		p.networkRuledOut(m)
}

// replicasUnresponsive reports whether the machine has service replicas and did not answer two
// consecutive calls. Replicas are replaced without waiting for the suspicion timeout.
func (p *partitionLeader) replicasUnresponsive(m *machine, silence micros.Time) bool {
	return m.inUse() &&
		m.contact.FailedCalls() > 1 &&
		silence > p.probeAfter(m)+probeReplyMargin &&
		replicasOn(m) > 0 &&
		p.networkRuledOut(m)
}

// silentSinceLeaseExpiry reports whether the machine has been silent for a long time and its last known agent lease
// has expired. A fault of the network near this controller would have been
// detected by now.
func (p *partitionLeader) silentSinceLeaseExpiry(m *machine, silence micros.Time) bool {
	if !m.inUse() {
		return false
	}
	if m.agent.LeaseExpired() {
		return silence > silentLeases*p.detector.AgentLeaseExpiry()
	}
	return p.agentLeaseExpired(m, silence) && silence > silentLeasesWithTasks*p.detector.AgentLeaseExpiry()
}

// unresponsiveAfterPreemption reports whether the cloud should have preempted the machine by now and
// the machine does not answer.
func (p *partitionLeader) unresponsiveAfterPreemption(m *machine) bool {
	return m.inUse() && p.preemptionOverdue(m, preemptionMargin) && m.contact.FailedCalls() > 0
}

// preemptionOverdue reports whether the cloud should have preempted the machine more than the given
// margin ago.
func (p *partitionLeader) preemptionOverdue(m *machine, margin micros.Time) bool {
	return m.lifecycle.preemptAt != 0 && p.core.now > m.lifecycle.preemptAt+margin
}

// unreachable reports whether the machine sends heartbeats, but neither replies to them nor calls reach
// it.
func (m *machine) unreachable() bool {
	return m.contact.RepliesLost() && m.contact.FailedCalls() > 1
}

// delaysReconciliation reports whether the machine may run tasks of jobs from before this leadership
// lease and does not answer, while most other machines are reconciled. Those jobs wait for every
// machine that could run their tasks, so after a failover a machine that does not answer is no longer
// waited for. That includes one whose heartbeats arrive, since they do not show that messages reach
// the machine.
func (p *partitionLeader) delaysReconciliation(m *machine) bool {
	return !m.agent.Reconciled() && m.contact.FailedCalls() > 1 && p.detector.MostReconciled(p.core.now)
}

// bootTimedOut reports whether the machine did not send its first heartbeat within the boot timeout of
// its instance type.
func (p *partitionLeader) bootTimedOut(m *machine) bool {
	return !m.inUse() &&
		m.instanceType != nil &&
		p.core.now-m.lifecycle.addedAt > 3*m.instanceType.Boot+bootMargin
}

// hasUnresolvedStart reports whether a start command got no reply, its attempt has been stopped since,
// and its outcome has been unknown for more than half an agent lease. The command may still arrive
// until the machine or its agent's epoch ends.
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

// recovered reports whether the reason for which a machine drains has turned out not to hold, before the
// machine was terminated: an unresponsive machine is in contact again, or the tasks that failed on a
// quarantined one belong to jobs that fail everywhere. A quarantined machine without active tasks is
// terminated all the same, since the cluster leader may have been told to.
func (p *partitionLeader) recovered(m *machine, silence micros.Time) bool {
	if m.drain.reason == drainQuarantined {
		return p.core.faults.Exonerated(m.id) && m.hasActiveAttempts()
	}
	return m.drain.reason == drainUnresponsive &&
		silence < recoverySilence &&
		m.agent.Usable(m.requiredToken)
}
