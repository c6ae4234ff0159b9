package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/workload"
)

func TestMergeCapacityRequests(t *testing.T) {
	base := provisioning.CapacityRequest{Resources: workload.Resources{CPU: 1000}, Count: 2, InstanceTypes: []string{"m"}}
	for _, c := range []struct {
		name   string
		change func(*provisioning.CapacityRequest)
		merged bool
	}{
		{"equal except for the count", func(r *provisioning.CapacityRequest) { r.Count = 5 }, true},
		{"other resources", func(r *provisioning.CapacityRequest) { r.Resources.CPU++ }, false},
		{"spot", func(r *provisioning.CapacityRequest) { r.Spot = true }, false},
		{"other zone", func(r *provisioning.CapacityRequest) { r.Zone = "b" }, false},
		{"for a service", func(r *provisioning.CapacityRequest) { r.Service = true }, false},
		{"urgent", func(r *provisioning.CapacityRequest) { r.Urgent = true }, false},
		{"other instance types", func(r *provisioning.CapacityRequest) { r.InstanceTypes = nil }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			other := base
			c.change(&other)
			got := mergeCapacityRequests([]provisioning.CapacityRequest{base, other})
			if merged := len(got) == 1; merged != c.merged {
				t.Fatalf("merged %v, want %v: %+v", merged, c.merged, got)
			}
			count := 0
			for _, r := range got {
				count += r.Count
			}
			if count != base.Count+other.Count {
				t.Errorf("for %d tasks, want %d", count, base.Count+other.Count)
			}
		})
	}
}

// TestMergeCapacityRequestsIsBounded checks that the first requests are kept, and that later ones for
// the same capacity are still added to them.
func TestMergeCapacityRequestsIsBounded(t *testing.T) {
	var requests []provisioning.CapacityRequest
	for i := range maxCapacityRequests + 3 {
		requests = append(requests, provisioning.CapacityRequest{Resources: workload.Resources{CPU: int64(i)}, Count: 1})
	}
	requests = append(requests, requests[0])
	got := mergeCapacityRequests(requests)
	if len(got) != maxCapacityRequests || got[0].Count != 2 || got[maxCapacityRequests-1].Count != 1 {
		t.Errorf("%d requests, the first for %d tasks", len(got), got[0].Count)
	}
}
