package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
)

const (
	// terminationTimeout is the longest time that terminating an idle machine takes if the cloud
	// provider works normally.
	terminationTimeout = 5 * micros.Second
	// minIdleReserve is how many idle machines are kept for the full idle timeout. In a large fleet
	// it is the fleet size divided by idleReserveDivisor, if that is more.
	minIdleReserve     = 4
	idleReserveDivisor = 8
	// surplusIdleTimeout is how long idle machines beyond the reserve are kept.
	surplusIdleTimeout = 5 * micros.Second
	// ordinaryIdleDivisor divides the idle timeout of on-demand machines: they cost more than spot
	// instances, and arrays mostly need not wait for them.
	ordinaryIdleDivisor = 3
)

// scaleIn drains machines that have been idle longer than their idle timeout and are not needed as
// headroom for services. Drained machines are terminated.
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

// restartIdleTimes restarts the idle time of all idle machines. While the key-value store is
// unreachable no job can be submitted. Afterwards all users submit at once, and machines that were
// terminated meanwhile would have to boot again.
func (p *partitionLeader) restartIdleTimes() {
	for _, m := range p.machines {
		if m.lifecycle.idleSince != 0 {
			m.lifecycle.idleSince = p.core.now
		}
	}
}

// terminationsStuck reports whether the cloud provider currently fails to terminate machines.
// Draining more machines would then only make them unusable.
func (p *partitionLeader) terminationsStuck() bool {
	return slices.ContainsFunc(p.machines, func(m *machine) bool {
		return m.drain.reason == drainIdle && p.core.now-m.drain.since > terminationTimeout
	})
}

// surplusIdleSince returns the time such that machines idle since then or earlier are beyond the
// reserve; 0 if none is. If many machines are idle, only a reserve is worth keeping for the full
// idle timeout.
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

// idleTimeout returns how long an idle machine is kept before it is terminated.
func (p *partitionLeader) idleTimeout(m, large *machine, surplusSince micros.Time) micros.Time {
	timeout := micros.Time(p.core.config.Operator.IdleKeepS) * micros.Second
	if !m.record.Spot {
		if m.canReplace(large) {
			// Keep it until the other machines requested to replace the large one have booted.
			// Otherwise it would be terminated and requested again, and the large machine would
			// never be drained.
			return 3 * m.instanceType.Boot
		}
		timeout /= ordinaryIdleDivisor
	}
	if m.lifecycle.idleSince <= surplusSince {
		timeout = min(timeout, surplusIdleTimeout)
	}
	return timeout
}

// canReplace reports whether the machine, an on-demand one, is smaller than large, an oversized
// machine that smaller ones are requested to replace; large may be nil.
func (m *machine) canReplace(large *machine) bool {
	return large != nil && m.instanceType != nil && m.instanceType.Capacity.CPU < large.instanceType.Capacity.CPU
}

// requested reports whether the machine matches a pending capacity request.
func (p *partitionLeader) requested(m *machine) bool {
	kind := m.instanceKind()
	return slices.ContainsFunc(p.plan.capacityRequests, func(r provisioning.CapacityRequest) bool {
		return r.Allows(kind)
	})
}

// instanceKind returns the kind of instance that the machine was requested as.
func (m *machine) instanceKind() provisioning.InstanceKind {
	return provisioning.InstanceKind{InstanceType: m.record.InstanceType, Zone: m.record.Zone, Spot: m.record.Spot}
}
