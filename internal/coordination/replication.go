package coordination

import (
	"pipitlatch/internal/coordination/leadership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// replication is the controller's standing with the state service: its permit, its
// registration and its copy of the state.
type replication struct {
	cache       *storage.Cache
	synced      bool // the cache is whole
	loading     *storage.Cache
	loadRetryAt micros.Time
	election    campaignState

	watchInFlight       bool
	watchSentAt         micros.Time
	watchRetryAt        micros.Time
	term                leadership.Term
	previousWatchSentAt micros.Time // when the watch before the last was sent
}

// campaignState paces the campaign for cluster leadership.
type campaignState struct {
	inFlight bool
	retryAt  micros.Time
}

const storeTimeout = 2 * micros.Second

// watchInterval keeps watches within a share of the request budget.
func (c *Core) watchInterval() micros.Time {
	share := c.config.Settings.StateLimits().RPS / float64(c.config.Settings.Nodes)
	return micros.FromSeconds(min(1, 2.5/share))
}

func (c *Core) tickReplication() {
	c.member.RenewLease()
	c.loadSnapshot()
	c.watchChanges()
	if c.synced {
		c.member.Register(c.cache)
	}
	c.campaign()
}

// loadSnapshot reads the whole state, page by page, when there is no valid copy.
func (c *Core) loadSnapshot() {
	if c.synced || c.loading != nil || c.now < c.loadRetryAt {
		return
	}
	c.loading = storage.NewCache(c.keys)
	c.loadSnapshotPage(c.loading, "", 0)
}

func (c *Core) loadSnapshotPage(into *storage.Cache, after string, base uint64) {
	fail := func() {
		c.loading = nil
		c.loadRetryAt = c.now + 200*micros.Millisecond
	}
	sent := c.now
	if !c.callStore(&storage.Request{Kind: storage.List, Key: c.keys.Prefix, After: after, Limit: 500}, storage.Urgent, 4*micros.Second, func(r *storage.Reply) {
		if r.Outcome != storage.OK || (r.More && len(r.Items) == 0) {
			fail()
			return
		}
		if base == 0 {
			base = r.Revision // the stream starts where the first page was read
		}
		for _, it := range r.Items {
			if _, _, err := into.Apply(it); err != nil {
				c.log(messages.LevelWarn, "undecodable record", "err", err)
			}
			if into.Archived {
				break // what follows is read when somebody asks for it
			}
		}
		if r.More && !into.Archived {
			c.loadSnapshotPage(into, r.Items[len(r.Items)-1].Key, base)
			return
		}
		into.SnapshotComplete()
		into.Revision = base
		c.loading = nil
		c.installSnapshot(into, sent)
	}) {
		fail()
	}
}

// installSnapshot takes a fresh copy of the state. What lay between the copies is
// unknown, so a lease counts as the same only if its version is, and nothing is
// done under it until the stream has confirmed it once more.
func (c *Core) installSnapshot(r *storage.Cache, sent micros.Time) {
	old := c.cache
	c.cache, c.synced = r, true
	c.term.Invalidate()
	for n, h := range c.partitions {
		if v := r.Partitions[n]; v.ModRevision != h.lease.fencingToken || v.Value.Leader != c.process {
			delete(c.partitions, n)
			continue
		}
		h.reconcileSnapshot(old)
	}
	for n := range r.Partitions {
		c.partitionChanged(n)
	}
	c.recordDeadProcesses()
	c.admissionChanged(sent)
	r.TakeAffected() // everything was looked at
	c.log(messages.LevelInfo, "snapshot loaded", "revision", r.Revision, "jobs", len(r.Jobs))
}

func (c *Core) watchChanges() {
	if !c.synced || c.watchInFlight || c.now < c.watchRetryAt || c.now-c.watchSentAt < c.watchInterval() {
		return
	}
	sent := c.now
	wait := micros.Second
	c.watchInFlight = c.callStore(&storage.Request{Kind: storage.Watch, Key: c.keys.Prefix, Revision: c.cache.Revision, Wait: wait},
		storage.Urgent, wait+3*micros.Second, func(r *storage.Reply) {
			c.watchInFlight = false
			switch r.Outcome {
			case storage.OK:
				c.term.Confirm(sent)
				defer func() { c.previousWatchSentAt = sent }() // what the next brings came after this
				seen := c.cache.Admission.ModRevision
				for _, it := range r.Items {
					c.applyChange(it)
				}
				if c.cache.Admission.ModRevision != seen {
					c.admissionChanged(sent)
				}
				c.reevaluateAffected()
				c.cache.Revision = max(c.cache.Revision, r.Revision)
				c.releaseReads()
			case storage.Compacted:
				c.synced = false
			default:
				c.watchRetryAt = c.now + 100*micros.Millisecond
			}
		})
	if c.watchInFlight {
		c.watchSentAt = sent
	}
}

// applyChange takes one change from the stream: the only way in which a holder learns
// of jobs and of the loss of its lease, so that it learns them in their order.
func (c *Core) applyChange(it storage.Item) {
	ch, changed, err := c.cache.Apply(it)
	if err != nil {
		c.log(messages.LevelWarn, "undecodable record", "err", err)
		return
	}
	if !changed {
		return
	}
	switch ch.Kind {
	case "node":
		c.recordDeadProcesses()
	case "queue":
		for n := range c.cache.Partitions {
			if c.keys.Partition(n) == it.Key {
				c.partitionChanged(n)
			}
		}
	case "block":
		for _, n := range sortedKeys(c.partitions) {
			for _, m := range ch.Machines {
				c.partitions[n].machineChanged(m)
			}
		}
	case "job", "fin":
		if ch.Kind == "job" && c.isCancelled(ch.ID) {
			c.noteCancellation(ch.ID, it.ModRevision, false)
		}
		for _, n := range sortedKeys(c.partitions) {
			c.partitions[n].jobChanged(ch.ID)
		}
	}
}

// recordDeadProcesses dates the end of former holders.
func (c *Core) recordDeadProcesses() {
	for _, q := range c.cache.Partitions {
		for _, p := range q.Value.FormerLeaders {
			if _, ok := c.deathTimes[p]; !ok && c.cache.Dead(p) {
				c.deathTimes[p] = c.now
			}
		}
	}
}

func (c *Core) campaign() {
	if !c.synced || c.member.LeaseID() == 0 || c.election.inFlight || c.now < c.election.retryAt || !c.cache.Live(c.process) {
		return
	}
	// The key of a leader whose member runs a newer process stays until its permit
	// ends: that process is surely dead, so its key can be taken over at once.
	if l := c.cache.ClusterLeader; l.ModRevision != 0 && !c.cache.Dead(l.Value) {
		return
	}
	c.election.inFlight = c.callStore(&storage.Request{Kind: storage.Txn,
		Compares: []storage.Compare{{Key: c.keys.ClusterLeader(), ModRevision: c.cache.ClusterLeader.ModRevision}},
		Puts:     []storage.Put{{Key: c.keys.ClusterLeader(), Value: storage.Encode(c.process), Lease: c.member.LeaseID()}},
	}, storage.Urgent, storeTimeout, func(r *storage.Reply) {
		c.election.inFlight = false
		c.election.retryAt = c.now + 300*micros.Millisecond
		if r.Outcome == storage.LeaseNotFound {
			c.member.LeaseNotFound()
		}
	})
}

// isClusterLeader tells whether this process is the leader, as far as it can know.
func (c *Core) isClusterLeader() bool {
	return c.synced && c.cache.ClusterLeader.ModRevision != 0 && c.cache.ClusterLeader.Value == c.process
}

// leaderCompare is the condition of every transaction of the leader: they may be
// applied late.
func (c *Core) leaderCompare() storage.Compare {
	return storage.Compare{Key: c.keys.ClusterLeader(), ModRevision: c.cache.ClusterLeader.ModRevision}
}

// partitionChanged takes a change of a queue's holder or token.
func (c *Core) partitionChanged(n int) {
	v, ok := c.cache.Partitions[n]
	h := c.partitions[n]
	if !ok || v.Value.Leader != c.process {
		if h != nil {
			c.log(messages.LevelWarn, "partition leadership lost", "partition", n, "leader", v.Value.Leader.Member)
			delete(c.partitions, n)
		}
		return
	}
	c.recordDeadProcesses()
	if h == nil {
		c.partitions[n] = newPartitionLeader(c, n, v)
		c.log(messages.LevelInfo, "partition leadership acquired", "partition", n, "fencing_token", v.ModRevision, "machines", len(c.partitions[n].machines), "jobs", len(c.partitions[n].jobs))
		return
	}
	h.renewToken(v.ModRevision)
}
