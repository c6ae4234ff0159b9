package scheduling

import (
	"slices"
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// newMachine returns an on-demand or spot newMachine with eight CPUs in zone a that is fully occupied
// until busyUntil.
func newMachine(index int, spot bool, busyUntil micros.Time) *Machine {
	instanceType := &workload.InstanceType{
		Name:      "m",
		Capacity:  workload.Resources{CPU: 8000, Mem: 64_000},
		FetchGBps: 0.5,
	}
	m := &Machine{
		Index:    index,
		Type:     instanceType,
		Zone:     "a",
		Spot:     spot,
		Timeline: NewTimeline(0, instanceType.Capacity),
		HasImage: func(string) bool { return true },
		Slowness: 1,
		Up:       true,
	}
	if busyUntil > 0 {
		m.Timeline.Reserve(cpuResources(8), 0, busyUntil)
	}
	return m
}

// place places count tasks of a job at time 0.
func place(j *workload.Job, estimate, due micros.Time, count int, machines ...*Machine) (slots []Slot, placed int) {
	r := &Request{Job: j, Weight: 2, Estimate: estimate, Due: due, Count: count, TasksByZone: map[string]int{}}
	placed = Place(r, machines, func(slot Slot) { slots = append(slots, slot) })
	return slots, placed
}

func TestPlaceMinimizesTardiness(t *testing.T) {
	j := &workload.Job{Resources: cpuResources(8), Tasks: 9, Spot: true}
	// The task would end 23 s late on machine 1, which is free at 30 s, and 5 s late on machine 2,
	// which is free at 12 s.
	slots, _ := place(j, 10*s, 17*s, 1, newMachine(1, false, 30*s), newMachine(2, false, 12*s))
	if slots[0].Machine.Index != 2 || slots[0].Start != 12*s {
		t.Errorf("got machine %d at %d s", slots[0].Machine.Index, slots[0].Start/s)
	}
	assertNear(t, "tardiness", slots[0].Tardiness, 10)
}

func TestPlaceLeavesTasksWithoutGapQueued(t *testing.T) {
	j := &workload.Job{Resources: cpuResources(8), Tasks: 9, Spot: true}
	full := newMachine(1, false, 0)
	full.Timeline.Reserve(cpuResources(1), 0, Forever)
	if _, placed := place(j, 10*s, 20*s, 1, full); placed != 0 {
		t.Errorf("placed %d tasks on a machine without a gap", placed)
	}
}

func TestPlaceAvoidsSpotForTightTasks(t *testing.T) {
	j := &workload.Job{Resources: cpuResources(4), Tasks: 9, Spot: true}
	spot, onDemand := newMachine(1, true, 0), newMachine(2, false, 0)
	spot.LossRate = 0.01
	for _, c := range []struct {
		name string
		due  micros.Time
		want *Machine
	}{
		{"on-demand machine for a task with little slack", 11 * s, onDemand},
		{"spot machine for a task with ample slack", 100 * s, spot},
	} {
		t.Run(c.name, func(t *testing.T) {
			if slots, _ := place(j, 10*s, c.due, 1, spot, onDemand); slots[0].Machine != c.want {
				t.Errorf("got machine %d, want %d", slots[0].Machine.Index, c.want.Index)
			}
		})
	}
}

// In the service case, only as many tasks are placed as fit at the same time, because service
// tasks do not end.
func TestPlaceRespectsConstraints(t *testing.T) {
	inZone := func(zone string, m *Machine) *Machine {
		m.Zone = zone
		return m
	}
	for _, c := range []struct {
		name  string
		job   workload.Job
		count int
		want  int
	}{
		{"no spot machine unless allowed", workload.Job{Resources: cpuResources(4), Tasks: 4, Zone: "b"}, 4, 0},
		{"only in its zone", workload.Job{Kind: workload.Service, Resources: cpuResources(4), Tasks: 4, Zone: "a"}, 4, 2},
		{"only on its instance types",
			workload.Job{Resources: cpuResources(4), Tasks: 4, InstanceTypes: []string{"l"}}, 4, 0},
		{"not beyond the machine capacity", workload.Job{Resources: cpuResources(9), Tasks: 4, Spot: true}, 4, 0},
		{"spread over two zones", workload.Job{Resources: cpuResources(1), Tasks: 5, Spread: true, Spot: true}, 5, 5},
		{"spread limit in one zone", workload.Job{Resources: cpuResources(1), Tasks: 5, Spread: true, Zone: "a"}, 5, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, placed := place(&c.job, s, 9*s, c.count, newMachine(1, false, 0), inZone("b", newMachine(2, true, 0)))
			if placed != c.want {
				t.Errorf("placed %d of %d tasks, want %d", placed, c.count, c.want)
			}
		})
	}
}

func TestPlaceKeepsSingleZoneJobInOneZone(t *testing.T) {
	a, b := newMachine(1, false, 0), newMachine(2, true, 0)
	b.Zone = "b"
	slots, placed := place(&workload.Job{Resources: cpuResources(4), Tasks: 4, OneZone: true, Spot: true}, s, 9*s, 4, a, b)
	for _, slot := range slots {
		if slot.Machine.Zone != slots[0].Machine.Zone {
			t.Error("tasks of a single-zone job placed in two zones")
		}
	}
	if placed == 0 {
		t.Error("no task was placed")
	}
}

// TestPlaceStartNow checks that with StartNow only tasks that begin at once are placed, on machines that are
// up, and that none of them delays a task that has a slot.
func TestPlaceStartNow(t *testing.T) {
	booting := newMachine(1, false, 0)
	booting.Up = false
	busy := newMachine(2, false, 5*s)
	reserved := newMachine(3, false, 0)
	reserved.Timeline.Reserve(cpuResources(8), 8*s, 10*s)
	idle := newMachine(4, false, 0)
	j := &workload.Job{Resources: cpuResources(4), Tasks: 9}
	for _, c := range []struct {
		name     string
		estimate micros.Time
		want     []int // machines
	}{
		{"as long as the gap before the slot", 8 * s, []int{3, 3, 4, 4}},
		{"longer than the gap", 9 * s, []int{4, 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &Request{Job: j, Weight: 2, Estimate: c.estimate, Due: 60 * s, Count: 9, TasksByZone: map[string]int{},
				StartNow: true}
			var got []int
			Place(r, cloneMachines([]*Machine{booting, busy, reserved, idle}), func(slot Slot) {
				got = append(got, slot.Machine.Index)
				if slot.Start != 0 {
					t.Errorf("slot on machine %d begins at %d", slot.Machine.Index, slot.Start)
				}
			})
			slices.Sort(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("tasks on machines %v, want %v", got, c.want)
			}
		})
	}
}
