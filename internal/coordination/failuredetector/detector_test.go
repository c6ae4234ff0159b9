package failuredetector

import (
	"testing"

	"pipitlatch/internal/micros"
)

// now is the time of the verdicts, long after the creation of the detector.
const now = 1000 * micros.Second

var timeouts = Timeouts{
	Suspicion:        10 * micros.Second,
	AgentLease:       20 * micros.Second,
	AgentLeaseExpiry: 21 * micros.Second,
}

// fakeFleet is a FleetView with fixed contents that records how it is used.
type fakeFleet struct {
	machines []Machine
	verdict  PeerVerdict
	listings int      // number of iterations over the machines
	asked    []string // zones for which the peer verdict was requested
}

func (f *fakeFleet) Machines(yield func(Machine) bool) {
	f.listings++
	for _, m := range f.machines {
		if !yield(m) {
			return
		}
	}
}

func (f *fakeFleet) PeerVerdict(zone string) PeerVerdict {
	f.asked = append(f.asked, zone)
	return f.verdict
}

// add adds machines in use whose last contact and lease renewal were the given time ago.
func (f *fakeFleet) add(count int, zone string, spot bool, ago micros.Time) *fakeFleet {
	for range count {
		f.machines = append(f.machines, Machine{
			Zone: zone, Spot: spot, InUse: true, MayHaveTasks: true, Reconciled: true,
			LastContact: now - ago, RenewedAt: now - ago,
		})
	}
	return f
}

// addUnused adds booting machines, which are not in use yet.
func (f *fakeFleet) addUnused(count int, zone string) *fakeFleet {
	for range count {
		f.machines = append(f.machines, Machine{Zone: zone})
	}
	return f
}

func newDetector(f *fakeFleet) *Detector { return New(timeouts, f, 0) }

func TestSilence(t *testing.T) {
	const s = micros.Second
	tests := []struct {
		name            string
		observingSince  micros.Time
		last, wantSince micros.Time // last contact or renewal, and the time since then
	}{
		{"since the last contact", 0, now - 4*s, 4 * s},
		{"not counted before this process received messages", now - s, now - 4*s, s},
		{"no contact: since this process received messages", now - 3*s, 0, 3 * s},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDetector(&fakeFleet{})
			d.ResetSilence(test.observingSince)
			if got := d.Silence(now, test.last); got != test.wantSince {
				t.Errorf("silence %d, want %d", got, test.wantSince)
			}
			if got := d.SinceRenewal(now, test.last); got != test.wantSince {
				t.Errorf("since renewal %d, want %d", got, test.wantSince)
			}
		})
	}
	if got := New(timeouts, &fakeFleet{}, now-s).Silence(now, 0); got != s {
		t.Errorf("silence %d with a new detector, want %d", got, s)
	}
}

func TestProbeAfter(t *testing.T) {
	tests := []struct {
		name        string
		suspicion   micros.Time
		hasReplicas bool
		want        micros.Time
	}{
		{"two thirds of the suspicion timeout", 12 * micros.Second, false, 8 * micros.Second},
		{"with replicas a quarter", 12 * micros.Second, true, 3 * micros.Second},
		{"with replicas at least two seconds", 6 * micros.Second, true, 2 * micros.Second},
		{"with replicas never later than without", 2400 * micros.Millisecond, true, 1600 * micros.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(Timeouts{Suspicion: test.suspicion}, &fakeFleet{}, 0)
			if got := d.ProbeAfter(test.hasReplicas); got != test.want {
				t.Errorf("probed after %d, want %d", got, test.want)
			}
			if got := d.SuspicionTimeout(); got != test.suspicion {
				t.Errorf("suspicion timeout %d, want %d", got, test.suspicion)
			}
		})
	}
}

func TestCannotReport(t *testing.T) {
	expired := timeouts.AgentLeaseExpiry + 1
	tests := []struct {
		name           string
		fleet          *fakeFleet
		sinceLast      micros.Time
		observingSince micros.Time
		want           bool
	}{
		{"expired while most others renew",
			(&fakeFleet{}).add(3, "a", false, 0).add(2, "a", false, expired), expired, 0, true},
		{"not expired yet", (&fakeFleet{}).add(3, "a", false, 0), timeouts.AgentLeaseExpiry, 0, false},
		{"only half of the machines renew",
			(&fakeFleet{}).add(2, "a", false, 0).add(2, "a", false, expired), expired, 0, false},
		{"renewals older than half a lease do not count",
			(&fakeFleet{}).add(3, "a", false, timeouts.AgentLease/2).add(2, "a", false, expired), expired, 0, false},
		{"unused machines do not count",
			(&fakeFleet{}).add(3, "a", false, 0).addUnused(9, "a").add(2, "a", false, expired), expired, 0, true},
		{"this process could not renew it for that long",
			(&fakeFleet{}).add(3, "a", false, 0), expired, now - micros.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDetector(test.fleet)
			d.ResetSilence(test.observingSince)
			if got := d.CannotReport(now, now-test.sinceLast); got != test.want {
				t.Errorf("cannot report: %v, want %v", got, test.want)
			}
		})
	}
}

func TestNetworkSuspicionLastsForOneTimeout(t *testing.T) {
	fleet := (&fakeFleet{}).add(6, "a", false, timeouts.Suspicion)
	d := newDetector(fleet)
	if d.NetworkSuspected(now) {
		t.Fatal("network suspected before any check")
	}
	d.UpdateNetworkSuspicion(now)
	if !d.NetworkSuspected(now) {
		t.Fatal("network not suspected although all machines are silent")
	}
	later := now + timeouts.Suspicion - 1
	for i := range fleet.machines {
		fleet.machines[i].LastContact = later
	}
	d.UpdateNetworkSuspicion(later)
	if !d.NetworkSuspected(later) {
		t.Error("suspicion ended before its timeout")
	}
	if d.NetworkSuspected(now + timeouts.Suspicion) {
		t.Error("suspicion continued after its timeout")
	}
}
