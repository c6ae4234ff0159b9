package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/agents"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// respondTo returns the response to a heartbeat of a machine.
func respondTo(t *testing.T, p *partitionLeader, h *messages.Heartbeat) messages.Response {
	t.Helper()
	p.core.output = &messages.Output{}
	p.core.routeHeartbeat(&messages.HeartbeatRequest{Request: 1, Heartbeat: h})
	if len(p.core.output.Responses) != 1 {
		t.Fatalf("%d responses to a heartbeat", len(p.core.output.Responses))
	}
	return p.core.output.Responses[0]
}

func TestHeartbeatResponse(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *partitionLeader, m *machine, h *messages.Heartbeat)
		want   messages.ResponseKind
		text   unavailableReason
	}{
		{"newer", func(*partitionLeader, *machine, *messages.Heartbeat) {}, messages.HeartbeatAcknowledged, ""},
		{"copy with the agent still waiting", func(_ *partitionLeader, _ *machine, h *messages.Heartbeat) {
			h.Sequence--
		}, messages.HeartbeatAcknowledged, ""},
		{"copy after the reply time-out", func(p *partitionLeader, _ *machine, h *messages.Heartbeat) {
			h.Sequence--
			p.core.now += agents.ReplyTimeout
		}, messages.ServiceUnavailable, staleHeartbeat},
		{"agent restarted", func(_ *partitionLeader, _ *machine, h *messages.Heartbeat) {
			h.FencingToken--
		}, messages.ServiceUnavailable, machineDecommissioned},
		{"term is over", func(p *partitionLeader, _ *machine, _ *messages.Heartbeat) {
			p.core.term.Invalidate()
		}, messages.HeartbeatRedirected, ""},
		{"higher token", func(_ *partitionLeader, _ *machine, h *messages.Heartbeat) {
			h.FencingToken++
		}, messages.HeartbeatRedirected, ""},
		{"machine is decommissioned", func(_ *partitionLeader, m *machine, _ *messages.Heartbeat) {
			m.drain.reason = drainKillTimeout
		}, messages.ServiceUnavailable, machineDecommissioned},
		{"replies are lost", func(p *partitionLeader, m *machine, h *messages.Heartbeat) {
			loseReplies(p, m, 3)
			h.Sequence--
		}, messages.ServiceUnavailable, machineDecommissioned},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newLeaderInContact(t)
			m := p.machines[7]
			m.agent.Observe(nextHeartbeat(p, m), p.core.now)
			h := nextHeartbeat(p, m)
			test.change(p, m, h)
			renewedBefore := m.contact.LastRenewal()
			p.core.now++
			got := respondTo(t, p, h)
			if got.Kind != test.want || got.Reason != test.text.String() {
				t.Errorf("response %+v, want kind %d, text %q", got, test.want, test.text)
			}
			wantRenewed := test.want == messages.HeartbeatAcknowledged
			if renewed := m.contact.LastRenewal() != renewedBefore; renewed != wantRenewed {
				t.Errorf("lease renewed: %v, want %v", renewed, wantRenewed)
			}
		})
	}
}

func TestHeartbeatOfUnmanagedMachine(t *testing.T) {
	p := newLeaderInContact(t)
	h := nextHeartbeat(p, p.machines[7])
	h.Machine = "vm-unmanaged"
	if got := respondTo(t, p, h); got.Kind != messages.ServiceUnavailable || got.Reason != unknownMachine.String() {
		t.Errorf("response %+v, want %q", got, unknownMachine)
	}
}

func TestHeartbeatWithHigherTokenInvalidatesTerm(t *testing.T) {
	p := newLeaderInContact(t)
	h := nextHeartbeat(p, p.machines[7])
	h.FencingToken++
	respondTo(t, p, h)
	if p.core.term.Valid(p.core.now) {
		t.Error("term is still valid after a heartbeat with a higher token")
	}
}

func TestHeartbeatCommands(t *testing.T) {
	p := newLeaderInContact(t)
	m := p.machines[7]
	h := nextHeartbeat(p, m)
	for id, a := range m.attempts {
		h.Tasks = append(h.Tasks, messages.TaskStatus{AttemptID: id, State: messages.Running})
		a.stop.ordered = true
	}
	first := respondTo(t, p, h)
	if len(first.Commands) != len(m.attempts) || first.FencingToken != p.lease.fencingToken {
		t.Errorf("%d commands under token %d for %d attempts", len(first.Commands), first.FencingToken, len(m.attempts))
	}
	for i := 1; i < len(first.Commands); i++ {
		if first.Commands[i-1].Compare(first.Commands[i].AttemptID) >= 0 {
			t.Errorf("commands are not sorted: %+v", first.Commands)
		}
	}
	if again := respondTo(t, p, h); again.Kind != messages.HeartbeatAcknowledged || len(again.Commands) != 0 {
		t.Errorf("response to a copy %+v, want no commands", again)
	}
}

func TestHeartbeatAfterLeaseExpiry(t *testing.T) {
	p := newLeaderInContact(t)
	m := p.machines[7]
	p.clearAttempts(m, messages.EndLeaseExpired)
	m.agent.ExpireLease()
	h := nextHeartbeat(p, m)
	h.Tasks = []messages.TaskStatus{{AttemptID: messages.AttemptID{Job: "x", Number: 99}, State: messages.Running}}
	respondTo(t, p, h)
	if len(m.attempts) != 0 || m.agent.Acknowledged(p.lease.fencingToken) {
		t.Errorf("heartbeat sent before the lease expired was not ignored: %d attempts", len(m.attempts))
	}
	h = nextHeartbeat(p, m)
	h.AgentEpoch++
	respondTo(t, p, h)
	if !m.agent.Usable(p.lease.fencingToken) {
		t.Error("machine is not usable after a heartbeat of the next epoch")
	}
}

func TestForgettable(t *testing.T) {
	const acknowledged = 5 // fencing token
	tests := []struct {
		name   string
		change func(*attempt)
		want   bool
	}{
		{"exited and stored", func(*attempt) {}, true},
		{"still running", func(a *attempt) { a.state = messages.Running }, false},
		{"result not stored yet", func(a *attempt) { a.persisted = false }, false},
		{"never reported by a heartbeat", func(a *attempt) { a.start.reported = false }, false},
		{"start command in flight", func(a *attempt) { a.start.inFlight = 1 }, false},
		{"start command without a reply", func(a *attempt) { a.start.unanswered, a.start.token = 1, acknowledged }, false},
		{"start command answered", func(a *attempt) { a.start.token = acknowledged }, false},
		{"start command under a lower token", func(a *attempt) { a.start.token = acknowledged - 1 }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := &attempt{state: messages.Exited, persisted: true, start: startState{sent: true, reported: true}}
			test.change(a)
			if got := a.forgettable(acknowledged); got != test.want {
				t.Errorf("forgettable = %v, want %v", got, test.want)
			}
		})
	}
}

func TestStartMayArrive(t *testing.T) {
	tests := []struct {
		name  string
		start startState
		want  bool
	}{
		{"not sent yet", startState{}, true},
		{"in flight", startState{sent: true, inFlight: 1}, true},
		{"no reply", startState{sent: true, unanswered: 1}, true},
		{"answered, but not reported", startState{sent: true}, false},
		{"no reply, under a lower token, to be sent again", startState{sent: true, unanswered: 1, token: 4}, true},
		{"reported before, and forgotten since", startState{sent: true, reported: true, unanswered: 1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := &attempt{start: test.start}
			if got := a.startMayArrive(5); got != test.want {
				t.Errorf("startMayArrive = %v, want %v", got, test.want)
			}
		})
	}
}

func TestIgnoredHeartbeatsAreLoggedAtIntervals(t *testing.T) {
	p := newLeaderInContact(t)
	m := p.machines[7]
	for _, step := range []struct {
		after micros.Time
		want  int
	}{{0, 1}, {1, 0}, {ignoredLogInterval - 2, 0}, {1, 1}} {
		p.core.now += step.after
		p.core.output = &messages.Output{}
		p.logIgnoredHeartbeat(ignoredStaleCopy, m, nextHeartbeat(p, m))
		if got := len(p.core.output.LogRecords); got != step.want {
			t.Errorf("%d log records %d µs after the previous heartbeat, want %d", got, step.after, step.want)
		}
	}
}
