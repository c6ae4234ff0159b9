package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// startInFlight sends a start command to a machine and returns its attempt and the pending call.
func startInFlight(t *testing.T, p *partitionLeader, m *machine) (*attempt, messages.AgentCall) {
	t.Helper()
	a := &attempt{id: messages.AttemptID{Job: "x", Number: 99}, machine: m}
	m.attempts[a.id] = a
	m.commands.Add(messages.Command{Operation: messages.Start, AttemptID: a.id})
	p.sendBatch(m)
	calls := p.core.output.AgentCalls
	if len(calls) != 1 || len(calls[0].Commands) != 1 || !a.start.sent || a.start.inFlight != 1 {
		t.Fatalf("calls %+v, start %+v", calls, a.start)
	}
	return a, calls[0]
}

// nextHeartbeat returns the heartbeat that a machine's agent sends next, with the attempts that it reported
// before.
func nextHeartbeat(p *partitionLeader, m *machine) *messages.Heartbeat {
	var tasks []messages.TaskStatus
	for _, id := range sortedAttempts(m) {
		if a := m.attempts[id]; a.remembered() {
			tasks = append(tasks, messages.TaskStatus{AttemptID: id, State: a.state})
		}
	}
	position := m.agent.Position()
	return &messages.Heartbeat{
		Tasks:            tasks,
		Machine:          m.id,
		AgentEpoch:       position.Epoch,
		Sequence:         position.Sequence + 1,
		FencingToken:     p.lease.fencingToken,
		PreemptionNotice: -1,
	}
}

// callOutcome is the state after the completion of a call with a start command.
type callOutcome struct {
	unanswered  int // start commands that may still be executed
	retried     bool
	failedCalls int
	drain       drainReason
	reached     bool
	inFlight    bool
}

func outcomeOf(p *partitionLeader, m *machine, a *attempt) callOutcome {
	outcome := callOutcome{
		retried:     !m.commands.Empty(),
		failedCalls: m.contact.FailedCalls(),
		drain:       m.drain.reason,
		reached:     m.contact.LastContact() == p.core.now,
		inFlight:    a.start.inFlight != 0 || m.commands.CallInFlight(),
	}
	if m.commands.HasUnansweredStarts() {
		outcome.unanswered = a.start.unanswered
	}
	return outcome
}

func TestAgentCallCompleted(t *testing.T) {
	tests := []struct {
		name  string
		reply func(p *partitionLeader, m *machine) *messages.Heartbeat
		want  callOutcome
	}{
		{"answered", nextHeartbeat, callOutcome{reached: true}},
		{"no reply", func(*partitionLeader, *machine) *messages.Heartbeat {
			return nil
		}, callOutcome{unanswered: 1, retried: true, failedCalls: 1}},
		{"no reply, epoch ended in the meantime", func(p *partitionLeader, m *machine) *messages.Heartbeat {
			m.agent.BeginEpoch(m.agent.Epoch()+1, p.core.now)
			return nil
		}, callOutcome{failedCalls: 1}},
		{"reply from another machine", func(p *partitionLeader, m *machine) *messages.Heartbeat {
			h := nextHeartbeat(p, m)
			h.Machine = p.machines[8].id
			return h
		}, callOutcome{unanswered: 1, retried: true, failedCalls: 1}},
		{"reply older than the call", func(p *partitionLeader, m *machine) *messages.Heartbeat {
			h := nextHeartbeat(p, m)
			h.Sequence--
			return h
		}, callOutcome{drain: drainAgentRestarted}},
		{"reply overtaken by a heartbeat", func(p *partitionLeader, m *machine) *messages.Heartbeat {
			h, newer := nextHeartbeat(p, m), nextHeartbeat(p, m)
			newer.Sequence++
			m.agent.Observe(newer, p.core.now)
			return h
		}, callOutcome{reached: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newLeaderInContact(t)
			m := p.machines[7]
			a, call := startInFlight(t, p, m)
			p.core.now += micros.Second / 2
			p.core.calls.CompleteAgent(call.Call, &messages.AgentReply{Heartbeat: test.reply(p, m)})
			if got := outcomeOf(p, m, a); got != test.want {
				t.Errorf("outcome %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestAgentCallCompletedAfterTermination(t *testing.T) {
	p := newLeaderInContact(t)
	m := p.machines[7]
	a, call := startInFlight(t, p, m)
	p.removeMachine(m.id)
	p.core.calls.CompleteAgent(call.Call, &messages.AgentReply{})
	if m.contact.FailedCalls() != 0 || a.start.unanswered != 0 {
		t.Errorf("call recorded for a terminated machine: %d failed calls, start %+v", m.contact.FailedCalls(), a.start)
	}
}

func TestCommandsToRetry(t *testing.T) {
	tests := []struct {
		name      string
		operation messages.Operation
		change    func(*attempt)
		want      int
	}{
		{"start", messages.Start, func(*attempt) {}, 1},
		{"start of a stopped attempt", messages.Start, func(a *attempt) { a.stop.ordered = true }, 0},
		{"start of an attempt that a heartbeat reported", messages.Start, func(a *attempt) { a.start.reported = true }, 0},
		{"start of an exited attempt", messages.Start, func(a *attempt) { a.state = messages.Exited }, 0},
		{"stop", messages.Stop, func(a *attempt) { a.stop.ordered = true }, 1},
		{"stop of an exited attempt", messages.Stop, func(a *attempt) { a.state = messages.Exited }, 0},
		{"stop of an unknown attempt", messages.Stop, func(a *attempt) { a.unindex() }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := &machine{attempts: map[messages.AttemptID]*attempt{}}
			a := &attempt{machine: m}
			a.index()
			test.change(a)
			batch := []messages.Command{{Operation: test.operation, AttemptID: a.id}}
			if got := m.commandsToRetry(batch); len(got) != test.want {
				t.Errorf("%d commands to retry, want %d", len(got), test.want)
			}
		})
	}
}

func TestSendBatchToUnavailableAgent(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *partitionLeader, m *machine)
	}{
		{"has not acknowledged the required token", func(_ *partitionLeader, m *machine) { m.requiredToken++ }},
		{"address unknown", func(_ *partitionLeader, m *machine) { m.address = "" }},
		{"call already in flight", func(_ *partitionLeader, m *machine) { m.commands.CallStarted() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newLeaderInContact(t)
			m := p.machines[7]
			m.commands.Add(messages.Command{Operation: messages.Stop})
			test.change(p, m)
			p.sendBatch(m)
			if calls := p.core.output.AgentCalls; len(calls) != 0 || m.commands.Empty() {
				t.Errorf("calls %+v, want none and the command still queued", calls)
			}
		})
	}
}

// TestRestartedAgentGetsNoStart guards against starts on a machine whose restart was seen, by whatever path.
func TestRestartedAgentGetsNoStart(t *testing.T) {
	for _, reason := range []drainReason{notDraining, drainUnresponsive, drainKillTimeout} {
		p := newLeaderInContact(t)
		m := p.machines[7]
		sent, call := startInFlight(t, p, m)
		queued := &attempt{id: messages.AttemptID{Job: "x", Number: 100}, machine: m}
		m.attempts[queued.id] = queued
		m.commands.Add(messages.Command{Operation: messages.Start, AttemptID: queued.id})
		m.drain.reason = reason
		former, fresh := nextHeartbeat(p, m), nextHeartbeat(p, m)
		former.Sequence += 50
		fresh.Sequence = 0
		agentCall{leader: p, machine: m, batch: call.Commands, position: m.agent.Position()}.completed(
			&messages.AgentReply{Executed: true, Heartbeat: fresh})
		if m.attempts[queued.id] != nil || !m.decommissioned() {
			t.Errorf("%v: start that was not sent is kept, or the machine is in use: %v", reason, m.drain.reason)
		}
		p.observeHeartbeat(m, former)
		if m.attempts[sent.id] == nil {
			t.Errorf("%v: a heartbeat that may come from the former process ended an attempt", reason)
		}
		m.commands.EndDelay()
		p.core.output = &messages.Output{}
		p.sendBatch(m)
		p.stopAttempt(sent, reasonPreempted, 0)
		p.sendBatch(m)
		calls := p.core.output.AgentCalls
		if len(calls) != 1 || len(calls[0].Commands) != 1 || calls[0].Commands[0].Operation != messages.Stop {
			t.Errorf("%v: calls %+v, want one with a stop", reason, calls)
		}
	}
}
