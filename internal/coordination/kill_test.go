package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

const killedJob = "wk-000000"

// newLeaderWithTasks returns a partition leader that has received heartbeats of fifty machines with
// eight running tasks each, and the job that the first eighty tasks belong to.
func newLeaderWithTasks(t *testing.T) (*partitionLeader, *job) {
	t.Helper()
	c, heartbeats := newLargeCore(t, 50)
	const now = 2 * micros.Second
	for _, heartbeat := range heartbeats {
		heartbeat.Sequence++
		c.lastTick = now
		c.Step(now, now, &messages.HeartbeatRequest{Request: 1, Heartbeat: heartbeat})
	}
	p := c.partitions[0]
	j := p.jobs[killedJob]
	if j == nil || len(j.activeAttempts) != 80 {
		t.Fatalf("job %s has no 80 running tasks: %+v", killedJob, j)
	}
	return p, j
}

func countLogRecords(p *partitionLeader, message string) int {
	count := 0
	for _, record := range p.core.output.LogRecords {
		if record.Message == message {
			count++
		}
	}
	return count
}

func TestRequestCancelKillsAllAttemptsOnce(t *testing.T) {
	p, j := newLeaderWithTasks(t)
	p.core.output = &messages.Output{}
	p.plan.stale = false
	p.core.requestCancel(killedJob)
	if len(p.pendingKills) != 80 || !j.cancelRequested || !p.plan.stale {
		t.Errorf("%d kills pending, want 80; cancel requested: %v, plan stale: %v",
			len(p.pendingKills), j.cancelRequested, p.plan.stale)
	}
	for task, a := range j.activeAttempts {
		stop := messages.Command{Operation: messages.Stop, AttemptID: a.id}
		if !a.machine.commands.ContainsFunc(func(c messages.Command) bool { return c == stop }) {
			t.Errorf("no stop command for task %d", task)
		}
	}
	p.core.requestCancel(killedJob)
	if got := countLogRecords(p, "job cancellation received"); got != 1 || len(p.pendingKills) != 80 {
		t.Errorf("%d log records and %d kills after a second notice, want 1 and 80", got, len(p.pendingKills))
	}
}

func TestRequestCancelKillsDuplicateAttempts(t *testing.T) {
	p, j := newLeaderWithTasks(t)
	duplicate := j.activeAttempts[7]
	delete(j.activeAttempts, 7)
	j.duplicateAttempts = append(j.duplicateAttempts, duplicate)
	p.requestCancel(j)
	if !slices.Contains(p.pendingKills, duplicate) {
		t.Error("no kill pending for the duplicate attempt")
	}
}

func TestKillDeadline(t *testing.T) {
	p, j := newLeaderWithTasks(t)
	// No watch was sent in this test, so the time allowed for the cancellation is counted from 0.
	term := p.core.config.LeadershipTerm()
	tests := []struct {
		name                 string
		now                  micros.Time
		want, wantForAdopted micros.Time
	}{
		{"early in the term", 2 * micros.Second, term, 2*micros.Second + 2*p.suspicionTimeout()},
		{"killLatency before the end of the term", term - killLatency, term, term},
		{"less than killLatency before the end of the term", term - killLatency + 1, term + 1, term + 1},
		{"long after the term", 2 * term, 2*term + killLatency, 2*term + killLatency},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p.core.now = test.now
			a, adopted := j.activeAttempts[2*i], j.activeAttempts[2*i+1]
			p.kill(a)
			p.killAdopted(adopted)
			if a.stop.killDeadline != test.want {
				t.Errorf("deadline %d, want %d", a.stop.killDeadline, test.want)
			}
			if adopted.stop.killDeadline != test.wantForAdopted {
				t.Errorf("deadline of an adopted attempt %d, want %d", adopted.stop.killDeadline, test.wantForAdopted)
			}
			p.core.now++
			p.kill(a)
			if a.stop.killDeadline != test.want || len(p.pendingKills) != 2*(i+1) {
				t.Errorf("after a second kill: deadline %d, want %d; %d kills pending, want %d",
					a.stop.killDeadline, test.want, len(p.pendingKills), 2*(i+1))
			}
		})
	}
}

func TestKillWithoutRunningTask(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*partitionLeader, *attempt)
	}{
		{"already exited", func(p *partitionLeader, a *attempt) { p.release(a) }},
		{"start not sent yet", func(_ *partitionLeader, a *attempt) { a.start = startState{} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, j := newLeaderWithTasks(t)
			a := j.activeAttempts[0]
			test.prepare(p, a)
			p.killAdopted(a)
			if a.state != messages.Exited || a.stop.killDeadline != 0 || len(p.pendingKills) != 0 {
				t.Errorf("state %v, deadline %d and %d kills pending, want exited and no kill",
					a.state, a.stop.killDeadline, len(p.pendingKills))
			}
			if !a.machine.commands.Empty() {
				t.Error("a stop command was queued")
			}
		})
	}
}

func TestDrainOverdueKills(t *testing.T) {
	tests := []struct {
		name        string
		late        micros.Time // time after the deadline
		prepare     func(*partitionLeader, *attempt)
		wantReason  drainReason
		wantPending bool
	}{
		{"before the deadline", -1, nil, notDraining, true},
		{"at the deadline", 0, nil, drainKillTimeout, true},
		{"machine already draining for another reason",
			0, func(p *partitionLeader, a *attempt) { p.startDrain(a.machine, drainSlow) }, drainKillTimeout, true},
		{"machine already decommissioned",
			0, func(p *partitionLeader, a *attempt) { p.startDrain(a.machine, drainUnreachable) }, drainUnreachable, true},
		{"task reported as exited", 0, func(p *partitionLeader, a *attempt) { p.release(a) }, notDraining, false},
		{"machine no longer in the partition",
			0, func(p *partitionLeader, _ *attempt) { p.machines = nil }, notDraining, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, j := newLeaderWithTasks(t)
			a := j.activeAttempts[0]
			p.kill(a)
			if test.prepare != nil {
				test.prepare(p, a)
			}
			p.core.now = a.stop.killDeadline + test.late
			p.drainOverdueKills()
			if got := a.machine.drain.reason; got != test.wantReason {
				t.Errorf("drain reason %q, want %q", got, test.wantReason)
			}
			if got := len(p.pendingKills) == 1; got != test.wantPending {
				t.Errorf("kill pending: %v, want %v", got, test.wantPending)
			}
		})
	}
}
