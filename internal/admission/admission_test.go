package admission

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pipitlatch/internal/micros"
)

func encode(t testing.TB, e *Epoch) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func epochOf(number uint64, windows map[string]Window, rest Window) *Epoch {
	return &Epoch{
		Number:   number,
		Leader:   5,
		Written:  100 * micros.Second,
		Length:   4 * micros.Second,
		Validity: 12 * micros.Second,
		Windows:  windows,
		Rest:     rest,
	}
}

// TestWindowsCoverTheCircle: whatever the widths, windows that follow each other admit every
// reference within the epochs that the narrowest of them needs for the whole circle, and the
// turn that a refused one is promised is right as long as the widths stay.
func TestWindowsCoverTheCircle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		least := rapid.Uint32Range(Points/40, Points).Draw(t, "least")
		w := Window{Start: rapid.Uint32Range(0, Points-1).Draw(t, "start"), Width: least}
		ref := fmt.Sprintf("wk-%06d", rapid.IntRange(0, 999_999).Draw(t, "ref"))
		most := int(Points/least) + 1
		for range most {
			if !w.valid() {
				t.Fatalf("%+v", w)
			}
			if w.admits(position(ref)) {
				return
			}
			w = w.next(rapid.Uint32Range(least, Points).Draw(t, "width"))
		}
		t.Fatalf("%s not admitted in %d epochs", ref, most)
	})
}

func TestTurnIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Flow{"alpha", "short"}
		w := Window{
			Start: rapid.Uint32Range(0, Points-1).Draw(t, "start"),
			Width: rapid.Uint32Range(Points/20, Points/2).Draw(t, "width"),
		}
		w.Before = min(w.Width, Points-w.Width)
		ref := fmt.Sprintf("wk-%06d", rapid.IntRange(0, 999_999).Draw(t, "ref"))
		e := epochOf(1, map[string]Window{f.Key(): w}, w)
		if e.Admits(f, ref) {
			return
		}
		turn := e.Turn(f, ref)
		for n := micros.Time(1); ; n++ {
			w = w.next(w.Width)
			if epochOf(1, map[string]Window{f.Key(): w}, w).Admits(f, ref) {
				if turn < n*e.Length || turn > (n+1)*e.Length {
					t.Fatalf("admitted in epoch %d, told %d", n, turn)
				}
				return
			}
			if n > 30 {
				t.Fatal("never admitted")
			}
		}
	})
}

// TestSameVerdictEverywhere: two views that read the same record say the same of any job,
// whatever they knew before, and each flow of many falls under one window.
func TestSameVerdictEverywhere(t *testing.T) {
	e := epochOf(7, map[string]Window{
		Flow{"alpha", "short"}.Key(): {0, Points / 3, 0},
		Flow{"alpha", ""}.Key():      {100, Points / 2, 50},
	}, Window{5, Points / 10, 0})
	var a, b View
	wall := 100 * micros.Second
	if err := b.Observe(encode(t, epochOf(3, nil, Window{0, Points, 0})), 10, 20, wall, 0); err != nil {
		t.Fatal(err)
	}
	for _, v := range []*View{&a, &b} {
		if err := v.Observe(encode(t, e), 1000, 2000, wall, 0); err != nil {
			t.Fatal(err)
		}
	}
	admitted := 0
	for i := range 3000 {
		f, ref := Flow{[]string{"alpha", "beta"}[i%2], []string{"short", "long", "odd"}[i%3]}, fmt.Sprintf("wk-%06d", i)
		x, y := a.Verdict(3000, f, ref), b.Verdict(9000, f, ref)
		if x.Admit != y.Admit || x.Epoch != 7 || y.Epoch != 7 {
			t.Fatalf("%v %s: %+v %+v", f, ref, x, y)
		}
		if x.Admit {
			admitted++
		} else if x.Turn < micros.Second || x.Turn > MaxTurn {
			t.Fatalf("turn %d", x.Turn)
		}
	}
	if admitted < 300 || admitted > 1500 {
		t.Errorf("%d of 3000", admitted)
	}
}

func TestEpochEndsByItself(t *testing.T) {
	var v View
	record := encode(t, epochOf(1, nil, Window{0, 1, 0}))
	if err := v.Observe(record, 5*micros.Second, 6*micros.Second, 100*micros.Second, 0); err != nil {
		t.Fatal(err)
	}
	if v.Current(17*micros.Second-1) == nil || v.Current(17*micros.Second) != nil {
		t.Error("validity does not count from the sending of its read")
	}
	// Read again by a new watch: it gets no younger.
	if err := v.Observe(record, 16*micros.Second, 16*micros.Second, 111*micros.Second, 0); err != nil {
		t.Fatal(err)
	}
	if v.Current(18*micros.Second) != nil {
		t.Error("reading it again renews it")
	}
}

func TestBadEpochsAreIgnored(t *testing.T) {
	good := epochOf(4, nil, Window{0, Points / 2, 0})
	wall := 100 * micros.Second
	record := func(e *Epoch) string { return string(encode(t, e)) }
	withWindow := func(number uint64, rest Window) string { return record(epochOf(number, nil, rest)) }
	writtenBy := func(number, leader uint64, at micros.Time) string {
		e := epochOf(number, nil, Window{0, 1, 0})
		e.Leader, e.Written = leader, at
		return record(e)
	}
	beyondCircle := record(epochOf(5, map[string]Window{"x": {Points, 1, 0}}, Window{0, 1, 0}))
	forEver := strings.Replace(withWindow(5, Window{0, 1, 0}), `"v":12000000`, `"v":9000000000000`, 1)
	for name, c := range map[string]struct {
		raw  string
		want error
	}{
		"not JSON":       {`{"n":`, ErrMalformed},
		"another shape":  {`[1,2]`, ErrMalformed},
		"no number":      {withWindow(0, Window{0, 1, 0}), ErrMalformed},
		"no width":       {withWindow(5, Window{0, 0, 0}), ErrMalformed},
		"beyond circle":  {beyondCircle, ErrMalformed},
		"overlaps":       {withWindow(5, Window{0, Points, 1}), ErrMalformed},
		"for ever":       {forEver, ErrMalformed},
		"older number":   {withWindow(3, Window{0, 1, 0}), ErrContradictory},
		"same number":    {writtenBy(4, 5, wall+1), ErrContradictory},
		"older leader":   {writtenBy(9, 4, wall), ErrContradictory},
		"written before": {writtenBy(9, 6, wall-60*micros.Second), ErrStale},
	} {
		var v View
		if err := v.Observe(encode(t, good), 0, 0, wall, 0); err != nil {
			t.Fatal(err)
		}
		err := v.Observe(json.RawMessage(c.raw), micros.Second, micros.Second, wall, 0)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
		if e := v.Current(2 * micros.Second); e == nil || e.Number != 4 {
			t.Errorf("%s: the epoch before is not in force", name)
		}
	}
	var v View
	if err := v.Observe(encode(t, good), 0, 0, wall, 0); err != nil {
		t.Fatal(err)
	}
	if err := v.Observe(encode(t, epochOf(1, nil, Window{0, 1, 0})), 20e6, 20e6, wall, 0); err != nil {
		t.Errorf("a leader that lost count is ignored after the epoch ended: %v", err)
	}
}

func TestDivide(t *testing.T) {
	claim := func(team, class string, weight, demand int64) Claim {
		return Claim{Flow{team, class}, weight, 1, demand}
	}
	for name, c := range map[string]struct {
		capacity, floor int64
		claims          []Claim
		want            []int64
	}{
		"what one leaves, others get": {100, 0, []Claim{claim("a", "x", 1, 10), claim("b", "x", 1, 200),
			claim("c", "x", 1, 200)}, []int64{10, 45, 45}},
		"weights": {90, 0, []Claim{claim("a", "x", 2, 500), claim("b", "x", 1, 500)}, []int64{60, 30}},
		"made up classes gain nothing": {90, 0, []Claim{claim("a", "x", 1, 500), claim("a", "y", 1, 500),
			claim("a", "z", 1, 500), claim("b", "x", 1, 500)}, []int64{15, 15, 15, 45}},
		// What is left of b's weight beyond its floor is 1.
		"a floor":           {100, 20, []Claim{claim("a", "x", 1000, 5000), claim("b", "x", 1, 50)}, []int64{89, 11}},
		"room for all":      {1000, 25, []Claim{claim("a", "x", 1, 10), claim("b", "x", 1, 20)}, []int64{10, 20}},
		"nothing to divide": {0, 25, []Claim{claim("a", "x", 1, 10)}, []int64{0}},
	} {
		if got := Divide(c.capacity, c.floor, c.claims); fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(0, 1000).Draw(t, "capacity")
		var claims []Claim
		demand := int64(0)
		for i := range rapid.IntRange(1, 12).Draw(t, "flows") {
			c := Claim{
				Flow:        Flow{fmt.Sprint(i % 4), fmt.Sprint(i)},
				TeamWeight:  rapid.Int64Range(1, 9).Draw(t, "team"),
				ClassWeight: rapid.Int64Range(1, 9).Draw(t, "class"),
				Demand:      rapid.Int64Range(1, 400).Draw(t, "demand"),
			}
			claims = append(claims, c)
			demand += c.Demand
		}
		sum := int64(0)
		for i, n := range Divide(capacity, 25, claims) {
			if n < 0 || n > claims[i].Demand {
				t.Fatalf("claim %d gets %d of %d", i, n, claims[i].Demand)
			}
			sum += n
		}
		if sum > capacity || sum < min(capacity, demand)-int64(len(claims)) {
			t.Fatalf("%d of %d given, %d asked for", sum, capacity, demand)
		}
	})
}

// TestDemandCountsReferencesOnce: repeats, at one controller or at several, are one job.
func TestDemandCountsReferencesOnce(t *testing.T) {
	f := Flow{"alpha", "short"}
	var all []Demand
	for range 3 {
		tracker := NewTracker(2)
		for i := range 1000 {
			for range 4 {
				tracker.Asked(micros.Second, f, fmt.Sprintf("wk-%06d", i))
			}
		}
		all = append(all, tracker.Demand(2*micros.Second))
	}
	d := Merge(all)
	if n := d.Flows[0].Waiting(); len(d.Flows) != 1 || n < 900 || n > 1100 {
		t.Errorf("%d flows, %d waiting", len(d.Flows), n)
	}
	raw, err := EncodeSketch(d.Flows[0].Asked)
	if err != nil || len(raw) > 1100 {
		t.Fatal(len(raw), err)
	}
	if got, err := DecodeSketch(raw); err != nil || got.Estimate() != d.Flows[0].Asked.Estimate() {
		t.Error(err)
	}
	if _, err := DecodeSketch(raw[:len(raw)/2]); err == nil {
		t.Error("half a sketch is read")
	}
	tracker := NewTracker(2)
	tracker.Asked(micros.Second, f, "wk-000001")
	if n := len(tracker.Demand(100 * micros.Second).Flows); n != 0 {
		t.Errorf("%d flows long after", n)
	}
}

// TestMadeUpClassesAreBounded: what one team makes up takes no entry of others, and no memory
// without bound.
func TestMadeUpClassesAreBounded(t *testing.T) {
	for _, teams := range []int{2, 300} {
		tracker := NewTracker(teams)
		for i := range 5000 {
			tracker.Asked(micros.Second, Flow{"alpha", fmt.Sprint("made-up-", i)}, fmt.Sprintf("wk-%06d", i))
		}
		for i := 1; i < teams; i++ {
			tracker.Asked(micros.Second, Flow{fmt.Sprint("team-", i), "short"}, fmt.Sprintf("wk-1%05d", i))
		}
		d := tracker.Demand(2 * micros.Second)
		if len(d.Flows) > MaxFlows {
			t.Errorf("%d teams: %d flows", teams, len(d.Flows))
		}
		found := false
		for _, f := range d.Flows {
			found = found || f.Flow == Flow{"team-1", "short"}
		}
		if !found {
			t.Errorf("%d teams: another team has no entry", teams)
		}
	}
}

func TestFairQueue(t *testing.T) {
	bound := 60 * micros.Second
	high, low, late := Flow{"alpha", "high"}, Flow{"beta", "low"}, Flow{"gamma", "new"}
	play := func(q *FairQueue, from, to micros.Time, loads ...Load) {
		for now := from; now <= to; now += 100 * micros.Millisecond {
			q.Advance(now, loads)
		}
	}
	q := NewFairQueue(0, 2, bound, &Settings{})
	play(q, 0, 50*micros.Second, Load{high, 8000, true}, Load{low, 0, true})
	if lag := q.Lag(low).Team; lag < 49*micros.Second || lag > 51*micros.Second {
		t.Errorf("starved for 50 s: %v", lag)
	}
	if lag := q.Lag(high).Team; lag > -49*micros.Second {
		t.Errorf("has all: %v", lag)
	}
	// What it missed is not remembered without end, and a flow that comes later has missed nothing.
	play(q, 50*micros.Second, 400*micros.Second, Load{high, 8000, true}, Load{low, 0, true})
	if lag := q.Lag(low).Team; lag > 2*bound+micros.Second {
		t.Errorf("starved for 400 s: %v", lag)
	}
	three := []Load{{high, 8000, true}, {low, 0, true}, {late, 0, true}}
	q.Advance(400*micros.Second+1, three)
	if lag := q.Lag(late); lag != (Lag{}) {
		t.Errorf("just came: %v", lag)
	}
	// The next partition leader goes on from the lags that it received.
	q.Advance(401*micros.Second, three)
	next := NewFairQueue(0, 2, bound, &Settings{})
	next.Restore(0, q.Lags())
	if a, b := q.Lag(low), next.Lag(low); a != b {
		t.Errorf("lag %v, restored %v", a, b)
	}
	next.Advance(0, three)
	next.Advance(100*micros.Millisecond, three)
	if a, b := q.Lag(low).Team, next.Lag(low).Team; a < bound || b < a-2*micros.Second || b > a+2*micros.Second {
		t.Errorf("lag %v, with the next leader %v", a, b)
	}
}

// TestMadeUpClassesGainNoShare: a team's classes share what the team has.
func TestMadeUpClassesGainNoShare(t *testing.T) {
	q := NewFairQueue(0, 2, 60*micros.Second, &Settings{})
	loads := []Load{{Flow{"alpha", "one"}, 4000, true}, {Flow{"beta", "idle"}, 0, true}}
	for i := range 4 {
		loads = append(loads, Load{Flow{"beta", fmt.Sprint("c", i)}, 1000, true})
	}
	for now := micros.Time(0); now <= 30*micros.Second; now += 100 * micros.Millisecond {
		q.Advance(now, loads)
	}
	if lag := q.Lag(Flow{"alpha", "one"}); lag.Team < -micros.Second || lag.Team > micros.Second {
		t.Errorf("half each, but behind by %v", lag)
	}
	if lag := q.Lag(Flow{"beta", "idle"}); lag.Class < 29*micros.Second || lag.Class > 31*micros.Second {
		t.Errorf("starved within its team for 30 s: %v", lag)
	}
	if lag := q.Lag(Flow{"beta", "c1"}); lag.Class > -6*micros.Second {
		t.Errorf("a quarter of the team's instead of a fifth: %v", lag)
	}
}

// TestWeights: a team of three times the weight is served when it has three times as much.
func TestWeights(t *testing.T) {
	q := NewFairQueue(0, 2, 60*micros.Second, &Settings{Teams: map[string]int64{"alpha": 3}})
	for now := micros.Time(0); now <= 30*micros.Second; now += 100 * micros.Millisecond {
		q.Advance(now, []Load{{Flow{"alpha", "a"}, 6000, true}, {Flow{"beta", "b"}, 2000, true}})
	}
	for _, f := range []Flow{{"alpha", "a"}, {"beta", "b"}} {
		if lag := q.Lag(f).Team; lag < -micros.Second || lag > micros.Second {
			t.Errorf("%v is behind by %v", f, lag)
		}
	}
}

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
