package admission

import (
	"fmt"
	"testing"

	"pipitlatch/internal/micros"
)

// TestPlannerOnlyUnderOverload checks that no epoch is written without refusals or while the capacity
// covers the demand, that epochs follow each other during an overload, and that none is in force some
// time after it.
func TestPlannerOnlyUnderOverload(t *testing.T) {
	p := NewPlanner(Settings{Length: 4 * micros.Second, FloorPercent: 25, MaxWindows: 8})
	var v View
	now, wall, written := 100*micros.Second, 1000*micros.Second, 0
	step := func(d Demand) {
		now, wall = now+micros.Second, wall+micros.Second
		e := p.Next(&v, Situation{Now: now, Wall: wall, Leader: 3, Demand: d, Capacity: 10_000})
		if e == nil {
			return
		}
		written++
		p.Written(now)
		if err := v.Observe(encode(t, e), now, now, wall, 0); err != nil {
			t.Fatal(err)
		}
	}
	demand := func(n, refused int) Demand {
		tracker := NewTracker(2)
		for i := range n {
			tracker.Asked(now, Flow{"alpha", "short"}, fmt.Sprintf("wk-%06d", i))
		}
		for range refused {
			tracker.Refused(now)
		}
		return tracker.Demand(now)
	}
	for range 20 {
		step(demand(1000, 0))
	}
	for range 20 {
		step(demand(20, 5))
	}
	if written != 0 {
		t.Fatalf("%d epochs written without an overload", written)
	}
	for range 40 {
		step(demand(1000, 5))
	}
	if written < 9 || written > 11 {
		t.Errorf("%d epochs written in 40 s of overload, want 9 to 11", written)
	}
	e := v.Current(now)
	if e == nil || e.Windows[Flow{"alpha", "short"}.Key()].Width > Points/20 {
		t.Fatalf("epoch %+v, want a window of at most a twentieth of the ring", e)
	}
	for range 40 {
		step(demand(5, 0))
	}
	if v.Current(now) != nil {
		t.Error("an epoch is still in force 40 s after the overload")
	}
}

// TestGroupBounds checks that every flow is covered by a window, that the record stays within the
// maximum number of windows, and that, with at least four windows, a team with little demand shares
// none with a team that has many flows.
func TestGroupBounds(t *testing.T) {
	var claims []Claim
	var grants []int64
	for i := range 400 {
		claims = append(claims, Claim{Flow{"alpha", fmt.Sprint("made-up-", i)}, 1, 1, int64(100 + i)})
		grants = append(grants, 1)
	}
	claims, grants = append(claims, Claim{Flow{"beta", "quiet"}, 1, 1, 5}), append(grants, 5)
	for _, most := range []int{1, 2, 3, 30, 134, 1000} {
		shares := groupByWindow(claims, grants, most)
		demand, own := int64(0), 0
		for f, share := range shares {
			demand += share.demand
			if f != Rest {
				own++
			}
		}
		if demand != 400*100+400*399/2+5 || own > most {
			t.Errorf("at most %d windows: %d used, total demand %d", most, own, demand)
		}
		if quiet := shares[Flow{"beta", "quiet"}]; most >= 4 && quiet.width() != Points {
			t.Errorf("at most %d windows: the flow of team beta is not fully admitted: %+v", most, quiet)
		}
	}
}
