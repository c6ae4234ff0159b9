package failuredetector

import (
	"slices"
	"testing"

	"pipitlatch/internal/micros"
)

// The minimum silence of a zone that is suspected, and of one that is unreachable.
var (
	suspected   = timeouts.Suspicion * 3 / 10
	unreachable = timeouts.Suspicion * 3 / 5
)

func TestCheckZones(t *testing.T) {
	tests := []struct {
		name  string
		fleet *fakeFleet
		want  []ZoneReport
	}{
		{"in contact", (&fakeFleet{}).add(8, "a", false, suspected-1), nil},
		{"suspected", (&fakeFleet{}).add(8, "a", false, suspected), []ZoneReport{{"a", 8, false}}},
		{"just short of unreachable", (&fakeFleet{}).add(8, "a", false, unreachable-1), []ZoneReport{{"a", 8, false}}},
		{"unreachable", (&fakeFleet{}).add(8, "a", false, unreachable), []ZoneReport{{"a", 8, true}}},
		{"three machines are too few for an unreachable zone",
			(&fakeFleet{}).add(3, "a", false, unreachable), []ZoneReport{{"a", 3, false}}},
		{"contact with more than a quarter",
			(&fakeFleet{}).add(3, "a", false, 0).add(5, "a", false, unreachable), nil},
		{"contact with a quarter",
			(&fakeFleet{}).add(2, "a", false, 0).add(6, "a", false, unreachable), []ZoneReport{{"a", 8, true}}},
		{"unused machines do not count",
			(&fakeFleet{}).addUnused(9, "b").add(3, "a", false, unreachable).addUnused(9, "a"), []ZoneReport{{"a", 3, false}}},
		{"several zones, in order",
			(&fakeFleet{}).add(4, "c", false, unreachable).add(4, "b", false, 0).add(4, "a", false, suspected),
			[]ZoneReport{{"a", 4, false}, {"c", 4, true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDetector(test.fleet)
			if got := d.CheckZones(now); !slices.Equal(got, test.want) {
				t.Errorf("reports %v, want %v", got, test.want)
			}
			var zones []string
			for _, report := range test.want {
				if report.BecameUnreachable {
					zones = append(zones, report.Zone)
				}
				if got := d.ZoneUnreachable(report.Zone); got != report.BecameUnreachable {
					t.Errorf("zone %s unreachable: %v, want %v", report.Zone, got, report.BecameUnreachable)
				}
			}
			if got := d.UnreachableZones(); !slices.Equal(got, zones) {
				t.Errorf("unreachable zones %v, want %v", got, zones)
			}
		})
	}
}

func TestCheckZonesInterval(t *testing.T) {
	fleet := (&fakeFleet{}).add(4, "a", false, unreachable)
	d := newDetector(fleet)
	d.CheckZones(now)
	if got := d.CheckZones(now + zoneCheckInterval - 1); got != nil || fleet.listings != 1 {
		t.Errorf("checked again too early: %v", got)
	}
	want := []ZoneReport{{"a", 4, false}}
	if got := d.CheckZones(now + zoneCheckInterval); !slices.Equal(got, want) {
		t.Errorf("reports %v, want %v: a zone becomes unreachable once", got, want)
	}
}

func TestCheckZonesDoesNotCountOwnSilence(t *testing.T) {
	d := newDetector((&fakeFleet{}).add(4, "a", false, unreachable))
	d.ResetSilence(now - suspected + 1)
	if got := d.CheckZones(now); got != nil {
		t.Errorf("reports %v for silence while this process was not running", got)
	}
}

func TestUnreachableZoneEndsOnlyOnContact(t *testing.T) {
	fleet := (&fakeFleet{verdict: PeerVerdict{Pending: 1}}).add(4, "a", false, unreachable)
	d := newDetector(fleet)
	d.CheckZones(now)
	if !d.ZoneVerdictPending(now, "a") {
		t.Error("no verdict is pending on a silent zone that a peer has not reported on")
	}

	fleet.machines = nil
	at := now + zoneCheckInterval
	d.CheckZones(at)
	if !d.ZoneUnreachable("a") {
		t.Error("zone became reachable although no machine is left to contact")
	}
	if d.ZoneVerdictPending(at, "a") {
		t.Error("a verdict is pending on a zone without machines")
	}

	at += zoneCheckInterval
	fleet.machines = []Machine{{Zone: "a", InUse: true, LastContact: at}}
	d.CheckZones(at)
	if d.ZoneUnreachable("a") {
		t.Error("unreachable, although a new machine in the zone is in contact")
	}
}

func TestInheritedZoneIsUnreachableUntilContact(t *testing.T) {
	fleet := (&fakeFleet{}).add(4, "a", false, unreachable)
	d := newDetector(fleet)
	d.InheritUnreachableZone("a", now-micros.Second)
	if !d.ZoneUnreachable("a") || d.ZoneUnreachable("b") {
		t.Errorf("unreachable zones %v, want a", d.UnreachableZones())
	}
	if d.ZoneVerdictPending(now, "a") {
		t.Error("a verdict is pending before the first check of the zone")
	}
	if got := d.CheckZones(now); !slices.Equal(got, []ZoneReport{{"a", 4, false}}) {
		t.Errorf("reports %v, want zone a not to become unreachable a second time", got)
	}
	for i := range fleet.machines {
		fleet.machines[i].LastContact = now + zoneCheckInterval
	}
	d.CheckZones(now + zoneCheckInterval)
	if d.ZoneUnreachable("a") {
		t.Error("unreachable, although its machines are in contact")
	}
}

func TestZoneVerdictPending(t *testing.T) {
	tests := []struct {
		name     string
		machines int
		silence  micros.Time // at the time of the check
		verdict  PeerVerdict
		wait     micros.Time // since the check
		want     bool
		wantAsk  bool
	}{
		{"in contact", 8, suspected - 1, PeerVerdict{Pending: 1}, 0, false, false},
		{"too few machines", 3, unreachable, PeerVerdict{Pending: 1}, 0, false, false},
		{"suspected, but not unreachable", 8, suspected, PeerVerdict{}, 0, true, false},
		{"unreachable, no reachable peer", 8, unreachable, PeerVerdict{}, 0, false, true},
		{"unreachable, a peer has not reported", 8, unreachable, PeerVerdict{Pending: 1}, peerVerdictTimeout - 1, true, true},
		{"a peer has not reported in time", 8, unreachable, PeerVerdict{Pending: 1}, peerVerdictTimeout, false, true},
		{"a peer reaches it", 8, unreachable, PeerVerdict{Reached: true},
			peerVerdictTimeout + timeouts.Suspicion - 1, true, true},
		{"a peer reaches it, but has not taken over", 8, unreachable, PeerVerdict{Reached: true},
			peerVerdictTimeout + timeouts.Suspicion, false, true},
		{"a peer reaches it, another has not reported", 8, unreachable, PeerVerdict{Pending: 1, Reached: true},
			peerVerdictTimeout, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fleet := (&fakeFleet{verdict: test.verdict}).add(test.machines, "a", false, test.silence)
			d := newDetector(fleet)
			d.CheckZones(now)
			if got := d.ZoneVerdictPending(now+test.wait, "a"); got != test.want {
				t.Errorf("verdict pending: %v, want %v", got, test.want)
			}
			if asked := len(fleet.asked) > 0; asked != test.wantAsk {
				t.Errorf("peer verdict requested: %v, want %v", asked, test.wantAsk)
			}
			if d.ZoneVerdictPending(now, "z") {
				t.Error("a verdict is pending on a zone without machines")
			}
		})
	}
}
