package failuredetector

import (
	"cmp"
	"maps"
	"slices"

	"pipitlatch/internal/micros"
)

const (
	// zoneCheckInterval is how often the zones are checked.
	zoneCheckInterval = 100 * micros.Millisecond
	// smallZoneMachines is the largest number of machines in a zone that is too small to distinguish
	// the loss of the zone from failures of the machines themselves.
	smallZoneMachines = 3
	// peerVerdictTimeout is how long a partition leader waits for its peers to report whether they
	// reach a zone that it cannot reach.
	peerVerdictTimeout = 2500 * micros.Millisecond
)

// zone tracks the contact with the machines in use of one zone.
type zone struct {
	machines          int
	lastQuorumContact micros.Time // more than a quarter of them have been in contact since this time
	unreachableSince  micros.Time // when the zone became unreachable; 0: it is reachable
}

// ZoneReport is the result of a check for a zone that has been silent for a while.
type ZoneReport struct {
	Zone     string
	Machines int
	// BecameUnreachable indicates that the zone is considered unreachable as of this check.
	BecameUnreachable bool
}

// suspectZoneAfter returns how long a zone may be silent before its machines are probed.
func (d *Detector) suspectZoneAfter() micros.Time { return d.timeouts.Suspicion * 3 / 10 }

// unreachableZoneAfter returns how long a zone may be silent before it is considered unreachable.
func (d *Detector) unreachableZoneAfter() micros.Time { return d.timeouts.Suspicion * 3 / 5 }

// CheckZones checks the contact with all zones, at most once per zoneCheckInterval, and returns the
// silent ones sorted by name. Their machines should be probed, since agents that wait for the reply
// of an isolated partition leader send no heartbeats for several seconds. If all machines of a zone
// fall silent at the same time, possibly only this controller cannot reach them, so its peers should
// be asked about a zone that became unreachable.
func (d *Detector) CheckZones(now micros.Time) []ZoneReport {
	if now-d.zonesCheckedAt < zoneCheckInterval {
		return nil
	}
	d.zonesCheckedAt = now
	contacts := map[string][]micros.Time{}
	for m := range d.fleet.Machines {
		if m.InUse {
			contacts[m.Zone] = append(contacts[m.Zone], m.LastContact)
		}
	}
	for name, z := range d.zones {
		if contacts[name] == nil {
			// No machines are left in the zone. If it was unreachable, it remains so until contact with
			// a machine that was requested to test it.
			z.machines = 0
		}
	}
	var reports []ZoneReport
	for _, name := range slices.Sorted(maps.Keys(contacts)) {
		z := d.zones[name]
		if z == nil {
			z = &zone{}
			d.zones[name] = z
		}
		z.observe(contacts[name])
		silence := d.zoneSilence(z, now)
		becameUnreachable := false
		switch {
		case silence < d.unreachableZoneAfter():
			z.unreachableSince = 0
		case z.unreachableSince == 0 && z.machines > smallZoneMachines:
			z.unreachableSince = now
			becameUnreachable = true
		}
		if silence >= d.suspectZoneAfter() {
			reports = append(reports, ZoneReport{Zone: name, Machines: z.machines, BecameUnreachable: becameUnreachable})
		}
	}
	return reports
}

// observe updates the zone from the last contacts of its machines, sorting the slice in place.
func (z *zone) observe(contacts []micros.Time) {
	slices.SortFunc(contacts, func(a, b micros.Time) int { return cmp.Compare(b, a) })
	z.machines, z.lastQuorumContact = len(contacts), contacts[len(contacts)/4]
}

// zoneSilence returns how long at most a quarter of a zone's machines have been in contact, not
// counting time in which this process could not have received messages.
func (d *Detector) zoneSilence(z *zone, now micros.Time) micros.Time {
	return now - max(z.lastQuorumContact, d.observingSince)
}

// InheritUnreachableZone marks a zone as unreachable because the previous partition leader reported
// it as such.
func (d *Detector) InheritUnreachableZone(name string, now micros.Time) {
	d.zones[name] = &zone{unreachableSince: now}
}

// ZoneUnreachable reports whether a zone is unreachable. Machines booting in such a zone must not be
// relied on.
func (d *Detector) ZoneUnreachable(name string) bool {
	return d.zones[name] != nil && d.zones[name].unreachableSince != 0
}

// UnreachableZones returns the names of the unreachable zones in sorted order.
func (d *Detector) UnreachableZones() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(d.zones)) {
		if d.zones[name].unreachableSince != 0 {
			out = append(out, name)
		}
	}
	return out
}

// ZoneVerdictPending reports whether it is still undecided if the machines of a zone that fell silent
// together have failed or are only unreachable from this controller. None of them is given up until
// all reachable peers have reported that they cannot reach the zone either, or the wait for them has
// timed out. If a peer does reach it, that peer is given additional time to take over the partition.
func (d *Detector) ZoneVerdictPending(now micros.Time, name string) bool {
	z := d.zones[name]
	if z == nil || z.machines <= smallZoneMachines || d.zoneSilence(z, now) < d.suspectZoneAfter() {
		return false
	}
	if z.unreachableSince == 0 {
		return true
	}
	verdict := d.fleet.PeerVerdict(name)
	wait := now - z.unreachableSince
	if verdict.Reached {
		return wait < peerVerdictTimeout+d.timeouts.Suspicion
	}
	return verdict.Pending > 0 && wait < peerVerdictTimeout
}
