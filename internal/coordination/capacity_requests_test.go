package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
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

// numberedRequests returns count requests for different capacity.
func numberedRequests(count int) []provisioning.CapacityRequest {
	var requests []provisioning.CapacityRequest
	for i := range count {
		requests = append(requests, provisioning.CapacityRequest{Resources: workload.Resources{CPU: int64(i)}, Count: 1})
	}
	return requests
}

// TestCapacityRequestsAreBounded checks that a message has no more requests than fit, that the first ones are
// kept, and that later ones for the same capacity are still added to them.
func TestCapacityRequestsAreBounded(t *testing.T) {
	requests := numberedRequests(maxCapacityRequests + 3)
	requests = append(requests, requests[0])
	got := (&requestTurns{}).choose(mergeCapacityRequests(requests), 0)
	if len(got) != maxCapacityRequests || got[0].Count != 2 || got[maxCapacityRequests-1].Count != 1 {
		t.Errorf("%d requests, the first for %d tasks", len(got), got[0].Count)
	}
	for i := range leadingCapacityRequests {
		if got[i].Resources.CPU != int64(i) {
			t.Errorf("request %d is number %d", i, got[i].Resources.CPU)
		}
	}
}

// TestCapacityRequestsTakeTurns checks that each of many requests is in the messages, for a whole turn, once all
// have had their turn, and that no message has one twice.
func TestCapacityRequestsTakeTurns(t *testing.T) {
	for _, count := range []int{maxCapacityRequests, maxCapacityRequests + 1, 3 * maxCapacityRequests, 1000} {
		requests := numberedRequests(count)
		turns := &requestTurns{}
		seen := map[int64]int{}
		var now micros.Time
		for range count/(maxCapacityRequests-leadingCapacityRequests) + 1 {
			inMessage := map[int64]bool{}
			for range 2 { // planning passes in a turn
				for _, r := range turns.choose(requests, now) {
					seen[r.Resources.CPU]++
					inMessage[r.Resources.CPU] = true
				}
				now += capacityRequestTurn / 2
			}
			if len(inMessage) != maxCapacityRequests {
				t.Fatalf("%d requests: %d different ones in a turn, want %d", count, len(inMessage), maxCapacityRequests)
			}
		}
		for i := range count {
			if seen[int64(i)] < 2 {
				t.Errorf("%d requests: number %d was sent %d times, want 2 or more", count, i, seen[int64(i)])
			}
		}
	}
}
