package coordination

import (
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

func TestPlanIsDue(t *testing.T) {
	const lastRunAt = 100 * micros.Second
	for _, c := range []struct {
		name     string
		age      micros.Time
		lastTook micros.Time
		stale    bool
		want     bool
	}{
		{name: "not before the shortest interval", age: minPlanInterval - 1, stale: true, want: false},
		{name: "after the shortest interval", age: minPlanInterval, stale: true, want: true},
		{name: "not without a change", age: minPlanInterval, want: false},
		{name: "without a change after the longest interval", age: maxPlanInterval, want: true},
		{name: "not while planning would exceed a twentieth of the time", age: 20*6*micros.Millisecond - 1,
			lastTook: 6 * micros.Millisecond, stale: true, want: false},
		{name: "once planning takes a twentieth of the time", age: 20 * 6 * micros.Millisecond,
			lastTook: 6 * micros.Millisecond, stale: true, want: true},
		{name: "after the longest interval, however long the last plan took", age: maxPlanInterval,
			lastTook: 10 * micros.Second, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newPlanState()
			s.begin(lastRunAt)
			s.recordDuration(c.lastTook)
			s.stale = c.stale
			if got := s.due(lastRunAt + c.age); got != c.want {
				t.Errorf("due %v, want %v", got, c.want)
			}
		})
	}
}

// TestBeginResetsPlanState checks that results of one planning pass are not used in the next.
func TestBeginResetsPlanState(t *testing.T) {
	s := newPlanState()
	s.serviceReplicas = 3
	s.unreconciledUsage = workload.Resources{CPU: 1}
	s.preemptionFailed[preemptionKey{priority: workload.High}] = true
	s.inheritedUrgency = map[string]inheritedUrgency{"job": {}}
	s.begin(micros.Second)
	if s.stale || s.lastRunAt != micros.Second {
		t.Errorf("after begin: stale %v, lastRunAt %d", s.stale, s.lastRunAt)
	}
	if s.serviceReplicas != 0 || s.unreconciledUsage != (workload.Resources{}) {
		t.Errorf("not reset: %d replicas, unreconciled usage %+v", s.serviceReplicas, s.unreconciledUsage)
	}
	if len(s.preemptionFailed) != 0 || len(s.inheritedUrgency) != 0 {
		t.Errorf("not reset: failed preemptions %v, inherited urgency %v", s.preemptionFailed, s.inheritedUrgency)
	}
}
