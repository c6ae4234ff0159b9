package scheduling

import (
	"container/heap"
	"math"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// Machine is a machine as the planner sees it.
type Machine struct {
	Index    int // the caller's
	Type     *workload.InstanceType
	Zone     string
	Spot     bool
	Timeline *Timeline
	HasImage func(string) bool // is the image there, or on its way
	Slowness float64           // observed run time against that of its peers; 1: like them
	Services int               // replicas planned or running here
	Up       bool              // false: still expected to boot
	LossRate float64           // how often a machine of this kind is lost, a second
}

// Slot is a place for one task.
type Slot struct {
	Machine   *Machine
	Start     micros.Time
	Length    micros.Time
	Tardiness float64
}

// Request asks for slots for the waiting tasks of one job.
type Request struct {
	Job      *workload.Job
	Weight   float64
	Estimate micros.Time
	Due      micros.Time
	Count    int
	Now      micros.Time
	Zone     string         // "": any; the zone that a one-zone job already has
	InZone   map[string]int // tasks of the job by zone
	// Pack is how many replicas a machine takes before others are preferred.
	Pack int
	// Allowed tells further conditions on a machine; nil: none.
	Allowed func(*Machine) bool
}

// fetchTime is how long the image takes to arrive on the machine.
func fetchTime(j *workload.Job, m *Machine) micros.Time {
	if j.Image == "" || m.HasImage(j.Image) || m.Type.FetchGBps <= 0 {
		return 0
	}
	return micros.FromSeconds(j.ImageGB / m.Type.FetchGBps)
}

// candidate is the best gap of one machine.
type candidate struct {
	slot  Slot
	ready micros.Time // start and image fetch
	ok    bool
}

func (r *Request) candidate(m *Machine) candidate {
	j := r.Job
	if !j.AllowsInstanceType(m.Type.Name) || (j.Zone != "" && j.Zone != m.Zone) || (m.Spot && !j.Spot) ||
		(r.Zone != "" && r.Zone != m.Zone) || !j.Resources.Fits(m.Type.Capacity) || (r.Allowed != nil && !r.Allowed(m)) {
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

// expectedTardiness weighs in that a machine may be taken while the task runs: on
// average half way, and then it starts anew.
func expectedTardiness(w float64, finish, due, length micros.Time, lossRate float64) float64 {
	t := Tardiness(w, finish, due)
	if lossRate <= 0 || finish+length/2 <= due {
		return t
	}
	lost := -math.Expm1(-lossRate * micros.Seconds(length))
	return t + lost*(Tardiness(w, finish+length/2, due)-t)
}

// startTieWindow is the grain of time within which two gaps count as equally early: a grid,
// so that the order of gaps is a strict one.
const startTieWindow = 250 * micros.Millisecond

// better tells whether a is the better gap for the job: the least total weighted
// tardiness decides; among equals (mostly: no tardiness at all) the task that is
// ready first, then, for a service, a machine that has replicas already, up to a
// number, and from there on the one with fewer, and for an array the machine that
// services cannot use, then the fuller one.
func better(j *workload.Job, pack int, a, b *candidate) bool {
	if !b.ok || !a.ok {
		return a.ok
	}
	if a.slot.Tardiness != b.slot.Tardiness {
		return a.slot.Tardiness < b.slot.Tardiness
	}
	if ar, br := a.ready/startTieWindow, b.ready/startTieWindow; ar != br {
		return ar < br
	}
	am, bm := a.slot.Machine, b.slot.Machine
	if j.Kind == workload.Service {
		if am.Services != bm.Services {
			if am.Services < pack && bm.Services < pack {
				return am.Services > bm.Services
			}
			return am.Services < bm.Services
		}
	} else if am.Spot != bm.Spot {
		return am.Spot
	}
	if j.Kind == workload.Array {
		if ae, be := a.prolongs(), b.prolongs(); ae != be {
			return ae < be
		}
	}
	af, bf := am.Timeline.steps[0].free.CPU, bm.Timeline.steps[0].free.CPU
	if af != bf {
		return af < bf
	}
	return am.Index < bm.Index
}

// prolongs is the machine time, by size, that the task adds: one that ends before what
// is planned there already adds none, and a machine that is empty is kept for it whole.
func (c *candidate) prolongs() micros.Time {
	steps := c.slot.Machine.Timeline.steps
	return max(0, c.slot.Start+c.slot.Length-steps[len(steps)-1].from) / startTieWindow * c.slot.Machine.Type.Capacity.CPU
}

// candidates is a heap of the machines' best gaps for one job, the best on top. It
// holds places in a list: most of a plan's time goes into moving its entries.
type candidates struct {
	job   *workload.Job
	pack  int
	list  []candidate
	order []int32
}

func (h *candidates) Len() int { return len(h.order) }
func (h *candidates) Less(i, j int) bool {
	return better(h.job, h.pack, &h.list[h.order[i]], &h.list[h.order[j]])
}
func (h *candidates) Swap(i, j int) { h.order[i], h.order[j] = h.order[j], h.order[i] }

// Push is part of heap.Interface.
func (h *candidates) Push(x any) { h.order = append(h.order, x.(int32)) }

// Pop is part of heap.Interface.
func (h *candidates) Pop() any {
	last := len(h.order) - 1
	x := h.order[last]
	h.order = h.order[:last]
	return x
}

// Place finds a slot for one task after the other and reserves it. It ends when
// a task has no gap anywhere: the rest wait in index order. A task's slot changes
// the gaps of one machine only, so only that one is looked at again.
func Place(r *Request, machines []*Machine, out func(Slot)) int {
	if r.Count <= 0 {
		return 0
	}
	h := &candidates{job: r.Job, pack: r.Pack, list: make([]candidate, 0, len(machines)), order: make([]int32, 0, len(machines))}
	for _, m := range machines {
		if c := r.candidate(m); c.ok {
			h.order = append(h.order, int32(len(h.list)))
			h.list = append(h.list, c)
		}
	}
	heap.Init(h)
	placed := 0
	limit := r.Job.SpreadLimit()
	for placed < r.Count && len(h.order) > 0 {
		c := &h.list[h.order[0]]
		m := c.slot.Machine
		if (r.Zone != "" && m.Zone != r.Zone) || (r.Job.Spread && r.InZone[m.Zone] >= limit) {
			heap.Pop(h) // the job's tasks placed so far leave it no room there
			continue
		}
		m.Timeline.Reserve(r.Job.Resources, c.slot.Start, c.slot.Length)
		if r.Job.Kind == workload.Service {
			m.Services++
		}
		if r.InZone != nil {
			r.InZone[m.Zone]++
		}
		if r.Job.OneZone {
			r.Zone = m.Zone
		}
		out(c.slot)
		placed++
		if *c = r.candidate(m); c.ok {
			heap.Fix(h, 0)
		} else {
			heap.Pop(h)
		}
	}
	return placed
}
