package micros

import (
	"math"
	"testing"
	"time"
)

func TestFromSecondsRoundsToTheNearestMicrosecond(t *testing.T) {
	for _, test := range []struct {
		name    string
		seconds float64
		want    Time
	}{
		{"zero", 0, 0},
		{"whole", 2, 2 * Second},
		{"fraction", 1.5, 1500 * Millisecond},
		{"not exact in binary", 0.1, 100 * Millisecond},
		{"below half is rounded down", 0.0000014, 1},
		{"half is rounded away from zero", 0.0000005, 1},
		{"negative", -0.25, -250 * Millisecond},
		{"a year", 365 * 86400, 365 * 86400 * Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := FromSeconds(test.seconds); got != test.want {
				t.Errorf("FromSeconds(%v): got %d, want %d", test.seconds, got, test.want)
			}
		})
	}
}

func TestSecondsIsTheInverseOfFromSeconds(t *testing.T) {
	for _, at := range []Time{0, 1, -1, 999_999, 1_000_001, 12_345_678_901_234} {
		if got := FromSeconds(Seconds(at)); got != at {
			t.Errorf("%d: got %d", at, got)
		}
	}
}

func TestDuration(t *testing.T) {
	for at, want := range map[Time]time.Duration{
		0:                    0,
		1:                    time.Microsecond,
		1500 * Millisecond:   1500 * time.Millisecond,
		-2 * Second:          -2 * time.Second,
		86400 * 365 * Second: 365 * 24 * time.Hour,
	} {
		if got := Duration(at); got != want {
			t.Errorf("Duration(%d): got %v, want %v", at, got, want)
		}
	}
}

// TestMaxLeavesRoomForSums guards against overflow: comparisons add instants to Max and to each
// other.
func TestMaxLeavesRoomForSums(t *testing.T) {
	if sum := uint64(Max) * 3; sum > math.MaxInt64 {
		t.Errorf("3 times Max overflows: %d", sum)
	}
	if century := 100 * 365 * 86400 * Second; Max < 10*century {
		t.Errorf("Max is less than ten centuries: %d", Max)
	}
}
