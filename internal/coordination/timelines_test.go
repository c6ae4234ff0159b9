package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// coreAt returns a core at the given time that has not observed any run times.
func coreAt(now micros.Time) *Core {
	c := &Core{}
	c.now = now
	c.runtimes = workload.NewRuntimeStats()
	return c
}

// TestRemaining checks how much longer attempts are expected to occupy their machine.
func TestRemaining(t *testing.T) {
	const (
		now      = 1000 * micros.Second
		estimate = 40 * micros.Second
	)
	p := &partitionLeader{core: coreAt(now)}
	for _, c := range []struct {
		name    string
		kind    workload.JobKind
		attempt attempt
		jobOver bool
		want    micros.Time
	}{
		{name: "being stopped: its grace period",
			attempt: attempt{stop: stopState{ordered: true, gracePeriod: 3 * micros.Second}},
			want:    3*micros.Second + stopMargin},
		{name: "of a job that is no longer active", jobOver: true, want: unknownAttemptDuration},
		{name: "a replica", kind: workload.Service, want: scheduling.Forever},
		{name: "not running yet: its estimate", attempt: attempt{createdAt: now}, want: estimate},
		{name: "not running yet, planned for longer",
			attempt: attempt{createdAt: now - 5*micros.Second, plannedDuration: 60 * micros.Second}, want: 55 * micros.Second},
		{name: "running: what is left of its estimate",
			attempt: attempt{runningSince: now - 10*micros.Second}, want: 30 * micros.Second},
		{name: "nearly overdue: a quarter of its estimate",
			attempt: attempt{runningSince: now - 39*micros.Second}, want: 10 * micros.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := c.attempt
			if !c.jobOver {
				a.job = &job{Job: &workload.Job{Kind: c.kind, Estimate: estimate}}
			}
			if got := p.remaining(&a); got != c.want {
				t.Errorf("got %d ms, want %d ms", got/micros.Millisecond, c.want/micros.Millisecond)
			}
		})
	}
}

// TestEstimate checks that the run times of a job's own tasks correct its owner's estimate.
func TestEstimate(t *testing.T) {
	const now = 1000 * micros.Second
	for _, c := range []struct {
		name         string
		runtime      jobRuntime
		runningSince micros.Time
		want         micros.Time
	}{
		{name: "the owner's estimate without observed run times", want: 40 * micros.Second},
		{name: "the owner's estimate weighs as two completed tasks",
			runtime: jobRuntime{total: 2 * 80 * micros.Second, samples: 2}, want: 60 * micros.Second},
		{name: "at least as long as a task has been running", runningSince: now - 70*micros.Second, want: 70 * micros.Second},
		{name: "unchanged by a task that has run for less", runningSince: now - 7*micros.Second, want: 40 * micros.Second},
		{name: "computed once per planning pass", runtime: jobRuntime{estimate: 5 * micros.Second, estimatedAt: now},
			want: 5 * micros.Second},
		{name: "computed again in the next pass", runtime: jobRuntime{estimate: 5 * micros.Second, estimatedAt: now - 1},
			want: 40 * micros.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &partitionLeader{core: coreAt(now)}
			p.plan.lastRunAt = now
			j := &job{Job: &workload.Job{Estimate: 40 * micros.Second}, runtime: c.runtime}
			if c.runningSince > 0 {
				j.activeAttempts = map[int]*attempt{0: {state: messages.Running, runningSince: c.runningSince}}
			}
			if got := p.estimate(j); got != c.want {
				t.Errorf("got %d ms, want %d ms", got/micros.Millisecond, c.want/micros.Millisecond)
			}
		})
	}
}
