package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/agents"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// newLeaderInContact returns a partition leader with fifty machines that are all in contact.
func newLeaderInContact(t *testing.T) *partitionLeader {
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

// reachAll advances the time and records contact with all machines.
func reachAll(p *partitionLeader, after micros.Time) {
	p.core.now += after
	p.core.output = &messages.Output{}
	p.core.term.Confirm(p.core.now)
	for _, m := range p.machines {
		m.contact.Reached(p.core.now)
		m.contact.Replied(p.core.now)
	}
}

// silentFor advances the time and records contact with all machines except one, to which the given
// number of calls failed.
func silentFor(p *partitionLeader, silent *machine, duration micros.Time, failedCalls int) {
	contact, calledAt := silent.contact, p.core.now+1
	reachAll(p, duration)
	silent.contact = contact
	for range failedCalls {
		silent.contact.CallFailed(calledAt)
	}
}

// loseReplies records heartbeats that show the given number of replies to be lost.
func loseReplies(p *partitionLeader, m *machine, replies int) {
	for range replies {
		m.contact.Replied(p.core.now)
		m.contact.ObserveNextHeartbeat(true, p.core.now)
	}
}

// unresolvedStart adds an attempt whose start got no reply and whose stop was ordered the given time
// ago.
func unresolvedStart(p *partitionLeader, m *machine, stoppedFor micros.Time) *attempt {
	a := &attempt{id: messages.AttemptID{Job: "x", Number: 99}, machine: m}
	a.start = startState{sent: true, unanswered: 1, token: p.lease.fencingToken}
	a.stop = stopState{ordered: true, orderedAt: p.core.now - stoppedFor}
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
			p := newLeaderInContact(t)
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
		{"healthy", func(*partitionLeader, *machine) {}, notDraining},
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
		{"whole fleet long silent, lease not known to have expired", func(p *partitionLeader, _ *machine) {
			p.core.now += 3*p.core.config.AgentLeaseExpiry() + 1
		}, notDraining},
		{"not yet long silent after the lease expired", func(p *partitionLeader, m *machine) {
			m.agent.ExpireLease()
			p.core.now += 3 * p.core.config.AgentLeaseExpiry()
		}, notDraining},
	})
}

func TestReasonToDrainMachineWithReplicas(t *testing.T) {
	// shortSilence lets calls fail while the machine is silent for less than the suspicion timeout.
	shortSilence := func(p *partitionLeader, m *machine, kind workload.JobKind, failedCalls int) {
		for _, a := range m.attempts {
			a.job.Kind = kind
		}
		p.core.config.Operator.SilenceMs = 8000
		p.detector = newFailureDetector(p)
		silentFor(p, m, p.probeAfter(m)+probeReplyMargin+1, failedCalls)
		if silence := p.detector.Silence(p.core.now, m.contact.LastContact()); silence > p.suspicionTimeout() {
			t.Fatalf("silent for %d µs, longer than the suspicion timeout", silence)
		}
	}
	testReasonToDrain(t, []drainCase{
		{"service replicas, two failed calls", func(p *partitionLeader, m *machine) {
			shortSilence(p, m, workload.Service, 2)
		}, drainUnresponsive},
		{"service replicas, one failed call", func(p *partitionLeader, m *machine) {
			shortSilence(p, m, workload.Service, 1)
		}, notDraining},
		{"only array tasks", func(p *partitionLeader, m *machine) {
			shortSilence(p, m, workload.Array, 2)
		}, notDraining},
		{"silence too short", func(p *partitionLeader, m *machine) {
			shortSilence(p, m, workload.Service, 2)
			p.core.now--
		}, notDraining},
		{"the rest of the fleet is silent as well", func(p *partitionLeader, m *machine) {
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
		{"preempted within the margin", func(p *partitionLeader, m *machine) {
			m.lifecycle.preemptAt = p.core.now - preemptionMargin
			m.contact.CallFailed(p.core.now)
		}, notDraining},
		{"should have been preempted, but answers", func(p *partitionLeader, m *machine) {
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

func TestReasonToDrainOutlier(t *testing.T) {
	testReasonToDrain(t, []drainCase{
		{"the last unreconciled machine does not answer", func(p *partitionLeader, m *machine) {
			m.agent = agents.HeartbeatState{}
			m.contact.CallFailed(p.core.now)
			m.contact.CallFailed(p.core.now)
		}, drainUnresponsive},
		{"does not answer while most machines are unreconciled", func(p *partitionLeader, m *machine) {
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
		{"unresolved for more than half a lease", func(p *partitionLeader, m *machine) {
			unresolvedStart(p, m, p.core.config.AgentLease()/2+1)
		}, drainUnresolvedStart},
		{"unresolved for half a lease", func(p *partitionLeader, m *machine) {
			unresolvedStart(p, m, p.core.config.AgentLease()/2)
		}, notDraining},
		{"a heartbeat showed the attempt", func(p *partitionLeader, m *machine) {
			unresolvedStart(p, m, p.core.config.AgentLease()/2+1).start.reported = true
		}, notDraining},
		{"the attempt was not stopped", func(p *partitionLeader, m *machine) {
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
		{"healthy", func(*partitionLeader, *machine) {}, false},
		{"silent", func(p *partitionLeader, m *machine) { silentFor(p, m, p.probeAfter(m)+1, 0) }, true},
		{"not yet silent for long", func(p *partitionLeader, m *machine) { silentFor(p, m, p.probeAfter(m), 0) }, false},
		{"last call failed", func(p *partitionLeader, m *machine) { m.contact.CallFailed(p.core.now) }, true},
		{"has not acknowledged the required token", func(_ *partitionLeader, m *machine) { m.requiredToken++ }, true},
		{"has not acknowledged a renewed token", func(p *partitionLeader, _ *machine) { p.lease.fencingToken++ }, false},
		{"should have been preempted", func(p *partitionLeader, m *machine) {
			m.lifecycle.preemptAt = p.core.now - 1
		}, true},
		{"preemption due just now", func(p *partitionLeader, m *machine) { m.lifecycle.preemptAt = p.core.now }, false},
		{"probed within the last second", func(p *partitionLeader, m *machine) {
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
			p := newLeaderInContact(t)
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
		{"already recorded", func(_ *partitionLeader, m *machine) { m.agent.ExpireLease() }, false},
		{"never in use", func(_ *partitionLeader, m *machine) {
			m.agent, m.record.Used = agents.HeartbeatState{}, false
		}, false},
		{"a call was answered", func(p *partitionLeader, m *machine) { m.contact.Reached(p.core.now) }, false},
		{"a reply may have renewed the lease", func(_ *partitionLeader, m *machine) {
			m.contact.Replied(m.contact.LastRenewal() + 1)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newLeaderInContact(t)
			m := p.machines[7]
			silentFor(p, m, p.core.config.AgentLeaseExpiry()+1, 1)
			test.change(p, m)
			silence := p.detector.Silence(p.core.now, m.contact.LastContact())
			if got := p.agentLeaseExpired(m, silence); got != test.want {
				t.Errorf("agentLeaseExpired = %v, want %v", got, test.want)
			}
		})
	}
	t.Run("leadership not confirmed since the lease expired", func(t *testing.T) {
		p := newLeaderInContact(t)
		m := p.machines[7]
		p.core.now += 2 * p.core.config.AgentLeaseExpiry()
		if p.agentLeaseExpired(m, p.detector.Silence(p.core.now, m.contact.LastContact())) {
			t.Error("a leader that may have been replaced considers the lease expired")
		}
	})
}

// TestExpiredLeaseEndsNoSentStart guards against a task that is started elsewhere while a copy of its start may run
// on an agent that restarted unseen.
func TestExpiredLeaseEndsNoSentStart(t *testing.T) {
	p := newLeaderInContact(t)
	m := p.machines[7]
	sent := anyRunningAttempt(t, m)
	unsent := &attempt{id: sent.id, machine: m, job: sent.job, state: messages.Fetching}
	unsent.id.Number++
	unsent.index()
	p.reserve(unsent)
	silentFor(p, m, silentLeasesWithTasks*p.core.config.AgentLeaseExpiry()+micros.Second, 2)
	p.checkMachine(m)
	if m.attempts[sent.id] == nil || m.agent.LeaseExpired() {
		t.Error("an attempt whose start was sent ended with the lease")
	}
	if m.attempts[unsent.id] != nil {
		t.Error("an attempt whose start was never sent was kept")
	}
	if m.drain.reason != drainUnresponsive || !p.readyForTermination(m) {
		t.Errorf("machine whose tasks wait is not terminated: %v", m.drain.reason)
	}
	for _, a := range m.attempts {
		a.state = messages.Exited
	}
	p.checkMachine(m)
	if !m.agent.LeaseExpired() {
		t.Error("the lease of a machine without tasks does not expire")
	}
}

func TestRecovered(t *testing.T) {
	tests := []struct {
		name    string
		reason  drainReason
		silence micros.Time
		want    bool
	}{
		{"in contact again", drainUnresponsive, recoverySilence - 1, true},
		{"still silent", drainUnresponsive, recoverySilence, false},
		{"drains for another reason", drainSlow, 0, false},
		{"not draining", notDraining, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newLeaderInContact(t)
			m := p.machines[7]
			m.drain.reason = test.reason
			if got := p.recovered(m, test.silence); got != test.want {
				t.Errorf("recovered = %v, want %v", got, test.want)
			}
			m.requiredToken++
			if p.recovered(m, test.silence) {
				t.Error("recovered before the machine acknowledged the required token")
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

// machineUseWrites lets the partition leader record which machines are in use, and returns the number of
// transactions sent for each key of a block.
func machineUseWrites(t *testing.T, p *partitionLeader) map[string]int {
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
