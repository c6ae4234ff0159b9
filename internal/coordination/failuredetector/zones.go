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
	// minZoneMachines are too few to tell a zone's silence from their own.
	minZoneMachines = 3
	// peerVerdictTimeout is how long a partition leader waits for its peers to say whether they
	// reach a zone that it does not hear.
	peerVerdictTimeout = 2500 * micros.Millisecond
)

// zone is how the machines of one zone are heard.
type zone struct {
	machines          int
	lastQuorumContact micros.Time // a quarter of them was heard since
	unreachableSince  micros.Time // since when it counts as unreachable; 0: it does not
}

// ZoneReport is what a check found out about a zone that has not been heard for a while.
type ZoneReport struct {
	Zone     string
	Machines int
	// BecameUnreachable says that the zone counts as unreachable from this check on.
	BecameUnreachable bool
}

// suspectZoneAfter is how long a zone may be silent before its machines are probed.
func (d *Detector) suspectZoneAfter() micros.Time { return d.timeouts.Suspicion * 3 / 10 }

// unreachableZoneAfter is how long a zone may be silent before it counts as unreachable.
func (d *Detector) unreachableZoneAfter() micros.Time { return d.timeouts.Suspicion * 3 / 5 }

// CheckZones checks, now and then, how the zones are heard, and reports the silent ones in order:
// their machines are to be probed, since agents that wait for the reply of a partition leader that
// was cut off send no heartbeat for some seconds. Machines of a zone that fall silent all at once
// may only be out of this controller's reach: its peers are asked about an unreachable zone.
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
			// All its machines were given up. A zone that was lost stays so until one that was
			// requested to try it is heard.
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
		case z.unreachableSince == 0 && z.machines > minZoneMachines:
			z.unreachableSince = now
			becameUnreachable = true
		}
		if silence >= d.suspectZoneAfter() {
			reports = append(reports, ZoneReport{Zone: name, Machines: z.machines, BecameUnreachable: becameUnreachable})
		}
	}
	return reports
}

// observe takes the last contacts of the zone's machines, which it sorts.
func (z *zone) observe(contacts []micros.Time) {
	slices.SortFunc(contacts, func(a, b micros.Time) int { return cmp.Compare(b, a) })
	z.machines, z.lastQuorumContact = len(contacts), contacts[len(contacts)/4]
}

// zoneSilence is for how long not even a quarter of a zone's machines has been heard.
func (d *Detector) zoneSilence(z *zone, now micros.Time) micros.Time {
	return now - max(z.lastQuorumContact, d.observingSince)
}

// InheritUnreachableZone takes over that the last partition leader did not hear a zone.
func (d *Detector) InheritUnreachableZone(name string, now micros.Time) {
	d.zones[name] = &zone{unreachableSince: now}
}

// ZoneUnreachable tells whether a zone is not heard: what boots there cannot be counted on.
func (d *Detector) ZoneUnreachable(name string) bool {
	return d.zones[name] != nil && d.zones[name].unreachableSince != 0
}

// UnreachableZones are the zones that are not heard, in order.
func (d *Detector) UnreachableZones() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(d.zones)) {
		if d.zones[name].unreachableSince != 0 {
			out = append(out, name)
		}
	}
	return out
}

// ZoneVerdictPending tells whether it is open if machines of a zone that fell silent together have
// failed, or are only out of this controller's reach. None of them is given up until the peers
// that can be heard have said that they do not reach them either; while one does, it is given some
// more time to take the partition over.
func (d *Detector) ZoneVerdictPending(now micros.Time, name string) bool {
	z := d.zones[name]
	if z == nil || z.machines <= minZoneMachines || d.zoneSilence(z, now) < d.suspectZoneAfter() {
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
