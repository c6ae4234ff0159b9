package scheduling

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// Forever is the length of a service replica's slot, which has no end.
const Forever = micros.Max

// step is an interval of constant free resources, which ends where the next step begins.
type step struct {
	from micros.Time
	free workload.Resources
}

// Timeline holds the planned free resources of a machine as a step function of time. The last step
// has no end.
type Timeline struct {
	steps []step // ordered by time, never empty
}

// NewTimeline returns the timeline of an empty machine that is available starting at from.
func NewTimeline(from micros.Time, capacity workload.Resources) *Timeline {
	return &Timeline{steps: []step{{from, capacity}}}
}

// start returns the time at which the machine becomes available.
func (tl *Timeline) start() micros.Time { return tl.steps[0].from }

// lastStepStart returns the start of the last step, after which the free resources stay the same.
func (tl *Timeline) lastStepStart() micros.Time { return tl.steps[len(tl.steps)-1].from }

// split ensures that a step begins at the given time, which must not be before the beginning of
// the timeline, and returns the index of that step.
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

// Reserve subtracts resources from start for the given length of time. It may reserve more than
// is free: tasks that already run are reserved regardless of what was expected of them.
func (tl *Timeline) Reserve(resources workload.Resources, start, length micros.Time) {
	first := tl.split(max(start, tl.start()))
	last := len(tl.steps)
	if end := start + length; end < micros.Max {
		last = tl.split(max(end, tl.start()))
	}
	for i := first; i < last; i++ {
		tl.steps[i].free = tl.steps[i].free.Sub(resources)
	}
}

// Gap returns the start of the first gap at or after from in which the resources are free for the
// given length of time. A task that starts in the first gap of a machine also ends first, so no
// later gap has a lower weighted tardiness and only this one is compared across machines.
func (tl *Timeline) Gap(resources workload.Resources, from, length micros.Time) (start micros.Time, found bool) {
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
		if !resources.Fits(s.free) {
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
