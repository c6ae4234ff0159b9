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

// sendCommands sends the commands that wait, as far as calls are available: first those that
// service replicas and cancellations wait for, then the other ones, and last those for machines that
// did not answer the last call, with another one of these first in each round.
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

// isUrgent tells whether users wait for a command: it ends a task, or starts a service replica.
func (p *partitionLeader) isUrgent(c messages.Command) bool {
	return c.Operation == messages.Stop || p.isService(c.Job)
}

func (p *partitionLeader) isService(id string) bool {
	j := p.jobs[id]
	return j != nil && j.Kind == workload.Service
}

// sendProbes asks machines for a heartbeat: under the current fencing token once the agent epoch is
// known, so that the agent acknowledges it. The machine asked longest ago goes first: many that
// never answer must not keep the others from being asked.
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

// sendBatch sends a machine the commands that waited longest, if its agent obeys this partition
// leader and may be called now.
func (p *partitionLeader) sendBatch(m *machine) {
	if !m.commands.Ready(p.core.now) ||
		!m.agent.Acknowledged(p.lease.fencingToken) || !m.agent.HasHeartbeat() || m.address == "" {
		return
	}
	batch := m.commands.TakeBatch(maxCommandsPerMessage)
	for i := range batch {
		a := m.attempts[batch[i].AttemptID]
		if a != nil && batch[i].Operation == messages.Start {
			a.start.inFlight++
			a.start.sent = true
		}
	}
	p.callAgent(m, batch, false)
}

// agentCall is a call to an agent in flight. Its methods take it by value, so that its completion costs
// no allocation beyond the closure.
type agentCall struct {
	leader     *partitionLeader
	machine    *machine
	batch      []messages.Command
	position   agents.Position // of the newest heartbeat when the call was sent
	sentAt     micros.Time
	statusOnly bool // only asks for a heartbeat, under no fencing token
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
	}
	m.commands.CallStarted()
	p.core.callAgent(messages.AgentCall{
		Machine:      m.id,
		Address:      m.address,
		FencingToken: p.lease.fencingToken,
		AgentEpoch:   call.position.Epoch,
		Commands:     batch,
		StatusOnly:   statusOnly,
		Timeout:      agentCallTimeout,
	}, func(reply *messages.AgentReply) { call.completed(reply) })
}

// completed takes the reply to the call, or that there was none.
func (c agentCall) completed(reply *messages.AgentReply) {
	p, m := c.leader, c.machine
	m.commands.CallEnded()
	if p.core.partitions[p.partition] != p || p.machine(m.id) != m {
		return // this process leads the partition no more, or the machine was terminated
	}
	heartbeat := reply.Heartbeat
	if heartbeat != nil && heartbeat.Machine != m.id {
		heartbeat = nil // another machine has the address now
		m.address = ""
	}
	c.settleStarts(heartbeat != nil)
	switch {
	case heartbeat == nil:
		c.failed()
	case !c.position.Before(heartbeat):
		// The reply, given after the call, is older than what was known before it.
		p.drainRestarted(m)
	default:
		m.contact.Reached(p.core.now)
		p.observeHeartbeat(m, heartbeat)
		if c.statusOnly {
			m.contact.AllowProbe() // its epoch is known now: it can be sent the fencing token
		}
	}
}

// settleStarts notes for each start command of the call whether it was answered. One that was not
// may still be carried out, even minutes later, unless the agent's epoch has ended.
func (c agentCall) settleStarts(answered bool) {
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

// failed notes that the call got no reply, and lets its commands be sent again: repeating the same
// attempts is safe.
func (c agentCall) failed() {
	m := c.machine
	m.contact.CallFailed(c.sentAt)
	m.commands.DelayUntil(c.leader.core.now + m.contact.CallBackoff())
	if c.sameEpoch() {
		m.commands.Retry(m.commandsToRetry(c.batch))
	}
}

// sameEpoch tells whether the agent epoch in which the call was sent is still running.
func (c agentCall) sameEpoch() bool { return c.machine.agent.Epoch() == c.position.Epoch }

// commandsToRetry returns the commands of a call without a reply that are worth sending again.
func (m *machine) commandsToRetry(batch []messages.Command) []messages.Command {
	var commands []messages.Command
	for _, command := range batch {
		a := m.attempts[command.AttemptID]
		if a == nil || a.state == messages.Exited {
			continue
		}
		if command.Operation == messages.Start && (a.stop.ordered || a.start.reported) {
			continue
		}
		commands = append(commands, command)
	}
	return commands
}
