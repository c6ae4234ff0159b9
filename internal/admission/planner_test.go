package admission

import (
	"fmt"
	"testing"

	"pipitlatch/internal/micros"
)

// TestPlannerOnlyUnderOverload: no epoch without refusals, none where there is room for all,
// one after the other while there is not, and none for long once there is again.
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
		t.Fatalf("%d epochs without an overload", written)
	}
	for range 40 {
		step(demand(1000, 5))
	}
	if written < 9 || written > 11 {
		t.Errorf("%d epochs in 40 s of overload", written)
	}
	e := v.Current(now)
	if e == nil || e.Windows[Flow{"alpha", "short"}.Key()].Width > Points/20 {
		t.Fatalf("%+v", e)
	}
	for range 40 {
		step(demand(5, 0))
	}
	if v.Current(now) != nil {
		t.Error("an epoch is in force long after the overload")
	}
}

// TestGroupBounds: every flow falls under a window of the record, each team's largest flow has
// one of its own as long as there is room, and the record stays within its bound.
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
			t.Errorf("%d windows: %d used, demand %d", most, own, demand)
		}
		if quiet := shares[Flow{"beta", "quiet"}]; most >= 4 && quiet.width() != Points {
			t.Errorf("%d windows: the quiet team's flow is under another's: %+v", most, quiet)
		}
	}
}
