package scheduling

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// referencePlace is a reference implementation of Place that examines every machine for every task
// instead of using a heap.
func referencePlace(r *Request, machines []*Machine, emit func(Slot)) int {
	placed := 0
	for ; placed < r.Count; placed++ {
		var best candidate
		for _, m := range machines {
			if !referenceZoneHasCapacity(r, m.Zone) {
				continue
			}
			if c := r.candidateFor(m); better(r.Job, r.PackLimit, &c, &best) {
				best = c
			}
		}
		if !best.ok {
			break
		}
		m := best.slot.Machine
		m.Timeline.Reserve(r.Job.Resources, best.slot.Start, best.slot.Length)
		if r.Job.Kind == workload.Service {
			m.Replicas++
		}
		r.TasksByZone[m.Zone]++
		if r.Job.OneZone {
			r.Zone = m.Zone
		}
		emit(best.slot)
	}
	return placed
}

// referenceZoneHasCapacity is an independent implementation of zoneHasCapacity for the reference.
func referenceZoneHasCapacity(r *Request, zone string) bool {
	return (r.Zone == "" || zone == r.Zone) && (!r.Job.Spread || r.TasksByZone[zone] < r.Job.SpreadLimit())
}

// drawMachines generates machines of three sizes, some of them with running tasks.
func drawMachines(t *rapid.T) []*Machine {
	var out []*Machine
	for i := range rapid.IntRange(1, 30).Draw(t, "machines") {
		size := rapid.IntRange(0, 2).Draw(t, "size")
		instanceType := &workload.InstanceType{
			Name:      "m",
			Capacity:  workload.Resources{CPU: 8000 << size, Mem: 64_000},
			FetchGBps: 0.5,
		}
		image := rapid.Bool().Draw(t, "image")
		m := &Machine{
			Index:    i,
			Type:     instanceType,
			Zone:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
			Spot:     rapid.Bool().Draw(t, "spot"),
			Timeline: NewTimeline(0, instanceType.Capacity),
			HasImage: func(string) bool { return image },
			Slowness: 1,
			Up:       true,
			Replicas: rapid.IntRange(0, 3).Draw(t, "replicas"),
		}
		if m.Spot {
			m.LossRate = 0.002
		}
		for range rapid.IntRange(0, 3).Draw(t, "running") {
			cpu := rapid.Int64Range(1, 4).Draw(t, "cpu")
			remaining := rapid.Int64Range(1, 60).Draw(t, "remaining") * s
			m.Timeline.Reserve(cpuResources(cpu), 0, remaining)
		}
		out = append(out, m)
	}
	return out
}

func cloneMachines(machines []*Machine) []*Machine {
	out := make([]*Machine, len(machines))
	for i, m := range machines {
		c := *m
		c.Timeline = &Timeline{steps: slices.Clone(m.Timeline.steps)}
		out[i] = &c
	}
	return out
}

// TestPlaceMatchesReference checks that Place makes the same placements as the reference
// implementation without a heap.
func TestPlaceMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := drawMachines(t)
		j := &workload.Job{
			Resources: cpuResources(rapid.Int64Range(1, 6).Draw(t, "need")),
			Tasks:     40,
			Spot:      rapid.Bool().Draw(t, "spot"),
			Image:     "i",
			ImageGB:   2,
			Spread:    rapid.Bool().Draw(t, "spread"),
			OneZone:   rapid.Bool().Draw(t, "one zone"),
		}
		if rapid.Bool().Draw(t, "service") {
			j.Kind = workload.Service
		}
		request := func() *Request {
			return &Request{
				Job: j, Weight: 2, Estimate: 12 * s, Due: 30 * s, Count: 40, TasksByZone: map[string]int{}, PackLimit: 2,
			}
		}
		var got, want []Slot
		referenceMachines := cloneMachines(machines)
		placed := Place(request(), machines, func(slot Slot) { got = append(got, slot) })
		expected := referencePlace(request(), referenceMachines, func(slot Slot) { want = append(want, slot) })
		if placed != expected {
			t.Fatalf("placed %d tasks, reference placed %d", placed, expected)
		}
		for i := range got {
			g, w := got[i], want[i]
			if g.Machine.Index != w.Machine.Index || g.Start != w.Start || g.Length != w.Length {
				t.Fatalf("task %d: placed on machine %d at %d, reference on machine %d at %d",
					i, g.Machine.Index, g.Start, w.Machine.Index, w.Start)
			}
		}
	})
}

// BenchmarkPlace places 2,000 tasks of 20 jobs on 400 busy machines.
func BenchmarkPlace(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var fleet []*Machine
		for i := range 400 {
			m := newMachine(i, i%2 == 0, micros.Time(i%40+1)*s)
			fleet = append(fleet, m)
		}
		placed := 0
		for range 20 {
			j := &workload.Job{Resources: cpuResources(2), Tasks: 100, Spot: true}
			r := &Request{Job: j, Weight: 2, Estimate: 20 * s, Due: 60 * s, Count: 100, TasksByZone: map[string]int{}}
			placed += Place(r, fleet, func(Slot) {})
		}
		if placed != 2000 {
			b.Fatalf("placed %d tasks, want 2000", placed)
		}
	}
}
