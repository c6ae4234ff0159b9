package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"
)

// Limits on the entries of one status message to the peers, so that it fits into one message with the
// longest names and any fleet size. Entries that do not fit go into a later message. That is soon
// enough, because the cluster leader terminates 100 machines at a time and transfers one idle machine
// at a time.
const (
	maxTerminationsPerStatus = 1000
	maxIdlePerStatus         = 100 // spot machines, and as many on-demand ones
	maxProgressPerMessage    = 500 // jobs
)

// status returns the report on the partition to the cluster leader: the capacity that the partition
// requests, and the machines that can be terminated or transferred.
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
	multiplePartitions := p.core.partitionCount() > 1
	idle := map[bool]int{} // number of idle machines listed, by whether they are spot machines
	for _, m := range p.machines {
		switch {
		case p.unresponsivenessInDoubt(m):
		case p.readyForTermination(m):
			if len(s.Terminate) < maxTerminationsPerStatus {
				s.Terminate = append(s.Terminate, m.id)
			}
		case multiplePartitions && idle[m.record.Spot] < maxIdlePerStatus && p.schedulable(m) && p.transferable(m):
			idle[m.record.Spot]++
			s.Idle = append(s.Idle, m.id)
		}
	}
	return s
}

// unresponsivenessInDoubt reports whether the machine drains as unresponsive although the network of
// this controller or of the machine's zone may be at fault. Such a machine is not terminated unless
// its agent lease expired.
func (p *partitionLeader) unresponsivenessInDoubt(m *machine) bool {
	return m.drain.reason == drainUnresponsive &&
		(p.detector.NetworkSuspected(p.core.now) || p.detector.ZoneVerdictPending(p.core.now, m.record.Zone)) &&
		!m.agent.LeaseExpired() &&
		!p.agentLeaseExpired(m, p.detector.Silence(p.core.now, m.contact.LastContact()))
}

// readyForTermination reports whether the machine drains and can be terminated now, because its tasks
// are lost or it has none.
func (p *partitionLeader) readyForTermination(m *machine) bool {
	reason := m.drain.reason
	if reason == notDraining {
		return false
	}
	lost := reason == drainUnresponsive || reason == drainBootTimeout || reason == drainUnresolvedStart
	return lost || m.decommissioned() || p.terminable(m)
}

// jobProgress returns the progress of jobs, which the peers show to users. If there are more jobs than
// fit in one message, the next message continues where this one ended.
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

// compareJobID compares a job with an id, for binary searches in sortedJobs.
func compareJobID(j *job, id string) int { return cmp.Compare(j.ID, id) }
