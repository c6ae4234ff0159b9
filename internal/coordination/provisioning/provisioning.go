// Package provisioning decides which machines to rent, and counts a machine's faults.
package provisioning

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// CapacityRequest asks for room for a number of tasks of one kind.
type CapacityRequest struct {
	Resources     workload.Resources
	Count         int
	Spot          bool
	InstanceTypes []string
	Zone          string
	Service       bool
	// Replicas is how many replicas there are in all: room for those of one lost
	// machine has to be kept, so large machines cost more than their price.
	Replicas int
	Urgent   bool        // tasks wait for it now: boot time counts
	Hold     micros.Time // how long the room is expected to be used
}

// InstanceKind is one thing that can be rented.
type InstanceKind struct {
	InstanceType string
	Zone         string
	Spot         bool
}

// Compare orders offers.
func (o InstanceKind) Compare(p InstanceKind) int {
	kind := 0
	if o.Spot != p.Spot {
		kind = 1
		if p.Spot {
			kind = -1
		}
	}
	return cmp.Or(cmp.Compare(o.InstanceType, p.InstanceType), cmp.Compare(o.Zone, p.Zone), kind)
}

// InstanceRequest is a number of machines of one offer.
type InstanceRequest struct {
	InstanceKind
	Count int
}

// CapacityTracker remembers which offers the cloud has no more of. What is known to be
// free of such an offer is what was given back since; beyond that a few machines
// are asked for now and then.
type CapacityTracker struct {
	retryAt   map[InstanceKind]micros.Time
	backoff   map[InstanceKind]micros.Time
	available map[InstanceKind]int
}

const (
	// Pauses after a refusal: doubled at every further one.
	minBackoff = 4 * micros.Second
	maxBackoff = 16 * micros.Second
	// probeCount is how many machines are asked for after a pause: it must not look as
	// if the need were served by an offer that is most likely still exhausted.
	probeCount = 4
	// Unlimited is the limit of an offer that was not refused.
	Unlimited = 1 << 30
)

// NewCapacityTracker remembers nothing yet.
func NewCapacityTracker() *CapacityTracker {
	return &CapacityTracker{retryAt: map[InstanceKind]micros.Time{}, backoff: map[InstanceKind]micros.Time{}, available: map[InstanceKind]int{}}
}

// Exhausted notes that the cloud had too few of the offer.
func (e *CapacityTracker) Exhausted(o InstanceKind, now micros.Time) {
	e.backoff[o] = min(maxBackoff, max(minBackoff, 2*e.backoff[o]))
	e.retryAt[o] = now + e.backoff[o]
	e.available[o] = 0
}

// Granted notes that the cloud had as many as were asked for.
func (e *CapacityTracker) Granted(o InstanceKind, count int) {
	delete(e.backoff, o)
	if n, ok := e.available[o]; ok && n > count {
		e.available[o] = n - count
	} else {
		delete(e.available, o)
	}
}

// Terminated notes that a machine of the offer is gone.
func (e *CapacityTracker) Terminated(o InstanceKind) {
	if n, ok := e.available[o]; ok {
		e.available[o] = n + 1
	}
}

// Limit is how many machines of the offer may be asked for now.
func (e *CapacityTracker) Limit(o InstanceKind, now micros.Time) int {
	n, ok := e.available[o]
	switch {
	case !ok:
		return Unlimited
	case n == 0 && now >= e.retryAt[o]:
		return probeCount
	}
	return n
}

// plannedInstance is a rented machine being filled.
type plannedInstance struct {
	InstanceKind
	free workload.Resources
}

// Allows tells whether a machine of the offer could serve the need.
func (n *CapacityRequest) Allows(o InstanceKind) bool {
	return (n.Spot || !o.Spot) && (n.Zone == "" || n.Zone == o.Zone) &&
		(len(n.InstanceTypes) == 0 || slices.Contains(n.InstanceTypes, o.InstanceType))
}

// urgentBoot is the boot time that doubles a machine's cost in the eyes of
// services that wait for it.
const urgentBoot = 15 * micros.Second

// kindShare is the part of a round that one offer may take at most.
const kindShare = 5

// Choose rents for the needs, in their order, what costs least a task over boot
// and use, at most limit machines in all. Room left on a machine chosen for one
// need is used for the next.
func Choose(needs []CapacityRequest, catalog workload.Catalog, most func(InstanceKind) int, limit int) []InstanceRequest {
	types := make([]*workload.InstanceType, 0, len(catalog))
	for _, t := range catalog {
		types = append(types, t)
	}
	slices.SortFunc(types, func(a, b *workload.InstanceType) int { return cmp.Compare(a.Name, b.Name) })
	var rooms []*plannedInstance
	perOffer := max(1, limit/kindShare)
	for i := range needs {
		n := &needs[i]
		left := int64(n.Count)
		for _, r := range rooms {
			if left > 0 && n.Allows(r.InstanceKind) {
				k := min(left, n.Resources.Count(r.free))
				r.free = r.free.Sub(n.Resources.Times(k))
				left -= k
			}
		}
		taken := map[InstanceKind]bool{}
		for _, r := range rooms {
			taken[r.InstanceKind] = countOf(rooms, r.InstanceKind) >= min(most(r.InstanceKind), perOffer)
		}
		for left > 0 && len(rooms) < limit {
			best := n.cheapest(types, left, func(o InstanceKind) bool { return !taken[o] && most(o) > 0 })
			if best == nil {
				break
			}
			// Not all on one offer: what the cloud has of it shows in its answer only.
			if countOf(rooms, best.InstanceKind)+1 >= min(most(best.InstanceKind), perOffer) {
				taken[best.InstanceKind] = true
			}
			k := min(left, n.Resources.Count(best.free))
			best.free = best.free.Sub(n.Resources.Times(k))
			left -= k
			rooms = append(rooms, best)
		}
	}
	var out []InstanceRequest
	for _, r := range rooms {
		if i := slices.IndexFunc(out, func(o InstanceRequest) bool { return o.InstanceKind == r.InstanceKind }); i >= 0 {
			out[i].Count++
		} else {
			out = append(out, InstanceRequest{r.InstanceKind, 1})
		}
	}
	return out
}

// cheapest is a machine of the offer that costs least a task, of those that may be had; nil
// if there is none.
func (n *CapacityRequest) cheapest(types []*workload.InstanceType, left int64, available func(InstanceKind) bool) *plannedInstance {
	best, bestCost := (*plannedInstance)(nil), 0.0
	for _, t := range types {
		slots := n.Resources.Count(t.Capacity)
		if slots == 0 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := InstanceKind{t.Name, zone, spot}
				if !n.Allows(o) || !available(o) {
					continue
				}
				if cost := n.cost(t, spot, slots, left); best == nil || cost < bestCost {
					best, bestCost = &plannedInstance{o, t.Capacity}, cost
				}
			}
		}
	}
	return best
}

// cost is what a machine costs over boot and use, for each task of the need that it takes.
func (n *CapacityRequest) cost(t *workload.InstanceType, spot bool, slots, left int64) float64 {
	price := t.Price
	if spot {
		price = t.SpotPrice
	}
	cost := price * micros.Seconds(t.Boot+n.Hold) / float64(min(slots, left))
	if n.Service {
		cost *= 1 + float64(slots)/float64(max(1, n.Replicas))
		if n.Urgent {
			cost *= 1 + float64(t.Boot)/float64(urgentBoot)
		}
	}
	return cost
}

func countOf(rooms []*plannedInstance, o InstanceKind) int {
	n := 0
	for _, r := range rooms {
		if r.InstanceKind == o {
			n++
		}
	}
	return n
}

// FaultTracker tells faulty machines from mistaken jobs.
type FaultTracker struct {
	machine map[string]map[string]int // machine, job: failures since a success there
	job     map[string]map[string]int // job, machine
	done    map[string]int            // job: completed tasks
}

// NewFaultTracker has seen nothing yet.
func NewFaultTracker() *FaultTracker {
	return &FaultTracker{machine: map[string]map[string]int{}, job: map[string]map[string]int{}, done: map[string]int{}}
}

// Failed notes that a task of the job failed on the machine.
func (f *FaultTracker) Failed(machine, job string) {
	if f.machine[machine] == nil {
		f.machine[machine] = map[string]int{}
	}
	if f.job[job] == nil {
		f.job[job] = map[string]int{}
	}
	f.machine[machine][job]++
	f.job[job][machine]++
}

// Succeeded notes that a task of the job completed on the machine.
func (f *FaultTracker) Succeeded(machine, job string) {
	delete(f.machine, machine)
	f.done[job]++
}

// JobAtFault tells whether the job, not the machines, is to blame: it failed on
// two machines or more and no task of it ever completed.
func (f *FaultTracker) JobAtFault(job string) bool { return f.done[job] == 0 && len(f.job[job]) >= 2 }

// MachineAtFault tells whether the machine is to blame: since its last success, tasks
// of two jobs that are not mistaken failed there, or one such job failed twice.
func (f *FaultTracker) MachineAtFault(machine string) bool {
	n := 0
	for job, times := range f.machine[machine] {
		if !f.JobAtFault(job) {
			n += times
		}
	}
	return n >= 2
}

// Failures is how often tasks of the job failed.
func (f *FaultTracker) Failures(job string) int {
	n := 0
	for _, k := range f.job[job] {
		n += k
	}
	return n
}

// ForgetMachine drops what is known of a machine that is gone.
func (f *FaultTracker) ForgetMachine(machine string) { delete(f.machine, machine) }

// ForgetJob drops what is known of a job that is over.
func (f *FaultTracker) ForgetJob(job string) {
	delete(f.job, job)
	delete(f.done, job)
	for _, m := range f.machine {
		delete(m, job)
	}
}
