package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
)

const (
	// minMachineAge is how old a machine must be to be drained: the first minute is billed in any
	// case.
	minMachineAge = 60 * micros.Second
	// consolidationDelay is how long a new partition leader waits before its first consolidation.
	consolidationDelay = 10 * micros.Second
	// replicaMoveInterval limits how often replicas are moved, because a moved replica is briefly
	// unavailable.
	replicaMoveInterval = 3 * micros.Second
	// minConcurrentDrains is how many machines are drained at a time. In a large fleet it is the fleet
	// size divided by drainFleetDivisor, if that is more.
	minConcurrentDrains = 3
	drainFleetDivisor   = 8
	// maxDrainsPerPass limits how many drains one consolidation pass starts, so that a pass does not
	// block other work in a large fleet. Passes are at least replicaMoveInterval apart.
	maxDrainsPerPass = 64
	// imageWaitTimeout is how long moving a replica off an expensive machine waits for a target that
	// already has the image.
	imageWaitTimeout = 15 * micros.Second
	// expensiveFactor: a machine is expensive if it costs more than this many times the lowest price.
	expensiveFactor = 3
)

// consolidationState limits the rate of consolidation and tracks the recent load of arrays.
type consolidationState struct {
	lastPassAt     micros.Time // last search for surplus machines
	replicaMovedAt micros.Time // last move of a service replica
	recentArrayCPU int64       // CPU that arrays used recently
}

// observeArrays updates the recent CPU use of arrays. It follows a rise at once and a fall gradually,
// over about a minute in a small fleet, which a single array can fill. In a larger fleet a single
// array matters less, and the value falls faster.
func (s *consolidationState) observeArrays(cpu int64, fleetSize int) {
	passes := int64(max(4, min(20, 640/max(1, fleetSize))))
	s.recentArrayCPU = max(cpu, s.recentArrayCPU-(s.recentArrayCPU-cpu)/passes)
}

// consolidate drains machines that arrays do not need and whose replicas fit elsewhere with the
// headroom kept, starting with the highest cost per replica. A draining machine accepts no tasks;
// its array tasks run to completion, and its replicas are moved one by one. This deviates from the
// scheduling model, which never drains a machine that is in use.
func (p *partitionLeader) consolidate() {
	now := p.core.now
	draining := p.evictFromDraining()
	limit := max(minConcurrentDrains, len(p.machines)/drainFleetDivisor)
	if draining >= limit || now-p.consolidation.lastPassAt < replicaMoveInterval ||
		now-p.lease.acquiredAt < consolidationDelay || p.core.replica.Stale() {
		return
	}
	p.consolidation.lastPassAt = now
	p.drainSurplus(draining, min(limit, draining+maxDrainsPerPass))
}

// evictFromDraining moves replicas off the machines that are being consolidated. It returns how many
// of them still have replicas; a machine that only waits for its array tasks to end does not count
// towards the limit on concurrent drains.
func (p *partitionLeader) evictFromDraining() int {
	withReplicas := 0
	unplaceable := map[string]bool{} // services whose replicas currently fit on no machine
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

// evictNextReplica stops the next replica on a machine if it can start on another one that has its
// image. Services in unplaceable are skipped: the whole fleet was already searched for them in this
// pass.
func (p *partitionLeader) evictNextReplica(m *machine, unplaceable map[string]bool) {
	interval := replicaMoveInterval / 2 / micros.Time(max(1, p.packLimit()))
	if p.core.now-p.consolidation.replicaMovedAt < interval || !m.agent.Acknowledged(m.requiredToken) {
		return
	}
	// Without the image on the target, the replica is down while the image is fetched. Freeing an
	// expensive machine is worth that; for others, wait for capacity where the image is present.
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
			p.stopAttempt(a, reasonReplicaMoved, a.job.CheckpointDuration)
			return
		}
		unplaceable[a.job.ID] = true
	}
}

// canTakeReplica reports whether a replica from another machine could start on this one now.
func (p *partitionLeader) canTakeReplica(m *machine, replica *attempt, withoutImage bool) bool {
	j := replica.job
	return m.instanceType != nil && p.schedulable(m) && (withoutImage || m.images.Has(j.Image)) && j.mayRunOn(m) &&
		!j.OneZone && !j.Spread && replica.resources.Fits(m.freeResources())
}

// drainSurplus drains machines that are not needed until limit machines are draining.
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

// consolidationCandidates returns the on-demand machines in use, highest cost per replica first.
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

// requestedForArrays reports whether the machine matches a pending capacity request for arrays.
func (p *partitionLeader) requestedForArrays(m *machine) bool {
	kind := m.instanceKind()
	return slices.ContainsFunc(p.plan.capacityRequests, func(r provisioning.CapacityRequest) bool {
		return !r.Service && r.Allows(kind)
	})
}
