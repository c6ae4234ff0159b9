package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// attemptFixture is a partition leader with one job of four tasks and one machine.
type attemptFixture struct {
	leader  *partitionLeader
	job     *job
	machine *machine
}

func newAttemptFixture() *attemptFixture {
	core := &Core{step: step{now: 10 * micros.Second, output: &messages.Output{}}}
	record := &workload.Job{ID: "a", Team: "alpha", Tasks: 4, Resources: workload.Resources{CPU: 1000}}
	return &attemptFixture{
		leader:  &partitionLeader{core: core, teamUsage: map[string]workload.Resources{}},
		job:     newJob(&storage.JobEntry{Job: record}),
		machine: &machine{id: "m", attempts: map[messages.AttemptID]*attempt{}},
	}
}

// start adds an attempt at a task, whose start command was sent or is still queued.
func (f *attemptFixture) start(task int, number uint64, sent bool) *attempt {
	a := &attempt{
		id:        messages.AttemptID{Job: f.job.ID, Task: task, Number: number},
		machine:   f.machine,
		job:       f.job,
		team:      f.job.Team,
		resources: f.job.Resources,
		start:     startState{sent: sent},
	}
	a.index()
	f.job.pendingTasks.Remove(task)
	f.leader.reserve(a)
	if !sent {
		f.machine.commands.Add(messages.Command{Operation: messages.Start, AttemptID: a.id})
	}
	return a
}

// startActive adds the active attempt at a task.
func (f *attemptFixture) startActive(task int, sent bool) *attempt {
	a := f.start(task, 1, sent)
	f.job.activeAttempts[task] = a
	return a
}

// takeCommands removes and returns the machine's queued commands.
func (f *attemptFixture) takeCommands() []messages.Command { return f.machine.commands.TakeBatch(100) }

func TestRepeatedStopOnlyShortensGracePeriod(t *testing.T) {
	tests := []struct {
		name         string
		gracePeriods []micros.Time
		want         []micros.Time // of the commands
	}{
		{name: "once", gracePeriods: []micros.Time{5}, want: []micros.Time{5}},
		{name: "repeated", gracePeriods: []micros.Time{5, 5}, want: []micros.Time{5}},
		{name: "with a longer grace period", gracePeriods: []micros.Time{5, 9}, want: []micros.Time{5}},
		{name: "with a shorter grace period", gracePeriods: []micros.Time{5, 0}, want: []micros.Time{5, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newAttemptFixture()
			a := f.startActive(1, true)
			first := f.leader.core.now
			for _, gracePeriod := range test.gracePeriods {
				f.leader.stopAttempt(a, reasonPreempted, gracePeriod)
				f.leader.core.now += micros.Second
			}
			var want []messages.Command
			for _, gracePeriod := range test.want {
				want = append(want, messages.Command{Operation: messages.Stop, AttemptID: a.id, GracePeriod: gracePeriod})
			}
			if got := f.takeCommands(); !slices.Equal(got, want) {
				t.Errorf("commands %+v, want %+v", got, want)
			}
			if a.stop.orderedAt != first {
				t.Errorf("ordered at %d, want %d", a.stop.orderedAt, first)
			}
			if f.job.activeAttempts[1] != a || f.job.pendingTasks.Has(1) {
				t.Error("task is pending before its attempt has exited")
			}
		})
	}
}

func TestStopOfExitedAttemptIsIgnored(t *testing.T) {
	f := newAttemptFixture()
	a := f.startActive(1, true)
	f.leader.release(a)
	f.leader.stopAttempt(a, reasonPreempted, 0)
	if commands := f.takeCommands(); len(commands) > 0 || a.stop.ordered {
		t.Errorf("commands %+v, stop ordered %v, want none", commands, a.stop.ordered)
	}
}

func TestStopOfUnsentStartRevokesAttempt(t *testing.T) {
	f := newAttemptFixture()
	kept := f.startActive(0, false)
	a := f.startActive(1, false)
	f.leader.stopAttempt(a, reasonPreempted, 0)
	if commands := f.takeCommands(); len(commands) != 1 || commands[0].AttemptID != kept.id {
		t.Errorf("commands %+v, want only the start of %+v", commands, kept.id)
	}
	if !f.job.pendingTasks.Has(1) || f.job.activeAttempts[1] != nil {
		t.Error("task is not pending again")
	}
	if f.machine.attempts[a.id] != nil || len(f.job.attempts) != 1 {
		t.Error("revoked attempt is still indexed")
	}
	if got := f.leader.teamUsage["alpha"]; got != kept.resources {
		t.Errorf("usage %+v, want %+v", got, kept.resources)
	}
}

func TestReleaseFreesResourcesOnceAndLastMakesMachineIdle(t *testing.T) {
	f := newAttemptFixture()
	first, last := f.startActive(0, true), f.startActive(1, true)
	steps := []struct {
		name      string
		attempt   *attempt
		wantUsage workload.Resources
		wantIdle  micros.Time
	}{
		{name: "first", attempt: first, wantUsage: last.resources},
		{name: "first again", attempt: first, wantUsage: last.resources},
		{name: "last", attempt: last, wantIdle: f.leader.core.now},
	}
	for _, step := range steps {
		f.leader.release(step.attempt)
		if got := f.leader.teamUsage["alpha"]; got != step.wantUsage {
			t.Errorf("%s: usage %+v, want %+v", step.name, got, step.wantUsage)
		}
		if got := f.machine.lifecycle.idleSince; got != step.wantIdle {
			t.Errorf("%s: idle since %d, want %d", step.name, got, step.wantIdle)
		}
	}
}

func TestRequeueOfExitedAttempt(t *testing.T) {
	tests := []struct {
		name        string
		change      func(f *attemptFixture)
		wantPending bool
		wantActive  uint64 // number of the attempt that is active now; 0: none
	}{
		{name: "task becomes pending", change: func(*attemptFixture) {}, wantPending: true},
		{name: "completed task does not", change: func(f *attemptFixture) { f.job.completion.observe(1, false) }},
		{name: "duplicate becomes the active attempt", change: func(f *attemptFixture) {
			f.job.duplicateAttempts = append(f.job.duplicateAttempts, f.start(1, 2, true))
		}, wantActive: 2},
		{name: "exited duplicate does not become active", change: func(f *attemptFixture) {
			duplicate := f.start(1, 2, true)
			f.job.duplicateAttempts = append(f.job.duplicateAttempts, duplicate)
			f.leader.release(duplicate)
		}, wantPending: true},
		{name: "another attempt is active", change: func(f *attemptFixture) {
			f.job.activeAttempts[1] = f.start(1, 3, true)
		}, wantActive: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newAttemptFixture()
			a := f.startActive(1, true)
			test.change(f)
			f.leader.release(a)
			f.leader.requeue(a)
			if got := f.job.pendingTasks.Has(1); got != test.wantPending {
				t.Errorf("pending %v, want %v", got, test.wantPending)
			}
			var active uint64
			if now := f.job.activeAttempts[1]; now != nil {
				active = now.id.Number
			}
			if active != test.wantActive {
				t.Errorf("active attempt %d, want %d", active, test.wantActive)
			}
		})
	}
}
