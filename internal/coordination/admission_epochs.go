package coordination

import (
	"errors"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// epochCheckInterval is how often the cluster leader checks whether an epoch is due: adding up
	// the demand that all controllers saw takes time.
	epochCheckInterval = 250 * micros.Millisecond
	// minCapacityDivisor is the part of the store's writes that new jobs get at least, whatever was
	// used for other things of late.
	minCapacityDivisor = 4
	// changesPerJob is how many writes a job takes at least: it is accepted, and it ends. The
	// second comes later, so that what is used now does not show it yet.
	changesPerJob = 2
	// peerUsageTTL is how long the usage in a peer's status counts.
	peerUsageTTL = 3 * micros.Second
)

// admissionChanged takes the epoch's record as it was read by a request that was sent at a time.
func (c *Core) admissionChanged(sent micros.Time) {
	f := c.fair
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

// tickAdmission writes the next epoch, as the cluster leader, while there is an overload.
func (c *Core) tickAdmission() {
	f := c.fair
	if f == nil || f.epochWriteInFlight || c.now-f.epochCheckedAt < epochCheckInterval {
		return
	}
	f.epochCheckedAt = c.now
	if f.view.Current(c.now) == nil && !f.refusedLately(c.now) {
		return
	}
	f.planAs(c.leader.Revision())
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

// planAs begins planning anew when the cluster leadership under which the planner plans is another.
func (f *fairAdmission) planAs(leaderRevision uint64) {
	if f.leaderRevision != leaderRevision {
		f.leaderRevision, f.planner = leaderRevision, admission.NewPlanner(f.settings)
	}
}

// writeEpoch writes an epoch; the demand and the capacity that it was planned for are logged.
func (c *Core) writeEpoch(epoch *admission.Epoch, demand admission.Demand, capacity int64) {
	f := c.fair
	key := c.keys.Admission()
	f.epochWriteInFlight = c.callStore(&storage.Request{
		Kind: storage.Txn,
		// Carried out late, or of a cluster leader that was replaced, it has no effect.
		Compares: []storage.Compare{c.leaderCompare(), {Key: key, ModRevision: c.cache.Admission.ModRevision}},
		Puts:     []storage.Put{{Key: key, Value: storage.Encode(epoch)}},
	}, storage.Critical, storeTimeout, func(r *storage.Reply) {
		f.epochWriteInFlight = false
		if r.Outcome != storage.OK {
			// In the overload that it is to end the store refuses it as well: the next check tries
			// again, instead of waiting until the next epoch is due. If it was carried out all the
			// same, the compare of its own mod revision fails.
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

// admissionCapacity is how many jobs can be accepted a second, in thousandths: the writes that the
// store takes, less what is used for everything but new jobs.
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
