package coordination

import (
	"pipitlatch/internal/admission"
	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/micros"
)

const (
	// lagKept is how long what a holder said of its flows' lags counts for its successor.
	lagKept = 30 * micros.Second
	// lagLogEvery is how often flows that are behind are logged.
	lagLogEvery = 10 * micros.Second
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
	var last *PartitionStatus
	var lastAt micros.Time
	for _, member := range sortedKeys(c.peers) {
		p := c.peers[member]
		if c.now-p.receivedAt > lagKept || p.receivedAt <= lastAt {
			continue
		}
		for i := range p.status.Partitions {
			if q := &p.status.Partitions[i]; q.Partition == queue && len(q.Lags) > 0 {
				last, lastAt = q, p.receivedAt
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
func (h *holder) advanceShares(silent bool) {
	if h.shares == nil {
		return
	}
	var loads []admission.Load
	for _, j := range h.order {
		if j.Kind != bookkeeping.Array {
			continue
		}
		l := admission.Load{Flow: flowOf(j.Job)}
		for _, a := range j.live {
			if a.state != Exited {
				l.Use += a.need.CPU
			}
		}
		l.Waiting = h.mayStart(j, silent) && h.allowance(j) > 0
		if l.Use > 0 || l.Waiting {
			loads = append(loads, l)
		}
	}
	h.shares.queue.Advance(h.c.now, loads)
	h.logShares()
}

// mayStart tells whether a job has tasks that may start once there is room.
func (h *holder) mayStart(j *job, silent bool) bool {
	if j.waiting.Len() == 0 || j.pause > h.c.now || j.cancelRequested || j.blocked {
		return false
	}
	// Tasks of a job older than the lease may run on any machine that is not known yet;
	// nothing of it starts until there is none.
	return !silent || j.version >= h.since
}

// behind is how far a job's flow is behind its fair share, if that is more than the bound.
// Exception to the design, whose index knows no flows: such work goes before the rest, after
// what is guaranteed, so that a flow of low priority is not starved by a steady stream.
func (h *holder) behind(j *job) admission.Lag {
	if h.shares == nil {
		return admission.Lag{}
	}
	return h.shares.queue.Lag(flowOf(j.Job)).Beyond(h.shares.bound)
}

// logShares tells which flows are behind.
func (h *holder) logShares() {
	s := h.shares
	if h.c.now-s.loggedAt < lagLogEvery {
		return
	}
	s.loggedAt = h.c.now
	for _, l := range s.queue.Lags() {
		level := levelDebug
		if l.Lag.Beyond(s.bound) != (admission.Lag{}) {
			level = levelInfo
		}
		h.c.log(level, "flow behind its fair share", "queue", h.queue, "team", l.Flow.Team, "class", l.Flow.Class,
			"team_lag_ms", l.Lag.Team/micros.Millisecond, "class_lag_ms", l.Lag.Class/micros.Millisecond)
	}
}

// lags is what the siblings are told.
func (h *holder) lags() []admission.FlowLag {
	if h.shares == nil {
		return nil
	}
	return h.shares.queue.Lags()
}
