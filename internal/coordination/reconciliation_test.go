package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// anyRunningAttempt returns an attempt that the machine's first heartbeat reported as running.
func anyRunningAttempt(t *testing.T, m *machine) *attempt {
	t.Helper()
	for _, id := range sortedAttempts(m) {
		if a := m.attempts[id]; a.state == messages.Running && a.job != nil {
			return a
		}
	}
	t.Fatal("no running attempt")
	return nil
}

func TestAdoptAttempt(t *testing.T) {
	tests := []struct {
		name       string
		status     func(p *partitionLeader, a *attempt) messages.TaskStatus
		wantJob    bool
		wantStop   bool
		wantActive bool
	}{
		{"active task", func(p *partitionLeader, a *attempt) messages.TaskStatus {
			p.release(a)
			p.requeue(a)
			return messages.TaskStatus{AttemptID: messages.AttemptID{Job: a.id.Job, Task: a.id.Task, Number: 999}}
		}, true, false, true},
		{"second attempt at an active task", func(_ *partitionLeader, a *attempt) messages.TaskStatus {
			return messages.TaskStatus{AttemptID: messages.AttemptID{Job: a.id.Job, Task: a.id.Task, Number: 999}}
		}, true, true, false},
		{"task of a cancelled job", func(p *partitionLeader, a *attempt) messages.TaskStatus {
			p.release(a)
			p.requeue(a)
			a.job.cancelRequested = true
			return messages.TaskStatus{AttemptID: messages.AttemptID{Job: a.id.Job, Task: a.id.Task, Number: 999}}
		}, true, true, true},
		{"task of an unknown job", func(*partitionLeader, *attempt) messages.TaskStatus {
			return messages.TaskStatus{AttemptID: messages.AttemptID{Job: "x", Number: 999}}
		}, false, true, false},
		{"task that the job does not have", func(_ *partitionLeader, a *attempt) messages.TaskStatus {
			return messages.TaskStatus{AttemptID: messages.AttemptID{Job: a.id.Job, Task: a.job.Tasks, Number: 999}}
		}, false, true, false},
		{"exited task of an unknown job", func(*partitionLeader, *attempt) messages.TaskStatus {
			return messages.TaskStatus{AttemptID: messages.AttemptID{Job: "x", Number: 999}, State: messages.Exited}
		}, false, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newLeaderInContact(t)
			m := p.machines[7]
			status := test.status(p, anyRunningAttempt(t, m))
			a := p.adoptAttempt(m, &status)
			active := a.job != nil && a.job.activeAttempts[status.Task] == a
			if (a.job != nil) != test.wantJob || a.stop.ordered != test.wantStop || active != test.wantActive {
				t.Errorf("job known %v, stop ordered %v, active %v", a.job != nil, a.stop.ordered, active)
			}
			if m.attempts[status.AttemptID] != a || !a.start.sent {
				t.Errorf("attempt is not indexed as started: %+v", a)
			}
		})
	}
}

func TestObserveExit(t *testing.T) {
	tests := []struct {
		name             string
		reason           messages.ExitReason
		wantPending      bool
		wantMachinePause micros.Time
		wantJobPause     micros.Time
	}{
		{"completed", messages.ExitCompleted, false, 0, 0},
		{"stopped", messages.ExitStopped, true, 0, 0},
		{"failed once", messages.ExitFailed, true, 0, 0},
		{"refused for lack of resources", messages.ExitInsufficientResources, true, refusedStartPause, 0},
		{"refused as a duplicate", messages.ExitDuplicateTask, true, refusedStartPause, 0},
		{"unknown to the agent", messages.ExitUnknownTask, true, 0, unknownTaskPause},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newLeaderInContact(t)
			m := p.machines[7]
			a := anyRunningAttempt(t, m)
			p.updateAttempt(a, &messages.TaskStatus{AttemptID: a.id, State: messages.Exited, ExitReason: test.reason})
			if a.state != messages.Exited || a.job.pendingTasks.Has(a.id.Task) != test.wantPending {
				t.Errorf("state %d, task pending %v", a.state, a.job.pendingTasks.Has(a.id.Task))
			}
			if got := max(0, m.lifecycle.startsPausedUntil-p.core.now); got != test.wantMachinePause {
				t.Errorf("machine paused for %d, want %d", got, test.wantMachinePause)
			}
			if got := max(0, a.job.startsPausedUntil-p.core.now); got != test.wantJobPause {
				t.Errorf("job paused for %d, want %d", got, test.wantJobPause)
			}
			if a.job.taskCompleted(a.id.Task) == test.wantPending {
				t.Errorf("task completed: %v", !test.wantPending)
			}
		})
	}
}

func TestReconcileTasksRemovesAbsentAttempts(t *testing.T) {
	p := newLeaderInContact(t)
	m := p.machines[7]
	absent := anyRunningAttempt(t, m)
	unresolved := unresolvedStart(p, m, 0)
	h := nextHeartbeat(p, m)
	h.Tasks = nil
	for id := range m.attempts {
		if id != absent.id && id != unresolved.id {
			h.Tasks = append(h.Tasks, messages.TaskStatus{AttemptID: id, State: messages.Running})
		}
	}
	p.reconcileTasks(m, h)
	if m.attempts[absent.id] != nil || !absent.job.pendingTasks.Has(absent.id.Task) {
		t.Error("task that the heartbeat no longer reports is not pending again")
	}
	if m.attempts[unresolved.id] == nil {
		t.Error("attempt whose start may still arrive was removed: the task could run twice")
	}
	if len(m.attempts) != len(h.Tasks)+1 {
		t.Errorf("%d attempts, want the %d reported and one whose start may still arrive", len(m.attempts), len(h.Tasks))
	}
}

// TestHeartbeatWithoutRunningAttemptShowsRestart checks that an agent which lost an attempt is given up, though a
// copy of a command told it the current token, and that the task is not started elsewhere before.
func TestHeartbeatWithoutRunningAttemptShowsRestart(t *testing.T) {
	tests := []struct {
		name   string
		change func(a *attempt)
		want   drainReason
	}{
		{"running", func(*attempt) {}, drainAgentRestarted},
		{"exited, not to be forgotten yet", func(a *attempt) { a.state = messages.Exited }, drainAgentRestarted},
		{"told to forget it", func(a *attempt) { a.state, a.forgetSent = messages.Exited, true }, notDraining},
		{"never reported", func(a *attempt) { a.start.reported = false }, notDraining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newLeaderInContact(t)
			m := p.machines[7]
			absent := anyRunningAttempt(t, m)
			absent.start.reported = true
			test.change(absent)
			h := nextHeartbeat(p, m)
			h.Tasks = slices.DeleteFunc(h.Tasks, func(s messages.TaskStatus) bool { return s.AttemptID == absent.id })
			p.observeHeartbeat(m, h)
			if m.drain.reason != test.want {
				t.Errorf("drain reason %v, want %v", m.drain.reason, test.want)
			}
			pending := absent.job.pendingTasks.Has(absent.id.Task)
			if test.want == drainAgentRestarted && (pending || m.attempts[absent.id] == nil) {
				t.Error("task may be started elsewhere while copies of its start can be executed on the machine")
			}
		})
	}
}

// TestLeaseOfRestartedAgentCountsFromRestart checks that the tasks of an agent which restarted late in its lease
// are not started elsewhere at the end of that lease: copies of commands may have started them again.
func TestLeaseOfRestartedAgentCountsFromRestart(t *testing.T) {
	p := newLeaderInContact(t)
	m := p.machines[7]
	renewed, expiry := p.core.now, p.detector.AgentLeaseExpiry()
	restarted := renewed + p.core.config.AgentLease() - micros.Second
	p.core.now = restarted
	p.drainRestarted(m, nextHeartbeat(p, m))
	for _, step := range []struct {
		now  micros.Time
		want bool
	}{{renewed + expiry + micros.Second, false}, {restarted + expiry + micros.Second, true}} {
		p.core.now = step.now
		p.core.term.Confirm(step.now)
		if got := p.agentLeaseExpired(m, p.suspicionTimeout()+1); got != step.want {
			t.Errorf("lease expired: %v %d us after the restart, want %v", got, step.now-restarted, step.want)
		}
	}
}
