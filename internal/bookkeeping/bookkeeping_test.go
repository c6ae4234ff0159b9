package bookkeeping

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRangesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 3*ChunkTasks).Draw(t, "size")
		set := NewTaskSet(size)
		for _, i := range rapid.SliceOf(rapid.IntRange(0, size-1)).Draw(t, "members") {
			set.Add(i)
		}
		got := NewTaskSet(size)
		parts := rapid.Bool().Draw(t, "parts")
		for unit := Unit(0, parts); unit <= Unit(size-1, parts); unit++ {
			c := unit
			text := set.Ranges(c)
			if most := ChunkBytes; len(text) > most {
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
		if NewTaskSet(2000).AddRanges(0, text) == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

func TestRunTimesCorrectEstimates(t *testing.T) {
	r := NewRunTimes()
	j := &Job{Class: "c", Estimate: 10_000_000}
	for range enough - 1 {
		r.Observe("c", 10_000_000, 25_000_000)
	}
	if got := r.Corrected(j); got != j.Estimate {
		t.Errorf("too few observations changed the estimate to %d", got)
	}
	r.Observe("c", 10_000_000, 25_000_000)
	if got := r.Corrected(j); got < 24_500_000 || got > 25_500_000 {
		t.Errorf("corrected estimate %d, want 25 s", got)
	}
}

// TestWorstRanges: with every third task missing the text is longest.
func TestWorstRanges(t *testing.T) {
	for period := 2; period <= 5; period++ {
		set := NewTaskSet(2 * ChunkTasks)
		for i := range 2 * ChunkTasks {
			if i%period != period-1 {
				set.Add(i)
			}
		}
		for unit, most := range map[int]int{0: ChunkBytes, 1: ChunkBytes, Unit(0, true): 800, Unit(2*ChunkTasks-1, true): 800} {
			if n := len(set.Ranges(unit)); n == 0 || n+2 > most {
				t.Errorf("every %dth missing: unit %d takes %d bytes", period, unit, n)
			}
		}
	}
}
