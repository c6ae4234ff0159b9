package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// sendCommands sends what waits for machines: what services and cancellations wait for
// first, what machines wait for that did not answer last, and of these another
// first every time.
func (p *partitionLeader) sendCommands() {
	var rest, failing []*machine
	for _, m := range p.machines {
		switch {
		case m.commands.Empty() || m.commands.CallInFlight():
		case m.contact.FailedCalls() > 0:
			failing = append(failing, m)
		case !m.commands.ContainsFunc(func(c messages.Command) bool { return c.Operation == messages.Stop || p.isService(c.Job) }):
			rest = append(rest, m)
		case p.core.availableAgentCalls(false) > 0:
			p.sendOutbox(m)
		}
	}
	for _, m := range rest {
		if p.core.availableAgentCalls(false) <= 0 {
			break
		}
		p.sendOutbox(m)
	}
	p.sendRound++
	for i := range failing {
		if p.core.availableAgentCalls(true) <= 0 {
			break
		}
		p.sendOutbox(failing[(i+p.sendRound)%len(failing)])
	}
}

func (p *partitionLeader) isService(id string) bool {
	j := p.jobs[id]
	return j != nil && j.Kind == workload.Service
}

// sendProbes asks machines for their reports: directly, under our token once its
// session is known, so that a machine acknowledges it. The one asked longest ago
// goes first: many that never answer must not keep the others from being asked.
func (p *partitionLeader) sendProbes() {
	room := p.core.availableAgentCalls(true)
	if len(p.probeQueue) > room {
		slices.SortStableFunc(p.probeQueue, func(a, b *machine) int { return cmp.Compare(a.contact.LastProbe(), b.contact.LastProbe()) })
	}
	for i, m := range p.probeQueue {
		if i >= room {
			break
		}
		if m.commands.CallInFlight() {
			continue
		}
		m.contact.Probed(p.core.now)
		p.callMachine(m, nil, !m.agent.HeardFrom())
	}
	clear(p.probeQueue)
	p.probeQueue = p.probeQueue[:0]
}

// sendOutbox sends what waits for a machine.
func (p *partitionLeader) sendOutbox(m *machine) {
	if !m.commands.Ready(p.core.now) || !m.agent.Acknowledged(p.lease.fencingToken) || !m.agent.HeardFrom() || m.address == "" {
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
	p.callMachine(m, batch, false)
}

func (p *partitionLeader) callMachine(m *machine, batch []messages.Command, show bool) {
	m.commands.CallStarted()
	position, sentAt := m.agent.Position(), p.core.now
	p.core.callAgent(messages.AgentCall{Machine: m.id, Address: m.address, FencingToken: p.lease.fencingToken, AgentEpoch: position.Epoch, Commands: batch, StatusOnly: show,
		Timeout: micros.Second}, func(r *messages.AgentReply) {
		m.commands.CallEnded()
		if p.core.partitions[p.partition] != p || p.machine(m.id) != m {
			return
		}
		if r.Heartbeat != nil && r.Heartbeat.Machine != m.id {
			r.Heartbeat = nil // an address that another machine has now
			m.address = ""
		}
		for _, cmd := range batch {
			a := m.attempts[cmd.AttemptID]
			if a == nil || cmd.Operation != messages.Start {
				continue
			}
			a.start.inFlight--
			if r.Heartbeat == nil && m.agent.Epoch() == position.Epoch {
				a.start.unanswered++ // it may still be executed, even minutes later
				m.commands.StartUnanswered()
			}
		}
		if r.Heartbeat == nil {
			m.contact.CallFailed(sentAt)
			m.commands.DelayUntil(p.core.now + m.contact.CallBackoff())
			if m.agent.Epoch() == position.Epoch {
				// The same attempts again: repeating them is safe.
				m.commands.Retry(p.commandsToRetry(m, batch))
			}
			return
		}
		if !position.Before(r.Heartbeat) {
			// Its answer, given after the call, is older than what was known before it.
			p.drainRestarted(m)
			return
		}
		m.contact.Reached(p.core.now)
		p.observeHeartbeat(m, r.Heartbeat)
		if show {
			m.contact.AllowProbe() // its epoch is known now: it can be sent the fencing token
		}
	})
}

// commandsToRetry are the commands of a lost batch that are worth sending again.
func (p *partitionLeader) commandsToRetry(m *machine, batch []messages.Command) []messages.Command {
	var out []messages.Command
	for _, cmd := range batch {
		a := m.attempts[cmd.AttemptID]
		if a == nil || a.state == messages.Exited || (cmd.Operation == messages.Start && (a.stop.ordered || a.start.reported)) {
			continue
		}
		out = append(out, cmd)
	}
	return out
}
