package scheduling

import (
	"math"
	"testing"

	"pipitlatch/internal/micros"
)

const s = micros.Second

func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*max(1, math.Abs(want)) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestSlackEquation2(t *testing.T) {
	for _, c := range []struct {
		name                           string
		due, processingTime, now, want micros.Time
	}{
		{"time left", 100 * s, 30 * s, 50 * s, 20 * s},
		{"no slack for a late task", 70 * s, 30 * s, 50 * s, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Slack(c.due, c.processingTime, c.now); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

func TestIndexEquations3And4(t *testing.T) {
	for _, c := range []struct {
		name string
		due  micros.Time
		want float64
	}{
		// w 2, p 20 s, d 100 s, t 40 s: slack 40 s; K1 5, p_avg 10 s: exp(-40/50).
		{"with slack", 100 * s, 0.1 * 0.44932896411722156},
		{"without slack: weighted shortest processing time", 50 * s, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertNear(t, "index", Index(2, 20*s, c.due, 40*s, 5, 10*s), c.want)
		})
	}
}

func TestLookAheadEquation7(t *testing.T) {
	for dueDateRange, want := range map[float64]float64{0: 4.5, 0.25: 4.75, 0.5: 5, 0.75: 4.5, 1: 4} {
		assertNear(t, "K1", LookAhead(dueDateRange), want)
	}
}

func TestRankEquations5And6(t *testing.T) {
	const mean = 13.333333 // p_avg = 40/3 s, in whole microseconds
	for _, c := range []struct {
		name      string
		latestDue micros.Time
		wantA     float64
		wantB     float64
	}{
		{name: "due date range factor 0.25", latestDue: 70 * s,
			// C_max = 2*10 + 1*20 = 40 s, R = (70-60)/40 = 0.25, K1 = 4.75.
			wantA: 0.2 * math.Exp(-50/(4.75*mean)), wantB: 0.2 * math.Exp(-50/(4.75*mean))},
		{name: "due date range factor clamped to 1", latestDue: 1000 * s,
			wantA: 0.2 * math.Exp(-50/(4*mean)), wantB: 0.2 * math.Exp(-980/(4*mean))},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &QueuedJob{Weight: 2, Estimate: 10 * s, Due: 60 * s, Count: 2}
			b := &QueuedJob{Weight: 4, Estimate: 20 * s, Due: c.latestDue, Count: 1}
			Rank([]*QueuedJob{a, b}, 0)
			assertNear(t, "a", a.Index, c.wantA)
			assertNear(t, "b", b.Index, c.wantB)
		})
	}
}

func TestTardinessEquation8(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		{"late", Tardiness(4, 70*s, 60*s), 40},
		{"early", Tardiness(4, 50*s, 60*s), 0},
		// The machine is lost with probability 1-exp(-0.01*20); the task then ends 10 s later, 20 s
		// after its due date.
		{"with machine loss rate", expectedTardiness(1, 70*s, 60*s, 20*s, 0.01), 10 + (1-math.Exp(-0.2))*10},
	} {
		t.Run(c.name, func(t *testing.T) { assertNear(t, "tardiness", c.got, c.want) })
	}
}
