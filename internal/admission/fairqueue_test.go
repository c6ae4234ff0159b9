package admission

import (
	"fmt"
	"testing"

	"pipitlatch/internal/micros"
)

// TestFairQueue checks the lags of a flow that uses everything, of one that gets nothing, and of one
// that starts to wait later; that lags are capped; and that the next partition leader continues from
// the lags handed over to it.
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
		t.Errorf("lag after 50 s without service: %v", lag)
	}
	if lag := q.Lag(high).Team; lag > -49*micros.Second {
		t.Errorf("lag of the flow that uses everything: %v", lag)
	}
	// The lag is capped, and a flow that starts to wait later has no lag.
	play(q, 50*micros.Second, 400*micros.Second, Load{high, 8000, true}, Load{low, 0, true})
	if lag := q.Lag(low).Team; lag > 2*bound+micros.Second {
		t.Errorf("lag after 400 s without service: %v", lag)
	}
	three := []Load{{high, 8000, true}, {low, 0, true}, {late, 0, true}}
	q.Advance(400*micros.Second+1, three)
	if lag := q.Lag(late); lag != (Lag{}) {
		t.Errorf("lag of a new flow: %v", lag)
	}
	// The next partition leader continues from the lags handed over to it.
	q.Advance(401*micros.Second, three)
	next := NewFairQueue(0, 2, bound, &Settings{})
	next.Restore(0, q.Lags())
	if a, b := q.Lag(low), next.Lag(low); a != b {
		t.Errorf("lag %v, restored %v", a, b)
	}
	next.Advance(0, three)
	next.Advance(100*micros.Millisecond, three)
	if a, b := q.Lag(low).Team, next.Lag(low).Team; a < bound || b < a-2*micros.Second || b > a+2*micros.Second {
		t.Errorf("lag %v, under the next partition leader %v", a, b)
	}
}

// TestMadeUpClassesGainNoShare checks that a team gains nothing by inventing classes: its classes share
// what the team uses.
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
		t.Errorf("the team uses its share of one half, but its lag is %v", lag)
	}
	if lag := q.Lag(Flow{"beta", "idle"}); lag.Class < 29*micros.Second || lag.Class > 31*micros.Second {
		t.Errorf("lag of a class after 30 s without service: %v", lag)
	}
	if lag := q.Lag(Flow{"beta", "c1"}); lag.Class > -6*micros.Second {
		t.Errorf("lag of a class that uses a quarter of its team's use instead of a fifth: %v", lag)
	}
}

// TestWeights checks that a team of three times the weight has no lag at three times the use.
func TestWeights(t *testing.T) {
	q := NewFairQueue(0, 2, 60*micros.Second, &Settings{Teams: map[string]int64{"alpha": 3}})
	for now := micros.Time(0); now <= 30*micros.Second; now += 100 * micros.Millisecond {
		q.Advance(now, []Load{{Flow{"alpha", "a"}, 6000, true}, {Flow{"beta", "b"}, 2000, true}})
	}
	for _, f := range []Flow{{"alpha", "a"}, {"beta", "b"}} {
		if lag := q.Lag(f).Team; lag < -micros.Second || lag > micros.Second {
			t.Errorf("%v: lag %v, want at most 1 s either way", f, lag)
		}
	}
}
