// Package failuredetector judges from missed contacts whether machines of a partition have failed,
// or whether the network near this controller is at fault. It only gives verdicts: what follows from
// them, such as draining a machine, is decided by the partition leader.
//
// Every method takes the time of the current step; the package has no clock of its own.
package failuredetector

import "pipitlatch/internal/micros"

// Machine is what the detector sees of one machine.
type Machine struct {
	Zone         string
	Spot         bool
	InUse        bool        // its agent was heard from, or its record says that it may have tasks
	MayHaveTasks bool        // by its record
	Reconciled   bool        // its tasks are known
	LastContact  micros.Time // when something last showed that our messages reach it
	RenewedAt    micros.Time // when its agent lease was last renewed, or could first have been
}

// PeerVerdict is what this controller's peers found out about a zone that it does not hear.
type PeerVerdict struct {
	Pending int  // peers that are heard, and have not told a result of their own probe yet
	Reached bool // some peer reaches most of the machines that it probed
}

// FleetView is what the detector may ask of the partition leader.
type FleetView interface {
	// Machines yields all machines of the partition.
	Machines(yield func(Machine) bool)
	// PeerVerdict is what the peers found out about a zone.
	PeerVerdict(zone string) PeerVerdict
}

// Timeouts are the settings that the verdicts depend on.
type Timeouts struct {
	Suspicion        micros.Time // how long a machine may go without contact before it is suspected
	AgentLease       micros.Time
	AgentLeaseExpiry micros.Time // how long after its last renewal an agent lease surely has expired
}

// Detector is the failure detector of one partition leader.
type Detector struct {
	timeouts Timeouts
	observer FleetView

	// silenceCountsFrom is when this process could first hear, or could hear again after it did
	// not run: silence before that was its own.
	silenceCountsFrom micros.Time
	// networkSuspectUntil: until then silence is put down to the network near this controller.
	networkSuspectUntil micros.Time

	health         *fleetHealth     // of the last tick that needed it
	zones          map[string]*zone // of machines in use
	zonesCheckedAt micros.Time
}

// New returns a detector that counts silence from now on.
func New(timeouts Timeouts, observer FleetView, now micros.Time) *Detector {
	return &Detector{
		timeouts:          timeouts,
		observer:          observer,
		silenceCountsFrom: now,
		zones:             map[string]*zone{},
	}
}

// AgentLeaseExpiry is how long after the last possible renewal an agent lease has surely expired.
func (d *Detector) AgentLeaseExpiry() micros.Time { return d.timeouts.AgentLeaseExpiry }

// SuspicionTimeout is how long a machine may go without contact before it is suspected.
func (d *Detector) SuspicionTimeout() micros.Time { return d.timeouts.Suspicion }

// ProbeAfter is how long a machine may go without contact before it is probed: one with service
// replicas earlier, since these are missed from the moment that the machine fails.
func (d *Detector) ProbeAfter(hasReplicas bool) micros.Time {
	after := d.timeouts.Suspicion * 2 / 3
	if hasReplicas {
		after = min(after, max(d.timeouts.Suspicion/4, 2*micros.Second))
	}
	return after
}

// ResetSilence notes that this process did not run for a while: that nothing was heard until now was
// its own fault.
func (d *Detector) ResetSilence(now micros.Time) { d.silenceCountsFrom = now }

// Silence is for how long nothing has shown that our messages reach a machine with this last contact,
// while this process could have noticed: heartbeats alone do not show it.
func (d *Detector) Silence(now, lastContact micros.Time) micros.Time {
	return now - max(lastContact, d.silenceCountsFrom)
}

// SinceRenewal is for how long an agent lease that was last renewed at a time has not been renewed
// while this process could renew it.
func (d *Detector) SinceRenewal(now, renewedAt micros.Time) micros.Time {
	return now - max(renewedAt, d.silenceCountsFrom)
}

// CannotReport tells whether a machine that answers calls has reached no controller for an agent
// lease, while most others do: it is empty by now, and would stay so.
func (d *Detector) CannotReport(now, renewedAt micros.Time) bool {
	if d.SinceRenewal(now, renewedAt) <= d.timeouts.AgentLeaseExpiry {
		return false
	}
	health := d.fleetHealth(now)
	return health.renewed*2 > health.inUse
}

// UpdateNetworkSuspicion suspects the network near this controller for another suspicion timeout
// if silence is widespread: the last machine to be heard again must not be taken for failed meanwhile.
func (d *Detector) UpdateNetworkSuspicion(now micros.Time) {
	if d.widespreadSilence(now) {
		d.networkSuspectUntil = now + d.timeouts.Suspicion
	}
}

// NetworkSuspected tells whether silence is put down to the network near this controller.
func (d *Detector) NetworkSuspected(now micros.Time) bool { return now < d.networkSuspectUntil }
