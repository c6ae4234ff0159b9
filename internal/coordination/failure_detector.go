package coordination

import (
	"pipitlatch/internal/coordination/failuredetector"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/reachability"
	"pipitlatch/internal/micros"
)

// This file connects the failure detector to the partition leader: it provides the detector's view of
// machines and peers, and acts on the results of zone checks.

// newFailureDetector returns the detector of a partition leader that has just acquired its lease.
func newFailureDetector(p *partitionLeader) *failuredetector.Detector {
	cfg := p.core.config
	return failuredetector.New(failuredetector.Timeouts{
		Suspicion:        micros.Time(cfg.Operator.SilenceMs) * micros.Millisecond,
		AgentLease:       cfg.AgentLease(),
		AgentLeaseExpiry: cfg.AgentLeaseExpiry(),
	}, detectorView{p}, p.core.now)
}

// detectorView implements failuredetector.FleetView for a partition leader.
type detectorView struct{ leader *partitionLeader }

// Machines yields the detector's view of each machine.
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

// PeerVerdict summarizes the probe results for a zone that peers reported recently.
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

// inUse reports whether the machine's agent has sent a heartbeat, or the machine may have tasks.
func (m *machine) inUse() bool { return m.agent.HasHeartbeat() || m.record.Used }

// leaseRenewedAt returns when this partition leader last renewed the machine's agent lease, or could
// first have renewed it.
func (p *partitionLeader) leaseRenewedAt(m *machine) micros.Time {
	return max(m.contact.LastRenewal(), p.lease.acquiredAt, m.lifecycle.addedAt)
}

// suspicionTimeout returns how long a machine may go without contact before it is suspected.
func (p *partitionLeader) suspicionTimeout() micros.Time { return p.detector.SuspicionTimeout() }

// probeAfter returns how long a machine may go without contact before it is probed.
func (p *partitionLeader) probeAfter(m *machine) micros.Time {
	return p.detector.ProbeAfter(replicasOn(m) > 0)
}

// sinceLastRenewal returns how long no heartbeat of the machine has been replied to. A machine that
// receives commands but reaches no controller still loses its tasks when its agent lease expires,
// since commands do not renew the lease.
func (p *partitionLeader) sinceLastRenewal(m *machine) micros.Time {
	return p.detector.SinceRenewal(p.core.now, p.leaseRenewedAt(m))
}

// cannotReport reports whether a machine that answers calls has not reached any controller with a
// heartbeat for the duration of an agent lease, while most other machines have.
func (p *partitionLeader) cannotReport(m *machine) bool {
	return m.agent.HasHeartbeat() && p.detector.CannotReport(p.core.now, p.leaseRenewedAt(m))
}

// networkRuledOut reports whether a silent machine itself appears to be at fault: contact with other
// machines shows that neither the network near this controller nor the network between it and the
// machine's zone explains the silence.
func (p *partitionLeader) networkRuledOut(m *machine) bool {
	now := p.core.now
	return !p.detector.NetworkSuspected(now) && p.detector.RestOfFleetReachable(now, m.contact.FirstFailedCallAt()) &&
		!p.detector.ZoneVerdictPending(now, m.record.Zone)
}

// lastPossibleRenewal returns the latest time at which the machine's agent can have received a reply
// that renewed its lease, from this partition leader or a former one, or at which it restarted. A former
// leader stops replying when its term ends, or when its process died if that is known.
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
	return max(last, m.contact.LastLeaseStart())
}

// checkZones probes machines of silent zones. If a zone became unreachable, the next status is sent
// early, so that the peers probe the zone as well.
func (p *partitionLeader) checkZones() {
	for _, report := range p.detector.CheckZones(p.core.now) {
		p.probeZone(report.Zone)
		if report.BecameUnreachable {
			p.core.status.soon = true
			p.core.log(messages.LevelInfo, "zone unreachable", "zone", report.Zone, "machines", report.Machines)
		}
	}
}

// probeZone queues probes of every second machine of a silent zone. Agents that wait for the reply of
// an isolated partition leader send no heartbeats for several seconds, so only machines that do not
// answer a probe either are out of contact.
func (p *partitionLeader) probeZone(zone string) {
	for i, m := range p.machines {
		if i%2 == 0 && m.record.Zone == zone && m.inUse() && p.mayProbe(m) {
			p.probeQueue = append(p.probeQueue, m)
		}
	}
}

// mayProbe reports whether a machine can be probed and has not been probed within the last second.
func (p *partitionLeader) mayProbe(m *machine) bool {
	return m.address != "" && !m.commands.CallInFlight() && p.core.now-m.contact.LastProbe() > micros.Second
}

// inheritUnreachableZones marks the zones as unreachable that a recent status of the partition's
// previous leader reports as such.
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
