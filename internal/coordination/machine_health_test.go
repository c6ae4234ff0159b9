package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/agents"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// observedFleet is a partition leader with fifty machines that were all heard from just now.
func observedFleet(t *testing.T) *partitionLeader {
	t.Helper()
	c, heartbeats := newLargeCore(t, 50)
	now := 2 * micros.Second
	for _, h := range heartbeats {
		h.Sequence++
		c.lastTick = now
		c.Step(now, now, &messages.HeartbeatRequest{Request: 1, Heartbeat: h})
	}
	leader := c.partitions[0]
	for _, m := range leader.machines {
		m.instanceType = c.catalog.Types()["m"]
	}
	reachAll(leader, 60*micros.Second)
	return leader
}

// reachAll lets some time pass after which all machines were just reached.
func reachAll(p *partitionLeader, after micros.Time) {
	p.core.now += after
	p.core.output = &messages.Output{}
	p.core.term.Confirm(p.core.now)
	for _, m := range p.machines {
		m.contact.Reached(p.core.now)
		m.contact.Replied(p.core.now)
	}
}

// silentFor lets some time pass in which all machines are reached but one, whose last calls got
// no reply.
func silentFor(p *partitionLeader, silent *machine, duration micros.Time, failedCalls int) {
	contact, calledAt := silent.contact, p.core.now+1
	reachAll(p, duration)
	silent.contact = contact
	for range failedCalls {
		silent.contact.CallFailed(calledAt)
	}
}

// loseReplies lets heartbeats show that replies are lost.
func loseReplies(p *partitionLeader, m *machine, replies int) {
	for range replies {
		m.contact.Replied(p.core.now)
		m.contact.ObserveNextHeartbeat(true, p.core.now)
	}
}

// unresolvedStart adds an attempt whose start got no reply and is no longer wanted since a time.
func unresolvedStart(p *partitionLeader, m *machine, since micros.Time) *attempt {
	a := &attempt{id: messages.AttemptID{Job: "x", Number: 99}, machine: m}
	a.start = startState{sent: true, unanswered: 1}
	a.stop = stopState{ordered: true, orderedAt: p.core.now - since}
	m.attempts[a.id] = a
	m.commands.StartUnanswered()
	return a
}

type drainCase struct {
	name   string
	change func(p *partitionLeader, m *machine)
	want   drainReason
}

func testReasonToDrain(t *testing.T, tests []drainCase) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := observedFleet(t)
			m := p.machines[7]
			test.change(p, m)
			silence := p.detector.Silence(p.core.now, m.contact.LastContact())
			if got := p.reasonToDrain(m, silence); got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
		})
	}
}

func TestReasonToDrainSilentMachine(t *testing.T) {
	testReasonToDrain(t, []drainCase{
		{"sound", func(*partitionLeader, *machine) {}, notDraining},
		{"silent, but no call failed", func(p *partitionLeader, m *machine) {
			silentFor(p, m, p.suspicionTimeout()+1, 0)
		}, notDraining},
		{"silent and a call failed", func(p *partitionLeader, m *machine) {
			silentFor(p, m, p.suspicionTimeout()+1, 1)
		}, drainUnresponsive},
		{"a call failed, but not silent for long", func(p *partitionLeader, m *machine) {
			silentFor(p, m, p.suspicionTimeout(), 1)
		}, notDraining},
		{"silent without an address to call", func(p *partitionLeader, m *machine) {
			silentFor(p, m, p.suspicionTimeout()+1, 0)
			m.address = ""
		}, drainUnresponsive},
		{"silent, but so is the rest of the fleet", func(p *partitionLeader, m *machine) {
			p.core.now += p.suspicionTimeout() + 1
			m.contact.CallFailed(p.core.now - 1)
		}, notDraining},
		{"never in use", func(p *partitionLeader, m *machine) {
			silentFor(p, m, p.suspicionTimeout()+1, 1)
			m.agent, m.record.Used = agents.HeartbeatState{}, false
			m.agent.Reconcile()
		}, notDraining},
		{"long silent after the lease expired", func(p *partitionLeader, m *machine) {
			m.agent.ExpireLease()
			p.core.now += 3*p.core.config.AgentLeaseExpiry() + 1
		}, drainUnresponsive},
		{"long silent like all others, the lease not known to have expired", func(p *partitionLeader, _ *machine) {
			p.core.now += 3*p.core.config.AgentLeaseExpiry() + 1
		}, notDraining},
		{"not yet long silent after the lease expired", func(p *partitionLeader, m *machine) {
			m.agent.ExpireLease()
			p.core.now += 3 * p.core.config.AgentLeaseExpiry()
		}, notDraining},
	})
}

func TestReasonToDrainMachineWithReplicas(t *testing.T) {
	// Two calls fail while the machine is silent for less than the suspicion timeout.
	shortSilence := func(p *partitionLeader, m *machine, kind workload.JobKind, failedCalls int) {
		for _, a := range m.attempts {
			a.job.Kind = kind
		}
		p.core.config.Operator.SilenceMs = 8000
		p.detector = newFailureDetector(p)
		silentFor(p, m, p.probeAfter(m)+probeReplyMargin+1, failedCalls)
		if silence := p.detector.Silence(p.core.now, m.contact.LastContact()); silence > p.suspicionTimeout() {
			t.Fatalf("silent for %d, longer than the suspicion timeout", silence)
		}
	}
	testReasonToDrain(t, []drainCase{
		{"replicas do not wait", func(p *partitionLeader, m *machine) {
			shortSilence(p, m, workload.Service, 2)
		}, drainUnresponsive},
		{"one failed call may be chance", func(p *partitionLeader, m *machine) {
			shortSilence(p, m, workload.Service, 1)
		}, notDraining},
		{"tasks of arrays wait", func(p *partitionLeader, m *machine) {
			shortSilence(p, m, workload.Array, 2)
		}, notDraining},
		{"shorter silence", func(p *partitionLeader, m *machine) {
			shortSilence(p, m, workload.Service, 2)
			p.core.now--
		}, notDraining},
		{"the rest of the fleet is silent, too", func(p *partitionLeader, m *machine) {
			shortSilence(p, m, workload.Service, 0)
			m.contact.CallFailed(p.core.now)
			m.contact.CallFailed(p.core.now)
		}, notDraining},
	})
}

func TestReasonToDrainLostMessages(t *testing.T) {
	testReasonToDrain(t, []drainCase{
		{"preempted and does not answer", func(p *partitionLeader, m *machine) {
			m.lifecycle.preemptAt = p.core.now - preemptionMargin - 1
			m.contact.CallFailed(p.core.now)
		}, drainUnresponsive},
		{"to be preempted about now", func(p *partitionLeader, m *machine) {
			m.lifecycle.preemptAt = p.core.now - preemptionMargin
			m.contact.CallFailed(p.core.now)
		}, notDraining},
		{"to be preempted by now, but answers", func(p *partitionLeader, m *machine) {
			m.lifecycle.preemptAt = p.core.now - preemptionMargin - 1
		}, notDraining},
		{"replies and calls are lost", func(p *partitionLeader, m *machine) {
			loseReplies(p, m, 3)
			m.contact.CallFailed(p.core.now)
			m.contact.CallFailed(p.core.now)
		}, drainUnreachable},
		{"replies are lost, one call failed", func(p *partitionLeader, m *machine) {
			loseReplies(p, m, 3)
			m.contact.CallFailed(p.core.now)
		}, notDraining},
		{"calls are lost, but replies arrive", func(p *partitionLeader, m *machine) {
			m.contact.CallFailed(p.core.now)
			m.contact.CallFailed(p.core.now)
		}, notDraining},
	})
}

func TestReasonToDrainWorseThanOthers(t *testing.T) {
	testReasonToDrain(t, []drainCase{
		{"last one to be reconciled does not answer", func(p *partitionLeader, m *machine) {
			m.agent = agents.HeartbeatState{}
			m.contact.CallFailed(p.core.now)
			m.contact.CallFailed(p.core.now)
		}, drainUnresponsive},
		{"does not answer while most are unreconciled", func(p *partitionLeader, m *machine) {
			for _, other := range p.machines {
				other.agent = agents.HeartbeatState{}
			}
			m.contact.CallFailed(p.core.now)
			m.contact.CallFailed(p.core.now)
		}, notDraining},
		{"reaches no controller, while most others do", func(p *partitionLeader, m *machine) {
			contact := m.contact
			reachAll(p, p.core.config.AgentLeaseExpiry()+1)
			m.contact = contact
			m.contact.Reached(p.core.now)
		}, drainCannotReport},
		{"tasks of several jobs failed", func(p *partitionLeader, m *machine) {
			for _, job := range []string{"a", "b", "c", "d", "e"} {
				p.core.faults.Failed(m.id, job)
			}
		}, drainQuarantined},
		{"slow", func(_ *partitionLeader, m *machine) {
			for range 3 {
				m.runtime.Observe(4)
			}
		}, drainSlow},
	})
}

func TestReasonToDrainBootTimeout(t *testing.T) {
	neverBooted := func(m *machine) {
		m.agent, m.record.Used = agents.HeartbeatState{}, false
		m.agent.Reconcile()
	}
	testReasonToDrain(t, []drainCase{
		{"never booted", func(p *partitionLeader, m *machine) {
			neverBooted(m)
			m.lifecycle.addedAt = p.core.now - 3*m.instanceType.Boot - bootMargin - 1
		}, drainBootTimeout},
		{"still booting", func(p *partitionLeader, m *machine) {
			neverBooted(m)
			m.lifecycle.addedAt = p.core.now - 3*m.instanceType.Boot - bootMargin
		}, notDraining},
		{"boot time of its type is unknown", func(p *partitionLeader, m *machine) {
			neverBooted(m)
			m.lifecycle.addedAt = p.core.now - 3*m.instanceType.Boot - bootMargin - 1
			m.instanceType = nil
		}, notDraining},
		{"booted long ago", func(p *partitionLeader, m *machine) {
			m.lifecycle.addedAt = p.core.now - 3*m.instanceType.Boot - bootMargin - 1
		}, notDraining},
	})
}

func TestReasonToDrainUnresolvedStart(t *testing.T) {
	testReasonToDrain(t, []drainCase{
		{"unresolved for long", func(p *partitionLeader, m *machine) {
			unresolvedStart(p, m, p.core.config.AgentLease()/2+1)
		}, drainUnresolvedStart},
		{"not yet for long", func(p *partitionLeader, m *machine) {
			unresolvedStart(p, m, p.core.config.AgentLease()/2)
		}, notDraining},
		{"a heartbeat showed the attempt", func(p *partitionLeader, m *machine) {
			unresolvedStart(p, m, p.core.config.AgentLease()/2+1).start.reported = true
		}, notDraining},
		{"the attempt is still wanted", func(p *partitionLeader, m *machine) {
			unresolvedStart(p, m, p.core.config.AgentLease()/2+1).stop.ordered = false
		}, notDraining},
		{"all starts were answered", func(p *partitionLeader, m *machine) {
			unresolvedStart(p, m, p.core.config.AgentLease()/2+1).start.unanswered = 0
		}, notDraining},
	})
}

func TestNeedsProbe(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *partitionLeader, m *machine)
		want   bool
	}{
		{"sound", func(*partitionLeader, *machine) {}, false},
		{"silent", func(p *partitionLeader, m *machine) { silentFor(p, m, p.probeAfter(m)+1, 0) }, true},
		{"not yet silent for long", func(p *partitionLeader, m *machine) { silentFor(p, m, p.probeAfter(m), 0) }, false},
		{"last call failed", func(p *partitionLeader, m *machine) { m.contact.CallFailed(p.core.now) }, true},
		{"does not obey the current token", func(p *partitionLeader, _ *machine) { p.lease.fencingToken++ }, true},
		{"should have been preempted", func(p *partitionLeader, m *machine) {
			m.lifecycle.preemptAt = p.core.now - 1
		}, true},
		{"is preempted about now", func(p *partitionLeader, m *machine) { m.lifecycle.preemptAt = p.core.now }, false},
		{"probed a moment ago", func(p *partitionLeader, m *machine) {
			m.contact.CallFailed(p.core.now)
			m.contact.Probed(p.core.now - micros.Second)
		}, false},
		{"never in use", func(p *partitionLeader, m *machine) {
			m.contact.CallFailed(p.core.now)
			m.agent, m.record.Used = agents.HeartbeatState{}, false
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := observedFleet(t)
			m := p.machines[7]
			test.change(p, m)
			if got := p.needsProbe(m, p.detector.Silence(p.core.now, m.contact.LastContact())); got != test.want {
				t.Errorf("needsProbe = %v, want %v", got, test.want)
			}
		})
	}
}

func TestAgentLeaseExpired(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *partitionLeader, m *machine)
		want   bool
	}{
		{"silent until the lease has expired", func(*partitionLeader, *machine) {}, true},
		{"noted already", func(_ *partitionLeader, m *machine) { m.agent.ExpireLease() }, false},
		{"never in use", func(_ *partitionLeader, m *machine) {
			m.agent, m.record.Used = agents.HeartbeatState{}, false
		}, false},
		{"a call was answered", func(p *partitionLeader, m *machine) { m.contact.Reached(p.core.now) }, false},
		{"a reply may have renewed it", func(_ *partitionLeader, m *machine) {
			m.contact.Replied(m.contact.LastRenewal() + 1)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := observedFleet(t)
			m := p.machines[7]
			silentFor(p, m, p.core.config.AgentLeaseExpiry()+1, 1)
			test.change(p, m)
			silence := p.detector.Silence(p.core.now, m.contact.LastContact())
			if got := p.agentLeaseExpired(m, silence); got != test.want {
				t.Errorf("agentLeaseExpired = %v, want %v", got, test.want)
			}
		})
	}
	t.Run("leadership is not confirmed since", func(t *testing.T) {
		p := observedFleet(t)
		m := p.machines[7]
		p.core.now += 2 * p.core.config.AgentLeaseExpiry()
		if p.agentLeaseExpired(m, p.detector.Silence(p.core.now, m.contact.LastContact())) {
			t.Error("a leader that may have been replaced takes the lease for expired")
		}
	})
}

func TestRecovered(t *testing.T) {
	tests := []struct {
		name    string
		reason  drainReason
		silence micros.Time
		want    bool
	}{
		{"came back", drainUnresponsive, recoverySilence - 1, true},
		{"still silent", drainUnresponsive, recoverySilence, false},
		{"drains for another reason", drainSlow, 0, false},
		{"does not drain", notDraining, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := observedFleet(t)
			m := p.machines[7]
			m.drain.reason = test.reason
			if got := p.recovered(m, test.silence); got != test.want {
				t.Errorf("recovered = %v, want %v", got, test.want)
			}
			p.lease.fencingToken++
			if p.recovered(m, test.silence) {
				t.Error("recovered before the machine obeys the current token")
			}
		})
	}
}

func TestDecommissions(t *testing.T) {
	decommissioning := map[drainReason]bool{drainAgentRestarted: true, drainUnreachable: true, drainKillTimeout: true}
	for reason := notDraining; reason <= drainTransfer; reason++ {
		if got := reason.decommissions(); got != decommissioning[reason] {
			t.Errorf("%q decommissions: %v, want %v", reason, got, decommissioning[reason])
		}
	}
}

// storedUse lists the machines that the transactions of a step record as in use, by block.
func storedUse(t *testing.T, p *partitionLeader) map[string]int {
	t.Helper()
	p.core.output = &messages.Output{}
	p.persistMachineUse()
	recorded := map[string]int{}
	for _, call := range p.core.output.StoreCalls {
		if call.Request.Kind != storage.Txn || len(call.Request.Compares) != 2 {
			t.Fatalf("request %+v", call.Request)
		}
		recorded[call.Request.Compares[1].Key]++
	}
	return recorded
}
