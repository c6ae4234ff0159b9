package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// maxCapacityRequests limits the requests of one partition, because every status message to the
	// cluster leader contains all of them.
	maxCapacityRequests = 32
	// maxWaves limits how many tasks one slot of a requested machine is assumed to run one after
	// another before the due date.
	maxWaves = 4
	// serviceHoldFactor is how many times longer capacity for services is expected to be used than
	// capacity for arrays.
	serviceHoldFactor = 4
)

// setCapacityRequests replaces the requests that are sent to the cluster leader by those of a
// planning pass.
func (p *partitionLeader) setCapacityRequests(requests []provisioning.CapacityRequest) {
	requests = mergeCapacityRequests(requests)
	if len(requests) > 0 && !slices.EqualFunc(requests, p.plan.capacityRequests, sameCapacityRequest) {
		p.core.status.soon = true // send them without waiting for the next regular status
	}
	p.plan.capacityRequests = requests
}

// capacityRequest returns a request for capacity to run count tasks of the job.
func (p *partitionLeader) capacityRequest(j *job, count int) provisioning.CapacityRequest {
	request := provisioning.CapacityRequest{
		Resources:     j.Resources,
		Count:         count,
		Spot:          j.Spot,
		InstanceTypes: j.InstanceTypes,
		Zone:          j.Zone,
		Service:       j.Kind == workload.Service,
		Hold:          micros.Time(p.core.config.Operator.IdleKeepS) * micros.Second,
	}
	if request.Service {
		request.Hold *= serviceHoldFactor
		request.Replicas = p.plan.serviceReplicas
	}
	return request
}

// arrayCapacityRequest requests enough slots that the missing tasks, run on new machines in
// successive waves, end by the due date. If not even one wave can, it requests a slot for each.
func (p *partitionLeader) arrayCapacityRequest(
	r rankedJob, missing int, boot micros.Time,
) (request provisioning.CapacityRequest, needed bool) {
	if missing <= 0 {
		return request, false
	}
	wavesBeforeDue := (r.queued.Due - p.core.now - boot) / max(1, r.queued.Estimate)
	waves := int(max(1, min(maxWaves, wavesBeforeDue)))
	return p.capacityRequest(r.job, (missing+waves-1)/waves), true
}

// sameCapacityRequest reports whether two requests differ so little that the change can wait for the
// next regular status.
func sameCapacityRequest(a, b provisioning.CapacityRequest) bool {
	return a.Count == b.Count && a.Resources == b.Resources && a.Service == b.Service && a.Urgent == b.Urgent
}

// sameCapacity reports whether two requests ask for the same kind of capacity.
func sameCapacity(a, b *provisioning.CapacityRequest) bool {
	return a.Resources == b.Resources && a.Spot == b.Spot && a.Zone == b.Zone && a.Service == b.Service &&
		a.Urgent == b.Urgent && slices.Equal(a.InstanceTypes, b.InstanceTypes)
}

// mergeCapacityRequests adds up the counts of requests for the same capacity, in order of first
// occurrence. Requests beyond maxCapacityRequests are dropped.
func mergeCapacityRequests(requests []provisioning.CapacityRequest) []provisioning.CapacityRequest {
	var merged []provisioning.CapacityRequest
	for i := range requests {
		same := slices.IndexFunc(merged, func(m provisioning.CapacityRequest) bool {
			return sameCapacity(&m, &requests[i])
		})
		if same >= 0 {
			merged[same].Count += requests[i].Count
		} else if len(merged) < maxCapacityRequests {
			merged = append(merged, requests[i])
		}
	}
	return merged
}
