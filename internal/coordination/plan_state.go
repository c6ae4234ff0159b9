package coordination

import (
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// minPlanInterval is the shortest time between two planning passes.
	minPlanInterval = 100 * micros.Millisecond
	// planTimeDivisor limits the share of time spent on planning: the next pass starts at the
	// earliest after this many times the duration of the last one.
	planTimeDivisor = 20
	// maxPlanInterval is the longest time between two passes. Even without a change a pass is
	// needed, because running tasks exceed their estimates and planned slots come due.
	maxPlanInterval = 1000 * micros.Millisecond
)

// planState is the planner's state. Most fields persist between planning passes.
type planState struct {
	stale            bool // something has changed since the last pass
	lastRunAt        micros.Time
	interval         micros.Time // minimum time between the last pass and the next
	capacityRequests []provisioning.CapacityRequest
	requestTurns     requestTurns
	turnsLoggedAt    micros.Time
	allReconciled    bool // all machines have been reconciled at least once
	fleetLoggedAt    micros.Time
	limitLoggedAt    micros.Time
	services         roundRobin[*servicePlacement]
	longWaiting      roundRobin[rankedJob]
	leftOut          roundRobin[*arrayPlacement]

	// The fields below belong to a single pass; begin resets them.

	serviceReplicas   int                // tasks of services, whether they run or not
	unreconciledUsage workload.Resources // upper bound of what runs on unreconciled machines
	// preemptionFailed has the tasks for which no machine was found to preempt on.
	preemptionFailed map[preemptionKey]bool
	// preemptionCandidates has the machines to preempt on, for the replicas looked at so far.
	preemptionCandidates map[preemptionCandidatesKey]*preemptionHeap
	// preemptionSearches is how many more machines may be examined for work to preempt for services.
	preemptionSearches int
	// objectiveSearches is the same for arrays that would miss an objective.
	objectiveSearches int
	inheritedUrgency  map[string]inheritedUrgency // memoized by job ID
}

// newPlanState returns the state of a new partition leader, which plans at once.
func newPlanState() planState {
	return planState{
		stale:            true,
		interval:         minPlanInterval,
		preemptionFailed: map[preemptionKey]bool{},

		preemptionCandidates: map[preemptionCandidatesKey]*preemptionHeap{},
	}
}

// due reports whether it is time for a planning pass.
func (s *planState) due(now micros.Time) bool {
	age := now - s.lastRunAt
	return age >= s.interval && (s.stale || age >= maxPlanInterval)
}

// begin starts a planning pass and resets the state that belongs to a single pass.
func (s *planState) begin(now micros.Time) {
	s.lastRunAt, s.stale = now, false
	s.serviceReplicas = 0
	s.unreconciledUsage = workload.Resources{}
	clear(s.preemptionFailed)
	clear(s.preemptionCandidates)
	s.preemptionSearches = maxPreemptionSearchesPerPlan
	s.objectiveSearches = maxObjectiveSearchesPerPlan
	s.inheritedUrgency = nil
}

// recordDuration sets the interval to the next pass from the duration of the last one.
func (s *planState) recordDuration(duration micros.Time) {
	s.interval = min(maxPlanInterval, max(minPlanInterval, planTimeDivisor*duration))
}
