package coordination

import (
	"maps"
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// TestSelectVictims checks that either all missing tasks get a slot or none, and that work of the
// same priority never reduces another team below its guaranteed quota.
func TestSelectVictims(t *testing.T) {
	victimOf := func(name, team string, priority workload.Priority, cpu int64, slots int) victim {
		j := &job{Job: &workload.Job{Team: team, Priority: priority}}
		a := &attempt{id: messages.AttemptID{Job: name}, job: j, resources: workload.Resources{CPU: cpu}}
		return victim{attempt: a, slots: slots}
	}
	const low, normal = workload.Low, workload.Normal
	for _, c := range []struct {
		name         string
		candidates   []victim
		borrowed     map[string]int64
		missing      int
		want         []string
		wantBorrowed int64 // by team b
	}{
		{name: "no more than needed", missing: 2,
			candidates: []victim{victimOf("1", "b", low, 4, 2), victimOf("2", "b", low, 4, 2)},
			want:       []string{"1"}, wantBorrowed: -4},
		{name: "none if not all missing tasks fit", missing: 3,
			candidates:   []victim{victimOf("1", "b", low, 4, 1), victimOf("2", "b", low, 4, 1)},
			wantBorrowed: -8},
		{name: "same priority while its team borrows quota", missing: 2, borrowed: map[string]int64{"b": 8},
			candidates: []victim{victimOf("1", "b", normal, 4, 1), victimOf("2", "b", normal, 4, 1)},
			want:       []string{"1", "2"}, wantBorrowed: 0},
		{name: "not the same priority once the rest is within the guarantee", missing: 2, borrowed: map[string]int64{"b": 7},
			candidates: []victim{victimOf("1", "b", normal, 4, 1), victimOf("2", "b", normal, 4, 1),
				victimOf("3", "b", low, 4, 1)},
			want: []string{"1", "3"}, wantBorrowed: -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			borrowed := map[string]int64{"b": 0}
			maps.Copy(borrowed, c.borrowed)
			o := &objectivePreemption{
				ranked:   rankedJob{job: &job{Job: &workload.Job{Team: "a", Priority: normal}}},
				borrowed: borrowed,
			}
			var got []string
			for _, v := range o.selectVictims(c.candidates, c.missing) {
				got = append(got, v.attempt.id.Job)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("selected %v, want %v", got, c.want)
			}
			if borrowed["b"] != c.wantBorrowed {
				t.Errorf("team b borrows %d, want %d", borrowed["b"], c.wantBorrowed)
			}
		})
	}
}

// TestAttemptKnownToRun checks that an attempt whose start or stop is pending is not preempted.
func TestAttemptKnownToRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*attempt)
		want   bool
	}{
		{"confirmed by a heartbeat", func(*attempt) {}, true},
		{"exited", func(a *attempt) { a.state = messages.Exited }, false},
		{"being stopped", func(a *attempt) { a.stop.ordered = true }, false},
		{"not confirmed yet", func(a *attempt) { a.start.reported = false }, false},
		{"a start command in flight", func(a *attempt) { a.start.inFlight = 1 }, false},
		{"a start command without a reply", func(a *attempt) { a.start.unanswered = 1 }, false},
		{"of a job that is no longer active", func(a *attempt) { a.job = nil }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &attempt{job: &job{}, state: messages.Running, start: startState{reported: true}}
			c.change(a)
			if got := a.knownToRun(); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestPreemptionForObjectivesIsLimited checks that work is stopped for an array that would miss its objective only
// as long as the planning pass may examine machines for it.
func TestPreemptionForObjectivesIsLimited(t *testing.T) {
	for _, c := range []struct {
		name     string
		searches int
		want     int // tasks started
	}{
		{"nothing left of the limit", 0, 0},
		{"something left", 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, heartbeats := newLargeCore(t, machinesPerBlock)
			now := 2 * micros.Second
			receiveHeartbeats(core, now, heartbeats)
			p := core.partitions[0]
			p.plan.begin(now)
			p.plan.objectiveSearches = c.searches
			for _, m := range p.machines {
				m.instanceType = core.catalog.Types()["m"]
				m.contact.Reached(now)
			}
			urgent := newJob(&storage.JobEntry{Job: &workload.Job{
				ID: "wk-900000", Team: "alpha", Tasks: 2, Priority: workload.Production, Image: "i",
				Resources: workload.Resources{CPU: 4000, Mem: 4000}, Estimate: 60 * micros.Second,
			}})
			p.preemptForObjective(p.rank(urgent), 2, now+micros.Second, anyTeam)
			if got := len(urgent.activeAttempts); got != c.want {
				t.Errorf("%d tasks started, want %d", got, c.want)
			}
		})
	}
}
