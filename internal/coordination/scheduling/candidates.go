package scheduling

import (
	"math"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// startTieWindow is the grain of time within which two gaps count as equally early: a grid,
// so that the order of gaps is a strict one.
const startTieWindow = 250 * micros.Millisecond

// candidate is the best gap of one machine for a job.
type candidate struct {
	slot  Slot
	ready micros.Time // when the task can begin: the slot's start, and the image fetch
	ok    bool        // false: the machine has no gap
}

// better tells whether a is the better gap for the job: the least total weighted tardiness
// decides (equation 8: placing one task moves no other, so two sums differ by its own term);
// among equals, mostly without any tardiness, the task that is ready first, and then what suits
// the kind of job.
func better(j *workload.Job, packLimit int, a, b *candidate) bool {
	if !b.ok || !a.ok {
		return a.ok
	}
	if a.slot.Tardiness != b.slot.Tardiness {
		return a.slot.Tardiness < b.slot.Tardiness
	}
	if aReady, bReady := a.ready/startTieWindow, b.ready/startTieWindow; aReady != bReady {
		return aReady < bReady
	}
	if j.Kind == workload.Service {
		return betterForReplica(packLimit, a.slot.Machine, b.slot.Machine)
	}
	return betterForArrayTask(a, b)
}

// betterForReplica prefers a machine that has replicas already, up to the limit, and from there
// on the one with fewer.
func betterForReplica(packLimit int, a, b *Machine) bool {
	switch {
	case a.Replicas == b.Replicas:
		return fuller(a, b)
	case a.Replicas < packLimit && b.Replicas < packLimit:
		return a.Replicas > b.Replicas
	default:
		return a.Replicas < b.Replicas
	}
}

// betterForArrayTask prefers a spot machine, which few services can use, and then the machine
// where the task adds least.
func betterForArrayTask(a, b *candidate) bool {
	if aSpot, bSpot := a.slot.Machine.Spot, b.slot.Machine.Spot; aSpot != bSpot {
		return aSpot
	}
	if aAdded, bAdded := a.addedMachineTime(), b.addedMachineTime(); aAdded != bAdded {
		return aAdded < bAdded
	}
	return fuller(a.slot.Machine, b.slot.Machine)
}

// fuller prefers the machine with less free CPU at the beginning of its timeline, and of equals
// the one that comes first in the caller's list.
func fuller(a, b *Machine) bool {
	aFree, bFree := a.Timeline.steps[0].free.CPU, b.Timeline.steps[0].free.CPU
	if aFree != bFree {
		return aFree < bFree
	}
	return a.Index < b.Index
}

// addedMachineTime is the machine time, by size, that the task adds, in milli-CPU times
// startTieWindow: a task that ends before what is planned there already adds none, and a machine
// that is empty is kept for it whole.
func (c *candidate) addedMachineTime() int64 {
	m := c.slot.Machine
	added := max(0, c.slot.Start+c.slot.Length-m.Timeline.lastChange())
	return added / startTieWindow * m.Type.Capacity.CPU
}

// expectedTardiness weighs in that a machine may be lost while the task runs: on average half
// way, and then the task starts anew.
func expectedTardiness(weight float64, finish, due, length micros.Time, lossRate float64) float64 {
	tardiness := Tardiness(weight, finish, due)
	if lossRate <= 0 || finish+length/2 <= due {
		return tardiness
	}
	lossProbability := -math.Expm1(-lossRate * micros.Seconds(length))
	return tardiness + lossProbability*(Tardiness(weight, finish+length/2, due)-tardiness)
}

// candidates is a heap of the machines' best gaps for one job, the best on top. The heap is of
// places in a list, which are small: most of a plan's time goes into moving its entries.
type candidates struct {
	job       *workload.Job
	packLimit int
	list      []candidate
	order     []int32 // places in list
}

// best is the best gap there is.
func (c *candidates) best() *candidate { return &c.list[c.order[0]] }

// Len is part of heap.Interface.
func (c *candidates) Len() int { return len(c.order) }

// Less is part of heap.Interface.
func (c *candidates) Less(i, j int) bool {
	return better(c.job, c.packLimit, &c.list[c.order[i]], &c.list[c.order[j]])
}

// Swap is part of heap.Interface.
func (c *candidates) Swap(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] }

// Push is part of heap.Interface.
func (c *candidates) Push(x any) { c.order = append(c.order, x.(int32)) }

// Pop is part of heap.Interface.
func (c *candidates) Pop() any {
	last := len(c.order) - 1
	x := c.order[last]
	c.order = c.order[:last]
	return x
}
