package coordination

import (
	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/membership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// lagTTL is how long the lags reported by a partition leader are valid for its successor.
	lagTTL = 30 * micros.Second
	// lagLogInterval is the shortest time between log records about lagging flows.
	lagLogInterval = 10 * micros.Second
)

// fairShares tracks how far flows are behind their fair share. It is nil if fair admission is off;
// then no flow has a lag.
type fairShares struct {
	queue    *admission.FairQueue
	bound    micros.Time // lags up to this have no effect
	loggedAt micros.Time
}

// newFairShares restores the lags that the previous leader of the partition reported, so that a
// failover does not reset the order of flows. It returns nil if fair admission is off.
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

// latestLags returns the lags of a partition's flows from the most recent peer status that has any.
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

// lagBeyondBound returns how far a flow is behind its fair share if that exceeds the bound, else
// zero. Such work precedes all other work except for guaranteed quota, so that a steady stream of
// other work does not starve a flow of low priority. This deviates from the scheduling model, whose
// index has no flows.
func (s *fairShares) lagBeyondBound(flow admission.Flow) admission.Lag {
	if s == nil {
		return admission.Lag{}
	}
	return s.queue.Lag(flow).Beyond(s.bound)
}

// lags returns the lags to be sent to the peers: those of the waiting flows that are behind, limited to
// the largest ones by admission.FairQueue.Lags.
func (s *fairShares) lags() []admission.FlowLag {
	if s == nil {
		return nil
	}
	return s.queue.Lags()
}

// advanceShares updates the lags to the current time from what each flow uses and waits for.
func (p *partitionLeader) advanceShares(unreconciled bool) {
	if p.fairShares == nil {
		return
	}
	p.fairShares.queue.Advance(p.core.now, p.flowLoads(unreconciled))
	p.logShares()
}

// flowLoads returns the CPU use of each array job, and whether the job waits for capacity. A job that
// waits because of its team's quota limit does not fall behind.
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

// logShares logs the flows that are behind, at info level if beyond the bound.
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
