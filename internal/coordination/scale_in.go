package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
)

const (
	// terminationTimeout is how long the termination of an idle machine takes at most while
	// the cloud is well.
	terminationTimeout = 5 * micros.Second
	// minIdleReserve is how many idle machines are kept for the usual time, or a part of a large
	// fleet.
	minIdleReserve     = 4
	idleReserveDivisor = 8
	// surplusIdleTimeout is how long those beyond the reserve are kept.
	surplusIdleTimeout = 5 * micros.Second
	// ordinaryIdleDivisor is the part of the usual time for which ordinary machines are kept:
	// they cost more than spot instances, and arrays mostly need not wait for them.
	ordinaryIdleDivisor = 3
)

// scaleIn drains machines that have had no task for a while and are not part of the headroom for
// services, so that they are terminated.
func (p *partitionLeader) scaleIn() {
	if p.core.replica.Stale() {
		p.restartIdleTimes()
		return
	}
	survey := p.surveyHeadroom(true)
	large := p.oversizedMachine(survey.service)
	if p.terminationsStuck() {
		return
	}
	surplusSince := p.surplusIdleSince()
	for _, m := range p.machines {
		if !p.schedulable(m) || m.lifecycle.idleSince == 0 ||
			p.core.now-m.lifecycle.idleSince < p.idleTimeout(m, large, surplusSince) ||
			!p.terminable(m) || p.requested(m) {
			continue
		}
		if survey.missing(m) > 0 || (large != nil && large != m && survey.missingWithout(large, m) > 0) {
			continue
		}
		survey.remove(m)
		p.startDrain(m, drainIdle)
	}
}

// restartIdleTimes makes idle machines idle since now. Nothing can be submitted while the
// key-value store is out of reach: all users come back at once, and what was terminated would have
// to boot first.
func (p *partitionLeader) restartIdleTimes() {
	for _, m := range p.machines {
		if m.lifecycle.idleSince != 0 {
			m.lifecycle.idleSince = p.core.now
		}
	}
}

// terminationsStuck tells whether the cloud does not terminate machines now: what is drained then
// serves nobody.
func (p *partitionLeader) terminationsStuck() bool {
	return slices.ContainsFunc(p.machines, func(m *machine) bool {
		return m.drain.reason == drainIdle && p.core.now-m.drain.since > terminationTimeout
	})
}

// surplusIdleSince is the time since which a machine has to be idle, or for longer, to be beyond
// the reserve: of many that are idle only a reserve is worth the usual time. 0: none is.
func (p *partitionLeader) surplusIdleSince() micros.Time {
	var idle []micros.Time
	for _, m := range p.machines {
		if p.schedulable(m) && m.lifecycle.idleSince != 0 {
			idle = append(idle, m.lifecycle.idleSince)
		}
	}
	slices.Sort(idle)
	surplus := len(idle) - max(minIdleReserve, len(p.machines)/idleReserveDivisor)
	if surplus <= 0 {
		return 0
	}
	return idle[surplus-1]
}

// idleTimeout is how long an idle machine is kept: one that is to take over from a large machine
// until the others requested for that have booted, too.
func (p *partitionLeader) idleTimeout(m, large *machine, surplusSince micros.Time) micros.Time {
	timeout := micros.Time(p.core.config.Operator.IdleKeepS) * micros.Second
	if !m.record.Spot {
		if m.takesOverFrom(large) {
			// Terminated before the others requested for that have booted, it would be
			// requested anew, and the large one never be drained.
			return 3 * m.instanceType.Boot
		}
		timeout /= ordinaryIdleDivisor
	}
	if m.lifecycle.idleSince <= surplusSince {
		timeout = min(timeout, surplusIdleTimeout)
	}
	return timeout
}

// takesOverFrom tells whether the machine, an ordinary one, is of a smaller size than the one that
// smaller machines are requested for.
func (m *machine) takesOverFrom(large *machine) bool {
	return large != nil && m.instanceType != nil && m.instanceType.Capacity.CPU < large.instanceType.Capacity.CPU
}

// requested tells whether capacity is asked for that the machine offers.
func (p *partitionLeader) requested(m *machine) bool {
	kind := m.instanceKind()
	return slices.ContainsFunc(p.plan.capacityRequests, func(r provisioning.CapacityRequest) bool {
		return r.Allows(kind)
	})
}

// instanceKind is what the machine was requested as.
func (m *machine) instanceKind() provisioning.InstanceKind {
	return provisioning.InstanceKind{InstanceType: m.record.InstanceType, Zone: m.record.Zone, Spot: m.record.Spot}
}
