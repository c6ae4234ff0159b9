package coordination

import (
	"cmp"
	"container/heap"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// minPreemptionGain is how much earlier a replica must start for other work to be stopped for it.
	minPreemptionGain = micros.Second
	// stopOverheadSeconds is the cost of stopping an attempt in addition to the lost work.
	stopOverheadSeconds = 1
	// imageFetchWeight is the factor by which the time to fetch the image counts as a cost: the
	// service is down for that time.
	imageFetchWeight = 20
)

// preemptionKey identifies tasks for which preemption has the same outcome.
type preemptionKey struct {
	job       string // empty for all jobs without other placement constraints than those below
	resources workload.Resources
	priority  workload.Priority
	zone      string
	spot      bool
}

func newPreemptionKey(j *job) preemptionKey {
	key := preemptionKey{resources: j.Resources, priority: j.Priority, zone: j.Zone, spot: j.Spot}
	if len(j.InstanceTypes) > 0 || j.OneZone || j.Spread {
		key.job = j.ID
	}
	return key
}

// preemption is the set of attempts to stop on a machine so that one task fits there.
type preemption struct {
	machine *machine
	victims []*attempt
	cost    float64 // in seconds
}

// preemptFor stops work of lower priority to make room for a replica that would otherwise start
// only at the given time, and starts the replica there. This deviates from the scheduling model,
// which has no preemption: services must not wait for arrays.
func (p *partitionLeader) preemptFor(s *servicePlacement, until micros.Time) {
	j := s.job
	if until-p.core.now < minPreemptionGain || j.pendingTasks.Len() == 0 {
		return
	}
	// If no machine was found for an equal replica in this pass, none is found for this one.
	key := newPreemptionKey(j)
	if p.plan.preemptionFailed[key] {
		return
	}
	candidates, ok := p.preemptionCandidates(key, j)
	if !ok {
		return
	}
	best, found := p.cheapestPreemption(candidates, s)
	if !found {
		p.plan.preemptionFailed[key] = true
		return
	}
	checkpoints := false
	for _, a := range best.victims {
		gracePeriod := micros.Time(0)
		if a.job.CheckpointInterval > 0 {
			gracePeriod, checkpoints = a.job.CheckpointDuration, true
		}
		p.stopAttempt(a, reasonPreempted, gracePeriod)
	}
	if !checkpoints {
		// Agents execute commands in order, so the victims are gone before the start. A victim
		// that saves a checkpoint stays longer; then the replica starts in a later pass.
		p.startReplica(s, best.machine)
	}
}

// cheapestPreemption returns the preemption of lowest cost that makes a replica of the service fit. The
// candidates' costs date from earlier in the pass, so that of the cheapest one is computed again.
func (p *partitionLeader) cheapestPreemption(
	candidates *preemptionHeap, s *servicePlacement,
) (best preemption, found bool) {
	j := s.job
	for candidates.Len() > 0 {
		cheapest := &(*candidates)[0]
		m := cheapest.machine
		on, enough := p.preemptionOn(m, j)
		switch {
		case !enough || !p.acceptsStarts(m) || !j.zoneHasCapacity(s.activeByZone, m.record.Zone):
			heap.Pop(candidates)
		case on.cost > cheapest.cost:
			cheapest.cost = on.cost
			heap.Fix(candidates, 0)
		default:
			return on, true
		}
	}
	return best, false
}

// preemptionOn returns the attempts of lower priority to stop on a machine so that a task of the
// job fits, and their cost. enough is false if the task does not fit even then.
func (p *partitionLeader) preemptionOn(m *machine, j *job) (on preemption, enough bool) {
	on.machine = m
	free := m.instanceType.Capacity
	var lower []*attempt
	for _, a := range m.attempts { // in any order: they are summed, or sorted below
		if a.state == messages.Exited {
			continue
		}
		free = free.Sub(a.resources)
		if a.job != nil && a.job.Priority < j.Priority && !a.stop.ordered {
			lower = append(lower, a)
		}
	}
	// Attempts that lose the least work come first.
	slices.SortFunc(lower, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(p.lostWork(a), p.lostWork(b)), a.id.Compare(b.id))
	})
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

// lostWork returns the run time that is lost if the attempt is stopped. One that checkpoints loses
// only the time that saving takes.
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
