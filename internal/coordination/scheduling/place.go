package scheduling

import (
	"container/heap"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// Machine is the planner's view of a machine.
type Machine struct {
	Index    int // position in the caller's list of machines
	Type     *workload.InstanceType
	Zone     string
	Spot     bool
	Timeline *Timeline
	HasImage func(string) bool // reports whether an image is present or being fetched
	Slowness float64           // observed run time relative to other machines; 1 is normal
	Replicas int               // service replicas planned or running on the machine
	Up       bool              // false while the machine is expected to boot
	LossRate float64           // expected losses per second of a machine of this kind
}

// FreeNow returns the resources that are free at the beginning of the machine's timeline.
func (m *Machine) FreeNow() workload.Resources { return m.Timeline.steps[0].free }

// Slot is the placement of one task on a machine.
type Slot struct {
	Machine   *Machine
	Start     micros.Time
	Length    micros.Time // including the image fetch; Forever for a service replica
	Tardiness float64     // expected weighted tardiness, in seconds
}

// Request asks for slots for the queued tasks of one job. Weight, Estimate and Due are those of
// its QueuedJob.
type Request struct {
	Job         *workload.Job
	Weight      float64
	Estimate    micros.Time
	Due         micros.Time
	Count       int // tasks to place
	Now         micros.Time
	Zone        string         // zone already in use by a single-zone job; empty: any
	TasksByZone map[string]int // tasks of the job assigned to machines; updated by Place
	PackLimit   int            // replicas at which a machine stops attracting further ones
	StartNow    bool           // only slots that begin now, on machines that are up
}

// Place finds and reserves slots for the tasks one by one until all are placed or no machine has a
// gap, passes each slot to emit, and returns the number of tasks placed. The other tasks stay
// queued in index order.
//
// A reservation changes the gaps of one machine only, so only the candidate of that machine is
// recomputed.
func Place(r *Request, machines []*Machine, emit func(Slot)) int {
	if r.Count <= 0 {
		return 0
	}
	c := r.newCandidateHeap(machines)
	placed := 0
	for placed < r.Count && c.Len() > 0 {
		best := c.best()
		if !r.zoneHasCapacity(best.slot.Machine.Zone) {
			heap.Pop(c)
			continue
		}
		r.reserve(best.slot)
		emit(best.slot)
		placed++
		if *best = r.candidateFor(best.slot.Machine); best.ok {
			heap.Fix(c, 0)
		} else {
			heap.Pop(c)
		}
	}
	return placed
}

// zoneHasCapacity reports whether the zone constraints of the job allow another task in a zone,
// given the tasks placed so far.
func (r *Request) zoneHasCapacity(zone string) bool {
	if r.Zone != "" && zone != r.Zone {
		return false
	}
	return !r.Job.Spread || r.TasksByZone[zone] < r.Job.SpreadLimit()
}

// reserve assigns a slot to a task of the job.
func (r *Request) reserve(s Slot) {
	m := s.Machine
	m.Timeline.Reserve(r.Job.Resources, s.Start, s.Length)
	if r.Job.Kind == workload.Service {
		m.Replicas++
	}
	r.TasksByZone[m.Zone]++
	if r.Job.OneZone {
		r.Zone = m.Zone
	}
}

// newCandidateHeap returns a heap of the best gap of each machine that has one for the job.
func (r *Request) newCandidateHeap(machines []*Machine) *candidateHeap {
	c := &candidateHeap{
		job:         r.Job,
		packLimit:   r.PackLimit,
		list:        make([]candidate, 0, len(machines)),
		heapIndices: make([]int32, 0, len(machines)),
	}
	for _, m := range machines {
		if best := r.candidateFor(m); best.ok {
			c.heapIndices = append(c.heapIndices, int32(len(c.list)))
			c.list = append(c.list, best)
		}
	}
	heap.Init(c)
	return c
}

// candidateFor returns the best gap of the machine for the job.
func (r *Request) candidateFor(m *Machine) candidate {
	j := r.Job
	if !MayRunOn(j, m.Type.Name, m.Zone, m.Spot) || (r.Zone != "" && r.Zone != m.Zone) ||
		!j.Resources.Fits(m.Type.Capacity) {
		return candidate{}
	}
	if r.StartNow && (!m.Up || !j.Resources.Fits(m.FreeNow())) {
		return candidate{}
	}
	fetch := fetchTime(j, m)
	length := Forever
	if j.Kind == workload.Array {
		length = fetch + micros.Time(float64(r.Estimate)*m.Slowness)
	}
	start, ok := m.Timeline.Gap(j.Resources, r.Now, length)
	if !ok || (r.StartNow && start > r.Now) {
		return candidate{}
	}
	c := candidate{slot: Slot{Machine: m, Start: start, Length: length}, ready: start + fetch, ok: true}
	if length < Forever {
		c.slot.Tardiness = expectedTardiness(r.Weight, start+length, r.Due, length, m.LossRate)
	}
	return c
}

// fetchTime returns the expected time to fetch the job's image to the machine.
func fetchTime(j *workload.Job, m *Machine) micros.Time {
	if j.Image == "" || m.HasImage(j.Image) || m.Type.FetchGBps <= 0 {
		return 0
	}
	return micros.FromSeconds(j.ImageGB / m.Type.FetchGBps)
}
