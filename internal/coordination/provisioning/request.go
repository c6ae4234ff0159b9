// Package provisioning selects the instances to request from the cloud for the capacity that
// partitions lack (Choose) and tracks the state that this requires: instance kinds that the cloud
// has run out of (CapacityTracker), the rate limit for requests (RequestLimiter) and requests in
// progress (PendingRequests), instances confirmed as terminated (TerminatedInstances) or absent
// from the cloud's instance list (AbsentInstances), and machines to quarantine because of task
// failures (FaultTracker). It performs no I/O; the duties of the cluster leader send the requests.
package provisioning

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// CapacityRequest asks for capacity for a number of tasks with identical requirements.
type CapacityRequest struct {
	Resources     workload.Resources // of one task
	Count         int
	Spot          bool     // whether spot instances are allowed
	InstanceTypes []string // allowed instance types; empty: all
	Zone          string   // required zone; empty: any
	Service       bool
	// Replicas is the total number of service replicas. Headroom must be kept for the replicas of
	// one lost machine, which makes large machines cost more than their price.
	Replicas int
	Urgent   bool        // whether tasks are waiting for the capacity, so that boot time matters
	Hold     micros.Time // expected duration of use
}

// Allows reports whether instances of the kind meet the constraints of the request.
func (r *CapacityRequest) Allows(kind InstanceKind) bool {
	return (r.Spot || !kind.Spot) && (r.Zone == "" || r.Zone == kind.Zone) &&
		(len(r.InstanceTypes) == 0 || slices.Contains(r.InstanceTypes, kind.InstanceType))
}

// InstanceKind is a combination of properties for which instances can be requested from the cloud.
type InstanceKind struct {
	InstanceType string
	Zone         string
	Spot         bool
}

// Compare orders kinds by instance type, then zone, then on-demand before spot.
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
