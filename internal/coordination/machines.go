package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/agents"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// machine is a machine of the holder's blocks.
type machine struct {
	id           string
	record       storage.Machine
	modRevision  uint64 // of the key of the machine's block
	instanceType *workload.InstanceType
	address      string

	agent     agents.Progress
	contact   agents.Contact
	lifecycle machineLifecycle
	drain     drainState
	runtime   agents.RuntimeRatio

	attempts map[messages.AttemptID]*attempt
	images   agents.ImageCache
	commands agents.CommandQueue
}

// machineLifecycle is when the machine came, was last used, and will be taken.
type machineLifecycle struct {
	addedAt           micros.Time
	idleSince         micros.Time // 0: it has tasks
	startsPausedUntil micros.Time
	preemptAt         micros.Time // when the cloud takes the spot instance; 0: no preemption notice
	preemptionHandled bool        // the tasks that will not end before preemptAt were stopped
}

// drainState says whether, why and since when the machine takes no more tasks.
type drainState struct {
	reason drainReason
	since  micros.Time
}

func (p *partitionLeader) machine(id string) *machine {
	i, ok := slices.BinarySearchFunc(p.machines, id, func(m *machine, id string) int { return cmp.Compare(m.id, id) })
	if !ok {
		return nil
	}
	return p.machines[i]
}

// useImage notes that a task with this image was started on the machine. What its cache holds
// is not known before its instance type is.
func (m *machine) useImage(name string, gb float64) {
	if name == "" {
		return
	}
	m.images.Use(name, gb)
	if m.instanceType != nil {
		m.images.Evict(m.instanceType.CacheGB)
	}
}

// schedulable tells whether tasks may be started on the machine.
func (p *partitionLeader) schedulable(m *machine) bool {
	return m.agent.Usable(p.lease.fencingToken) && m.record.Used && m.drain.reason == notDraining &&
		m.lifecycle.preemptAt == 0 && m.address != "" && m.contact.FailedCalls() == 0 && p.core.now-m.contact.LastContact() < p.suspicionTimeout()*3/4 && p.sinceLastRenewal(m) < p.core.config.AgentLease()/2
}

func (p *partitionLeader) checkMachine(m *machine) {
	now := p.core.now
	if m.instanceType == nil && p.core.catalog != nil {
		m.instanceType = p.core.catalog[m.record.InstanceType]
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

// handlePreemptionNotice stops what will not have ended when the cloud takes the machine: it would
// be lost then, and begins elsewhere by the time of the notice sooner; what can save
// its progress does so.
func (p *partitionLeader) handlePreemptionNotice(m *machine) {
	if m.lifecycle.preemptAt == 0 || m.lifecycle.preemptionHandled || !m.agent.Acknowledged(p.lease.fencingToken) || !m.agent.Reconciled() {
		return
	}
	m.lifecycle.preemptionHandled = true
	left := m.lifecycle.preemptAt - p.core.now
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state == messages.Exited || a.stop.ordered || a.job == nil || a.job.Kind == workload.Service || p.remaining(a) <= left {
			continue
		}
		grace := micros.Time(0)
		if a.job.CheckpointInterval > 0 && a.job.CheckpointDuration < left {
			grace = a.job.CheckpointDuration
		}
		p.stopAttempt(a, grace)
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

// reconciledHere is usable apart from draining.
func (p *partitionLeader) reconciledHere(m *machine) bool {
	return m.agent.Usable(p.lease.fencingToken)
}

func (p *partitionLeader) startDrain(m *machine, reason drainReason) {
	m.drain = drainState{reason: reason, since: p.core.now}
	p.core.status.soon = true
	p.plan.stale = true
	p.core.log(messages.LevelInfo, "machine draining", "machine", m.id, "reason", reason, "attempts", len(m.attempts))
}

// useWriteInterval is how long machines that boot after others of their block wait to be
// marked together.
const useWriteInterval = 300 * micros.Millisecond

// persistMachineUse writes which machines are in use, before their first task, a block's
// together.
func (p *partitionLeader) persistMachineUse() {
	var marked map[string]storage.BlockRecord
	var order []string
	for _, m := range p.machines {
		if m.record.Used || !m.agent.HeardFrom() || !m.agent.Acknowledged(p.lease.fencingToken) || m.drain.reason != notDraining || p.core.now < p.useWriteAfter[m.record.Block] {
			continue
		}
		name := m.record.Block
		b, ok := marked[name]
		if !ok {
			if b, ok = p.core.cache.Blocks[name].Value, p.core.cache.Blocks[name].ModRevision == m.modRevision; !ok {
				continue
			}
			if marked == nil {
				marked = map[string]storage.BlockRecord{}
			}
			order = append(order, name)
		}
		marked[name] = b.With(m.id, storage.MachineRecord{Address: m.address, Used: true})
	}
	for _, name := range order {
		p.useWriteAfter[name] = p.core.now + storeTimeout + micros.Second
		r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{{Key: p.core.keys.Partition(p.partition), ModRevision: p.lease.fencingToken},
			{Key: p.core.keys.Block(name), ModRevision: p.core.cache.Blocks[name].ModRevision}}}
		p.core.putBlock(r, name, marked[name])
		if !p.core.callStore(r, storage.Urgent, storeTimeout, func(*storage.Reply) { p.useWriteAfter[name] = p.core.now + useWriteInterval }) {
			p.useWriteAfter[name] = p.core.now + useWriteInterval
			break
		}
	}
}

// terminable tells whether a machine can be given back: nothing runs there, and no result is
// kept there alone. A start without an answer may still be carried out late, but not after
// the deletion, and before it the worker knows the attempt, so that it has no effect.
func (p *partitionLeader) terminable(m *machine) bool {
	if m.commands.CallInFlight() || !m.commands.Empty() {
		return false
	}
	for _, a := range m.attempts {
		if a.state != messages.Exited || !a.persisted || a.start.inFlight > 0 {
			return false
		}
	}
	return true
}

// transferable tells whether nothing on the machine matters any more: it could serve another
// queue, where nobody would know of a start that is carried out late.
func (p *partitionLeader) transferable(m *machine) bool {
	for _, a := range m.attempts {
		if a.start.unanswered > 0 {
			return false
		}
	}
	return p.terminable(m)
}

// decommissioned tells whether the machine is given up for good: only its deletion, or the
// end of its lease, is waited for.
func (m *machine) decommissioned() bool {
	return m.drain.reason == drainAgentRestarted || m.drain.reason == drainUnreachable || m.drain.reason == drainKillTimeout
}
