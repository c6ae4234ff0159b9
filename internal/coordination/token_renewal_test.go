package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// exitedStart returns an attempt that was started by a call under the current token and has exited since.
func exitedStart(t *testing.T, p *partitionLeader, m *machine) *attempt {
	t.Helper()
	a := anyRunningAttempt(t, m)
	a.start.token, a.start.reported, a.persisted = p.lease.fencingToken, true, true
	a.state = messages.Exited
	return a
}

// renewals returns the writes of the partition's record in the output of the current step.
func renewals(p *partitionLeader) (requests []*storage.Request) {
	for _, call := range p.core.output.StoreCalls {
		if len(call.Request.Puts) == 1 && call.Request.Puts[0].Key == p.core.keys.Partition(p.partition) {
			requests = append(requests, call.Request)
		}
	}
	return requests
}

func TestTokenIsRenewedOnlyIfAttemptsWait(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *partitionLeader, m *machine, a *attempt)
		want   int
	}{
		{"exited attempt", func(*partitionLeader, *machine, *attempt) {}, 1},
		{"refused start", func(_ *partitionLeader, _ *machine, a *attempt) { a.job = nil }, 1},
		{"running attempt", func(_ *partitionLeader, _ *machine, a *attempt) { a.state = messages.Running }, 0},
		{"started under a lower token", func(_ *partitionLeader, _ *machine, a *attempt) { a.start.token-- }, 0},
		{"stopped start without a reply", func(_ *partitionLeader, _ *machine, a *attempt) {
			a.state, a.stop.ordered = messages.Fetching, true
			a.start.reported, a.start.unanswered = false, 1
		}, 1},
		{"decommissioned machine", func(_ *partitionLeader, m *machine, _ *attempt) {
			m.drain.reason = drainAgentRestarted
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newLeaderInContact(t)
			m := p.machines[7]
			test.change(p, m, exitedStart(t, p, m))
			p.requestTokenRenewal()
			if got := len(renewals(p)); got != test.want {
				t.Errorf("%d renewals, want %d", got, test.want)
			}
		})
	}
}

// TestTokenRenewalHasNoEffectIfRepeated checks the guard of a renewal, and its pace.
func TestTokenRenewalHasNoEffectIfRepeated(t *testing.T) {
	p := newLeaderInContact(t)
	exitedStart(t, p, p.machines[7])
	p.requestTokenRenewal()
	request := renewals(p)[0]
	guard := storage.Compare{Key: p.core.keys.Partition(0), ModRevision: p.lease.fencingToken}
	if len(request.Compares) != 1 || request.Compares[0] != guard {
		t.Errorf("compares %+v, want %+v: a copy that is carried out late must fail", request.Compares, guard)
	}
	p.core.calls.CompleteStore(p.core.now, p.core.output.StoreCalls[0].Call, &storage.Reply{Outcome: storage.OK})
	interval := p.core.config.AgentLease() / renewalsPerAgentLease
	for _, step := range []struct {
		after micros.Time
		want  int
	}{{interval - 1, 0}, {1, 1}} {
		p.core.now += step.after
		p.core.output = &messages.Output{}
		p.requestTokenRenewal()
		if got := len(renewals(p)); got != step.want {
			t.Errorf("%d renewals after another %d us, want %d", got, step.after, step.want)
		}
	}
}

// TestCommandsContinueAfterTokenRenewal checks that an agent gets commands before it has acknowledged a renewed
// token, and that the call gives it the new one.
func TestCommandsContinueAfterTokenRenewal(t *testing.T) {
	p := newLeaderInContact(t)
	m := p.machines[7]
	acknowledged := m.agent.AcknowledgedToken()
	p.renewToken(p.lease.fencingToken + 5)
	if !p.schedulable(m) {
		t.Error("no tasks can be started after a renewal of the token")
	}
	a, call := startInFlight(t, p, m)
	if call.FencingToken != acknowledged+5 || a.start.token != acknowledged+5 {
		t.Errorf("call under token %d, start recorded under %d, want %d", call.FencingToken, a.start.token, acknowledged+5)
	}
}

// TestNewTokenIsSentOnlyWhereAttemptsWait checks that a renewal does not make the whole fleet report.
func TestNewTokenIsSentOnlyWhereAttemptsWait(t *testing.T) {
	p := newLeaderInContact(t)
	waiting, other := p.machines[7], p.machines[8]
	a := exitedStart(t, p, waiting)
	old := p.lease.fencingToken
	if got := p.replyToken(waiting); got != old {
		t.Errorf("reply under token %d before the renewal, want %d", got, old)
	}
	p.renewToken(old + 5)
	if got := p.replyToken(waiting); got != old+5 {
		t.Errorf("reply under token %d to a machine with an attempt that waits, want %d", got, old+5)
	}
	if got := p.replyToken(other); got != old {
		t.Errorf("reply under token %d to a machine without one, want %d", got, old)
	}
	other.sentToken = old + 5
	if got := p.replyToken(other); got != old+5 {
		t.Errorf("reply under token %d to an agent that may have seen %d, which would drop it", got, old+5)
	}
	if a.forgettable(old) || !a.forgettable(old+5) {
		t.Error("attempt is forgettable before the agent has acknowledged the new token, or not afterwards")
	}
}

// TestRepeatedStartOfForgottenAttemptWaitsAgain checks that an attempt which a copy of its start brought back is
// forgotten only under a further token.
func TestRepeatedStartOfForgottenAttemptWaitsAgain(t *testing.T) {
	p := newLeaderInContact(t)
	m := p.machines[7]
	number := attemptNumber(p.lease.fencingToken, 1)
	h := nextHeartbeat(p, m)
	h.Tasks = []messages.TaskStatus{{
		AttemptID:  messages.AttemptID{Job: "x", Number: number},
		State:      messages.Exited,
		ExitReason: messages.ExitStopped,
	}}
	p.reconcileTasks(m, h)
	a := m.attempts[h.Tasks[0].AttemptID]
	if a == nil || !a.persisted || a.forgettable(p.lease.fencingToken) {
		t.Fatalf("attempt %+v, want one that is not forgettable under the same token", a)
	}
	if p.core.metrics.RepeatedStarts != 1 {
		t.Errorf("%d repeated starts counted, want 1", p.core.metrics.RepeatedStarts)
	}
}

// TestExitedAttemptsAreBounded checks that no further tasks are started while the agent reports very many that
// it may not forget.
func TestExitedAttemptsAreBounded(t *testing.T) {
	p := newLeaderInContact(t)
	m := p.machines[7]
	for i := range uint64(maxExitedAttempts) {
		if !p.schedulable(m) {
			t.Fatalf("not schedulable with %d exited attempts", i)
		}
		id := messages.AttemptID{Job: "x", Number: i}
		m.attempts[id] = &attempt{id: id, machine: m, state: messages.Exited}
	}
	if p.schedulable(m) {
		t.Errorf("schedulable with %d exited attempts", maxExitedAttempts)
	}
}

// TestTransferredMachineRequiresTokenOfTransfer checks that a machine that moved to this partition gets no commands
// before its agent rejects those of the other partition's leader, whose tokens may be higher than that of this lease.
func TestTransferredMachineRequiresTokenOfTransfer(t *testing.T) {
	p := newLeaderInContact(t)
	template := p.machines[7]
	transferred := template.modRevision + 1000
	record := p.core.cache.Partitions[0]
	record.ModRevision = transferred
	p.core.cache.Partitions[0] = record
	p.renewToken(transferred)
	p.addMachine("vm-900000", storage.Versioned[storage.Machine]{Value: template.record, ModRevision: transferred})
	m := p.machine("vm-900000")
	m.address = "10.1.0.9:9000"
	h := &messages.Heartbeat{
		Machine: m.id, AgentEpoch: 1, Sequence: 1, FencingToken: transferred - 1, PreemptionNotice: -1,
		Tasks: []messages.TaskStatus{{AttemptID: messages.AttemptID{Job: "x", Number: 1}, State: messages.Running}},
	}
	p.observeHeartbeat(m, h)
	m.commands.Add(messages.Command{Operation: messages.Stop})
	p.sendBatch(m)
	if p.schedulable(m) || len(p.core.output.AgentCalls) != 0 || len(m.attempts) != 0 || p.replyToken(m) != transferred {
		t.Errorf("schedulable %v, %d calls, %d attempts, reply under %d, with an agent that accepts the other leader's",
			p.schedulable(m), len(p.core.output.AgentCalls), len(m.attempts), p.replyToken(m))
	}
	h.Sequence, h.FencingToken = 2, transferred
	p.observeHeartbeat(m, h)
	p.sendBatch(m)
	if len(p.core.output.AgentCalls) != 1 || len(m.attempts) != 1 {
		t.Errorf("%d calls, %d attempts after the agent acknowledged the transfer's token, want 1 and 1",
			len(p.core.output.AgentCalls), len(m.attempts))
	}
}

// TestStoppedStartWithoutReplyIsOverWhenRejected checks that a stopped start without a reply may arrive until the agent
// has acknowledged a higher token.
func TestStoppedStartWithoutReplyIsOverWhenRejected(t *testing.T) {
	const token = 5
	for acknowledged, want := range map[uint64]bool{token - 1: true, token: true, token + 1: false} {
		a := &attempt{start: startState{sent: true, unanswered: 1, token: token}, stop: stopState{ordered: true}}
		if got := a.startMayArrive(acknowledged); got != want {
			t.Errorf("startMayArrive = %v with an agent that acknowledged %d, want %v", got, acknowledged, want)
		}
	}
}
