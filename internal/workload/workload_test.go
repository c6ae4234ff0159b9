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
		small := rapid.Bool().Draw(t, "small segments")
		for segment := Segment(0, small); segment <= Segment(size-1, small); segment++ {
			text := set.Ranges(segment)
			if len(text) > LargeSegmentBytes {
				t.Fatalf("ranges of %d bytes", len(text))
			}
			if err := got.AddRanges(segment, text); err != nil {
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
			t.Errorf("invalid ranges %q were accepted", text)
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

// TestWorstRanges guards against completed tasks that exceed the size bound of their record. The
// encoded text is longest with every third task missing.
func TestWorstRanges(t *testing.T) {
	for period := 2; period <= 5; period++ {
		set := NewBitmap(2 * LargeSegmentTasks)
		for i := range 2 * LargeSegmentTasks {
			if i%period != period-1 {
				set.Add(i)
			}
		}
		const maxSmallSegmentBytes = 800
		for segment, most := range map[int]int{
			0:                                    LargeSegmentBytes,
			1:                                    LargeSegmentBytes,
			Segment(0, true):                     maxSmallSegmentBytes,
			Segment(2*LargeSegmentTasks-1, true): maxSmallSegmentBytes,
		} {
			if n := len(set.Ranges(segment)); n == 0 || n+2 > most {
				t.Errorf("every %dth missing: segment %d takes %d bytes", period, segment, n)
			}
		}
	}
}

func TestResourcesCount(t *testing.T) {
	tests := map[string]struct {
		each, available Resources
		want            int64
	}{
		"the scarcest resource decides":  {Resources{CPU: 2, Mem: 4}, Resources{CPU: 10, Mem: 8}, 2},
		"what is not needed is no limit": {Resources{CPU: 2}, Resources{CPU: 10}, 5},
		"overdrawn resources hold none":  {Resources{CPU: 2}, Resources{CPU: -1}, 0},
		"nothing needed":                 {Resources{}, Resources{}, maxCount},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.each.Count(test.available); got != test.want {
				t.Errorf("%d fit, want %d", got, test.want)
			}
		})
	}
}

func TestQuotas(t *testing.T) {
	team := Team{GuaranteeCPU: 4000, LimitCPU: 8000, LimitGPU: -1}
	array := Job{Kind: Array, Tasks: 10, Resources: Resources{CPU: 2000}}
	service := Job{Kind: Service, Tasks: 10, Resources: Resources{CPU: 2000}}
	if !team.CanEverRun(&array) {
		t.Error("an array of which one task fits the limit is reported as unable to run")
	}
	if team.CanEverRun(&service) {
		t.Error("a service whose replicas together exceed the limit is reported as able to run")
	}
	if !team.WithinGuarantee(Resources{CPU: 4000}) || team.WithinGuarantee(Resources{CPU: 4001}) {
		t.Error("the guaranteed quota is not 4 CPUs")
	}
	if !team.WithinLimit(Resources{CPU: 8000, GPU: 1 << 40}) || team.WithinLimit(Resources{CPU: 8001}) {
		t.Error("the quota limit is not 8 CPUs and any number of GPUs")
	}
}
