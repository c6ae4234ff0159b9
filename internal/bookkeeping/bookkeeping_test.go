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
		for c := 0; c*ChunkTasks < size; c++ {
			text := set.Ranges(c)
			if len(text) > 5*ChunkTasks {
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
