package provisioning

import (
	"testing"

	"pipitlatch/internal/micros"
)

var testKind = InstanceKind{InstanceType: "m", Zone: "a"}

type events = []func(*CapacityTracker)

// exhausted is the cloud's running out of the kind, at time zero.
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
	{"a kind that nothing is known of", nil, 0, Unlimited},
	{"granted", events{granted(3)}, 0, Unlimited},
	{"termination says nothing of a kind that is not exhausted", events{terminated}, 0, Unlimited},
	{"just exhausted", events{exhausted}, 0, 0},
	{"exhausted, last instant of the wait", events{exhausted}, minBackoff - 1, 0},
	{"exhausted, after the wait", events{exhausted}, minBackoff, probeCount},
	{"the second wait is twice as long", events{exhausted, exhausted}, 2*minBackoff - 1, 0},
	{"the second wait ends", events{exhausted, exhausted}, 2 * minBackoff, probeCount},
	{"the longest wait", events{exhausted, exhausted, exhausted, exhausted}, maxBackoff - 1, 0},
	{"the longest wait ends", events{exhausted, exhausted, exhausted, exhausted}, maxBackoff, probeCount},
	{"what was terminated since may be requested at once", events{exhausted, terminated, terminated}, 0, 2},
	{"no more than that after the wait", events{exhausted, terminated}, minBackoff, 1},
	{"what was granted is taken off", events{exhausted, terminated, terminated, granted(1)}, 0, 1},
	{"unlimited once all that was terminated was granted",
		events{exhausted, terminated, terminated, granted(2)}, 0, Unlimited},
	{"unlimited once a probe was granted", events{exhausted, granted(probeCount)}, 0, Unlimited},
	{"the wait is short again after a grant", events{exhausted, exhausted, granted(1), exhausted},
		minBackoff, probeCount},
	{"exhausted anew forgets what was terminated before", events{exhausted, terminated, exhausted}, 0, 0},
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
					t.Errorf("Limit of %v = %d, want no limit: it is another kind", other, got)
				}
			}
		})
	}
}
