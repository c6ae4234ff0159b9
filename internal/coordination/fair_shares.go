package coordination

import (
	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// lagTTL is how long what a holder said of its flows' lags counts for its successor.
	lagTTL = 30 * micros.Second
	// lagLogInterval is how often flows that are behind are logged.
	lagLogInterval = 10 * micros.Second
)

// fairShares is what a holder knows of how far flows are behind. Off, it is nil.
type fairShares struct {
	queue    *admission.FairQueue
	bound    micros.Time
	loggedAt micros.Time
}

// newFairShares goes on from what the last holder of a queue told of its flows: which flow
// is next does not begin anew with every change of holder.
func (c *Core) newFairShares(queue int) *fairShares {
	if c.fair == nil {
		return nil
	}
	bound := micros.Time(c.config.Operator.FairAdmission.LagS) * micros.Second
	s := &fairShares{queue: admission.NewFairQueue(c.now, len(c.config.Settings.Teams), bound, &c.fair.settings), bound: bound}
	var last *messages.PartitionStatus
	var lastAt micros.Time
	for _, p := range c.peers.All() {
		if c.now-p.ReceivedAt > lagTTL || p.ReceivedAt <= lastAt {
			continue
		}
		for i := range p.Status.Partitions {
			if q := &p.Status.Partitions[i]; q.Partition == queue && len(q.Lags) > 0 {
				last, lastAt = q, p.ReceivedAt
			}
		}
	}
	if last != nil {
		s.queue.Restore(c.now, last.Lags)
	}
	return s
}

// advanceShares brings the lags to now, and takes what every flow uses and whether it waits
// for room alone: what its team's limit keeps waiting is not behind.
func (p *partitionLeader) advanceShares(silent bool) {
	if p.fairShares == nil {
		return
	}
	var loads []admission.Load
	for _, j := range p.sortedJobs {
		if j.Kind != workload.Array {
			continue
		}
		l := admission.Load{Flow: flowOf(j.Job)}
		for _, a := range j.activeAttempts {
			if a.state != messages.Exited {
				l.Use += a.resources.CPU
			}
		}
		l.Waiting = p.startable(j, silent) && p.quotaAllowance(j) > 0
		if l.Use > 0 || l.Waiting {
			loads = append(loads, l)
		}
	}
	p.fairShares.queue.Advance(p.core.now, loads)
	p.logShares()
}

// startable tells whether a job has tasks that may start once there is room.
func (p *partitionLeader) startable(j *job, silent bool) bool {
	if j.pendingTasks.Len() == 0 || j.startsPausedUntil > p.core.now || j.cancelRequested || j.blockedByDependencies {
		return false
	}
	// Tasks of a job older than the lease may run on any machine that is not known yet;
	// nothing of it starts until there is none.
	return !silent || j.modRevision >= p.lease.acquiredToken
}

// lagBeyondBound is how far a job's flow is behind its fair share, if that is more than the bound.
// Exception to the design, whose index knows no flows: such work goes before the rest, after
// what is guaranteed, so that a flow of low priority is not starved by a steady stream.
func (p *partitionLeader) lagBeyondBound(j *job) admission.Lag {
	if p.fairShares == nil {
		return admission.Lag{}
	}
	return p.fairShares.queue.Lag(flowOf(j.Job)).Beyond(p.fairShares.bound)
}

// logShares tells which flows are behind.
func (p *partitionLeader) logShares() {
	s := p.fairShares
	if p.core.now-s.loggedAt < lagLogInterval {
		return
	}
	s.loggedAt = p.core.now
	for _, l := range s.queue.Lags() {
		level := messages.LevelDebug
		if l.Lag.Beyond(s.bound) != (admission.Lag{}) {
			level = messages.LevelInfo
		}
		p.core.log(level, "flow behind its fair share", "partition", p.partition, "team", l.Flow.Team, "class", l.Flow.Class,
			"team_lag_ms", l.Lag.Team/micros.Millisecond, "class_lag_ms", l.Lag.Class/micros.Millisecond)
	}
}

// flowLags is what the siblings are told.
func (p *partitionLeader) flowLags() []admission.FlowLag {
	if p.fairShares == nil {
		return nil
	}
	return p.fairShares.queue.Lags()
}
