package provisioning

import (
	"cmp"
	"maps"
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// urgentBootScale is the boot time that doubles the cost of an instance for an urgent service.
	urgentBootScale = 15 * micros.Second
	// kindShareDivisor limits each kind to 1/kindShareDivisor of the instances of a selection.
	kindShareDivisor = 5
)

// Choose selects instances for the capacity requests in order, minimizing the cost per task over
// boot and use. It selects at most maxInstances in total and limit instances of each kind. Spare
// capacity on an instance selected for one request is used for the following ones.
func Choose(requests []CapacityRequest, catalog workload.Catalog, limit func(InstanceKind) int,
	maxInstances int) []InstanceRequest {
	r := newSelection(catalog, limit, maxInstances)
	for i := range requests {
		r.plan(&requests[i])
	}
	return r.instanceRequests()
}

// selection is the state of one call of Choose.
type selection struct {
	types        []*workload.InstanceType // sorted by name
	limit        func(InstanceKind) int
	maxInstances int
	remaining    map[InstanceKind]int // instances that may still be planned, for the kinds seen so far
	planned      []*plannedInstance
}

// plannedInstance is an instance to request and its capacity that is not used yet.
type plannedInstance struct {
	InstanceKind
	free workload.Resources
}

func newSelection(catalog workload.Catalog, limit func(InstanceKind) int, maxInstances int) *selection {
	types := slices.SortedFunc(maps.Values(catalog), func(a, b *workload.InstanceType) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return &selection{types: types, limit: limit, maxInstances: maxInstances, remaining: map[InstanceKind]int{}}
}

// plan assigns the tasks of a request to planned instances, adding instances as needed.
func (r *selection) plan(request *CapacityRequest) {
	unassigned := int64(request.Count)
	for _, instance := range r.planned {
		if unassigned > 0 && request.Allows(instance.InstanceKind) {
			unassigned -= instance.fill(request, unassigned)
		}
	}
	for unassigned > 0 && len(r.planned) < r.maxInstances {
		instance := r.cheapest(request, unassigned)
		if instance == nil {
			return
		}
		r.remaining[instance.InstanceKind]--
		unassigned -= instance.fill(request, unassigned)
		r.planned = append(r.planned, instance)
	}
}

// fill assigns as many of the unassigned tasks of the request to the instance as fit and returns
// their number.
func (p *plannedInstance) fill(request *CapacityRequest, unassigned int64) int64 {
	tasks := min(unassigned, request.Resources.Count(p.free))
	p.free = p.free.Sub(request.Resources.Times(tasks))
	return tasks
}

// available reports whether another instance of the kind may be planned. A selection is spread over
// several kinds because the cloud reveals the available capacity of a kind only in its response.
func (r *selection) available(kind InstanceKind) bool {
	remaining, seen := r.remaining[kind]
	if !seen {
		remaining = min(r.limit(kind), max(1, r.maxInstances/kindShareDivisor))
		r.remaining[kind] = remaining
	}
	return remaining > 0
}

// cheapest returns an empty instance of the available kind with the lowest cost per task, or nil if
// no kind is available.
func (r *selection) cheapest(request *CapacityRequest, unassigned int64) *plannedInstance {
	best, bestCost := (*plannedInstance)(nil), 0.0
	for _, instanceType := range r.types {
		slots := request.Resources.Count(instanceType.Capacity)
		if slots == 0 {
			continue
		}
		for _, kind := range instanceKinds(instanceType) {
			if !request.Allows(kind) || !r.available(kind) {
				continue
			}
			if cost := request.cost(instanceType, kind.Spot, slots, unassigned); best == nil || cost < bestCost {
				best, bestCost = &plannedInstance{kind, instanceType.Capacity}, cost
			}
		}
	}
	return best
}

// instanceKinds returns the kinds of an instance type in order of preference at equal cost.
func instanceKinds(instanceType *workload.InstanceType) []InstanceKind {
	kinds := make([]InstanceKind, 0, 2*len(instanceType.Zones))
	for _, zone := range instanceType.Zones {
		kinds = append(kinds, InstanceKind{instanceType.Name, zone, true}, InstanceKind{instanceType.Name, zone, false})
	}
	return kinds
}

// cost returns the cost of an instance over boot and use, per task that it would run. For a service, it
// is multiplied by a factor that grows with the share of the replicas that fit on the instance, because
// headroom must be kept for the replicas of one lost machine. For an urgent service, it is also
// multiplied by a factor that grows with the boot time (urgentBootScale).
func (r *CapacityRequest) cost(instanceType *workload.InstanceType, spot bool, slots, unassigned int64) float64 {
	price := instanceType.Price
	if spot {
		price = instanceType.SpotPrice
	}
	cost := price * micros.Seconds(instanceType.Boot+r.Hold) / float64(min(slots, unassigned))
	if r.Service {
		cost *= 1 + float64(slots)/float64(max(1, r.Replicas))
		if r.Urgent {
			cost *= 1 + float64(instanceType.Boot)/float64(urgentBootScale)
		}
	}
	return cost
}

// instanceRequests returns the planned instances grouped by kind, in the order in which the kinds
// were first selected.
func (r *selection) instanceRequests() []InstanceRequest {
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
