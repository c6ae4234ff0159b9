package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// maxCapacityRequests bounds the requests of one partition: the cluster leader is told of
	// them with every status.
	maxCapacityRequests = 32
	// maxWaves bounds how many tasks in a row one slot of a requested machine is reckoned to
	// take before the due date.
	maxWaves = 4
	// serviceHoldFactor is how many times as long as for arrays capacity for services is
	// expected to be used.
	serviceHoldFactor = 4
)

// setCapacityRequests makes the requests of a plan those that the cluster leader is told of.
func (p *partitionLeader) setCapacityRequests(requests []provisioning.CapacityRequest) {
	requests = mergeCapacityRequests(requests)
	if len(requests) > 0 && !slices.EqualFunc(requests, p.plan.capacityRequests, sameCapacityRequest) {
		p.core.status.soon = true // the cluster leader is to hear of them soon
	}
	p.plan.capacityRequests = requests
}

// capacityRequest is what a machine for a number of the job's tasks has to offer.
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

// arrayCapacityRequest is for so many slots that the waves of tasks on new machines end by the
// due date, or, if that is over anyway, for all at once.
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

// sameCapacityRequest tells whether the cluster leader need not hear of a change soon.
func sameCapacityRequest(a, b provisioning.CapacityRequest) bool {
	return a.Count == b.Count && a.Resources == b.Resources && a.Service == b.Service && a.Urgent == b.Urgent
}

// sameCapacity tells whether what suits one request suits the other.
func sameCapacity(a, b *provisioning.CapacityRequest) bool {
	return a.Resources == b.Resources && a.Spot == b.Spot && a.Zone == b.Zone && a.Service == b.Service &&
		a.Urgent == b.Urgent && slices.Equal(a.InstanceTypes, b.InstanceTypes)
}

// mergeCapacityRequests adds up requests for the same capacity, those first that came first.
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
