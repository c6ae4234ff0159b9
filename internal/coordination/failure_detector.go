package coordination

import (
	"pipitlatch/internal/coordination/failuredetector"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/reachability"
	"pipitlatch/internal/micros"
)

// This file connects the failure detector to the partition leader: what the detector sees of
// machines and peers, and what follows from a check of the zones.

// newFailureDetector returns the detector of a partition leader that has just taken over.
func newFailureDetector(p *partitionLeader) *failuredetector.Detector {
	cfg := p.core.config
	return failuredetector.New(failuredetector.Timeouts{
		Suspicion:        micros.Time(cfg.Operator.SilenceMs) * micros.Millisecond,
		AgentLease:       cfg.AgentLease(),
		AgentLeaseExpiry: cfg.AgentLeaseExpiry(),
	}, detectorView{p}, p.core.now)
}

// detectorView is what the failure detector sees of a partition leader.
type detectorView struct{ leader *partitionLeader }

// Machines yields what the detector sees of each machine.
func (v detectorView) Machines(yield func(failuredetector.Machine) bool) {
	for _, m := range v.leader.machines {
		observed := failuredetector.Machine{
			Zone:         m.record.Zone,
			Spot:         m.record.Spot,
			InUse:        m.inUse(),
			MayHaveTasks: m.record.Used,
			Reconciled:   m.agent.Reconciled(),
			LastContact:  m.contact.LastContact(),
			RenewedAt:    v.leader.leaseRenewedAt(m),
		}
		if !yield(observed) {
			return
		}
	}
}

// PeerVerdict is what the peers that are heard told of their probes of a zone.
func (v detectorView) PeerVerdict(zone string) failuredetector.PeerVerdict {
	var verdict failuredetector.PeerVerdict
	core := v.leader.core
	for member, peer := range core.peers.All() {
		if member == core.process.Member || core.now-peer.ReceivedAt > 2*micros.Second {
			continue
		}
		result, found := reachability.ProbeResult(peer.Status, v.leader.partition, zone)
		if !found {
			verdict.Pending++
		} else if reachability.Reached(result) {
			verdict.Reached = true
		}
	}
	return verdict
}

// inUse tells whether the machine's agent was heard from, or it may have tasks.
func (m *machine) inUse() bool { return m.agent.HasHeartbeat() || m.record.Used }

// leaseRenewedAt is when the machine's agent lease was last renewed by this partition leader, or
// could first have been.
func (p *partitionLeader) leaseRenewedAt(m *machine) micros.Time {
	return max(m.contact.LastRenewal(), p.lease.acquiredAt, m.lifecycle.addedAt)
}

// suspicionTimeout is how long a machine may go without contact.
func (p *partitionLeader) suspicionTimeout() micros.Time { return p.detector.SuspicionTimeout() }

// probeAfter is how long a machine may go without contact before it is probed.
func (p *partitionLeader) probeAfter(m *machine) micros.Time {
	return p.detector.ProbeAfter(replicasOn(m) > 0)
}

// sinceLastRenewal is for how long no heartbeat of the machine was replied to. One that direct
// commands reach while it reaches no controller loses its tasks all the same when its agent lease
// expires: commands do not renew it.
func (p *partitionLeader) sinceLastRenewal(m *machine) micros.Time {
	return p.detector.SinceRenewal(p.core.now, p.leaseRenewedAt(m))
}

// cannotReport tells whether a machine that answers calls has reached no controller for an agent
// lease, while most others do.
func (p *partitionLeader) cannotReport(m *machine) bool {
	return m.agent.HasHeartbeat() && p.detector.CannotReport(p.core.now, p.leaseRenewedAt(m))
}

// networkRuledOut tells whether a silent machine itself is at fault, as far as the others show: neither
// the network near this controller nor that between it and the machine's zone explains the silence.
func (p *partitionLeader) networkRuledOut(m *machine) bool {
	now := p.core.now
	return !p.detector.NetworkSuspected(now) && p.detector.RestOfFleetReachable(now, m.contact.FirstFailedCallAt()) &&
		!p.detector.ZoneVerdictPending(now, m.record.Zone)
}

// lastPossibleRenewal is when an agent of this machine can last have had a reply that renewed its
// lease: ours, or a former partition leader's, whose replies end with its term, or with its
// process if that is known to be dead.
func (p *partitionLeader) lastPossibleRenewal(m *machine) micros.Time {
	last := p.lease.acquiredAt
	if m.record.Used {
		for _, former := range p.lease.formerLeaders {
			end, dead := p.core.deathTimes[former]
			if !dead {
				end = p.lease.acquiredAt + p.core.config.LeadershipTerm()
			}
			last = max(last, end)
		}
	}
	return max(last, m.contact.LastRenewal())
}

// checkZones has machines of silent zones probed, and the peers asked about unreachable ones.
func (p *partitionLeader) checkZones() {
	for _, report := range p.detector.CheckZones(p.core.now) {
		p.probeZone(report.Zone)
		if report.BecameUnreachable {
			p.core.status.soon = true
			p.core.log(messages.LevelInfo, "zone unreachable", "zone", report.Zone, "machines", report.Machines)
		}
	}
}

// probeZone queues probes of every second machine of a silent zone. Agents that wait for the reply
// of a partition leader that was cut off send no heartbeat for some seconds: only what does not
// answer a probe either is not heard.
func (p *partitionLeader) probeZone(zone string) {
	for i, m := range p.machines {
		if i%2 == 0 && m.record.Zone == zone && m.inUse() && p.mayProbe(m) {
			p.probeQueue = append(p.probeQueue, m)
		}
	}
}

// mayProbe tells whether a machine can be probed, and was not within the last second.
func (p *partitionLeader) mayProbe(m *machine) bool {
	return m.address != "" && !m.commands.CallInFlight() && p.core.now-m.contact.LastProbe() > micros.Second
}

// inheritUnreachableZones takes over the zones that the last partition leader, as far as it told,
// did not hear.
func (p *partitionLeader) inheritUnreachableZones() {
	for _, peer := range p.core.peers.All() {
		if p.core.now-peer.ReceivedAt > reachability.ResultTTL {
			continue
		}
		for _, status := range peer.Status.Partitions {
			if status.Partition != p.partition {
				continue
			}
			for _, zone := range status.UnreachableZones {
				p.detector.InheritUnreachableZone(zone, p.core.now)
			}
		}
	}
}
