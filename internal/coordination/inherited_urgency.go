package coordination

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// startOverhead is what the start of a task takes besides fetching its image.
const startOverhead = 2 * micros.Second

// inheritedUrgency is what a job must meet for the sake of its dependents.
type inheritedUrgency struct {
	due      micros.Time // time of day; micros.Max: none
	priority workload.Priority
}

// inheritFromDependents works back from the dependents of a job: it has to be done early enough for
// what is still expected to run after it, fetching images and starting included, and it has the
// priority of any job that needs it. Exception to the design, whose tasks are independent and have
// due dates of their own: users set them on the last job only.
func (p *partitionLeader) inheritFromDependents(id string) inheritedUrgency {
	urgency := inheritedUrgency{due: micros.Max}
	if len(p.core.cache.Dependents[id]) == 0 {
		return urgency
	}
	if known, ok := p.plan.inheritedUrgency[id]; ok {
		return known
	}
	for dependent := range p.core.cache.Dependents[id] {
		entry := p.core.cache.Jobs[dependent]
		if entry == nil || entry.Job.Phase != workload.Active || entry.CancelledByDependency {
			continue
		}
		further := p.inheritFromDependents(dependent)
		urgency.due = min(urgency.due, p.latestStart(entry.Job, further.due))
		urgency.priority = max(urgency.priority, further.priority, entry.Job.Priority)
	}
	if p.plan.inheritedUrgency == nil {
		p.plan.inheritedUrgency = map[string]inheritedUrgency{}
	}
	p.plan.inheritedUrgency[id] = urgency
	return urgency
}

// latestStart is when a dependent has to start, so that it is done by its own due date and by the
// one that it inherits; micros.Max if it has neither.
func (p *partitionLeader) latestStart(dependent *workload.Job, inheritedDue micros.Time) micros.Time {
	due := inheritedDue
	if dependent.Deadline > 0 {
		due = min(due, dependent.Submitted+dependent.Deadline)
	}
	if due == micros.Max {
		return micros.Max
	}
	runtimes := p.core.runtimes
	duration := micros.Time(float64(runtimes.Estimate(dependent)) * runtimes.TailRatio(dependent.Class))
	return due - duration - p.fetchTime(dependent.ImageGB) - startOverhead
}

// fetchTime is how long an image takes to arrive at a machine of the mean.
func (p *partitionLeader) fetchTime(gb float64) micros.Time {
	sum, count := 0.0, 0
	for _, instanceType := range p.core.catalog.Types() {
		sum += instanceType.FetchGBps
		count++
	}
	if sum <= 0 {
		return 0
	}
	return micros.FromSeconds(gb * float64(count) / sum)
}
