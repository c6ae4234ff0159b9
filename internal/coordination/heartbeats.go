package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// ignoreReason is why a heartbeat is not believed, as it appears in the log.
type ignoreReason string

const (
	// ignoredStaleCopy: the agent does not wait for a reply to this heartbeat any more, or it began
	// anew.
	ignoredStaleCopy ignoreReason = "stale copy"
	// ignoredEndedEpoch: the agent lease expired since the heartbeat was sent.
	ignoredEndedEpoch ignoreReason = "ended agent epoch"
)

// routeHeartbeat has a heartbeat answered by the leader of its machine's partition, or sends the
// agent to the controller that can.
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

// handleUnmanagedHeartbeat handles the heartbeat of a machine without a record: the cluster leader
// may adopt it.
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

// redirectToPartitionLeader sends an agent to the leader of its machine's partition, if that runs
// and is thought to hear the machine.
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

// redirectHeartbeat sends an agent to another controller, or, without a name, to whichever it finds.
func (c *Core) redirectHeartbeat(request messages.RequestID, member string) {
	c.respond(messages.Response{Request: request, Kind: messages.HeartbeatRedirected, RedirectTo: member})
}

// handleHeartbeat takes a heartbeat of a machine of the partition, and replies with commands.
func (p *partitionLeader) handleHeartbeat(in *messages.HeartbeatRequest) {
	h := in.Heartbeat
	m := p.machine(h.Machine)
	if m == nil {
		p.core.respondUnavailable(in.Request, unknownMachine)
		return
	}
	if p.fencedOff(h) {
		// Nobody is named: what is known here of other leaders is as old as the term.
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
		// More replies would only put off the time from which its lease has surely expired.
		p.core.respondUnavailable(in.Request, machineDecommissioned)
		return
	}
	p.acknowledgeHeartbeat(in.Request, m, newer)
}

// fencedOff tells whether this process may not reply to a heartbeat as partition leader. Past the
// term somebody else may lead: a cancellation that is not seen here must end the machine's tasks
// when its agent lease expires. An agent with a higher token would drop a reply under this one,
// and stay here until its tasks are killed.
func (p *partitionLeader) fencedOff(h *messages.Heartbeat) bool {
	if !p.core.term.Valid(p.core.now) {
		return true
	}
	if h.FencingToken > p.lease.fencingToken {
		p.supersededByToken()
		return true
	}
	return false
}

// supersededByToken notes that somebody has a higher token, so that this lease has ended, or is
// about to be renewed: nothing is done until the change stream shows which.
func (p *partitionLeader) supersededByToken() { p.core.term.Invalidate() }

// acknowledgeHeartbeat replies to a heartbeat, which renews the agent lease. Commands go only with
// the reply to a newer one: a copy shows no more what the agent has.
func (p *partitionLeader) acknowledgeHeartbeat(request messages.RequestID, m *machine, newer bool) {
	m.contact.Replied(p.core.now)
	var commands []messages.Command
	if newer {
		commands = p.commandsFor(m)
	}
	p.core.respond(messages.Response{
		Request:      request,
		Kind:         messages.HeartbeatAcknowledged,
		FencingToken: p.lease.fencingToken,
		Commands:     commands,
	})
}

// observeReplyReceipt notes what a newer heartbeat says of the reply to the one before. The reply
// was lost if the heartbeat shows no exchange under this lease, or if the epoch ended.
func (p *partitionLeader) observeReplyReceipt(m *machine, h *messages.Heartbeat) {
	exchangeBroken := h.FencingToken < p.lease.acquiredToken || h.AgentEpoch > m.agent.Epoch()
	if m.contact.ObserveNextHeartbeat(exchangeBroken, p.core.now) {
		m.commands.EndDelay()
	}
}

// observeHeartbeat notes what a heartbeat shows, whether the agent sent it by itself or in reply to
// a call.
func (p *partitionLeader) observeHeartbeat(m *machine, h *messages.Heartbeat) {
	if !m.agent.IsNewer(h) {
		return
	}
	if m.agent.ShowsRestart(h, p.lease.acquiredToken) {
		p.drainRestarted(m)
		return
	}
	if h.AgentEpoch > m.agent.Epoch() {
		p.beginEpoch(m, h.AgentEpoch)
	}
	m.agent.Observe(h, p.core.now)
	if m.agent.LeaseExpired() {
		// Sent before the lease expired, and late: the tasks that it shows have ended.
		p.logIgnoredHeartbeat(ignoredEndedEpoch, m, h)
		return
	}
	m.observeInstance(h, p.core.now)
	if h.FencingToken > p.lease.fencingToken {
		p.supersededByToken()
		return
	}
	m.agent.Acknowledge(h.FencingToken)
	if h.FencingToken < p.lease.acquiredToken {
		// Not an exchange under this lease: perhaps a copy of an old heartbeat, perhaps overtaken by
		// what the former leader still orders. It says nothing of tasks.
		return
	}
	p.reconcileTasks(m, h)
	if m.agent.Acknowledged(p.lease.fencingToken) && !m.agent.Reconciled() {
		m.agent.Reconcile()
		p.plan.stale = true
	}
	p.handlePreemptionNotice(m)
}

// observeInstance notes what a heartbeat says of the instance itself.
func (m *machine) observeInstance(h *messages.Heartbeat, now micros.Time) {
	if h.Address != "" {
		m.address = h.Address
	}
	m.lifecycle.preemptAt = 0
	if h.PreemptionNotice >= 0 {
		m.lifecycle.preemptAt = now + h.PreemptionNotice
	}
}

// beginEpoch notes that the machine's agent lease ended: the agent killed and forgot all its tasks.
func (p *partitionLeader) beginEpoch(m *machine, epoch uint64) {
	if m.agent.HeardFrom() {
		p.clearAttempts(m)
	}
	m.agent.BeginEpoch(epoch, p.core.now)
	p.plan.stale = true
}

// drainRestarted gives up a machine whose agent began anew within its lease: its epoch and sequence
// may be below what was seen, so that its heartbeats can't be put in order any more. Its
// termination settles what ran there.
func (p *partitionLeader) drainRestarted(m *machine) {
	if !m.decommissioned() {
		p.startDrain(m, drainAgentRestarted)
	}
}

// ignoredLogInterval bounds what stale and contradictory heartbeats add to the log.
const ignoredLogInterval = 5 * micros.Second

// logIgnoredHeartbeat tells the operator of a heartbeat that is not believed.
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

// maxCommandsPerMessage bounds the commands in one reply or call to an agent.
const maxCommandsPerMessage = 200

// commandsFor returns the commands in the reply to a heartbeat. They are not carried out late,
// since the agent drops late replies.
func (p *partitionLeader) commandsFor(m *machine) []messages.Command {
	if !m.agent.Acknowledged(p.lease.fencingToken) {
		return nil
	}
	var commands []messages.Command
	for id, a := range m.attempts {
		switch {
		case a.forgettable():
			commands = append(commands, messages.Command{Operation: messages.Forget, AttemptID: id})
		case a.state != messages.Exited && a.stop.ordered:
			commands = append(commands, messages.Command{
				Operation:   messages.Stop,
				AttemptID:   id,
				GracePeriod: p.remainingGrace(a),
			})
		}
	}
	slices.SortFunc(commands, func(a, b messages.Command) int { return a.Compare(b.AttemptID) })
	return commands[:min(len(commands), maxCommandsPerMessage)]
}

// forgettable tells whether the agent may forget an attempt: it exited, nothing of it is left to be
// stored, and no start command may still arrive, which would begin a forgotten attempt anew.
func (a *attempt) forgettable() bool {
	return a.state == messages.Exited &&
		a.start.reported &&
		a.persisted &&
		a.start.inFlight == 0 &&
		a.start.unanswered == 0
}

// remainingGrace returns the grace period of a repeated stop: none once the time to save a
// checkpoint is over.
func (p *partitionLeader) remainingGrace(a *attempt) micros.Time {
	if a.stop.gracePeriod == 0 || p.core.now-a.stop.orderedAt > 2*a.stop.gracePeriod+2*micros.Second {
		return 0
	}
	return a.stop.gracePeriod
}
