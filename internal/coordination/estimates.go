package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/micros"
)

// queuedJob returns what the index needs to know about a job's pending tasks. A job that has no due
// date, neither its own nor an inherited one, gets d = arrival + 2p.
func (p *partitionLeader) queuedJob(j *job) *scheduling.QueuedJob {
	estimate := p.estimate(j)
	inherited := p.inheritFromDependents(j.ID)
	due := micros.Max // time of day
	if j.Deadline > 0 {
		due = j.Submitted + j.Deadline
	}
	if due = min(due, inherited.due); due != micros.Max {
		// A job ends with its slowest task, so the slack must be enough for that one.
		due -= micros.Time(float64(estimate) * (p.core.runtimes.TailRatio(j.Class) - 1) / 2)
	} else {
		due = j.readySince + 2*estimate
	}
	return &scheduling.QueuedJob{
		Weight:   scheduling.Weight(max(j.Priority, inherited.priority)),
		Estimate: estimate,
		Due:      p.core.now - p.core.wall + due,
		Count:    j.pendingTasks.Len(),
	}
}

// estimateWeight is the weight of a job's prior estimate, in completed tasks.
const estimateWeight = 2

// estimate returns the current estimate of a task's run time: the owner's estimate, corrected by the
// observed run times of the class and of the job's own completed tasks, but at least as long as any
// of its running tasks has run. This deviates from the scheduling model, which assumes that run
// times are known.
func (p *partitionLeader) estimate(j *job) micros.Time {
	if j.runtime.estimate > 0 && j.runtime.estimatedAt == p.plan.lastRunAt {
		return j.runtime.estimate // computed once per planning pass
	}
	estimate := p.core.runtimes.Estimate(j.Job)
	estimate = (estimate*estimateWeight + j.runtime.total) / micros.Time(estimateWeight+j.runtime.samples)
	for _, a := range j.activeAttempts {
		if a.state == messages.Running && a.runningSince > 0 {
			estimate = max(estimate, p.core.now-a.runningSince)
		}
	}
	j.runtime.estimate, j.runtime.estimatedAt = estimate, p.plan.lastRunAt
	return estimate
}
