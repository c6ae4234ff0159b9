// Package fleet decides which machines to rent, and counts a machine's faults.
package fleet

import (
	"cmp"
	"slices"

	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/micros"
)

// Need asks for room for a number of tasks of one kind.
type Need struct {
	Each    bookkeeping.Resources
	Count   int
	Spot    bool
	Types   []string
	Zone    string
	Service bool
	// Replicas is how many replicas there are in all: room for those of one lost
	// machine has to be kept, so large machines cost more than their price.
	Replicas int
	Urgent   bool        // tasks wait for it now: boot time counts
	Hold     micros.Time // how long the room is expected to be used
}

// Offer is one thing that can be rented.
type Offer struct {
	Type string
	Zone string
	Spot bool
}

// Compare orders offers.
func (o Offer) Compare(p Offer) int {
	kind := 0
	if o.Spot != p.Spot {
		kind = 1
		if p.Spot {
			kind = -1
		}
	}
	return cmp.Or(cmp.Compare(o.Type, p.Type), cmp.Compare(o.Zone, p.Zone), kind)
}

// Rental is a number of machines of one offer.
type Rental struct {
	Offer
	Count int
}

// Exhausted remembers which offers the cloud has no more of. What is known to be
// free of such an offer is what was given back since; beyond that a few machines
// are asked for now and then.
type Exhausted struct {
	until map[Offer]micros.Time
	step  map[Offer]micros.Time
	free  map[Offer]int
}

const (
	// Pauses after a refusal: doubled at every further one.
	firstPause = 4 * micros.Second
	lastPause  = 16 * micros.Second
	// tryCount is how many machines are asked for after a pause: it must not look as
	// if the need were served by an offer that is most likely still exhausted.
	tryCount = 4
	// Unlimited is the limit of an offer that was not refused.
	Unlimited = 1 << 30
)

// NewExhausted remembers nothing yet.
func NewExhausted() *Exhausted {
	return &Exhausted{until: map[Offer]micros.Time{}, step: map[Offer]micros.Time{}, free: map[Offer]int{}}
}

// Refuse notes that the cloud had too few of the offer.
func (e *Exhausted) Refuse(o Offer, now micros.Time) {
	e.step[o] = min(lastPause, max(firstPause, 2*e.step[o]))
	e.until[o] = now + e.step[o]
	e.free[o] = 0
}

// Grant notes that the cloud had as many as were asked for.
func (e *Exhausted) Grant(o Offer, count int) {
	delete(e.step, o)
	if n, ok := e.free[o]; ok && n > count {
		e.free[o] = n - count
	} else {
		delete(e.free, o)
	}
}

// Gone notes that a machine of the offer is gone.
func (e *Exhausted) Gone(o Offer) {
	if n, ok := e.free[o]; ok {
		e.free[o] = n + 1
	}
}

// Limit is how many machines of the offer may be asked for now.
func (e *Exhausted) Limit(o Offer, now micros.Time) int {
	n, ok := e.free[o]
	switch {
	case !ok:
		return Unlimited
	case n == 0 && now >= e.until[o]:
		return tryCount
	}
	return n
}

// room is a rented machine being filled.
type room struct {
	Offer
	free bookkeeping.Resources
}

// Allows tells whether a machine of the offer could serve the need.
func (n *Need) Allows(o Offer) bool {
	return (n.Spot || !o.Spot) && (n.Zone == "" || n.Zone == o.Zone) &&
		(len(n.Types) == 0 || slices.Contains(n.Types, o.Type))
}

// urgentBoot is the boot time that doubles a machine's cost in the eyes of
// services that wait for it.
const urgentBoot = 15 * micros.Second

// offerPart is the part of a round that one offer may take at most.
const offerPart = 5

// Choose rents for the needs, in their order, what costs least a task over boot
// and use, at most limit machines in all. Room left on a machine chosen for one
// need is used for the next.
func Choose(needs []Need, catalog bookkeeping.Catalog, most func(Offer) int, limit int) []Rental {
	types := make([]*bookkeeping.MachineType, 0, len(catalog))
	for _, t := range catalog {
		types = append(types, t)
	}
	slices.SortFunc(types, func(a, b *bookkeeping.MachineType) int { return cmp.Compare(a.Name, b.Name) })
	var rooms []*room
	perOffer := max(1, limit/offerPart)
	for i := range needs {
		n := &needs[i]
		left := int64(n.Count)
		for _, r := range rooms {
			if left > 0 && n.Allows(r.Offer) {
				k := min(left, n.Each.Count(r.free))
				r.free = r.free.Sub(n.Each.Times(k))
				left -= k
			}
		}
		taken := map[Offer]bool{}
		for _, r := range rooms {
			taken[r.Offer] = countOf(rooms, r.Offer) >= min(most(r.Offer), perOffer)
		}
		for left > 0 && len(rooms) < limit {
			best := n.cheapest(types, left, func(o Offer) bool { return !taken[o] && most(o) > 0 })
			if best == nil {
				break
			}
			// Not all on one offer: what the cloud has of it shows in its answer only.
			if countOf(rooms, best.Offer)+1 >= min(most(best.Offer), perOffer) {
				taken[best.Offer] = true
			}
			k := min(left, n.Each.Count(best.free))
			best.free = best.free.Sub(n.Each.Times(k))
			left -= k
			rooms = append(rooms, best)
		}
	}
	var out []Rental
	for _, r := range rooms {
		if i := slices.IndexFunc(out, func(o Rental) bool { return o.Offer == r.Offer }); i >= 0 {
			out[i].Count++
		} else {
			out = append(out, Rental{r.Offer, 1})
		}
	}
	return out
}

// cheapest is a machine of the offer that costs least a task, of those that may be had; nil
// if there is none.
func (n *Need) cheapest(types []*bookkeeping.MachineType, left int64, available func(Offer) bool) *room {
	best, bestCost := (*room)(nil), 0.0
	for _, t := range types {
		slots := n.Each.Count(t.Capacity)
		if slots == 0 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := Offer{t.Name, zone, spot}
				if !n.Allows(o) || !available(o) {
					continue
				}
				if cost := n.cost(t, spot, slots, left); best == nil || cost < bestCost {
					best, bestCost = &room{o, t.Capacity}, cost
				}
			}
		}
	}
	return best
}

// cost is what a machine costs over boot and use, for each task of the need that it takes.
func (n *Need) cost(t *bookkeeping.MachineType, spot bool, slots, left int64) float64 {
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

func countOf(rooms []*room, o Offer) int {
	n := 0
	for _, r := range rooms {
		if r.Offer == o {
			n++
		}
	}
	return n
}

// Faults tells faulty machines from mistaken jobs.
type Faults struct {
	machine map[string]map[string]int // machine, job: failures since a success there
	job     map[string]map[string]int // job, machine
	done    map[string]int            // job: completed tasks
}

// NewFaults has seen nothing yet.
func NewFaults() *Faults {
	return &Faults{machine: map[string]map[string]int{}, job: map[string]map[string]int{}, done: map[string]int{}}
}

// Failed notes that a task of the job failed on the machine.
func (f *Faults) Failed(machine, job string) {
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
func (f *Faults) Succeeded(machine, job string) {
	delete(f.machine, machine)
	f.done[job]++
}

// Mistaken tells whether the job, not the machines, is to blame: it failed on
// two machines or more and no task of it ever completed.
func (f *Faults) Mistaken(job string) bool { return f.done[job] == 0 && len(f.job[job]) >= 2 }

// Faulty tells whether the machine is to blame: since its last success, tasks
// of two jobs that are not mistaken failed there, or one such job failed twice.
func (f *Faults) Faulty(machine string) bool {
	n := 0
	for job, times := range f.machine[machine] {
		if !f.Mistaken(job) {
			n += times
		}
	}
	return n >= 2
}

// Failures is how often tasks of the job failed.
func (f *Faults) Failures(job string) int {
	n := 0
	for _, k := range f.job[job] {
		n += k
	}
	return n
}

// ForgetMachine drops what is known of a machine that is gone.
func (f *Faults) ForgetMachine(machine string) { delete(f.machine, machine) }

// ForgetJob drops what is known of a job that is over.
func (f *Faults) ForgetJob(job string) {
	delete(f.job, job)
	delete(f.done, job)
	for _, m := range f.machine {
		delete(m, job)
	}
}
