package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/workload"
)

// acceptsStarts tells whether a task may be started on the machine now, whichever it is.
func (p *partitionLeader) acceptsStarts(m *machine) bool {
	return m.instanceType != nil && p.schedulable(m) && m.lifecycle.startsPausedUntil <= p.core.now
}

// mayRunOn tells whether the job's own conditions allow its tasks on the machine.
func (j *job) mayRunOn(m *machine) bool {
	return scheduling.MayRunOn(j.Job, m.record.InstanceType, m.record.Zone, m.record.Spot)
}

// zoneHasCapacity tells whether the job's active tasks allow another one in a zone.
func (j *job) zoneHasCapacity(zone string) bool {
	there := 0
	for _, a := range j.activeAttempts {
		if a.machine.record.Zone == zone {
			there++
		} else if j.OneZone {
			return false
		}
	}
	return !j.Spread || there < j.SpreadLimit()
}

// freeResources is what the machine's attempts leave free now.
func (m *machine) freeResources() workload.Resources {
	free := m.instanceType.Capacity
	for _, a := range m.attempts {
		if a.state != messages.Exited {
			free = free.Sub(a.resources)
		}
	}
	return free
}

// replicasOn is how many service replicas occupy a machine.
func replicasOn(m *machine) int {
	n := 0
	for _, a := range m.attempts {
		if a.isReplica() {
			n++
		}
	}
	return n
}
