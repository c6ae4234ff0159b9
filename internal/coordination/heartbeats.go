package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// ignoreReason is the reason for ignoring a heartbeat, as it appears in the log.
type ignoreReason string

const (
	// ignoredStaleCopy: the agent no longer waits for a reply to this heartbeat, or it has restarted.
	ignoredStaleCopy ignoreReason = "stale copy"
	// ignoredEndedEpoch: the agent lease expired after the heartbeat was sent.
	ignoredEndedEpoch ignoreReason = "ended agent epoch"
	// ignoredRestarted: the agent has restarted, so the heartbeat may come from its former process.
	ignoredRestarted ignoreReason = "agent restarted"
)

// routeHeartbeat passes a heartbeat to the leader of its machine's partition if that leader runs in
// this process, and otherwise redirects the agent to the controller that leads the partition. It
// answers that the service is unavailable if this process has not read the store yet, or if it
// knows no leader to redirect the agent to. The heartbeat of a machine without a record goes to
// handleUnmanagedHeartbeat.
func (c *Core) routeHeartbeat(in *messages.HeartbeatRequest) {
	if !c.replica.Synced() {
		c.respondUnavailable(in.Request, starting)
		return
	}
	record, ok := c.cache.Machines[in.Heartbeat.Machine]
	if !ok {
		c.handleUnmanagedHeartbeat(in)
		return
	}
	leader := c.partitions[record.Value.Partition]
	if leader == nil {
		c.redirectToPartitionLeader(in, record.Value)
		return
	}
	leader.handleHeartbeat(in)
}

// handleUnmanagedHeartbeat handles the heartbeat of a machine without a record, which the cluster
// leader may adopt.
func (c *Core) handleUnmanagedHeartbeat(in *messages.HeartbeatRequest) {
	leader := c.cache.ClusterLeader
	switch {
	case c.isClusterLeader():
		c.leader.HandleUnmanagedHeartbeat(in.Heartbeat)
		c.respondUnavailable(in.Request, unknownMachine)
	case leader.ModRevision != 0 && leader.Value.Member != c.process.Member && !c.isolated():
		c.redirectHeartbeat(in.Request, leader.Value.Member)
	default:
		c.respondUnavailable(in.Request, noClusterLeader)
	}
}

// redirectToPartitionLeader redirects an agent to the leader of its machine's partition, if that
// leader is alive and not known to be unreachable from the machine.
func (c *Core) redirectToPartitionLeader(in *messages.HeartbeatRequest, machine storage.Machine) {
	partition, ok := c.cache.Partitions[machine.Partition]
	leader := partition.Value.Leader
	if ok && leader.Member != c.process.Member && c.cache.Live(leader) && !c.isolated() &&
		!c.unreachableFromLeader(in.Heartbeat, machine, partition) {
		c.redirectHeartbeat(in.Request, leader.Member)
		return
	}
	c.respondUnavailable(in.Request, noPartitionLeader)
}

// redirectHeartbeat redirects an agent to another controller. With an empty member name the agent
// chooses the controller itself.
func (c *Core) redirectHeartbeat(request messages.RequestID, member string) {
	c.respond(messages.Response{Request: request, Kind: messages.HeartbeatRedirected, RedirectTo: member})
}

// handleHeartbeat processes a heartbeat of a machine of the partition and replies with commands.
func (p *partitionLeader) handleHeartbeat(in *messages.HeartbeatRequest) {
	h := in.Heartbeat
	m := p.machine(h.Machine)
	if m == nil {
		p.core.respondUnavailable(in.Request, unknownMachine)
		return
	}
	if p.fencedOff(h) {
		// No leader is named: what this process knows about other leaders may be as outdated as its
		// own term.
		p.core.redirectHeartbeat(in.Request, "")
		return
	}
	if m.agent.IsStaleCopy(h, p.core.now) {
		p.logIgnoredHeartbeat(ignoredStaleCopy, m, h)
		p.core.respondUnavailable(in.Request, staleHeartbeat)
		return
	}
	newer := m.agent.IsNewer(h)
	if newer {
		p.observeReplyReceipt(m, h)
		p.observeHeartbeat(m, h)
	}
	if m.decommissioned() || m.contact.RepliesLost() {
		// Another reply would only postpone the time at which its lease has certainly expired.
		p.core.respondUnavailable(in.Request, machineDecommissioned)
		return
	}
	p.acknowledgeHeartbeat(in.Request, m, newer)
}

// fencedOff reports whether this process must not reply to a heartbeat as partition leader. After
// the term another process may lead the partition. A cancellation that this process has not seen
// then relies on the expiry of the agent lease to end the machine's tasks, so the lease must not be
// renewed here. An agent with a higher token would drop a reply that carries this leader's token,
// and would keep sending its heartbeats here until its tasks are killed.
func (p *partitionLeader) fencedOff(h *messages.Heartbeat) bool {
	if !p.core.term.Valid(p.core.now) {
		return true
	}
	if h.FencingToken > p.lease.fencingToken {
		p.invalidateTerm()
		return true
	}
	return false
}

// invalidateTerm ends the term because an agent has seen a higher fencing token: this lease has
// ended or is about to be renewed with a new token. The process does not act as leader until the
// change stream shows which.
func (p *partitionLeader) invalidateTerm() { p.core.term.Invalidate() }

// observeReplyReceipt records whether a newer heartbeat shows that the reply to the previous one was
// received. The reply was lost if the heartbeat carries no fencing token of this lease, or if the
// agent's epoch ended.
func (p *partitionLeader) observeReplyReceipt(m *machine, h *messages.Heartbeat) {
	exchangeBroken := h.FencingToken < p.lease.acquiredToken || h.AgentEpoch > m.agent.Epoch()
	if m.contact.ObserveNextHeartbeat(exchangeBroken, p.core.now) {
		m.commands.EndDelay()
	}
}

// observeHeartbeat updates the state of a machine from a heartbeat, whether the agent sent it on its
// own or in reply to a call.
func (p *partitionLeader) observeHeartbeat(m *machine, h *messages.Heartbeat) {
	if m.agent.Restarted() {
		p.logIgnoredHeartbeat(ignoredRestarted, m, h)
		return
	}
	if !m.agent.IsNewer(h) {
		return
	}
	if m.agent.ShowsRestart(h, p.lease.acquiredToken) {
		p.drainRestarted(m, h)
		return
	}
	if h.AgentEpoch > m.agent.Epoch() {
		p.beginEpoch(m, h.AgentEpoch)
	}
	m.agent.Observe(h, p.core.now)
	if m.agent.LeaseExpired() {
		// The heartbeat was sent before the lease expired and arrived late. Its tasks have ended.
		p.logIgnoredHeartbeat(ignoredEndedEpoch, m, h)
		return
	}
	m.observeInstance(h, p.core.now)
	if h.FencingToken > p.lease.fencingToken {
		p.invalidateTerm()
		return
	}
	m.agent.Acknowledge(h.FencingToken)
	if !m.agent.Acknowledged(m.requiredToken) {
		// The heartbeat does not acknowledge a token of this lease. It may be a copy of an old
		// heartbeat, or commands of the former leader may still take effect after it, so its task
		// list is not used.
		return
	}
	if m.lostAttempts(h) {
		p.drainRestarted(m, h)
		return
	}
	p.reconcileTasks(m, h)
	if !m.agent.Reconciled() {
		m.agent.Reconcile()
		p.plan.stale = true
	}
	p.handlePreemptionNotice(m)
}

// observeInstance records the machine's address and preemption notice from a heartbeat.
func (m *machine) observeInstance(h *messages.Heartbeat, now micros.Time) {
	if h.Address != "" {
		m.address = h.Address
	}
	m.lifecycle.preemptAt = 0
	if h.PreemptionNotice >= 0 {
		m.lifecycle.preemptAt = now + h.PreemptionNotice
	}
}

// beginEpoch handles a new agent epoch: the machine's agent lease ended, and the agent killed and
// forgot all its tasks.
func (p *partitionLeader) beginEpoch(m *machine, epoch uint64) {
	if m.agent.HasHeartbeat() {
		p.clearAttempts(m, messages.EndLaterEpoch)
	}
	m.agent.BeginEpoch(epoch, p.core.now)
	p.plan.stale = true
}

// drainRestarted drains a machine whose agent restarted within its lease, as a heartbeat shows. Its epoch and
// sequence may be lower than those seen before, so its heartbeats can no longer be ordered. It has seen no fencing
// token, so copies of earlier commands may have started its tasks again, and it may restart once more unseen. Only
// the machine's termination makes certain that its tasks have ended.
func (p *partitionLeader) drainRestarted(m *machine, h *messages.Heartbeat) {
	if m.agent.Restarted() {
		return
	}
	p.logStartsAfterRestart(m, h)
	p.revokeUnsentStarts(m)
	m.commands.RemoveStarts()
	m.agent.Restart(h.AgentEpoch)
	m.contact.LeaseRestarted(p.core.now)
	if !m.decommissioned() {
		p.startDrain(m, drainAgentRestarted)
	}
}

// ignoredLogInterval is the minimum time between log records of ignored heartbeats.
const ignoredLogInterval = 5 * micros.Second

// logIgnoredHeartbeat logs an ignored heartbeat, at most once per ignoredLogInterval.
func (p *partitionLeader) logIgnoredHeartbeat(reason ignoreReason, m *machine, h *messages.Heartbeat) {
	now := p.core.now
	if p.ignoredHeartbeatLoggedAt != 0 && now-p.ignoredHeartbeatLoggedAt < ignoredLogInterval {
		return
	}
	p.ignoredHeartbeatLoggedAt = now
	p.core.log(messages.LevelInfo, "heartbeat ignored",
		"reason", string(reason), "machine", m.id,
		"agent_epoch", h.AgentEpoch, "sequence", h.Sequence,
		"known_agent_epoch", m.agent.Epoch(), "known_sequence", m.agent.Position().Sequence)
}
