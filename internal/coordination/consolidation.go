package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
)

const (
	// minMachineAge is how long a machine is kept before it can be drained: it costs a
	// minute anyway.
	minMachineAge = 60 * micros.Second
	// settlingTime is how long a new partition leader waits with its first consolidation.
	settlingTime = 10 * micros.Second
	// replicaMoveInterval bounds how often a replica is moved: each is away for a moment.
	replicaMoveInterval = 3 * micros.Second
	// minConcurrentDrains is how many machines are drained at a time, or a part of a large fleet.
	minConcurrentDrains = 3
	drainFleetDivisor   = 8
	// maxDrainsPerPass is how many are drained in one pass, which come replicaMoveInterval apart: a
	// pass must not hold everything else up, however large the fleet.
	maxDrainsPerPass = 64
	// imageWaitTimeout is how long a move off an expensive machine waits for a machine that
	// has the image.
	imageWaitTimeout = 15 * micros.Second
	// expensiveFactor is how many times the lowest price an expensive machine costs more than.
	expensiveFactor = 3
)

// consolidationState paces the moves that free machines.
type consolidationState struct {
	lastPassAt     micros.Time // last search for machines that are not needed
	replicaMovedAt micros.Time // last move of a service replica
	recentArrayCPU int64       // CPU that arrays used recently
}

// observeArrays notes the CPU that arrays use. What they used recently is remembered for a minute
// where one of them can fill the fleet, and for less the larger the fleet: a single one counts
// less there.
func (s *consolidationState) observeArrays(cpu int64, fleetSize int) {
	passes := int64(max(4, min(20, 640/max(1, fleetSize))))
	s.recentArrayCPU = max(cpu, s.recentArrayCPU-(s.recentArrayCPU-cpu)/passes)
}

// consolidate drains machines whose services fit elsewhere, headroom included,
// while the arrays do not need them, those first that cost most a replica: such a
// machine takes no more tasks, its arrays end, its replicas move one by one.
// Exception to the design, which never drains a machine while something runs
// there.
func (p *partitionLeader) consolidate() {
	now := p.core.now
	draining := p.evictFromDraining()
	limit := max(minConcurrentDrains, len(p.machines)/drainFleetDivisor)
	if draining >= limit || now-p.consolidation.lastPassAt < replicaMoveInterval ||
		now-p.lease.acquiredAt < settlingTime || p.core.replica.Stale() {
		return
	}
	p.consolidation.lastPassAt = now
	p.drainSurplus(draining, min(limit, draining+maxDrainsPerPass))
}

// evictFromDraining moves replicas off the machines that are being consolidated, and returns how
// many of these still have replicas: one that waits for its arrays to end holds up no others.
func (p *partitionLeader) evictFromDraining() int {
	withReplicas := 0
	unplaceable := map[string]bool{} // services whose replicas no machine takes now
	for _, m := range p.machines {
		if m.drain.reason != drainConsolidation {
			continue
		}
		p.evictNextReplica(m, unplaceable)
		if replicasOn(m) > 0 {
			withReplicas++
		}
	}
	return withReplicas
}

// evictNextReplica moves the next replica off a machine, to one that has its image. What found no
// place in this pass is not looked for again: the whole fleet was asked for it.
func (p *partitionLeader) evictNextReplica(m *machine, unplaceable map[string]bool) {
	interval := replicaMoveInterval / 2 / micros.Time(max(1, p.packLimit()))
	if p.core.now-p.consolidation.replicaMovedAt < interval || !m.agent.Acknowledged(p.lease.fencingToken) {
		return
	}
	// A replica is away for as long as its image takes to arrive: an expensive machine is
	// worth that, others wait for capacity where the image is.
	withoutImage := p.core.now-m.drain.since > imageWaitTimeout &&
		m.instanceType.Price > expensiveFactor*p.lowestOnDemandPrice()
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state != messages.Running || a.stop.ordered || !a.isReplica() {
			continue
		}
		if unplaceable[a.job.ID] && !withoutImage {
			continue
		}
		takes := func(o *machine) bool { return p.canTakeReplica(o, a, withoutImage) }
		if slices.ContainsFunc(p.machines, takes) {
			p.consolidation.replicaMovedAt = p.core.now
			p.stopAttempt(a, a.job.CheckpointDuration)
			return
		}
		unplaceable[a.job.ID] = true
	}
}

// canTakeReplica tells whether a replica of another machine could start on this one now.
func (p *partitionLeader) canTakeReplica(m *machine, replica *attempt, withoutImage bool) bool {
	j := replica.job
	return m.instanceType != nil && p.schedulable(m) && (withoutImage || m.images.Has(j.Image)) && j.mayRunOn(m) &&
		!j.OneZone && !j.Spread && replica.resources.Fits(m.freeResources())
}

// drainSurplus drains machines that are not needed until a number of them are draining.
func (p *partitionLeader) drainSurplus(draining, limit int) {
	load := p.measureCPULoad()
	p.consolidation.observeArrays(load.arrays, len(p.machines))
	candidates := p.consolidationCandidates()
	survey := p.surveyHeadroom(false)
	for _, m := range candidates {
		if draining >= limit {
			return
		}
		cpu := m.instanceType.Capacity.CPU
		if exceedsArrayLoadLimit(p.consolidation.recentArrayCPU, load.capacity-cpu-load.services) ||
			p.requestedForArrays(m) || survey.missing(m) > 0 {
			continue
		}
		p.startDrain(m, drainConsolidation)
		survey.remove(m)
		load.capacity -= cpu
		draining++
	}
}

// consolidationCandidates are the ordinary machines in use, those first that cost most a replica.
func (p *partitionLeader) consolidationCandidates() []*machine {
	type candidate struct {
		machine        *machine
		costPerReplica float64
	}
	var candidates []candidate
	for _, m := range p.machines {
		if m.instanceType == nil || m.record.Spot || !p.schedulable(m) ||
			p.core.now-m.lifecycle.addedAt < minMachineAge || m.lifecycle.idleSince != 0 {
			continue
		}
		candidates = append(candidates, candidate{m, m.instanceType.Price / float64(max(1, replicasOn(m)))})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(b.costPerReplica, a.costPerReplica)
	})
	machines := make([]*machine, 0, len(candidates))
	for _, c := range candidates {
		machines = append(machines, c.machine)
	}
	return machines
}

// requestedForArrays tells whether capacity for arrays is asked for that the machine offers.
func (p *partitionLeader) requestedForArrays(m *machine) bool {
	kind := m.instanceKind()
	return slices.ContainsFunc(p.plan.capacityRequests, func(r provisioning.CapacityRequest) bool {
		return !r.Service && r.Allows(kind)
	})
}
