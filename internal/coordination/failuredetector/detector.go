// Package failuredetector determines from missing contact whether machines of a partition have
// failed or the network near this controller is at fault. It only provides verdicts: the partition
// leader decides how to act on them, for example by draining a machine.
//
// Methods that depend on the time take that of the current step; the package has no clock of its own.
package failuredetector

import "pipitlatch/internal/micros"

// Machine is the detector's view of one machine.
type Machine struct {
	Zone         string
	Spot         bool
	InUse        bool        // its agent has sent a heartbeat, or MayHaveTasks is set
	MayHaveTasks bool        // according to its stored record
	Reconciled   bool        // its tasks are known
	LastContact  micros.Time // last evidence that this controller's messages reach it
	RenewedAt    micros.Time // when its agent lease was last renewed, or could first have been
}

// PeerVerdict is what this controller's peers report about a zone that it cannot reach.
type PeerVerdict struct {
	Pending int  // reachable peers that have not reported the result of their own probe yet
	Reached bool // at least one peer reached most of the machines that it probed
}

// FleetView gives the detector access to the partition leader's view of machines and peers.
type FleetView interface {
	// Machines yields all machines of the partition.
	Machines(yield func(Machine) bool)
	// PeerVerdict returns what the peers report about a zone.
	PeerVerdict(zone string) PeerVerdict
}

// Timeouts holds the settings that the verdicts depend on.
type Timeouts struct {
	Suspicion        micros.Time // how long a machine may go without contact before it is suspected
	AgentLease       micros.Time
	AgentLeaseExpiry micros.Time // how long after its last renewal an agent lease is certain to have expired
}

// Detector is the failure detector of one partition leader.
type Detector struct {
	timeouts Timeouts
	fleet    FleetView

	// observingSince is when this process started receiving messages, or resumed after a pause.
	// Earlier silence is its own and does not count against machines.
	observingSince micros.Time
	// networkSuspectedUntil is the time until which silence is attributed to the network near this
	// controller.
	networkSuspectedUntil micros.Time

	health         *fleetHealth     // cached from the last tick that needed it
	zones          map[string]*zone // zones that have, or had, machines in use
	zonesCheckedAt micros.Time
}

// New returns a detector that counts silence starting now.
func New(timeouts Timeouts, fleet FleetView, now micros.Time) *Detector {
	return &Detector{
		timeouts:       timeouts,
		fleet:          fleet,
		observingSince: now,
		zones:          map[string]*zone{},
	}
}

// AgentLeaseExpiry returns how long after its last possible renewal an agent lease is certain to have
// expired.
func (d *Detector) AgentLeaseExpiry() micros.Time { return d.timeouts.AgentLeaseExpiry }

// SuspicionTimeout returns how long a machine may go without contact before it is suspected.
func (d *Detector) SuspicionTimeout() micros.Time { return d.timeouts.Suspicion }

// ProbeAfter returns how long a machine may go without contact before it is probed. A machine with
// service replicas is probed earlier, since their users are affected as soon as the machine fails.
func (d *Detector) ProbeAfter(hasReplicas bool) micros.Time {
	after := d.timeouts.Suspicion * 2 / 3
	if hasReplicas {
		after = min(after, max(d.timeouts.Suspicion/4, 2*micros.Second))
	}
	return after
}

// ResetSilence restarts the measurement of silence after a period in which this process did not run
// and could not receive messages.
func (d *Detector) ResetSilence(now micros.Time) { d.observingSince = now }

// Silence returns how long there has been no evidence that this controller's messages reach a machine
// with this last contact, not counting time in which this process could not have received any.
// Heartbeats alone are no such evidence.
func (d *Detector) Silence(now, lastContact micros.Time) micros.Time {
	return now - max(lastContact, d.observingSince)
}

// SinceRenewal returns how long ago an agent lease was last renewed, not counting time in which this
// process could not have renewed it.
func (d *Detector) SinceRenewal(now, renewedAt micros.Time) micros.Time {
	return now - max(renewedAt, d.observingSince)
}

// CannotReport reports whether a machine that answers calls has not reached any controller with a
// heartbeat for the duration of an agent lease, while most other machines have. Such a machine has
// lost its tasks by now and would remain unusable.
func (d *Detector) CannotReport(now, renewedAt micros.Time) bool {
	if d.SinceRenewal(now, renewedAt) <= d.timeouts.AgentLeaseExpiry {
		return false
	}
	health := d.fleetHealth(now)
	return health.renewed*2 > health.inUse
}

// UpdateNetworkSuspicion extends the suspicion of the network near this controller by another
// suspicion timeout if silence is widespread, so that the last machine to recover contact is not
// declared failed in the meantime.
func (d *Detector) UpdateNetworkSuspicion(now micros.Time) {
	if d.widespreadSilence(now) {
		d.networkSuspectedUntil = now + d.timeouts.Suspicion
	}
}

// NetworkSuspected reports whether silence is attributed to the network near this controller.
func (d *Detector) NetworkSuspected(now micros.Time) bool { return now < d.networkSuspectedUntil }
