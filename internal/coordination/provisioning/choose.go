package provisioning

import (
	"cmp"
	"maps"
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// urgentBoot is the boot time that doubles an instance's cost for services that wait
	// for it.
	urgentBoot = 15 * micros.Second
	// kindShare is the part of a round that one kind may take at most, as a divisor.
	kindShare = 5
)

// Choose requests for the capacity requests, in their order, the instances that cost least a
// task over boot and use, at most maxInstances in all and limit of each kind. Capacity left
// on an instance chosen for one request is used for the next.
func Choose(requests []CapacityRequest, catalog workload.Catalog, limit func(InstanceKind) int,
	maxInstances int) []InstanceRequest {
	r := newRound(catalog, limit, maxInstances)
	for i := range requests {
		r.serve(&requests[i])
	}
	return r.instanceRequests()
}

// round is one choice of instances.
type round struct {
	types        []*workload.InstanceType // by name
	limit        func(InstanceKind) int
	maxInstances int
	remaining    map[InstanceKind]int // that may be added, of the kinds that were looked at
	planned      []*plannedInstance
}

// plannedInstance is an instance to request, as it is filled.
type plannedInstance struct {
	InstanceKind
	free workload.Resources
}

func newRound(catalog workload.Catalog, limit func(InstanceKind) int, maxInstances int) *round {
	types := slices.SortedFunc(maps.Values(catalog), func(a, b *workload.InstanceType) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return &round{types: types, limit: limit, maxInstances: maxInstances, remaining: map[InstanceKind]int{}}
}

// serve plans the instances for a request.
func (r *round) serve(request *CapacityRequest) {
	missing := int64(request.Count)
	for _, instance := range r.planned {
		if missing > 0 && request.Allows(instance.InstanceKind) {
			missing -= instance.fill(request, missing)
		}
	}
	for missing > 0 && len(r.planned) < r.maxInstances {
		instance := r.cheapest(request, missing)
		if instance == nil {
			return
		}
		r.remaining[instance.InstanceKind]--
		missing -= instance.fill(request, missing)
		r.planned = append(r.planned, instance)
	}
}

// fill takes as many tasks of the request as there is capacity for, and says how many.
func (p *plannedInstance) fill(request *CapacityRequest, missing int64) int64 {
	tasks := min(missing, request.Resources.Count(p.free))
	p.free = p.free.Sub(request.Resources.Times(tasks))
	return tasks
}

// available tells whether one more instance of the kind may be planned. Not all are of one
// kind: what the cloud has of it shows in its answer only.
func (r *round) available(kind InstanceKind) bool {
	remaining, seen := r.remaining[kind]
	if !seen {
		remaining = min(r.limit(kind), max(1, r.maxInstances/kindShare))
		r.remaining[kind] = remaining
	}
	return remaining > 0
}

// cheapest is an empty instance of the kind that costs least a task, of those that are
// available; nil if there is none.
func (r *round) cheapest(request *CapacityRequest, missing int64) *plannedInstance {
	best, bestCost := (*plannedInstance)(nil), 0.0
	for _, instanceType := range r.types {
		slots := request.Resources.Count(instanceType.Capacity)
		if slots == 0 {
			continue
		}
		for _, kind := range kindsOf(instanceType) {
			if !request.Allows(kind) || !r.available(kind) {
				continue
			}
			if cost := request.cost(instanceType, kind.Spot, slots, missing); best == nil || cost < bestCost {
				best, bestCost = &plannedInstance{kind, instanceType.Capacity}, cost
			}
		}
	}
	return best
}

// kindsOf are the kinds of an instance type in the order of preference among equal costs.
func kindsOf(instanceType *workload.InstanceType) []InstanceKind {
	kinds := make([]InstanceKind, 0, 2*len(instanceType.Zones))
	for _, zone := range instanceType.Zones {
		kinds = append(kinds, InstanceKind{instanceType.Name, zone, true}, InstanceKind{instanceType.Name, zone, false})
	}
	return kinds
}

// cost is what an instance costs over boot and use, for each task of the request that it takes.
func (r *CapacityRequest) cost(instanceType *workload.InstanceType, spot bool, slots, missing int64) float64 {
	price := instanceType.Price
	if spot {
		price = instanceType.SpotPrice
	}
	cost := price * micros.Seconds(instanceType.Boot+r.Hold) / float64(min(slots, missing))
	if r.Service {
		cost *= 1 + float64(slots)/float64(max(1, r.Replicas))
		if r.Urgent {
			cost *= 1 + float64(instanceType.Boot)/float64(urgentBoot)
		}
	}
	return cost
}

// instanceRequests are the planned instances by kind, in the order in which the kinds were
// first chosen.
func (r *round) instanceRequests() []InstanceRequest {
	var requests []InstanceRequest
	for _, instance := range r.planned {
		sameKind := func(request InstanceRequest) bool { return request.InstanceKind == instance.InstanceKind }
		if i := slices.IndexFunc(requests, sameKind); i >= 0 {
			requests[i].Count++
		} else {
			requests = append(requests, InstanceRequest{instance.InstanceKind, 1})
		}
	}
	return requests
}
