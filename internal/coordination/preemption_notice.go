package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// handlePreemptionNotice stops what will not have ended when the cloud takes the machine: it would
// be lost then, and begins elsewhere by the time of the notice sooner; what can save
// its progress does so.
func (p *partitionLeader) handlePreemptionNotice(m *machine) {
	if m.lifecycle.preemptAt == 0 || m.lifecycle.preemptionHandled || !m.agent.Acknowledged(p.lease.fencingToken) || !m.agent.Reconciled() {
		return
	}
	m.lifecycle.preemptionHandled = true
	left := m.lifecycle.preemptAt - p.core.now
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state == messages.Exited || a.stop.ordered || a.job == nil || a.job.Kind == workload.Service || p.remaining(a) <= left {
			continue
		}
		grace := micros.Time(0)
		if a.job.CheckpointInterval > 0 && a.job.CheckpointDuration < left {
			grace = a.job.CheckpointDuration
		}
		p.stopAttempt(a, grace)
	}
}
