package scheduling

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// plainPlace is Place without the heap: for every task it looks at every machine.
func plainPlace(r *Request, machines []*Machine, out func(Slot)) int {
	placed := 0
	for ; placed < r.Count; placed++ {
		var best candidate
		for _, m := range machines {
			if (r.Zone != "" && m.Zone != r.Zone) || (r.Job.Spread && r.InZone[m.Zone] >= r.Job.SpreadLimit()) {
				continue
			}
			if c := r.candidate(m); better(r.Job, r.Pack, &c, &best) {
				best = c
			}
		}
		if !best.ok {
			break
		}
		m := best.slot.Machine
		m.Timeline.Reserve(r.Job.Resources, best.slot.Start, best.slot.Length)
		if r.Job.Kind == workload.Service {
			m.Services++
		}
		r.InZone[m.Zone]++
		if r.Job.OneZone {
			r.Zone = m.Zone
		}
		out(best.slot)
	}
	return placed
}

// drawnFleet draws machines of three sizes, some of them busy for a while.
func drawnFleet(t *rapid.T) []*Machine {
	var out []*Machine
	for i := range rapid.IntRange(1, 30).Draw(t, "machines") {
		kind := &workload.InstanceType{Name: "m", FetchGBps: 0.5,
			Capacity: workload.Resources{CPU: 8000 << rapid.IntRange(0, 2).Draw(t, "size"), Mem: 64_000}}
		image := rapid.Bool().Draw(t, "image")
		m := &Machine{Index: i, Type: kind, Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot"),
			Timeline: NewTimeline(0, kind.Capacity), HasImage: func(string) bool { return image }, Slowness: 1, Up: true,
			Services: rapid.IntRange(0, 3).Draw(t, "replicas")}
		if m.Spot {
			m.LossRate = 0.002
		}
		for range rapid.IntRange(0, 3).Draw(t, "running") {
			m.Timeline.Reserve(need(int64(rapid.IntRange(1, 4).Draw(t, "cpu"))), 0, micros.Time(rapid.IntRange(1, 60).Draw(t, "left"))*s)
		}
		out = append(out, m)
	}
	return out
}

func copyFleet(machines []*Machine) []*Machine {
	out := make([]*Machine, len(machines))
	for i, m := range machines {
		c := *m
		c.Timeline = &Timeline{steps: slices.Clone(m.Timeline.steps)}
		out[i] = &c
	}
	return out
}

// TestPlaceLikeThePlainOne holds Place against the plain reference: the heap may
// make it faster, not decide otherwise.
func TestPlaceLikeThePlainOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := drawnFleet(t)
		j := &workload.Job{Resources: need(int64(rapid.IntRange(1, 6).Draw(t, "need"))), Tasks: 40, Spot: rapid.Bool().Draw(t, "loaners"),
			Image: "i", ImageGB: 2, Spread: rapid.Bool().Draw(t, "spread"), OneZone: rapid.Bool().Draw(t, "one zone")}
		if rapid.Bool().Draw(t, "service") {
			j.Kind = workload.Service
		}
		request := func() *Request {
			return &Request{Job: j, Weight: 2, Estimate: 12 * s, Due: 30 * s, Count: 40, InZone: map[string]int{}, Pack: 2}
		}
		var got, want []Slot
		other := copyFleet(fleet)
		n := Place(request(), fleet, func(x Slot) { got = append(got, x) })
		m := plainPlace(request(), other, func(x Slot) { want = append(want, x) })
		if n != m {
			t.Fatalf("placed %d, the plain one %d", n, m)
		}
		for i := range got {
			if got[i].Machine.Index != want[i].Machine.Index || got[i].Start != want[i].Start || got[i].Length != want[i].Length {
				t.Fatalf("task %d: machine %d at %d, the plain one machine %d at %d", i, got[i].Machine.Index, got[i].Start,
					want[i].Machine.Index, want[i].Start)
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
			m := machine(i, i%2 == 0, micros.Time(i%40+1)*s)
			fleet = append(fleet, m)
		}
		placed := 0
		for range 20 {
			j := &workload.Job{Resources: need(2), Tasks: 100, Spot: true}
			placed += Place(&Request{Job: j, Weight: 2, Estimate: 20 * s, Due: 60 * s, Count: 100, InZone: map[string]int{}}, fleet, func(Slot) {})
		}
		if placed != 2000 {
			b.Fatal(placed)
		}
	}
}
