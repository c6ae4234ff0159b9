package coordination

import (
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// minPlanInterval bounds how often the timelines are rebuilt.
	minPlanInterval = 100 * micros.Millisecond
	// planTimeDivisor bounds the part of the time that is spent on it: the next plan comes
	// this many times as late as the last one took.
	planTimeDivisor = 20
	// maxPlanInterval is how often they are rebuilt without a change: estimates of
	// running tasks run out, and slots come due.
	maxPlanInterval = 1000 * micros.Millisecond
)

// planState is what the planner keeps from one plan to the next.
type planState struct {
	stale            bool // something changed since the last plan
	lastRunAt        micros.Time
	interval         micros.Time // until the next plan
	capacityRequests []provisioning.CapacityRequest
	allReconciled    bool // all machines are, or were, reconciled
	fleetLoggedAt    micros.Time

	// The rest is of one plan, and begins anew with the next.

	serviceReplicas   int                         // tasks of services, running or not
	unreconciledUsage workload.Resources          // what unreconciled machines may be running
	preemptionFailed  map[preemptionKey]bool      // found no machine to preempt on
	inheritedUrgency  map[string]inheritedUrgency // by job, of the jobs that depend on it
}

// newPlanState is that of a new partition leader, which plans at once.
func newPlanState() planState {
	return planState{
		stale:            true,
		interval:         minPlanInterval,
		preemptionFailed: map[preemptionKey]bool{},
	}
}

// due tells whether it is time for a plan.
func (s *planState) due(now micros.Time) bool {
	age := now - s.lastRunAt
	return age >= s.interval && (s.stale || age >= maxPlanInterval)
}

// begin starts a plan.
func (s *planState) begin(now micros.Time) {
	s.lastRunAt, s.stale = now, false
	s.serviceReplicas = 0
	s.unreconciledUsage = workload.Resources{}
	clear(s.preemptionFailed)
	s.inheritedUrgency = nil
}

// recordDuration sets the time of the next plan by how long the last one recordDuration.
func (s *planState) recordDuration(duration micros.Time) {
	s.interval = min(maxPlanInterval, max(minPlanInterval, planTimeDivisor*duration))
}
