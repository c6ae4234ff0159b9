package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"
)

// What one status message to the peers has room for, with the longest names, whatever the size
// of the fleet. The next message has what is left then: the cluster leader terminates a hundred
// machines at a time, and transfers one idle machine at a time.
const (
	maxTerminationsPerStatus = 1000
	maxIdlePerStatus         = 100 // spot machines, and as many others
	maxProgressPerMessage    = 500 // jobs
)

// status is what the cluster leader learns of the partition: the capacity that it requests, and
// the machines that can be terminated or transferred.
func (p *partitionLeader) status() messages.PartitionStatus {
	s := messages.PartitionStatus{
		Partition:        p.partition,
		FencingToken:     p.lease.fencingToken,
		CapacityRequests: p.plan.capacityRequests,
		UnreachableZones: p.detector.UnreachableZones(),
	}
	if !p.core.term.Valid(p.core.now) {
		return s
	}
	s.Lags = p.fairShares.lags()
	severalPartitions := p.core.partitionCount() > 1
	idle := map[bool]int{} // of spot machines, and of the others
	for _, m := range p.machines {
		switch {
		case p.unresponsivenessInDoubt(m):
		case p.canBeTerminated(m):
			if len(s.Terminate) < maxTerminationsPerStatus {
				s.Terminate = append(s.Terminate, m.id)
			}
		case severalPartitions && idle[m.record.Spot] < maxIdlePerStatus && p.schedulable(m) && p.transferable(m):
			idle[m.record.Spot]++
			s.Idle = append(s.Idle, m.id)
		}
	}
	return s
}

// unresponsivenessInDoubt tells whether the machine drains as unresponsive although the network
// near this controller or to its zone may be at fault: it is not terminated for that, unless its
// agent lease expired.
func (p *partitionLeader) unresponsivenessInDoubt(m *machine) bool {
	return m.drain.reason == drainUnresponsive &&
		(p.detector.NetworkSuspected(p.core.now) || p.detector.ZoneVerdictPending(p.core.now, m.record.Zone)) &&
		!m.agent.LeaseExpired()
}

// canBeTerminated tells whether the machine drains and need not be waited for: its tasks are
// lost, or it has none.
func (p *partitionLeader) canBeTerminated(m *machine) bool {
	reason := m.drain.reason
	if reason == notDraining {
		return false
	}
	lost := reason == drainUnresponsive || reason == drainBootTimeout || reason == drainUnresolvedStart
	return lost || m.decommissioned() || p.terminable(m)
}

// jobProgress is how far jobs are, for display by the peers. With more jobs than one message
// takes, the next goes on where the last ended, so that none is left out.
func (p *partitionLeader) jobProgress() []messages.JobProgress {
	first, _ := slices.BinarySearchFunc(p.sortedJobs, p.progressCursor, compareJobID)
	var progress []messages.JobProgress
	for k := range p.sortedJobs {
		j := p.sortedJobs[(first+k)%len(p.sortedJobs)]
		if len(progress) == maxProgressPerMessage {
			p.progressCursor = j.ID
			break
		}
		entry := messages.JobProgress{ID: j.ID, Done: j.completedCount(), Running: j.runningCount()}
		if entry.Running > 0 || entry.Done > 0 || p.core.progress.get(j.ID) != (messages.JobProgress{}) {
			progress = append(progress, entry)
		}
	}
	return progress
}

// compareJobID orders a job against an id, for searches in sortedJobs.
func compareJobID(j *job, id string) int { return cmp.Compare(j.ID, id) }
