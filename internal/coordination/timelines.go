package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// overdueBootDelay is how soon a machine whose boot is overdue is expected to be up: boot
	// times vary.
	overdueBootDelay = 2 * micros.Second
	// stopMargin is added to the grace period of a stopped attempt: it occupies its machine until a
	// heartbeat confirms that it is gone.
	stopMargin = micros.Second / 2
	// unknownAttemptDuration is how long an attempt whose job is no longer active is expected to
	// occupy its machine: it is being killed.
	unknownAttemptDuration = micros.Second
)

// buildTimelines returns the machines that tasks can be planned on, each with a timeline of the
// resources that its attempts occupy.
func (p *partitionLeader) buildTimelines() []*scheduling.Machine {
	var out []*scheduling.Machine
	for i, m := range p.machines {
		if m.instanceType == nil || m.lifecycle.startsPausedUntil > p.core.now {
			continue
		}
		up := p.schedulable(m)
		if up || p.expectedToBoot(m) {
			out = append(out, p.plannedMachine(i, m, up))
		}
	}
	return out
}

// plannedMachine returns the planner's view of a machine. Its timeline starts now, or for a machine
// that is not up yet, when it is expected to be.
func (p *partitionLeader) plannedMachine(index int, m *machine, up bool) *scheduling.Machine {
	from := p.core.now
	if !up {
		from = max(from+overdueBootDelay, m.lifecycle.addedAt+m.instanceType.Boot)
	}
	planned := &scheduling.Machine{
		Index:    index,
		Type:     m.instanceType,
		Zone:     m.record.Zone,
		Spot:     m.record.Spot,
		Timeline: scheduling.NewTimeline(from, m.instanceType.Capacity),
		HasImage: m.images.Has,
		Slowness: m.runtime.Slowness(),
		Up:       up,
	}
	if m.record.Spot {
		planned.LossRate = p.core.spot.rate()
	}
	for _, a := range m.attempts { // map order does not matter: reservations are summed
		if a.state == messages.Exited {
			continue
		}
		if a.isReplica() {
			planned.Replicas++
		}
		planned.Timeline.Reserve(a.resources, from, p.remaining(a))
	}
	return planned
}

// isReplica reports whether the attempt is a service replica that still occupies its machine.
func (a *attempt) isReplica() bool {
	return a.state != messages.Exited && a.job != nil && a.job.Kind == workload.Service
}

// expectedToBoot reports whether a machine that is not schedulable yet is expected to become so
// soon.
func (p *partitionLeader) expectedToBoot(m *machine) bool {
	if m.drain.reason != notDraining || m.lifecycle.preemptAt != 0 {
		return false
	}
	if m.agent.HasHeartbeat() {
		// Its agent runs and is about to be usable.
		return m.agent.Reconciled() && !m.agent.LeaseExpired() && p.core.now-m.contact.LastContact() < p.suspicionTimeout()
	}
	return !m.record.Used && !p.detector.ZoneUnreachable(m.record.Zone) &&
		p.core.now-m.lifecycle.addedAt < m.instanceType.Boot*3/2
}

// justBooted reports whether a machine's first heartbeat arrived within the suspicion timeout, so
// that possibly no message has reached it yet. Such a machine counts as headroom for services:
// otherwise every boot would cause a further instance request, and then the termination of a
// surplus machine.
func (p *partitionLeader) justBooted(m *machine) bool {
	return m.drain.reason == notDraining && m.lifecycle.preemptAt == 0 && m.agent.Reconciled() &&
		!m.agent.LeaseExpired() && m.agent.BootedWithin(p.suspicionTimeout(), p.core.now)
}

// remaining returns how much longer an attempt is expected to occupy its machine.
func (p *partitionLeader) remaining(a *attempt) micros.Time {
	switch {
	case a.stop.ordered:
		return a.stop.gracePeriod + stopMargin
	case a.job == nil:
		return unknownAttemptDuration
	case a.job.Kind == workload.Service:
		return scheduling.Forever
	}
	estimate := p.estimate(a.job)
	if a.runningSince == 0 {
		return max(estimate, a.createdAt+a.plannedDuration-p.core.now)
	}
	// A task close to or past its estimate is expected to need at least another quarter of it.
	return max(estimate/4, estimate-(p.core.now-a.runningSince))
}
