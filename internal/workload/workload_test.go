package workload

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRangesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 3*LargeSegmentTasks).Draw(t, "size")
		set := NewBitmap(size)
		for _, i := range rapid.SliceOf(rapid.IntRange(0, size-1)).Draw(t, "members") {
			set.Add(i)
		}
		got := NewBitmap(size)
		parts := rapid.Bool().Draw(t, "parts")
		for unit := Segment(0, parts); unit <= Segment(size-1, parts); unit++ {
			c := unit
			text := set.Ranges(c)
			if most := LargeSegmentBytes; len(text) > most {
				t.Fatalf("ranges of %d bytes", len(text))
			}
			if err := got.AddRanges(c, text); err != nil {
				t.Fatal(err)
			}
		}
		for i := range size {
			if got.Has(i) != set.Has(i) {
				t.Fatalf("task %d: %v, want %v", i, got.Has(i), set.Has(i))
			}
		}
		if got.Len() != set.Len() {
			t.Fatalf("%d members, want %d", got.Len(), set.Len())
		}
	})
}

func TestBadRanges(t *testing.T) {
	for _, text := range []string{"x", "3-1", "-1", "1024", "5-", "0,,1"} {
		if NewBitmap(2000).AddRanges(0, text) == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

func TestRunTimesCorrectEstimates(t *testing.T) {
	r := NewRuntimeStats()
	j := &Job{Class: "c", Estimate: 10_000_000}
	for range minObservations - 1 {
		r.Observe("c", 10_000_000, 25_000_000)
	}
	if got := r.Estimate(j); got != j.Estimate {
		t.Errorf("too few observations changed the estimate to %d", got)
	}
	r.Observe("c", 10_000_000, 25_000_000)
	if got := r.Estimate(j); got < 24_500_000 || got > 25_500_000 {
		t.Errorf("corrected estimate %d, want 25 s", got)
	}
}

// TestWorstRanges: with every third task missing the text is longest.
func TestWorstRanges(t *testing.T) {
	for period := 2; period <= 5; period++ {
		set := NewBitmap(2 * LargeSegmentTasks)
		for i := range 2 * LargeSegmentTasks {
			if i%period != period-1 {
				set.Add(i)
			}
		}
		for unit, most := range map[int]int{0: LargeSegmentBytes, 1: LargeSegmentBytes, Segment(0, true): 800, Segment(2*LargeSegmentTasks-1, true): 800} {
			if n := len(set.Ranges(unit)); n == 0 || n+2 > most {
				t.Errorf("every %dth missing: unit %d takes %d bytes", period, unit, n)
			}
		}
	}
}
