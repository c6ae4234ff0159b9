package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/workload"
)

// acceptsStarts reports whether the machine takes new tasks now, regardless of a task's constraints.
func (p *partitionLeader) acceptsStarts(m *machine) bool {
	return m.instanceType != nil && p.schedulable(m) && m.lifecycle.startsPausedUntil <= p.core.now
}

// mayRunOn reports whether the job's placement constraints allow its tasks on the machine.
func (j *job) mayRunOn(m *machine) bool {
	return scheduling.MayRunOn(j.Job, m.record.InstanceType, m.record.Zone, m.record.Spot)
}

// activeTasksByZone returns the number of the job's active tasks in each zone.
func (j *job) activeTasksByZone() map[string]int {
	byZone := map[string]int{}
	for _, a := range j.activeAttempts {
		byZone[a.machine.record.Zone]++
	}
	return byZone
}

// zoneHasCapacity reports whether the job's one-zone or spread constraint allows another task in a
// zone, given its active tasks.
func (j *job) zoneHasCapacity(activeByZone map[string]int, zone string) bool {
	there := activeByZone[zone]
	if j.OneZone && there == 0 && len(activeByZone) > 0 {
		return false
	}
	return !j.Spread || there < j.SpreadLimit()
}

// freeResources returns the resources that no attempt on the machine occupies.
func (m *machine) freeResources() workload.Resources {
	free := m.instanceType.Capacity
	for _, a := range m.attempts {
		if a.state != messages.Exited {
			free = free.Sub(a.resources)
		}
	}
	return free
}

// replicasOn returns the number of service replicas on a machine.
func replicasOn(m *machine) int {
	n := 0
	for _, a := range m.attempts {
		if a.isReplica() {
			n++
		}
	}
	return n
}
