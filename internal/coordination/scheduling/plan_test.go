package scheduling

import (
	"math"
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const s = micros.Second

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*max(1, math.Abs(want)) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestSlackEquation2(t *testing.T) {
	if got := Slack(100*s, 30*s, 50*s); got != 20*s {
		t.Errorf("slack: got %d", got)
	}
	if got := Slack(70*s, 30*s, 50*s); got != 0 {
		t.Errorf("slack of a late task: got %d", got)
	}
}

func TestIndexEquations3And4(t *testing.T) {
	// w 2, p 20 s, d 100 s, t 40 s: slack 40 s; K1 5, p_avg 10 s: exp(-40/50).
	near(t, "index", Index(2, 20*s, 100*s, 40*s, 5, 10*s), 0.1*0.44932896411722156)
	// No slack left: weighted shortest processing time, equation 3.
	near(t, "late index", Index(2, 20*s, 50*s, 40*s, 5, 10*s), 0.1)
}

func TestLookAheadEquation7(t *testing.T) {
	for r, want := range map[float64]float64{0: 4.5, 0.25: 4.75, 0.5: 5, 0.75: 4.5, 1: 4} {
		near(t, "K1", LookAhead(r), want)
	}
}

func TestRankEquations5And6(t *testing.T) {
	// C_max = 2*10 + 1*20 = 40 s, R = (70-60)/40 = 0.25, K1 = 4.75, p_avg = 40/3 s.
	a := &Queued{Weight: 2, Estimate: 10 * s, Due: 60 * s, Count: 2}
	b := &Queued{Weight: 4, Estimate: 20 * s, Due: 70 * s, Count: 1}
	Rank([]*Queued{a, b}, 0)
	avg := 13.333333 // whole microseconds
	near(t, "a", a.Index, 0.2*math.Exp(-50/(4.75*avg)))
	near(t, "b", b.Index, 0.2*math.Exp(-50/(4.75*avg)))
	// Widely spread due dates: R is clamped to 1, K1 = 4.
	b.Due = 1000 * s
	Rank([]*Queued{a, b}, 0)
	near(t, "a, R clamped", a.Index, 0.2*math.Exp(-50/(4*avg)))
}

func TestTardinessEquation8(t *testing.T) {
	near(t, "late", Tardiness(4, 70*s, 60*s), 40)
	near(t, "early", Tardiness(4, 50*s, 60*s), 0)
	// Taken with probability 1-exp(-0.01*20): then 10 s later, 20 s after the due date.
	near(t, "expected", expectedTardiness(1, 70*s, 60*s, 20*s, 0.01), 10+(1-math.Exp(-0.2))*10)
}

func need(cpu int64) workload.Resources { return workload.Resources{CPU: cpu * 1000, Mem: 1000} }

func TestTimelineGaps(t *testing.T) {
	tl := NewTimeline(0, need(8))
	tl.steps[0].free.Mem = 64_000
	tl.Reserve(need(6), 0, 10*s)       // 2 free until 10
	tl.Reserve(need(4), 20*s, 10*s)    // 8 free 10..20, 4 free 20..30
	tl.Reserve(need(8), 40*s, Forever) // none from 40 on
	for _, c := range []struct {
		cpu        int64
		from, long micros.Time
		want       micros.Time
		ok         bool
	}{
		{2, 0, 40 * s, 0, true},
		{2, 0, 41 * s, 0, false},
		{4, 0, 30 * s, 10 * s, true},
		{8, 0, 10 * s, 10 * s, true},
		{8, 0, 11 * s, 0, false},
		{8, 15 * s, 5 * s, 15 * s, true},
		{8, 16 * s, 5 * s, 30 * s, true},
		{1, 0, Forever, 0, false},
	} {
		got, ok := tl.Gap(need(c.cpu), c.from, c.long)
		if ok != c.ok || (ok && got != c.want) {
			t.Errorf("gap for %d CPUs, %d s from %d s: got %d %v, want %d %v", c.cpu, c.long/s, c.from/s, got/s, ok, c.want/s, c.ok)
		}
	}
}

func machine(key int, spot bool, busyUntil micros.Time) *Machine {
	kind := &workload.InstanceType{Name: "m", Capacity: workload.Resources{CPU: 8000, Mem: 64_000}, FetchGBps: 0.5}
	m := &Machine{Index: key, Type: kind, Zone: "a", Spot: spot, Timeline: NewTimeline(0, kind.Capacity), HasImage: func(string) bool { return true }, Slowness: 1, Up: true}
	if busyUntil > 0 {
		m.Timeline.Reserve(need(8), 0, busyUntil)
	}
	return m
}

func place(j *workload.Job, p, due micros.Time, count int, ms ...*Machine) (slots []Slot, placed int) {
	placed = Place(&Request{Job: j, Weight: 2, Estimate: p, Due: due, Count: count, InZone: map[string]int{}}, ms, func(x Slot) { slots = append(slots, x) })
	return slots, placed
}

func TestPlaceTakesTheLeastTardyGap(t *testing.T) {
	j := &workload.Job{Resources: need(8), Tasks: 9, Spot: true}
	// Machine 1 is free at 30 s, machine 2 at 12 s: 5 s late against 23 s late.
	slots, _ := place(j, 10*s, 17*s, 1, machine(1, false, 30*s), machine(2, false, 12*s))
	if slots[0].Machine.Index != 2 || slots[0].Start != 12*s {
		t.Errorf("got machine %d at %d s", slots[0].Machine.Index, slots[0].Start/s)
	}
	near(t, "tardiness", slots[0].Tardiness, 10)
	// No gap at all: it waits.
	full := machine(1, false, 0)
	full.Timeline.Reserve(need(1), 0, Forever)
	if _, placed := place(j, 10*s, 20*s, 1, full); placed != 0 {
		t.Errorf("placed %d without a gap", placed)
	}
}

func TestPlaceAvoidsSpotForTightTasks(t *testing.T) {
	j := &workload.Job{Resources: need(4), Tasks: 9, Spot: true}
	spot, ordinary := machine(1, true, 0), machine(2, false, 0)
	spot.LossRate = 0.01
	if slots, _ := place(j, 10*s, 11*s, 1, spot, ordinary); slots[0].Machine != ordinary {
		t.Error("a tight task went to a spot machine")
	}
	if slots, _ := place(j, 10*s, 100*s, 1, spot, ordinary); slots[0].Machine != spot {
		t.Error("a task with slack went to an ordinary machine")
	}
}

func TestPlaceKeepsConstraints(t *testing.T) {
	a, b := machine(1, false, 0), machine(2, true, 0)
	b.Zone = "b"
	if _, n := place(&workload.Job{Resources: need(4), Tasks: 4}, s, 9*s, 4, b); n != 0 {
		t.Error("a spot machine was used without leave")
	}
	if _, n := place(&workload.Job{Resources: need(1), Tasks: 5, Spread: true, Spot: true}, s, 9*s, 5, a); n != 3 {
		t.Errorf("spread: %d of 5 tasks in one zone, want 3", n)
	}
	slots, n := place(&workload.Job{Resources: need(4), Tasks: 4, OneZone: true, Spot: true}, s, 9*s, 4, a, b)
	for _, x := range slots {
		if x.Machine.Zone != slots[0].Machine.Zone {
			t.Error("one zone: tasks in two")
		}
	}
	if n == 0 {
		t.Error("one zone: nothing was placed")
	}
}
