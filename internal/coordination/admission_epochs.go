package coordination

import (
	"errors"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// epochCheckInterval is the interval at which the cluster leader checks whether an epoch is due.
	// The check is not made at every tick because summing the demand on all controllers is expensive.
	epochCheckInterval = 250 * micros.Millisecond
	// minCapacityDivisor sets the minimum share of the store's write rate that is available to new
	// jobs, one divided by it, however much was recently used for other writes.
	minCapacityDivisor = 4
	// changesPerJob is the minimum number of writes per job: one when it is accepted, one when it
	// ends. The second comes later, so the current usage does not include it yet.
	changesPerJob = 2
	// peerUsageTTL is how long the usage in a peer's status is valid.
	peerUsageTTL = 3 * micros.Second
)

// admissionChanged processes the cached record of the admission epoch. sent is the time when the
// request that read the record was sent.
func (c *Core) admissionChanged(sent micros.Time) {
	f := c.fairAdmission
	stored := c.cache.Admission
	if f == nil || stored.ModRevision == 0 {
		return
	}
	skew := micros.FromSeconds(c.config.Settings.SkewMS / 1000)
	err := f.view.Observe(stored.Value, sent, c.now, c.wall, skew)
	switch {
	case err == nil:
		if e := f.view.Current(c.now); e != nil {
			c.log(messages.LevelDebug, "admission epoch observed",
				"epoch", e.Number, "leader", e.Leader, "flows", len(e.Windows))
		}
	case errors.Is(err, admission.ErrStale) || c.now-f.ignoredLoggedAt < ignoredLogInterval:
	default:
		f.ignoredLoggedAt = c.now
		c.log(messages.LevelWarn, "admission epoch ignored", "mod_revision", stored.ModRevision, "err", err)
	}
}

// tickAdmission writes the next epoch when it is due, as the cluster leader. It does so only while an
// epoch is in force or submissions are refused for lack of capacity.
func (c *Core) tickAdmission() {
	f := c.fairAdmission
	if f == nil || f.epochWriteInFlight || c.now-f.epochCheckedAt < epochCheckInterval {
		return
	}
	f.epochCheckedAt = c.now
	if f.view.Current(c.now) == nil && !f.recentlyRefused(c.now) {
		return
	}
	f.resetPlannerOnNewToken(c.leader.Revision())
	demand := f.totalDemand(c.now, c.process.Member)
	capacity := c.admissionCapacity(demand)
	epoch := f.planner.Next(&f.view, admission.Situation{
		Now:      c.now,
		Wall:     c.wall,
		Leader:   c.leader.Revision(),
		Demand:   demand,
		Capacity: capacity,
	})
	if epoch != nil {
		c.writeEpoch(epoch, demand, capacity)
	}
}

// resetPlannerOnNewToken resets the planner if the cluster leader's fencing token has changed.
func (f *fairAdmission) resetPlannerOnNewToken(leaderRevision uint64) {
	if f.leaderRevision != leaderRevision {
		f.leaderRevision, f.planner = leaderRevision, admission.NewPlanner(f.settings)
	}
}

// writeEpoch writes an epoch, and logs the demand and the capacity that it was planned for.
func (c *Core) writeEpoch(epoch *admission.Epoch, demand admission.Demand, capacity int64) {
	f := c.fairAdmission
	key := c.keys.Admission()
	f.epochWriteInFlight = c.callStore(&storage.Request{
		Kind: storage.Txn,
		// A write that is applied late, or comes from a replaced cluster leader, must have no effect.
		Compares: []storage.Compare{c.leaderCompare(), {Key: key, ModRevision: c.cache.Admission.ModRevision}},
		Puts:     []storage.Put{{Key: key, Value: storage.Encode(epoch)}},
	}, storage.Critical, storeTimeout, func(r *storage.Reply) {
		f.epochWriteInFlight = false
		if r.Outcome != storage.OK {
			// The store may refuse the write because of the very overload that the epoch is to end,
			// so the next check retries instead of waiting until the next epoch is due. If the write
			// was applied after all, the compare of the record's mod revision fails the retry.
			f.planner.Failed()
			return
		}
		c.log(messages.LevelInfo, "admission epoch written", "epoch", epoch.Number, "flows", len(epoch.Windows),
			"rest_ppm", int64(epoch.Rest.Width)*1_000_000/admission.Points,
			"refused", demand.Refused, "admitted", demand.Admitted, "capacity_milli", capacity)
	})
	if f.epochWriteInFlight {
		f.planner.Written(c.now)
	}
}

// admissionCapacity returns the number of jobs that can be accepted per second, in thousandths: the
// store's write rate less the writes that are used for anything but new jobs.
func (c *Core) admissionCapacity(demand admission.Demand) int64 {
	total := c.storeLimiter.TotalWriteRate()
	used := c.storeLimiter.RecentUsage().Writes
	for member, peer := range c.peers.All() {
		if member != c.process.Member && c.now-peer.ReceivedAt < peerUsageTTL {
			used += peer.Status.Usage.Writes
		}
	}
	unused := total - max(0, used-demand.AcceptRate)
	return max(total/minCapacityDivisor, min(total/changesPerJob, unused))
}
