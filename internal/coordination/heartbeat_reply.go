package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// acknowledgeHeartbeat replies to a heartbeat, which renews the agent lease. Only the reply to a
// newer heartbeat carries commands: a copy does not show the agent's current tasks.
func (p *partitionLeader) acknowledgeHeartbeat(request messages.RequestID, m *machine, newer bool) {
	m.contact.Replied(p.core.now)
	token := p.replyToken(m)
	var commands []messages.Command
	if newer {
		commands = p.commandsFor(m)
		p.logCommands(m, pathReply, token, commands)
	}
	m.sentToken = token
	p.core.respond(messages.Response{
		Request:      request,
		Kind:         messages.HeartbeatAcknowledged,
		FencingToken: token,
		Commands:     commands,
	})
}

// replyToken returns the fencing token for the reply to a heartbeat: the current one if an attempt waits
// until the agent has acknowledged it, and otherwise the highest that was sent to the agent. An agent reports
// a higher token at once, so a new one must not go to the whole fleet.
func (p *partitionLeader) replyToken(m *machine) uint64 {
	if !m.agent.Acknowledged(m.requiredToken) {
		return p.lease.fencingToken
	}
	for _, a := range m.attempts {
		if a.awaitsFencing() && !a.start.fencedBy(m.agent.AcknowledgedToken()) && a.start.fencedBy(p.lease.fencingToken) {
			return p.lease.fencingToken
		}
	}
	return max(m.sentToken, m.agent.AcknowledgedToken())
}

// maxCommandsPerMessage limits the number of commands in one reply or call to an agent.
const maxCommandsPerMessage = 200

// commandsFor returns the commands for the reply to a heartbeat. The agent drops late replies, so
// these commands are never executed late.
func (p *partitionLeader) commandsFor(m *machine) []messages.Command {
	if !m.agent.Acknowledged(m.requiredToken) {
		return nil
	}
	var commands []messages.Command
	for id, a := range m.attempts {
		switch {
		case a.forgettable(m.agent.AcknowledgedToken()):
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
	commands = commands[:min(len(commands), maxCommandsPerMessage)]
	for _, command := range commands {
		if command.Operation == messages.Forget {
			m.attempts[command.AttemptID].forgetSent = true
		}
	}
	return commands
}

// forgettable reports whether the agent may forget an attempt, given the fencing token that it has
// acknowledged: the attempt exited, its result is stored, and the agent rejects every copy of its start
// command, which would start the forgotten attempt again.
func (a *attempt) forgettable(acknowledged uint64) bool {
	return a.state == messages.Exited &&
		a.start.reported &&
		a.persisted &&
		a.start.inFlight == 0 &&
		a.start.fencedBy(acknowledged)
}

// remainingGrace returns the grace period of a repeated stop: zero once the time to save a
// checkpoint has passed.
func (p *partitionLeader) remainingGrace(a *attempt) micros.Time {
	if a.stop.gracePeriod == 0 || p.core.now-a.stop.orderedAt > 2*a.stop.gracePeriod+2*micros.Second {
		return 0
	}
	return a.stop.gracePeriod
}
