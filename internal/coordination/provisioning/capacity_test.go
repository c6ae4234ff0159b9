package provisioning

import (
	"testing"

	"pipitlatch/internal/micros"
)

var testKind = InstanceKind{InstanceType: "m", Zone: "a"}

type events = []func(*CapacityTracker)

// exhausted records the exhaustion of testKind at time 0.
func exhausted(t *CapacityTracker) { t.Exhausted(testKind, 0) }

func granted(count int) func(*CapacityTracker) {
	return func(t *CapacityTracker) { t.Granted(testKind, count) }
}

func terminated(t *CapacityTracker) { t.Terminated(testKind) }

var limitCases = []struct {
	name   string
	events events
	now    micros.Time
	want   int
}{
	{"unknown kind", nil, 0, Unlimited},
	{"granted", events{granted(3)}, 0, Unlimited},
	{"terminated while not exhausted", events{terminated}, 0, Unlimited},
	{"just exhausted", events{exhausted}, 0, 0},
	{"exhausted, just before the end of the backoff", events{exhausted}, minBackoff - 1, 0},
	{"exhausted, after the backoff", events{exhausted}, minBackoff, probeCount},
	{"second backoff is twice as long", events{exhausted, exhausted}, 2*minBackoff - 1, 0},
	{"after the second backoff", events{exhausted, exhausted}, 2 * minBackoff, probeCount},
	{"maximum backoff", events{exhausted, exhausted, exhausted, exhausted}, maxBackoff - 1, 0},
	{"after the maximum backoff", events{exhausted, exhausted, exhausted, exhausted}, maxBackoff, probeCount},
	{"instances terminated since may be requested at once", events{exhausted, terminated, terminated}, 0, 2},
	{"only those after the backoff", events{exhausted, terminated}, minBackoff, 1},
	{"granted instances are subtracted", events{exhausted, terminated, terminated, granted(1)}, 0, 1},
	{"unlimited once all terminated instances were granted",
		events{exhausted, terminated, terminated, granted(2)}, 0, Unlimited},
	{"unlimited after a granted probe", events{exhausted, granted(probeCount)}, 0, Unlimited},
	{"a grant resets the backoff", events{exhausted, exhausted, granted(1), exhausted},
		minBackoff, probeCount},
	{"exhaustion discards earlier terminations", events{exhausted, terminated, exhausted}, 0, 0},
}

func TestCapacityTrackerLimit(t *testing.T) {
	for _, test := range limitCases {
		t.Run(test.name, func(t *testing.T) {
			tracker := NewCapacityTracker()
			for _, event := range test.events {
				event(tracker)
			}
			if got := tracker.Limit(testKind, test.now); got != test.want {
				t.Errorf("Limit = %d, want %d", got, test.want)
			}
			for _, other := range []InstanceKind{{"m", "a", true}, {"m", "b", false}, {"n", "a", false}} {
				if got := tracker.Limit(other, test.now); got != Unlimited {
					t.Errorf("Limit of other kind %v = %d, want Unlimited", other, got)
				}
			}
		})
	}
}
