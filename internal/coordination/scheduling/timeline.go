package scheduling

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// Forever is the length of a service's open-ended slot.
const Forever = micros.Max

// step is a part of a timeline, up to the next step.
type step struct {
	from micros.Time
	free workload.Resources
}

// Timeline is what a machine is planned to have free: a step function of time, the last step
// lasting forever.
type Timeline struct {
	steps []step // in order of time, never empty
}

// NewTimeline is the timeline of a machine that is empty from a time on, and has nothing before.
func NewTimeline(from micros.Time, capacity workload.Resources) *Timeline {
	return &Timeline{steps: []step{{from, capacity}}}
}

// begin is when the machine is first there.
func (tl *Timeline) begin() micros.Time { return tl.steps[0].from }

// lastChange is the end of the last reservation that ends.
func (tl *Timeline) lastChange() micros.Time { return tl.steps[len(tl.steps)-1].from }

// split makes a step begin at an instant, which must not lie before the timeline, and returns
// the step's place.
func (tl *Timeline) split(at micros.Time) int {
	i, found := slices.BinarySearchFunc(tl.steps, at, func(s step, at micros.Time) int {
		return cmp.Compare(s.from, at)
	})
	if found || i == 0 {
		return i
	}
	tl.steps = slices.Insert(tl.steps, i, step{at, tl.steps[i-1].free})
	return i
}

// Reserve takes resources from start for a length of time. It may take more than there is:
// what runs already is reserved, too, whatever was expected of it.
func (tl *Timeline) Reserve(need workload.Resources, start, length micros.Time) {
	first := tl.split(max(start, tl.begin()))
	last := len(tl.steps)
	if end := start + length; end < micros.Max {
		last = tl.split(max(end, tl.begin()))
	}
	for i := first; i < last; i++ {
		tl.steps[i].free = tl.steps[i].free.Sub(need)
	}
}

// Gap finds the first gap that takes the resources for a length of time, at or after an
// instant. On one machine the first gap that fits also ends first, so no later one can have a
// lower weighted tardiness, and only this one is compared between machines.
func (tl *Timeline) Gap(need workload.Resources, from, length micros.Time) (start micros.Time, found bool) {
	const none = micros.Time(-1)
	start = none
	for i, s := range tl.steps {
		next := micros.Max
		if i+1 < len(tl.steps) {
			next = tl.steps[i+1].from
		}
		if next <= from {
			continue
		}
		if !need.Fits(s.free) {
			start = none
			continue
		}
		if start < 0 {
			start = max(s.from, from)
		}
		if next == micros.Max || next-start >= length {
			return start, true
		}
	}
	return 0, false
}
