package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// handlePreemptionNotice stops the tasks that are not expected to end before the cloud preempts the
// machine. They would be lost anyway; stopped now, they restart elsewhere earlier by the notice
// period. A task that can save a checkpoint in time gets the grace period for it. Service replicas
// keep serving until the machine is gone.
func (p *partitionLeader) handlePreemptionNotice(m *machine) {
	if m.lifecycle.preemptAt == 0 || m.lifecycle.preemptionHandled ||
		!m.agent.Acknowledged(m.requiredToken) || !m.agent.Reconciled() {
		return
	}
	m.lifecycle.preemptionHandled = true
	timeLeft := m.lifecycle.preemptAt - p.core.now
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state == messages.Exited || a.stop.ordered ||
			a.job == nil || a.job.Kind == workload.Service || p.remaining(a) <= timeLeft {
			continue
		}
		gracePeriod := micros.Time(0)
		if a.job.CheckpointInterval > 0 && a.job.CheckpointDuration < timeLeft {
			gracePeriod = a.job.CheckpointDuration
		}
		p.stopAttempt(a, reasonInstanceTaken, gracePeriod)
	}
}
