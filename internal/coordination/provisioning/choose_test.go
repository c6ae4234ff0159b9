package provisioning

import (
	"slices"
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// instanceType returns an instance type in zone "a" that boots instantly.
func instanceType(name string, cpus int64, price, spotPrice float64) *workload.InstanceType {
	return &workload.InstanceType{Name: name, Capacity: workload.Resources{CPU: cpus}, Price: price, SpotPrice: spotPrice,
		Zones: []string{"a"}}
}

func withBoot(t *workload.InstanceType, boot micros.Time) *workload.InstanceType {
	t.Boot = boot
	return t
}

func withZones(t *workload.InstanceType, zones ...string) *workload.InstanceType {
	t.Zones = zones
	return t
}

func catalogOf(types ...*workload.InstanceType) workload.Catalog {
	catalog := workload.Catalog{}
	for _, t := range types {
		catalog[t.Name] = t
	}
	return catalog
}

// tasks returns a request for one-CPU tasks that run for one second, with the changes applied.
func tasks(count int, change ...func(*CapacityRequest)) CapacityRequest {
	request := CapacityRequest{Resources: workload.Resources{CPU: 1}, Count: count, Hold: micros.Second}
	for _, f := range change {
		f(&request)
	}
	return request
}

func allowSpot(r *CapacityRequest) { r.Spot = true }

func onlySmall(r *CapacityRequest) { r.InstanceTypes = []string{"small"} }

func onDemand(instanceType, zone string, count int) InstanceRequest {
	return InstanceRequest{InstanceKind{InstanceType: instanceType, Zone: zone}, count}
}

func unlimited(InstanceKind) int { return Unlimited }

const manyInstances = 1000

var (
	small, large = instanceType("small", 2, 2, 1), instanceType("large", 8, 8, 4)
	slow         = withBoot(instanceType("slow", 2, 1.9, 1), 30*micros.Second)
	zoned        = withZones(instanceType("zoned", 1, 1, 1), "b", "a")
	withGPU      = &workload.InstanceType{
		Name: "gpu", Capacity: workload.Resources{CPU: 8, GPU: 1}, Price: 1, Zones: []string{"a"},
	}
)

var chooseCases = []struct {
	name         string
	requests     []CapacityRequest
	types        []*workload.InstanceType
	limit        func(InstanceKind) int
	maxInstances int
	want         []InstanceRequest
}{
	{name: "no requests", types: []*workload.InstanceType{small}, maxInstances: manyInstances},
	{name: "no instance type is large enough",
		requests: []CapacityRequest{{Resources: workload.Resources{CPU: 3}, Count: 1}},
		types:    []*workload.InstanceType{small}, maxInstances: manyInstances},
	{name: "as many as the tasks require, the last one partly used",
		requests: []CapacityRequest{tasks(5)}, types: []*workload.InstanceType{small}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("small", "a", 3)}},
	{name: "lowest cost per task, not per slot",
		requests: []CapacityRequest{tasks(9)},
		types:    []*workload.InstanceType{small, instanceType("large", 8, 7.9, 4)}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("large", "a", 1), onDemand("small", "a", 1)}},
	{name: "at equal cost, first by type name and zone order of the type",
		requests: []CapacityRequest{tasks(1)}, types: []*workload.InstanceType{zoned, small}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("zoned", "b", 1)}},
	{name: "spot instances if allowed",
		requests: []CapacityRequest{tasks(2, allowSpot)}, types: []*workload.InstanceType{small}, maxInstances: manyInstances,
		want: []InstanceRequest{{InstanceKind{"small", "a", true}, 1}}},
	{name: "spot instances compared by spot price",
		requests: []CapacityRequest{tasks(2, allowSpot)},
		types:    []*workload.InstanceType{small, instanceType("volatile", 2, 3, 0.5)}, maxInstances: manyInstances,
		want: []InstanceRequest{{InstanceKind{"volatile", "a", true}, 1}}},
	{name: "allowed instance types only",
		requests: []CapacityRequest{tasks(2, func(r *CapacityRequest) { r.InstanceTypes = []string{"large"} })},
		types:    []*workload.InstanceType{small, large}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("large", "a", 1)}},
	{name: "requested zone only",
		requests: []CapacityRequest{tasks(1, func(r *CapacityRequest) { r.Zone = "a" })},
		types:    []*workload.InstanceType{zoned}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("zoned", "a", 1)}},
	{name: "cost includes boot time",
		requests: []CapacityRequest{tasks(2)}, types: []*workload.InstanceType{small, slow}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("small", "a", 1)}},
	{name: "boot time matters little for long tasks",
		requests: []CapacityRequest{tasks(2, func(r *CapacityRequest) { r.Hold = 3600 * micros.Second })},
		types:    []*workload.InstanceType{small, slow}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("slow", "a", 1)}},
	{name: "boot time matters for an urgent service even if long-running",
		requests: []CapacityRequest{tasks(2, func(r *CapacityRequest) {
			r.Hold, r.Service, r.Urgent, r.Replicas = 3600*micros.Second, true, true, 100
		})},
		types: []*workload.InstanceType{small, slow}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("small", "a", 1)}},
	{name: "small instances for a service with few replicas",
		requests: []CapacityRequest{tasks(8, func(r *CapacityRequest) { r.Service, r.Replicas = true, 8 })},
		types:    []*workload.InstanceType{small, instanceType("large", 8, 7, 4)}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("small", "a", 4)}},
	{name: "large instances for a service with many replicas",
		requests: []CapacityRequest{tasks(8, func(r *CapacityRequest) { r.Service, r.Replicas = true, 1000 })},
		types:    []*workload.InstanceType{small, instanceType("large", 8, 7, 4)}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("large", "a", 1)}},
	{name: "spare capacity is used for a later request that allows it",
		requests: []CapacityRequest{
			tasks(1, onlySmall), tasks(1, func(r *CapacityRequest) { r.Zone = "b" }), tasks(1, onlySmall),
		},
		types: []*workload.InstanceType{small, zoned}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("small", "a", 1), onDemand("zoned", "b", 1)}},
	{name: "spare capacity is used only once",
		requests: []CapacityRequest{tasks(1), tasks(1), tasks(1)},
		types:    []*workload.InstanceType{small}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("small", "a", 2)}},
	{name: "next cheapest kind beyond the limit of a kind",
		requests: []CapacityRequest{tasks(6)}, types: []*workload.InstanceType{small, instanceType("spare", 2, 3, 1)},
		limit: func(k InstanceKind) int {
			if k.InstanceType == "small" {
				return 2
			}
			return Unlimited
		},
		maxInstances: manyInstances,
		want:         []InstanceRequest{onDemand("small", "a", 2), onDemand("spare", "a", 1)}},
	{name: "limit of a kind applies across requests",
		requests: []CapacityRequest{tasks(2), tasks(4)}, types: []*workload.InstanceType{small},
		limit: func(InstanceKind) int { return 2 }, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("small", "a", 2)}},
	{name: "at most a fifth of maxInstances of one kind",
		requests: []CapacityRequest{tasks(100)}, types: []*workload.InstanceType{small}, maxInstances: 10,
		want: []InstanceRequest{onDemand("small", "a", 2)}},
	{name: "at least one of a kind allowed, at most maxInstances in total",
		requests: []CapacityRequest{tasks(100)},
		types: []*workload.InstanceType{small, instanceType("second", 2, 3, 1), instanceType("third", 2, 4, 1),
			instanceType("fourth", 2, 5, 1)},
		maxInstances: 3,
		want:         []InstanceRequest{onDemand("small", "a", 1), onDemand("second", "a", 1), onDemand("third", "a", 1)}},
	{name: "all resources must fit",
		requests: []CapacityRequest{{Resources: workload.Resources{CPU: 1, GPU: 1}, Count: 2, Hold: micros.Second}},
		types:    []*workload.InstanceType{small, withGPU}, maxInstances: manyInstances,
		want: []InstanceRequest{onDemand("gpu", "a", 2)}},
}

func TestChoose(t *testing.T) {
	for _, test := range chooseCases {
		t.Run(test.name, func(t *testing.T) {
			limit := test.limit
			if limit == nil {
				limit = unlimited
			}
			got := Choose(test.requests, catalogOf(test.types...), limit, test.maxInstances)
			if !slices.Equal(got, test.want) {
				t.Errorf("Choose = %v, want %v", got, test.want)
			}
		})
	}
}

func TestInstanceKindCompare(t *testing.T) {
	ordered := []InstanceKind{
		{"a", "a", false}, {"a", "a", true}, {"a", "b", false}, {"b", "a", false}, {"b", "a", true}, {"b", "b", true},
	}
	for i, x := range ordered {
		for j, y := range ordered {
			want := 0
			if i != j {
				want = 1
			}
			if i < j {
				want = -1
			}
			if got := x.Compare(y); got != want {
				t.Errorf("%v.Compare(%v) = %d, want %d", x, y, got, want)
			}
		}
	}
}
