package coordination

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// startOverhead is how long a task takes to start in addition to fetching its image.
const startOverhead = 2 * micros.Second

// inheritedUrgency is the due date and the priority that a job inherits from its dependents.
type inheritedUrgency struct {
	due      micros.Time // time of day; micros.Max if there is none
	priority workload.Priority
}

// inheritFromDependents derives a job's urgency from its direct and indirect dependents: it must end
// early enough for them to fetch their images, start and run by their due dates, and it has at least
// the highest priority among them. This deviates from the scheduling model, whose tasks are
// independent with due dates of their own: users set a due date only on the last job of a pipeline.
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

// latestStart returns when a dependent must start at the latest to end by both its own due date and
// the one that it inherits; micros.Max if it has neither.
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

// fetchTime returns how long fetching an image takes at the mean fetch rate of all instance types.
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
