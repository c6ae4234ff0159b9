package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// minPreemptionGain is how much earlier a task has to start for work to be stopped for it.
	minPreemptionGain = micros.Second
	// stopOverheadSeconds is what stopping an attempt costs besides the work lost, in seconds.
	stopOverheadSeconds = 1
	// imageFetchWeight is how many times the time that an image takes to arrive counts among
	// the costs: the service is down for that time.
	imageFetchWeight = 20
)

// preemptionKey is what decides where preemption can help a task that has no further
// conditions.
type preemptionKey struct {
	resources workload.Resources
	priority  workload.Priority
	zone      string
	spot      bool
}

// preemption is what has to be stopped on a machine for one task.
type preemption struct {
	machine *machine
	victims []*attempt
	cost    float64 // in seconds
}

// preemptFor stops work of lower priority for a replica that otherwise would wait
// until a time, and starts the replica in its place. Exception to the design: the
// paper's tasks are not preempted, but services must not wait for arrays.
func (p *partitionLeader) preemptFor(j *job, until micros.Time) {
	if until-p.core.now < minPreemptionGain || j.pendingTasks.Len() == 0 {
		return
	}
	// What found no machine in this plan finds none again: many services alike wait.
	shape := preemptionKey{j.Resources, j.Priority, j.Zone, j.Spot}
	cacheable := len(j.InstanceTypes) == 0 && !j.OneZone && !j.Spread
	if cacheable && p.plan.preemptionFailed[shape] {
		return
	}
	best, found := p.cheapestPreemption(j)
	if !found {
		if cacheable {
			p.plan.preemptionFailed[shape] = true
		}
		return
	}
	checkpoints := false
	for _, a := range best.victims {
		gracePeriod := micros.Time(0)
		if a.job.CheckpointInterval > 0 {
			gracePeriod, checkpoints = a.job.CheckpointDuration, true
		}
		p.stopAttempt(a, gracePeriod)
	}
	if !checkpoints {
		// Commands are executed in order: what was stopped is gone when the start comes.
		p.startTask(j, best.machine, scheduling.Forever)
	}
}

// cheapestPreemption is the preemption that costs least of those that make a task of the job fit.
func (p *partitionLeader) cheapestPreemption(j *job) (best preemption, found bool) {
	for _, m := range p.machines {
		if !p.acceptsStarts(m) || !j.mayRunOn(m) || !j.zoneHasCapacity(m.record.Zone) {
			continue
		}
		if on, enough := p.preemptionOn(m, j); enough && (!found || on.cost < best.cost) {
			best, found = on, true
		}
	}
	return best, found
}

// preemptionOn says which attempts of lower priority have to be stopped on a machine for a task of
// the job, and what that costs; enough is false where the task would not fit after that.
func (p *partitionLeader) preemptionOn(m *machine, j *job) (on preemption, enough bool) {
	on.machine = m
	free := m.instanceType.Capacity
	var lower []*attempt
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state == messages.Exited {
			continue
		}
		free = free.Sub(a.resources)
		if a.job != nil && a.job.Priority < j.Priority && !a.stop.ordered {
			lower = append(lower, a)
		}
	}
	// The least work lost first.
	slices.SortStableFunc(lower, func(a, b *attempt) int { return cmp.Compare(p.lostWork(a), p.lostWork(b)) })
	for _, a := range lower {
		if j.Resources.Fits(free) {
			break
		}
		free = free.Add(a.resources)
		on.cost += micros.Seconds(p.lostWork(a)) + stopOverheadSeconds
		on.victims = append(on.victims, a)
	}
	if !m.images.Has(j.Image) && m.instanceType.FetchGBps > 0 {
		on.cost += imageFetchWeight * j.ImageGB / m.instanceType.FetchGBps
	}
	return on, j.Resources.Fits(free)
}

// lostWork is the run time that stopping an attempt loses.
func (p *partitionLeader) lostWork(a *attempt) micros.Time {
	switch {
	case a.runningSince == 0:
		return 0
	case a.job.CheckpointInterval > 0:
		return a.job.CheckpointDuration
	default:
		return p.core.now - a.runningSince
	}
}
