package scheduling

import (
	"math"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// startTieWindow is the size of the fixed time buckets within which ready times count as equal.
// Buckets, unlike a maximum difference, keep the order of candidates transitive.
const startTieWindow = 250 * micros.Millisecond

// candidate is the best gap of one machine for a job.
type candidate struct {
	slot  Slot
	ready micros.Time // when the task can begin: the slot's start plus the image fetch time
	ok    bool        // false if the machine has no gap
}

// better reports whether a is a better candidate for the job than b. Lower total weighted
// tardiness (equation 8) wins; since placing a task moves no other task, comparing the task's own
// term is sufficient. Ties, most of which have no tardiness, go to the earlier ready time and then
// to the preference of the job kind.
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

// betterForReplica prefers the machine with more replicas while both are below packLimit, and
// otherwise the one with fewer.
func betterForReplica(packLimit int, a, b *Machine) bool {
	switch {
	case a.Replicas == b.Replicas:
		return betterByFreeCPU(a, b)
	case a.Replicas < packLimit && b.Replicas < packLimit:
		return a.Replicas > b.Replicas
	default:
		return a.Replicas < b.Replicas
	}
}

// betterForArrayTask prefers spot machines, because few services can use them, and then the
// machine to which the task adds the least machine time.
func betterForArrayTask(a, b *candidate) bool {
	if aSpot, bSpot := a.slot.Machine.Spot, b.slot.Machine.Spot; aSpot != bSpot {
		return aSpot
	}
	if aAdded, bAdded := a.addedMachineTime(), b.addedMachineTime(); aAdded != bAdded {
		return aAdded < bAdded
	}
	return betterByFreeCPU(a.slot.Machine, b.slot.Machine)
}

// betterByFreeCPU prefers the machine with less free CPU at the beginning of its timeline, then the
// one that comes first in the caller's list.
func betterByFreeCPU(a, b *Machine) bool {
	aFree, bFree := a.FreeNow().CPU, b.FreeNow().CPU
	if aFree != bFree {
		return aFree < bFree
	}
	return a.Index < b.Index
}

// addedMachineTime returns by how much the task prolongs the use of the machine, multiplied by the
// machine's CPU capacity, in milli-CPU times startTieWindow. It is zero for a task that ends before
// the reservations already planned. An empty machine would be kept for the task alone, so there
// all of the time until the task ends counts.
func (c *candidate) addedMachineTime() int64 {
	m := c.slot.Machine
	added := max(0, c.slot.Start+c.slot.Length-m.Timeline.lastStepStart())
	return added / startTieWindow * m.Type.Capacity.CPU
}

// expectedTardiness returns the expected weighted tardiness, taking into account that the machine
// may be lost while the task runs: on average halfway, after which the task restarts.
func expectedTardiness(weight float64, finish, due, length micros.Time, lossRate float64) float64 {
	tardiness := Tardiness(weight, finish, due)
	if lossRate <= 0 || finish+length/2 <= due {
		return tardiness
	}
	lossProbability := -math.Expm1(-lossRate * micros.Seconds(length))
	return tardiness + lossProbability*(Tardiness(weight, finish+length/2, due)-tardiness)
}

// candidateHeap is a heap of the machines' best gaps for one job, the best on top. It holds list
// indices instead of candidates because most of the planning time is spent on moving heap entries.
type candidateHeap struct {
	job         *workload.Job
	packLimit   int
	list        []candidate
	heapIndices []int32 // heap of indices into list
}

// best returns the top of the heap, which must not be empty.
func (c *candidateHeap) best() *candidate { return &c.list[c.heapIndices[0]] }

// Len implements heap.Interface.
func (c *candidateHeap) Len() int { return len(c.heapIndices) }

// Less implements heap.Interface.
func (c *candidateHeap) Less(i, j int) bool {
	return better(c.job, c.packLimit, &c.list[c.heapIndices[i]], &c.list[c.heapIndices[j]])
}

// Swap implements heap.Interface.
func (c *candidateHeap) Swap(i, j int) {
	c.heapIndices[i], c.heapIndices[j] = c.heapIndices[j], c.heapIndices[i]
}

// Push implements heap.Interface.
func (c *candidateHeap) Push(x any) { c.heapIndices = append(c.heapIndices, x.(int32)) }

// Pop implements heap.Interface.
func (c *candidateHeap) Pop() any {
	last := len(c.heapIndices) - 1
	x := c.heapIndices[last]
	c.heapIndices = c.heapIndices[:last]
	return x
}
