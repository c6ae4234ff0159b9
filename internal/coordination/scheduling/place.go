package scheduling

import (
	"container/heap"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// Machine is a machine as the planner sees it.
type Machine struct {
	Index    int // place in the caller's list of machines
	Type     *workload.InstanceType
	Zone     string
	Spot     bool
	Timeline *Timeline
	HasImage func(string) bool // whether an image is there, or on its way
	Slowness float64           // observed run time against that of its peers; 1: like them
	Replicas int               // service replicas planned or running here
	Up       bool              // false: still expected to boot
	LossRate float64           // how often a machine of this kind is lost, a second
}

// Slot is a place for one task.
type Slot struct {
	Machine   *Machine
	Start     micros.Time
	Length    micros.Time // image fetch included; Forever for a replica
	Tardiness float64     // expected weighted tardiness, in seconds
}

// Request asks for slots for the waiting tasks of one job. Weight, Estimate and Due are those of
// its QueuedJob.
type Request struct {
	Job         *workload.Job
	Weight      float64
	Estimate    micros.Time
	Due         micros.Time
	Count       int // tasks to place
	Now         micros.Time
	Zone        string         // "": any; the zone that a one-zone job already has
	TasksByZone map[string]int // tasks of the job that have a machine; Place adds those it places
	PackLimit   int            // how many replicas a machine takes before others are preferred
}

// Place finds a slot for one task after the other and reserves it. It ends when a task has no
// gap anywhere: the rest wait in index order. It returns how many were placed.
//
// A task's slot changes the gaps of one machine only, so only that one is looked at again.
func Place(r *Request, machines []*Machine, out func(Slot)) int {
	if r.Count <= 0 {
		return 0
	}
	c := r.candidates(machines)
	placed := 0
	for placed < r.Count && c.Len() > 0 {
		best := c.best()
		if !r.zoneHasCapacity(best.slot.Machine.Zone) {
			heap.Pop(c)
			continue
		}
		r.reserve(best.slot)
		out(best.slot)
		placed++
		if *best = r.candidate(best.slot.Machine); best.ok {
			heap.Fix(c, 0)
		} else {
			heap.Pop(c)
		}
	}
	return placed
}

// zoneHasCapacity tells whether the job's tasks placed so far allow another one in a zone.
func (r *Request) zoneHasCapacity(zone string) bool {
	if r.Zone != "" && zone != r.Zone {
		return false
	}
	return !r.Job.Spread || r.TasksByZone[zone] < r.Job.SpreadLimit()
}

// reserve takes a slot for a task of the job.
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

// candidates are the machines' best gaps for the job, as a heap.
func (r *Request) candidates(machines []*Machine) *candidates {
	c := &candidates{
		job:       r.Job,
		packLimit: r.PackLimit,
		list:      make([]candidate, 0, len(machines)),
		order:     make([]int32, 0, len(machines)),
	}
	for _, m := range machines {
		if best := r.candidate(m); best.ok {
			c.order = append(c.order, int32(len(c.list)))
			c.list = append(c.list, best)
		}
	}
	heap.Init(c)
	return c
}

// candidate is the machine's best gap for the job.
func (r *Request) candidate(m *Machine) candidate {
	j := r.Job
	if !MayRunOn(j, m.Type.Name, m.Zone, m.Spot) || (r.Zone != "" && r.Zone != m.Zone) ||
		!j.Resources.Fits(m.Type.Capacity) {
		return candidate{}
	}
	fetch := fetchTime(j, m)
	length := Forever
	if j.Kind == workload.Array {
		length = fetch + micros.Time(float64(r.Estimate)*m.Slowness)
	}
	start, ok := m.Timeline.Gap(j.Resources, r.Now, length)
	if !ok {
		return candidate{}
	}
	c := candidate{slot: Slot{Machine: m, Start: start, Length: length}, ready: start + fetch, ok: true}
	if length < Forever {
		c.slot.Tardiness = expectedTardiness(r.Weight, start+length, r.Due, length, m.LossRate)
	}
	return c
}

// fetchTime is how long the job's image takes to arrive on the machine.
func fetchTime(j *workload.Job, m *Machine) micros.Time {
	if j.Image == "" || m.HasImage(j.Image) || m.Type.FetchGBps <= 0 {
		return 0
	}
	return micros.FromSeconds(j.ImageGB / m.Type.FetchGBps)
}
