package coordination

import (
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/micros"
)

// servicePlacement is a service in one planning pass.
type servicePlacement struct {
	rankedJob
	visited bool
	waiting int // pending replicas that the team's quota limit allows to run, when it was visited
	placed  int // replicas that started or have a slot
	// activeByZone is the number of active replicas in each zone.
	activeByZone map[string]int
}

// placeServices places the pending replicas of the services in their order, within the limits of a pass.
// Where a limit ends a pass, the next one continues, so that no service waits for good for the
// replicas of another. It returns requests for the missing capacity.
func (p *partitionLeader) placeServices(
	services []rankedJob, machines []*scheduling.Machine,
) []provisioning.CapacityRequest {
	placements := make([]*servicePlacement, len(services))
	for i, r := range services {
		placements[i] = &servicePlacement{rankedJob: r}
	}
	replicas, searches := maxReplicasPerPlan, maxServiceSearchesPerPlan
	p.plan.services.visit(placements, func(s *servicePlacement) bool {
		if replicas <= 0 || searches <= 0 {
			return false
		}
		if p.plan.preemptionSearches <= 0 {
			p.plan.services.continueAt(s.jobID())
		}
		searches -= p.placeService(s, machines, replicas)
		replicas -= s.placed
		return true
	})
	return p.serviceCapacityRequests(placements)
}

// placeService places up to limit pending replicas of a service and preempts work of lower priority for
// replicas that cannot start now. It returns the number of machines examined for slots.
func (p *partitionLeader) placeService(
	s *servicePlacement, machines []*scheduling.Machine, limit int,
) (searches int) {
	j := s.job
	s.visited, s.waiting = true, p.allowedTasks(j)
	count := min(s.waiting, limit)
	if count <= 0 {
		return 0
	}
	s.activeByZone = j.activeTasksByZone()
	s.placed = scheduling.Place(p.placementRequest(s.rankedJob, count), machines, func(slot scheduling.Slot) {
		m := p.machines[slot.Machine.Index]
		if slot.Machine.Up && slot.Start <= p.core.now && p.startReplica(s, m) {
			return
		}
		p.preemptFor(s, slot.Start)
	})
	for range count - s.placed {
		p.preemptFor(s, micros.Max)
	}
	return len(machines)
}

// startReplica starts the next pending replica of a service on a machine. It reports whether it did. The
// zone is checked against the replicas that are active: preemptFor may have started one in another zone
// than that of its slot.
func (p *partitionLeader) startReplica(s *servicePlacement, m *machine) bool {
	if !s.job.zoneHasCapacity(s.activeByZone, m.record.Zone) {
		return false
	}
	if !p.startTask(s.job, m, scheduling.Forever) {
		return false
	}
	s.activeByZone[m.record.Zone]++
	return true
}

// serviceCapacityRequests returns urgent requests for the capacity that services miss, in their order.
func (p *partitionLeader) serviceCapacityRequests(placements []*servicePlacement) []provisioning.CapacityRequest {
	var requests []provisioning.CapacityRequest
	for _, s := range placements {
		if !s.visited {
			s.waiting = p.allowedTasks(s.job)
		}
		missing := s.waiting - s.placed
		if missing <= 0 {
			continue
		}
		request := p.capacityRequest(s.job, missing)
		request.Urgent = true
		requests = append(requests, request)
	}
	return requests
}
