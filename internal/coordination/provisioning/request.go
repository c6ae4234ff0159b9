// Package provisioning decides which instances to request from the cloud for the capacity that
// partitions lack (Choose), and remembers what that takes: which kinds the cloud has run out of
// (CapacityTracker), how many requests its rate limit allows (RequestLimiter) and which are under
// way (PendingRequests), which instances are surely gone (TerminatedInstances) or absent from the
// cloud's list (AbsentInstances), and which machines to quarantine for their failures
// (FaultTracker). It sends nothing: the duties of the cluster leader do.
package provisioning

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// CapacityRequest asks for capacity for a number of tasks that need the same.
type CapacityRequest struct {
	Resources     workload.Resources // of one task
	Count         int
	Spot          bool     // spot instances will do
	InstanceTypes []string // that will do; empty: all
	Zone          string   // that is wanted; empty: any
	Service       bool
	// Replicas is how many replicas there are in all: headroom for those of one lost
	// machine has to be kept, so large machines cost more than their price.
	Replicas int
	Urgent   bool        // tasks wait for it now: boot time counts
	Hold     micros.Time // how long the capacity is expected to be used
}

// Allows tells whether an instance of the kind could serve the request.
func (r *CapacityRequest) Allows(kind InstanceKind) bool {
	return (r.Spot || !kind.Spot) && (r.Zone == "" || r.Zone == kind.Zone) &&
		(len(r.InstanceTypes) == 0 || slices.Contains(r.InstanceTypes, kind.InstanceType))
}

// InstanceKind is one thing that can be requested from the cloud.
type InstanceKind struct {
	InstanceType string
	Zone         string
	Spot         bool
}

// Compare orders kinds by instance type, zone, and on-demand before spot.
func (k InstanceKind) Compare(other InstanceKind) int {
	spot := 0
	if k.Spot != other.Spot {
		spot = 1
		if other.Spot {
			spot = -1
		}
	}
	return cmp.Or(cmp.Compare(k.InstanceType, other.InstanceType), cmp.Compare(k.Zone, other.Zone), spot)
}

// InstanceRequest asks the cloud for a number of instances of one kind.
type InstanceRequest struct {
	InstanceKind
	Count int
}
