package failuredetector

import (
	"testing"

	"pipitlatch/internal/micros"
)

func TestWidespreadSilence(t *testing.T) {
	overdue := timeouts.Suspicion*7/10 + 1
	tests := []struct {
		name  string
		fleet *fakeFleet
		want  bool
	}{
		{"nothing in use", (&fakeFleet{}).addUnused(5, "a"), false},
		{"most are silent", (&fakeFleet{}).add(3, "a", false, overdue).add(2, "a", false, 0), true},
		{"just not overdue", (&fakeFleet{}).add(5, "a", false, overdue-1), false},
		{"half are silent", (&fakeFleet{}).add(3, "a", false, overdue).add(3, "a", false, 0), false},
		{"less than half are silent, no other group is large enough to tell",
			(&fakeFleet{}).add(3, "a", false, overdue).add(2, "b", false, 0).add(2, "c", false, 0), false},
		{"half are silent, no other group is large enough to tell",
			(&fakeFleet{}).add(4, "a", false, overdue).add(2, "b", false, 0).add(2, "c", false, 0), false},
		{"two silent machines are too few", (&fakeFleet{}).add(2, "a", false, overdue), false},
		{"unused machines do not count",
			(&fakeFleet{}).add(2, "a", false, overdue).addUnused(9, "a"), false},
		{"another zone is in contact",
			(&fakeFleet{}).add(8, "a", false, overdue).add(3, "b", false, 0), false},
		{"half of another zone is in contact",
			(&fakeFleet{}).add(8, "a", false, overdue).add(2, "b", false, 0).add(2, "b", false, overdue), false},
		{"less than half of another zone is in contact",
			(&fakeFleet{}).add(8, "a", false, overdue).add(2, "b", false, 0).add(3, "b", false, overdue), true},
		{"another zone is in contact, but too small to tell",
			(&fakeFleet{}).add(8, "a", false, overdue).add(2, "b", false, 0), true},
		{"only the spot instances of the zone are silent",
			(&fakeFleet{}).add(8, "a", true, overdue).add(3, "a", false, 0), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDetector(test.fleet)
			if got := d.widespreadSilence(now); got != test.want {
				t.Errorf("widespread silence: %v, want %v", got, test.want)
			}
			d.UpdateNetworkSuspicion(now)
			if got := d.NetworkSuspected(now); got != test.want {
				t.Errorf("network suspected: %v, want %v", got, test.want)
			}
		})
	}
}

func TestRestOfFleetReachable(t *testing.T) {
	const since = 3 * micros.Second // how long ago the first failed call was sent
	tests := []struct {
		name  string
		fleet *fakeFleet
		want  bool
	}{
		{"contact with more than a quarter", (&fakeFleet{}).add(2, "a", false, since-1).add(5, "a", false, since+1), true},
		{"contact with just a quarter", (&fakeFleet{}).add(2, "a", false, since-1).add(6, "a", false, since+1), false},
		{"contact at exactly that time does not count", (&fakeFleet{}).add(8, "a", false, since), false},
		{"unused machines do not count",
			(&fakeFleet{}).add(2, "a", false, 0).add(5, "a", false, since+1).addUnused(9, "a"), true},
		{"four machines, no contact", (&fakeFleet{}).add(4, "a", false, since+1), false},
		{"three machines are too few to tell", (&fakeFleet{}).add(3, "a", false, since+1), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := newDetector(test.fleet).RestOfFleetReachable(now, now-since); got != test.want {
				t.Errorf("rest of the fleet reachable: %v, want %v", got, test.want)
			}
		})
	}
}

func TestMostReconciled(t *testing.T) {
	unreconciled := func(f *fakeFleet, count int) *fakeFleet {
		for range count {
			f.machines = append(f.machines, Machine{InUse: true, MayHaveTasks: true})
		}
		return f
	}
	freshlyBooted := func(f *fakeFleet, count int) *fakeFleet {
		for range count {
			f.machines = append(f.machines, Machine{InUse: true, Reconciled: true})
		}
		return f
	}
	tests := []struct {
		name  string
		fleet *fakeFleet
		want  bool
	}{
		{"no machine may have tasks", freshlyBooted(&fakeFleet{}, 1), true},
		{"half are reconciled", unreconciled((&fakeFleet{}).add(2, "a", false, 0), 2), true},
		{"less than half are reconciled", unreconciled((&fakeFleet{}).add(2, "a", false, 0), 3), false},
		{"machines without tasks do not count",
			freshlyBooted(unreconciled((&fakeFleet{}).add(2, "a", false, 0), 3), 9), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := newDetector(test.fleet).MostReconciled(now); got != test.want {
				t.Errorf("most reconciled: %v, want %v", got, test.want)
			}
		})
	}
}

func TestFleetHealthIsComputedOncePerTick(t *testing.T) {
	fleet := (&fakeFleet{}).add(8, "a", false, timeouts.AgentLeaseExpiry+1)
	d := newDetector(fleet)
	verdicts := func(at micros.Time) {
		for range 8 {
			d.RestOfFleetReachable(at, at-micros.Second)
			d.MostReconciled(at)
			d.CannotReport(at, at-timeouts.AgentLeaseExpiry-1)
		}
	}
	verdicts(now)
	if fleet.listings != 1 {
		t.Errorf("machines listed %d times in one tick, want once", fleet.listings)
	}
	if d.RestOfFleetReachable(now, now-micros.Second) {
		t.Error("rest of the fleet counts as reachable without any contact")
	}
	for i := range fleet.machines {
		fleet.machines[i].LastContact = now + 1
	}
	if d.RestOfFleetReachable(now, now-micros.Second) {
		t.Error("the summary changed within the tick")
	}
	next := now + 50*micros.Millisecond
	verdicts(next)
	if fleet.listings != 2 {
		t.Errorf("machines listed %d times in two ticks, want twice", fleet.listings)
	}
	if !d.RestOfFleetReachable(next, next-micros.Second) {
		t.Error("next tick does not see the new contacts")
	}
}

func TestFleetHealthAllocatesNothingPerMachine(t *testing.T) {
	allocations := func(machines int) float64 {
		d := newDetector((&fakeFleet{}).add(machines, "a", false, 0))
		at := now
		return testing.AllocsPerRun(10, func() {
			at++
			d.UpdateNetworkSuspicion(at)
			d.MostReconciled(at)
		})
	}
	// The slice of contacts is reallocated a few more times as it grows for a larger fleet.
	if small, large := allocations(10), allocations(1000); large > small+20 {
		t.Errorf("%v allocations for 10 machines, %v for 1000", small, large)
	}
}
