package coordination

import (
	"slices"
	"strings"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// maxCapacityRequests limits the requests of one partition in a status message to the cluster leader.
	maxCapacityRequests = 32
	// leadingCapacityRequests is how many of them are the first ones in the order of the plan; the rest of
	// the message is for the others in turns.
	leadingCapacityRequests = maxCapacityRequests / 2
	// capacityRequestTurn is how long a request remains in the message in its turn, so that the cluster
	// leader acts on it: a status message and a round of instance requests take less.
	capacityRequestTurn = 1500 * micros.Millisecond
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
	merged := mergeCapacityRequests(requests)
	requests = p.plan.requestTurns.choose(merged, p.core.now)
	if len(requests) < len(merged) {
		p.logRequestTurns(len(merged))
	}
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

// capacityKind is what requests have in common that can be served together.
type capacityKind struct {
	resources     workload.Resources
	spot          bool
	zone          string
	service       bool
	urgent        bool
	instanceTypes string
}

func capacityKindOf(r *provisioning.CapacityRequest) capacityKind {
	return capacityKind{
		resources:     r.Resources,
		spot:          r.Spot,
		zone:          r.Zone,
		service:       r.Service,
		urgent:        r.Urgent,
		instanceTypes: strings.Join(r.InstanceTypes, "\x00"),
	}
}

// mergeCapacityRequests adds up the counts of requests for the same capacity, in order of first
// occurrence.
func mergeCapacityRequests(requests []provisioning.CapacityRequest) []provisioning.CapacityRequest {
	var merged []provisioning.CapacityRequest
	position := map[capacityKind]int{}
	for i := range requests {
		kind := capacityKindOf(&requests[i])
		if same, ok := position[kind]; ok {
			merged[same].Count += requests[i].Count
			continue
		}
		position[kind] = len(merged)
		merged = append(merged, requests[i])
	}
	return merged
}

// requestTurns chooses the capacity requests of a status message if there are more than fit. Requests that the
// cloud cannot serve remain for as long as their jobs wait, so those behind them take turns: otherwise
// the cluster leader would never learn of them.
type requestTurns struct {
	next    int // position of the first request of the present turn among those that take turns
	beganAt micros.Time
}

// choose returns all requests if they fit into a message. Otherwise it returns the leading ones, and of the
// others those whose turn it is.
func (t *requestTurns) choose(requests []provisioning.CapacityRequest, now micros.Time) []provisioning.CapacityRequest {
	if len(requests) <= maxCapacityRequests {
		*t = requestTurns{beganAt: now}
		return requests
	}
	const inTurn = maxCapacityRequests - leadingCapacityRequests
	if now-t.beganAt >= capacityRequestTurn {
		t.next += inTurn
		t.beganAt = now
	}
	chosen := slices.Clone(requests[:leadingCapacityRequests])
	others := requests[leadingCapacityRequests:]
	if t.next >= len(others) {
		t.next = 0
	}
	for i := range inTurn {
		chosen = append(chosen, others[(t.next+i)%len(others)])
	}
	return chosen
}
