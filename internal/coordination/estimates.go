package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/micros"
)

// queuedJob is what the index needs of a job's waiting tasks. A job with no
// deadline takes d = arrival + 2p.
func (p *partitionLeader) queuedJob(j *job) *scheduling.QueuedJob {
	estimate := p.estimate(j)
	inherited := p.inheritFromDependents(j.ID)
	due := micros.Max // time of day
	if j.Deadline > 0 {
		due = j.Submitted + j.Deadline
	}
	if due = min(due, inherited.due); due != micros.Max {
		// A job is done with its slowest task: the slack has to do for that one.
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

// estimateWeight is how many completed tasks of a job weigh as much as its estimate.
const estimateWeight = 2

// estimate is a task's run time as known by now: the owner's estimate, corrected
// by what the class shows, and by the job's own tasks, completed or running
// longer than that. Exception to the design, which takes run times as known.
func (p *partitionLeader) estimate(j *job) micros.Time {
	if j.runtime.estimate > 0 && j.runtime.estimatedAt == p.plan.lastRunAt {
		return j.runtime.estimate // once a plan
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
