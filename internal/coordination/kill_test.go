package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

const killedJob = "wk-000000"

// newLeaderWithTasks returns a partition leader that has heard of fifty machines with eight running
// tasks each, and the job of the first eighty.
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
		t.Errorf("%d kills are pending, want 80", len(p.pendingKills))
	}
	for task, a := range j.activeAttempts {
		stop := messages.Command{Operation: messages.Stop, AttemptID: a.id}
		if !a.machine.commands.ContainsFunc(func(c messages.Command) bool { return c == stop }) {
			t.Errorf("task %d is not stopped", task)
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
		t.Error("the duplicate attempt is not killed")
	}
}

func TestKillDeadline(t *testing.T) {
	p, j := newLeaderWithTasks(t)
	term := p.core.config.LeadershipTerm() // from the watch before the last: none was sent here
	tests := []struct {
		name                 string
		now                  micros.Time
		want, wantForAdopted micros.Time
	}{
		{"at the end of the term", 2 * micros.Second, term, 2*micros.Second + 2*p.suspicionTimeout()},
		{"just as long as a stop takes", term - killLatency, term, term},
		{"not before a stop can take effect", term - killLatency + 1, term + 1, term + 1},
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
				t.Errorf("a second kill moves the deadline to %d, or is counted: %d", a.stop.killDeadline, len(p.pendingKills))
			}
		})
	}
}

func TestKillOfWhatDoesNotRun(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*partitionLeader, *attempt)
	}{
		{"exited already", func(p *partitionLeader, a *attempt) { p.release(a) }},
		{"its start was not sent yet", func(_ *partitionLeader, a *attempt) { a.start = startState{} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, j := newLeaderWithTasks(t)
			a := j.activeAttempts[0]
			test.prepare(p, a)
			p.killAdopted(a)
			if a.state != messages.Exited || a.stop.killDeadline != 0 || len(p.pendingKills) != 0 {
				t.Errorf("a deadline was set: %d, pending %d", a.stop.killDeadline, len(p.pendingKills))
			}
			if !a.machine.commands.Empty() {
				t.Error("a stop was sent")
			}
		})
	}
}

func TestDrainOverdueKills(t *testing.T) {
	tests := []struct {
		name        string
		late        micros.Time // after the deadline
		prepare     func(*partitionLeader, *attempt)
		wantReason  drainReason
		wantPending bool
	}{
		{"before the deadline", -1, nil, notDraining, true},
		{"at the deadline", 0, nil, drainKillTimeout, true},
		{"a machine that is drained for another reason",
			0, func(p *partitionLeader, a *attempt) { p.startDrain(a.machine, drainSlow) }, drainKillTimeout, true},
		{"a machine that is given up already",
			0, func(p *partitionLeader, a *attempt) { p.startDrain(a.machine, drainUnreachable) }, drainUnreachable, true},
		{"the task is shown as gone", 0, func(p *partitionLeader, a *attempt) { p.release(a) }, notDraining, false},
		{"the machine has left the partition",
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
				t.Errorf("machine drained for %v, want %v", got, test.wantReason)
			}
			if got := len(p.pendingKills) == 1; got != test.wantPending {
				t.Errorf("kill pending: %v, want %v", got, test.wantPending)
			}
		})
	}
}
