package coordination

import (
	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/membership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// lagTTL is how long what a partition leader said of its flows' lags counts for its successor.
	lagTTL = 30 * micros.Second
	// lagLogInterval is how often flows that are behind are logged.
	lagLogInterval = 10 * micros.Second
)

// fairShares is what a partition leader knows of how far flows are behind. Off, it is nil, and
// no flow is.
type fairShares struct {
	queue    *admission.FairQueue
	bound    micros.Time // a lag up to it has no effect
	loggedAt micros.Time
}

// newFairShares goes on from what the last leader of a partition told of its flows: which flow
// is next does not begin anew with every failover.
func (c *Core) newFairShares(partition int) *fairShares {
	if c.fairAdmission == nil {
		return nil
	}
	bound := micros.Time(c.config.Operator.FairAdmission.LagS) * micros.Second
	queue := admission.NewFairQueue(c.now, len(c.config.Settings.Teams), bound, &c.fairAdmission.settings)
	if lags := latestLags(c.peers, partition, c.now); len(lags) > 0 {
		queue.Restore(c.now, lags)
	}
	return &fairShares{queue: queue, bound: bound}
}

// latestLags are the lags of a partition's flows, as the member that told of them last did.
func latestLags(peers *membership.Peers, partition int, now micros.Time) []admission.FlowLag {
	var latest []admission.FlowLag
	var latestAt micros.Time
	for _, peer := range peers.All() {
		if now-peer.ReceivedAt > lagTTL || peer.ReceivedAt <= latestAt {
			continue
		}
		for i := range peer.Status.Partitions {
			if s := &peer.Status.Partitions[i]; s.Partition == partition && len(s.Lags) > 0 {
				latest, latestAt = s.Lags, peer.ReceivedAt
			}
		}
	}
	return latest
}

// lagBeyondBound is how far a flow is behind its fair share, if that is more than the bound.
// Exception to the design, whose index knows no flows: such work goes before the rest, after
// what is guaranteed, so that a flow of low priority is not starved by a steady stream.
func (s *fairShares) lagBeyondBound(flow admission.Flow) admission.Lag {
	if s == nil {
		return admission.Lag{}
	}
	return s.queue.Lag(flow).Beyond(s.bound)
}

// lags are those of the flows that are behind, for the peers.
func (s *fairShares) lags() []admission.FlowLag {
	if s == nil {
		return nil
	}
	return s.queue.Lags()
}

// advanceShares brings the lags to now, by what every flow uses and waits for.
func (p *partitionLeader) advanceShares(unreconciled bool) {
	if p.fairShares == nil {
		return
	}
	p.fairShares.queue.Advance(p.core.now, p.flowLoads(unreconciled))
	p.logShares()
}

// flowLoads is what the flows of arrays use, and whether they wait for capacity alone: what its
// team's quota limit keeps waiting is not behind.
func (p *partitionLeader) flowLoads(unreconciled bool) []admission.Load {
	var loads []admission.Load
	for _, j := range p.sortedJobs {
		if j.Kind != workload.Array {
			continue
		}
		load := admission.Load{Flow: flowOf(j.Job)}
		for _, a := range j.activeAttempts {
			if a.state != messages.Exited {
				load.Use += a.resources.CPU
			}
		}
		load.Waiting = p.startable(j, unreconciled) && p.quotaAllowance(j) > 0
		if load.Use > 0 || load.Waiting {
			loads = append(loads, load)
		}
	}
	return loads
}

// logShares logs which flows are behind.
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
		p.core.log(level, "flow behind its fair share",
			"partition", p.partition,
			"team", l.Flow.Team,
			"class", l.Flow.Class,
			"team_lag_ms", l.Lag.Team/micros.Millisecond,
			"class_lag_ms", l.Lag.Class/micros.Millisecond)
	}
}
