package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// overdueBootDelay is how soon a machine whose boot is overdue is taken to be there: boot
	// times vary.
	overdueBootDelay = 2 * micros.Second
	// stopMargin is how much longer than its grace period a stopped attempt is expected to
	// stay, until a heartbeat shows it gone.
	stopMargin = micros.Second / 2
	// unknownAttemptDuration is how long an attempt whose job is over is expected to stay: it
	// is being killed.
	unknownAttemptDuration = micros.Second
)

// buildTimelines builds the timelines of the machines that can be planned with from what
// occupies them.
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

// plannedMachine is a machine as the planner sees it.
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
	for _, a := range m.attempts { // in any order: the sums are the same
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

// isReplica tells whether the attempt occupies its machine as a service replica.
func (a *attempt) isReplica() bool {
	return a.state != messages.Exited && a.job != nil && a.job.Kind == workload.Service
}

// expectedToBoot tells whether a machine that is not up can be counted on to boot.
func (p *partitionLeader) expectedToBoot(m *machine) bool {
	if m.drain.reason != notDraining || m.lifecycle.preemptAt != 0 {
		return false
	}
	if m.agent.HasHeartbeat() {
		// About to be usable.
		return m.agent.Reconciled() && !m.agent.LeaseExpired() && p.core.now-m.contact.LastContact() < p.suspicionTimeout()
	}
	return !m.record.Used && !p.detector.ZoneUnreachable(m.record.Zone) &&
		p.core.now-m.lifecycle.addedAt < m.instanceType.Boot*3/2
}

// justBooted tells whether a machine's first heartbeat came a moment ago, so that
// nothing has reached it yet. The headroom for services counts it: missing for that
// moment, it would be requested once more at every boot, and another be terminated.
func (p *partitionLeader) justBooted(m *machine) bool {
	return m.drain.reason == notDraining && m.lifecycle.preemptAt == 0 && m.agent.Reconciled() &&
		!m.agent.LeaseExpired() && m.agent.BootedWithin(p.suspicionTimeout(), p.core.now)
}

// remaining is how much longer an attempt is expected to occupy its machine.
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
	// An overdue task is taken to need a part of its estimate more.
	return max(estimate/4, estimate-(p.core.now-a.runningSince))
}
