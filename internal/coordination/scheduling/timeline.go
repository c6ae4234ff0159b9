package scheduling

import (
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// Forever is the length of a service's open-ended slot.
const Forever = micros.Max

type segment struct {
	from micros.Time
	free workload.Resources
}

// Timeline is the room a machine is planned to have: a step function of time,
// the last step lasting forever.
type Timeline struct {
	steps []segment
}

// NewTimeline is a machine that is empty from a time on, and has nothing before.
func NewTimeline(from micros.Time, capacity workload.Resources) *Timeline {
	return &Timeline{steps: []segment{{from, capacity}}}
}

// split makes a step begin at t, which must not lie before the timeline.
func (tl *Timeline) split(t micros.Time) int {
	i, found := slices.BinarySearchFunc(tl.steps, t, func(s segment, t micros.Time) int {
		switch {
		case s.from < t:
			return -1
		case s.from > t:
			return 1
		}
		return 0
	})
	if found {
		return i
	}
	if i == 0 {
		return 0
	}
	tl.steps = slices.Insert(tl.steps, i, segment{t, tl.steps[i-1].free})
	return i
}

// Reserve takes need from start for length.
func (tl *Timeline) Reserve(need workload.Resources, start, length micros.Time) {
	first := tl.split(max(start, tl.steps[0].from))
	last := len(tl.steps)
	if end := start + length; end < micros.Max {
		last = tl.split(max(end, tl.steps[0].from))
	}
	for i := first; i < last; i++ {
		tl.steps[i].free = tl.steps[i].free.Sub(need)
	}
}

// Gap finds the first gap that takes need for length, at or after from. On one
// machine the first fitting gap also ends first, so no later one can have a
// lower weighted tardiness, and only this one is compared between machines.
func (tl *Timeline) Gap(need workload.Resources, from, length micros.Time) (micros.Time, bool) {
	start := micros.Time(-1)
	for i, s := range tl.steps {
		next := micros.Max
		if i+1 < len(tl.steps) {
			next = tl.steps[i+1].from
		}
		if next <= from {
			continue
		}
		if !need.Fits(s.free) {
			start = -1
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
