package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// commandPath is the way on which commands are sent to an agent, as it appears in the log.
type commandPath string

const (
	pathCall  commandPath = "call"            // may be executed late, and more than once
	pathReply commandPath = "heartbeat reply" // the agent drops late ones
)

// logCommands logs and counts commands that are being sent to a machine's agent, with what allows them: the
// fencing token, the agent epoch, the revision of the store that this process has read, and how long ago
// the store confirmed it.
func (p *partitionLeader) logCommands(m *machine, path commandPath, token uint64, commands []messages.Command) {
	if len(commands) == 0 {
		return
	}
	for _, command := range commands {
		p.core.metrics.CommandsSent[command.Operation]++
	}
	p.core.log(messages.LevelInfo, "commands sent",
		"machine", m.id,
		"path", string(path),
		"commands", messages.CommandList(commands),
		"fencing_token", token,
		"agent_epoch", m.agent.Epoch(),
		"acknowledged_token", m.agent.AcknowledgedToken(),
		"all_reconciled", p.plan.allReconciled,
		"revision", p.core.cache.Revision,
		"revision_age_ms", p.core.term.SinceConfirmed(p.core.now)/micros.Millisecond)
}

// logEnd logs and counts attempts on a machine that are taken as over, with the evidence, and for how long the
// machine has been silent. Their tasks may be started elsewhere from now on.
func (p *partitionLeader) logEnd(m *machine, evidence messages.EndEvidence, ended []messages.AttemptID) {
	if len(ended) == 0 {
		return
	}
	p.core.metrics.AttemptsEnded[evidence] += uint64(len(ended))
	p.core.log(messages.LevelInfo, "attempts ended",
		"machine", m.id,
		"evidence", evidence,
		"attempts", messages.AttemptList(ended),
		"silence_ms", (p.core.now-m.contact.LastContact())/micros.Millisecond,
		"agent_epoch", m.agent.Epoch(),
		"sequence", m.agent.Position().Sequence,
		"acknowledged_token", m.agent.AcknowledgedToken(),
		"agent_restarted", m.agent.Restarted(),
		"drain", m.drain.reason)
}

// logRejectedCall logs a call whose commands the agent rejected, because it has seen a higher fencing token
// or is in another epoch.
func (c agentCall) logRejectedCall(heartbeat *messages.Heartbeat) {
	c.leader.core.metrics.CallsRejected++
	c.leader.core.log(messages.LevelInfo, "commands rejected",
		"machine", c.machine.id,
		"commands", messages.CommandList(c.batch),
		"fencing_token", c.fencingToken,
		"agent_token", heartbeat.FencingToken,
		"agent_epoch", heartbeat.AgentEpoch,
		"sequence", heartbeat.Sequence)
}

// logStartsAfterRestart logs the tasks that an agent has although it restarted within its lease and lost them:
// copies of earlier commands started them again.
func (p *partitionLeader) logStartsAfterRestart(m *machine, h *messages.Heartbeat) {
	for i := range h.Tasks {
		if a := m.attempts[h.Tasks[i].AttemptID]; a == nil || a.start.reported {
			p.logRepeatedStart(m, &h.Tasks[i], h)
		}
	}
}

// logRepeatedStart logs and counts an attempt that a machine reports although its start command is over: a
// copy of the command was executed after the attempt had been removed here, or after the agent had restarted.
func (p *partitionLeader) logRepeatedStart(m *machine, status *messages.TaskStatus, h *messages.Heartbeat) {
	p.core.metrics.RepeatedStarts++
	p.core.log(messages.LevelWarn, "start command executed again",
		"machine", m.id,
		"attempt", status.AttemptID,
		"attempt_token", attemptToken(status.Number),
		"fencing_token", h.FencingToken,
		"agent_epoch", h.AgentEpoch,
		"sequence", h.Sequence)
}
