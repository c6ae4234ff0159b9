package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// minMachineAge is how long a machine is kept before it can be given up: it costs a
	// minute anyway.
	minMachineAge = 60 * micros.Second
	// replicaMoveInterval bounds how often a replica is moved: each is away for a moment.
	replicaMoveInterval = 3 * micros.Second
	// minConcurrentDrains is how many machines are given up at a time, or a part of a large fleet.
	minConcurrentDrains = 3
	drainFleetDivisor   = 8
	// maxDrainsPerPass is how many are given up in one pass, which come replicaMoveInterval apart: a
	// pass must not hold everything else up, however large the fleet.
	maxDrainsPerPass = 64
	// imageWaitTimeout is how long a move off a dear machine waits for a machine that
	// has the image.
	imageWaitTimeout = 15 * micros.Second
)

// consolidate gives up machines whose services fit elsewhere, spare room included,
// while the arrays do not need them, those first that cost most a replica: such a
// machine takes no more tasks, its arrays end, its replicas move one by one.
// Exception to the design, which never gives a machine up while something runs
// there.
func (p *partitionLeader) consolidate() {
	now := p.core.now
	leaving := 0
	nowhere := map[string]bool{} // services whose replicas no machine takes now
	for _, m := range p.machines {
		if m.drain.reason == drainConsolidation {
			p.evictNextReplica(m, nowhere)
			if replicasOn(m) > 0 {
				leaving++ // one that waits for its arrays to end holds up no others
			}
		}
	}
	most := max(minConcurrentDrains, len(p.machines)/drainFleetDivisor)
	if leaving >= most || now-p.consolidation.lastPassAt < replicaMoveInterval || now-p.lease.acquiredAt < 10*micros.Second || p.core.replica.Stale() {
		return
	}
	p.consolidation.lastPassAt = now
	// What arrays used of late is remembered for a minute where one of them can fill
	// the fleet, and for less the larger the fleet: a single one counts less there.
	load := p.cpuLoad()
	arrays, services, capacity := load.arrays, load.services, load.capacity
	p.consolidation.recentArrayCPU = max(arrays, p.consolidation.recentArrayCPU-(p.consolidation.recentArrayCPU-arrays)/int64(max(4, min(20, 640/max(1, len(p.machines))))))
	type surplus struct {
		m    *machine
		cost float64 // a replica
	}
	var list []surplus
	for _, m := range p.machines {
		if m.instanceType == nil || m.record.Spot || !p.schedulable(m) || now-m.lifecycle.addedAt < minMachineAge || m.lifecycle.idleSince != 0 {
			continue
		}
		list = append(list, surplus{m, m.instanceType.Price / float64(max(1, replicasOn(m)))})
	}
	slices.SortStableFunc(list, func(a, b surplus) int { return cmp.Compare(b.cost, a.cost) })
	survey := p.surveyHeadroom(false)
	most = min(most, leaving+maxDrainsPerPass)
	for _, s := range list {
		m := s.m
		if leaving >= most {
			return
		}
		if p.consolidation.recentArrayCPU > (capacity-m.instanceType.Capacity.CPU-services)*8/10 ||
			slices.ContainsFunc(p.plan.capacityRequests, func(n provisioning.CapacityRequest) bool {
				return !n.Service && n.Allows(provisioning.InstanceKind{InstanceType: m.record.InstanceType, Zone: m.record.Zone})
			}) {
			continue
		}
		if survey.missing(m) > 0 {
			continue
		}
		p.startDrain(m, drainConsolidation)
		survey.remove(m)
		capacity -= m.instanceType.Capacity.CPU
		leaving++
	}
}

// evictNextReplica moves the next replica off a machine, to one that has its image. What found no
// place in this pass is not looked for again: the whole fleet was asked for it.
func (p *partitionLeader) evictNextReplica(m *machine, nowhere map[string]bool) {
	pace := replicaMoveInterval / 2 / micros.Time(max(1, p.packLimit()))
	if p.core.now-p.consolidation.replicaMovedAt < pace || !m.agent.Acknowledged(p.lease.fencingToken) {
		return
	}
	// A replica is away for as long as its image takes to arrive: a dear machine is
	// worth that, others wait for room where the image is.
	bare := p.core.now-m.drain.since > imageWaitTimeout && m.instanceType.Price > 3*p.lowestPrice()
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state != messages.Running || a.stop.ordered || a.job == nil || a.job.Kind != workload.Service || (nowhere[a.job.ID] && !bare) {
			continue
		}
		for _, o := range p.machines {
			if o.instanceType == nil || !p.schedulable(o) || o.record.Spot && !a.job.Spot || (!o.images.Has(a.job.Image) && !bare) || !a.job.AllowsInstanceType(o.record.InstanceType) ||
				(a.job.Zone != "" && a.job.Zone != o.record.Zone) || a.job.OneZone || a.job.Spread || !a.resources.Fits(o.freeResources()) {
				continue
			}
			p.consolidation.replicaMovedAt = p.core.now
			p.stopAttempt(a, a.job.CheckpointDuration)
			return
		}
		nowhere[a.job.ID] = true
	}
}

// terminationTimeout is how long the deletion of an idle machine takes at most while
// the cloud is well.
const terminationTimeout = 5 * micros.Second

const (
	// idleReserve is how many idle machines are kept for the usual time at least.
	idleReserve = 4
	// surplusIdleTimeout is how long those beyond the reserve are kept.
	surplusIdleTimeout = 5 * micros.Second
)

// scaleIn gives machines back that have had no task for a while and are not
// part of the spare room for services.
func (p *partitionLeader) scaleIn() {
	if p.core.replica.Stale() {
		// Nothing can be submitted while the state service is out: all users come back
		// at once, and what was given back would have to boot first.
		for _, m := range p.machines {
			if m.lifecycle.idleSince != 0 {
				m.lifecycle.idleSince = p.core.now
			}
		}
		return
	}
	survey := p.surveyHeadroom(true)
	large := p.oversizedMachine(survey.service)
	for _, m := range p.machines {
		if m.drain.reason == drainIdle && p.core.now-m.drain.since > terminationTimeout {
			// The cloud does not take them back now: what is drained serves nobody.
			return
		}
	}
	// Of many that are idle only a reserve is worth the usual time.
	var idle []micros.Time
	for _, m := range p.machines {
		if p.schedulable(m) && m.lifecycle.idleSince != 0 {
			idle = append(idle, m.lifecycle.idleSince)
		}
	}
	slices.Sort(idle)
	surplus := micros.Time(0) // idle since before then: beyond the reserve
	if n := len(idle) - max(idleReserve, len(p.machines)/8); n > 0 {
		surplus = idle[n-1]
	}
	for _, m := range p.machines {
		keep, takesOver := micros.Time(p.core.config.Operator.IdleKeepS)*micros.Second, false
		if !m.record.Spot {
			keep /= 3 // ordinary machines cost more; arrays mostly need not wait for them
			if large != nil && m.instanceType != nil && m.instanceType.Capacity.CPU < large.instanceType.Capacity.CPU {
				// It is there to take over from the large one once the others rented
				// for that have booted; returned before, it would be rented anew, and
				// the large one never be given up.
				keep, takesOver = 3*m.instanceType.Boot, true
			}
		}
		if m.lifecycle.idleSince <= surplus && !takesOver {
			keep = min(keep, surplusIdleTimeout)
		}
		if !p.schedulable(m) || m.lifecycle.idleSince == 0 || p.core.now-m.lifecycle.idleSince < keep || !p.terminable(m) ||
			slices.ContainsFunc(p.plan.capacityRequests, func(n provisioning.CapacityRequest) bool {
				return n.Allows(provisioning.InstanceKind{InstanceType: m.record.InstanceType, Zone: m.record.Zone, Spot: m.record.Spot})
			}) {
			continue
		}
		if survey.missing(m) > 0 || (large != nil && large != m && survey.missingWithout(large, m) > 0) {
			continue
		}
		survey.remove(m)
		p.startDrain(m, drainIdle)
	}
}
