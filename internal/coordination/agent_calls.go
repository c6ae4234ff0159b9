package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/agents"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// agentCallTimeout is how long an agent may take to answer a call.
const agentCallTimeout = micros.Second

// sendCommands sends queued commands while calls are available: first to machines with urgent
// commands, then to other machines, and last to machines that did not answer the last call. The
// machine to start with among the last is rotated in each round.
func (p *partitionLeader) sendCommands() {
	var rest, failing []*machine
	for _, m := range p.machines {
		switch {
		case m.commands.Empty() || m.commands.CallInFlight():
		case m.contact.FailedCalls() > 0:
			failing = append(failing, m)
		case !m.commands.ContainsFunc(p.isUrgent):
			rest = append(rest, m)
		case p.core.availableAgentCalls(false) > 0:
			p.sendBatch(m)
		}
	}
	for _, m := range rest {
		if p.core.availableAgentCalls(false) <= 0 {
			break
		}
		p.sendBatch(m)
	}
	p.sendRound++
	for i := range failing {
		if p.core.availableAgentCalls(true) <= 0 {
			break
		}
		p.sendBatch(failing[(i+p.sendRound)%len(failing)])
	}
}

// isUrgent reports whether users are waiting for a command: it stops a task, or concerns a service
// replica.
func (p *partitionLeader) isUrgent(c messages.Command) bool {
	return c.Operation == messages.Stop || p.isService(c.Job)
}

func (p *partitionLeader) isService(id string) bool {
	j := p.jobs[id]
	return j != nil && j.Kind == workload.Service
}

// sendProbes asks the queued machines for a heartbeat. Once the agent epoch is known, a probe carries
// the current fencing token, so that the agent acknowledges it. If not all machines can be probed,
// those probed longest ago come first, so that many unresponsive machines do not starve the others.
func (p *partitionLeader) sendProbes() {
	available := p.core.availableAgentCalls(true)
	if len(p.probeQueue) > available {
		slices.SortStableFunc(p.probeQueue, func(a, b *machine) int {
			return cmp.Compare(a.contact.LastProbe(), b.contact.LastProbe())
		})
	}
	for i, m := range p.probeQueue {
		if i >= available {
			break
		}
		if m.commands.CallInFlight() {
			continue
		}
		m.contact.Probed(p.core.now)
		p.callAgent(m, nil, !m.agent.HasHeartbeat())
	}
	clear(p.probeQueue)
	p.probeQueue = p.probeQueue[:0]
}

// sendBatch sends a machine the commands at the front of its queue, if its agent has acknowledged the
// machine's required token and may be called now. The call carries the current token, which the agent
// acknowledges with its reply. An agent that restarted is only sent stops, which any process may execute.
func (p *partitionLeader) sendBatch(m *machine) {
	if !m.commands.Ready(p.core.now) || !m.agent.HasHeartbeat() || m.address == "" {
		return
	}
	if !m.agent.Restarted() && !m.agent.Acknowledged(m.requiredToken) {
		return
	}
	batch := m.commands.TakeBatch(maxCommandsPerMessage)
	for i := range batch {
		a := m.attempts[batch[i].AttemptID]
		if a != nil && batch[i].Operation == messages.Start {
			a.start.inFlight++
			a.start.sent = true
			a.start.token = max(a.start.token, p.lease.fencingToken)
		}
	}
	p.callAgent(m, batch, false)
}

// agentCall is a call to an agent that is in flight. Its methods have value receivers, so that the
// closure is the only allocation that its completion requires.
type agentCall struct {
	leader     *partitionLeader
	machine    *machine
	batch      []messages.Command
	position   agents.Position // of the newest heartbeat when the call was sent
	sentAt     micros.Time
	statusOnly bool // only asks for a heartbeat, without a fencing token

	fencingToken uint64
}

// callAgent sends commands to a machine's agent, or asks it for a heartbeat.
func (p *partitionLeader) callAgent(m *machine, batch []messages.Command, statusOnly bool) {
	call := agentCall{
		leader:     p,
		machine:    m,
		batch:      batch,
		position:   m.agent.Position(),
		sentAt:     p.core.now,
		statusOnly: statusOnly,

		fencingToken: p.lease.fencingToken,
	}
	p.logCommands(m, pathCall, call.fencingToken, batch)
	if !statusOnly {
		m.sentToken = call.fencingToken
	}
	m.commands.CallStarted()
	p.core.callAgent(messages.AgentCall{
		Machine:      m.id,
		Address:      m.address,
		FencingToken: call.fencingToken,
		AgentEpoch:   call.position.Epoch,
		Commands:     batch,
		StatusOnly:   statusOnly,
		Timeout:      agentCallTimeout,
	}, func(reply *messages.AgentReply) { call.completed(reply) })
}

// completed handles the reply to the call. If the call failed, the reply has no heartbeat.
func (c agentCall) completed(reply *messages.AgentReply) {
	p, m := c.leader, c.machine
	m.commands.CallEnded()
	if p.core.partitions[p.partition] != p || p.machine(m.id) != m {
		return // this process no longer leads the partition, or the machine was terminated
	}
	heartbeat := reply.Heartbeat
	if heartbeat != nil && heartbeat.Machine != m.id {
		heartbeat = nil // the address now belongs to another machine
		m.address = ""
	}
	if heartbeat != nil && !reply.Executed && len(c.batch) > 0 {
		c.logRejectedCall(heartbeat)
	}
	c.recordStartReplies(heartbeat != nil)
	switch {
	case heartbeat == nil:
		c.failed()
	case !c.position.Before(heartbeat):
		// The agent replied after the call was sent, but its position is not newer than the one known
		// before: the agent has restarted.
		p.drainRestarted(m, heartbeat)
	default:
		m.contact.Reached(p.core.now)
		p.observeHeartbeat(m, heartbeat)
		if c.statusOnly {
			m.contact.AllowProbe() // its epoch is known now, so a probe can carry the fencing token
		}
	}
}

// recordStartReplies records for each start command of the call whether it was answered. One that was
// not may still be executed, even minutes later, unless the agent's epoch has ended.
func (c agentCall) recordStartReplies(answered bool) {
	for _, command := range c.batch {
		a := c.machine.attempts[command.AttemptID]
		if a == nil || command.Operation != messages.Start {
			continue
		}
		a.start.inFlight--
		if !answered && c.sameEpoch() {
			a.start.unanswered++
			c.machine.commands.StartUnanswered()
		}
	}
}

// failed records that the call got no reply, and queues its commands to be sent again. Commands for
// the same attempt are idempotent.
func (c agentCall) failed() {
	m := c.machine
	m.contact.CallFailed(c.sentAt)
	m.commands.DelayUntil(c.leader.core.now + m.contact.CallBackoff())
	if c.sameEpoch() {
		m.commands.Retry(m.commandsToRetry(c.batch))
	}
}

// sameEpoch reports whether the agent is still in the epoch in which the call was sent.
func (c agentCall) sameEpoch() bool { return c.machine.agent.Epoch() == c.position.Epoch }

// commandsToRetry returns the commands of a call without a reply that still need to be sent again.
func (m *machine) commandsToRetry(batch []messages.Command) []messages.Command {
	var commands []messages.Command
	for _, command := range batch {
		a := m.attempts[command.AttemptID]
		if a == nil || a.state == messages.Exited {
			continue
		}
		if command.Operation == messages.Start && (a.stop.ordered || a.start.reported || m.agent.Restarted()) {
			continue
		}
		commands = append(commands, command)
	}
	return commands
}
