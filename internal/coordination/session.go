package coordination

import (
	"pipitlatch/internal/coordination/lease"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// session is the controller's standing with the state service: its permit, its
// registration and its copy of the state.
type session struct {
	replica *storage.Cache
	synced  bool // the replica is whole
	listing *storage.Cache
	listAt  micros.Time

	permit       uint64
	permitCall   bool
	permitAt     micros.Time // last grant or touch was sent
	permitTry    micros.Time
	registerCall bool
	registerAt   micros.Time

	watching   bool
	watchAt    micros.Time
	watchTry   micros.Time
	term       lease.Term
	newsBefore micros.Time // when the news before the last were sent for

	campaignCall bool
	campaignAt   micros.Time
}

const stateTimeout = 2 * micros.Second

func (c *Core) permitTTL() micros.Time {
	return micros.Time(c.cfg.Operator.PermitMs) * micros.Millisecond
}

// watchPace keeps watches within a share of the request budget.
func (c *Core) watchPace() micros.Time {
	share := c.cfg.Settings.StateLimits().RPS / float64(c.cfg.Settings.Nodes)
	return micros.FromSeconds(min(1, 2.5/share))
}

func (c *Core) tickSession() {
	c.tickPermit()
	c.tickList()
	c.tickWatch()
	c.tickRegister()
	c.tickCampaign()
}

func (c *Core) tickPermit() {
	if c.permitCall || c.now < c.permitTry {
		return
	}
	if c.permit == 0 {
		sent := c.now
		c.permitCall = c.callState(&storage.Request{Kind: storage.LeaseGrant, TTL: c.permitTTL()}, storage.Urgent, stateTimeout, func(r *storage.Reply) {
			c.permitCall = false
			if r.Outcome == storage.OK && r.Lease != 0 {
				c.permit, c.permitAt = r.Lease, sent
				return
			}
			c.permitTry = c.now + 200*micros.Millisecond
		})
		return
	}
	if c.now-c.permitAt < c.permitTTL()/4 {
		return
	}
	sent, permit := c.now, c.permit
	c.permitCall = c.callState(&storage.Request{Kind: storage.LeaseKeepAlive, Lease: permit}, storage.Urgent, c.permitTTL()/3, func(r *storage.Reply) {
		c.permitCall = false
		switch r.Outcome {
		case storage.OK:
			c.permitAt = sent
		case storage.NotFound, storage.LeaseNotFound:
			c.permit = 0
			c.log(levelWarn, "permit ended")
		default:
			c.permitTry = c.now + 100*micros.Millisecond
		}
	})
}

// tickList reads the whole state, page by page, when there is no valid copy.
func (c *Core) tickList() {
	if c.synced || c.listing != nil || c.now < c.listAt {
		return
	}
	c.listing = storage.NewCache(c.keys)
	c.listPage(c.listing, "", 0)
}

func (c *Core) listPage(into *storage.Cache, after string, base uint64) {
	fail := func() {
		c.listing = nil
		c.listAt = c.now + 200*micros.Millisecond
	}
	sent := c.now
	if !c.callState(&storage.Request{Kind: storage.List, Key: c.keys.Prefix, After: after, Limit: 500}, storage.Urgent, 4*micros.Second, func(r *storage.Reply) {
		if r.Outcome != storage.OK || (r.More && len(r.Items) == 0) {
			fail()
			return
		}
		if base == 0 {
			base = r.Revision // the stream starts where the first page was read
		}
		for _, it := range r.Items {
			if _, _, err := into.Apply(it); err != nil {
				c.log(levelWarn, "bad record", "err", err)
			}
			if into.Archived {
				break // what follows is read when somebody asks for it
			}
		}
		if r.More && !into.Archived {
			c.listPage(into, r.Items[len(r.Items)-1].Key, base)
			return
		}
		into.SnapshotComplete()
		into.Revision = base
		c.listing = nil
		c.adoptReplica(into, sent)
	}) {
		fail()
	}
}

// adoptReplica takes a fresh copy of the state. What lay between the copies is
// unknown, so a lease counts as the same only if its version is, and nothing is
// done under it until the stream has confirmed it once more.
func (c *Core) adoptReplica(r *storage.Cache, sent micros.Time) {
	old := c.replica
	c.replica, c.synced = r, true
	c.term.Invalidate()
	for n, h := range c.holders {
		if v := r.Partitions[n]; v.ModRevision != h.token || v.Value.Leader != c.proc {
			delete(c.holders, n)
			continue
		}
		h.resync(old)
	}
	for n := range r.Partitions {
		c.queueChanged(n)
	}
	c.noteEnds()
	c.admissionChanged(sent)
	r.TakeAffected() // everything was looked at
	c.log(levelInfo, "state read", "revision", r.Revision, "jobs", len(r.Jobs))
}

func (c *Core) tickWatch() {
	if !c.synced || c.watching || c.now < c.watchTry || c.now-c.watchAt < c.watchPace() {
		return
	}
	sent := c.now
	wait := micros.Second
	c.watching = c.callState(&storage.Request{Kind: storage.Watch, Key: c.keys.Prefix, Revision: c.replica.Revision, Wait: wait},
		storage.Urgent, wait+3*micros.Second, func(r *storage.Reply) {
			c.watching = false
			switch r.Outcome {
			case storage.OK:
				c.term.Confirm(sent)
				defer func() { c.newsBefore = sent }() // what the next brings came after this
				seen := c.replica.Admission.ModRevision
				for _, it := range r.Items {
					c.apply(it)
				}
				if c.replica.Admission.ModRevision != seen {
					c.admissionChanged(sent)
				}
				c.touched()
				c.replica.Revision = max(c.replica.Revision, r.Revision)
				c.releaseBarrier()
			case storage.Compacted:
				c.synced = false
			default:
				c.watchTry = c.now + 100*micros.Millisecond
			}
		})
	if c.watching {
		c.watchAt = sent
	}
}

// apply takes one change from the stream: the only way in which a holder learns
// of jobs and of the loss of its lease, so that it learns them in their order.
func (c *Core) apply(it storage.Item) {
	ch, changed, err := c.replica.Apply(it)
	if err != nil {
		c.log(levelWarn, "bad record", "err", err)
		return
	}
	if !changed {
		return
	}
	switch ch.Kind {
	case "node":
		c.noteEnds()
	case "queue":
		for n := range c.replica.Partitions {
			if c.keys.Partition(n) == it.Key {
				c.queueChanged(n)
			}
		}
	case "block":
		for _, n := range sortedKeys(c.holders) {
			for _, m := range ch.Machines {
				c.holders[n].blockChanged(m)
			}
		}
	case "job", "fin":
		if ch.Kind == "job" && c.isCancelled(ch.ID) {
			c.confirmed(ch.ID, it.ModRevision, false)
		}
		for _, n := range sortedKeys(c.holders) {
			c.holders[n].jobChanged(ch.ID)
		}
	}
}

// noteEnds dates the end of former holders.
func (c *Core) noteEnds() {
	for _, q := range c.replica.Partitions {
		for _, p := range q.Value.FormerLeaders {
			if _, ok := c.ends[p]; !ok && c.replica.Dead(p) {
				c.ends[p] = c.now
			}
		}
	}
}

func (c *Core) tickRegister() {
	if !c.synced || c.permit == 0 || c.registerCall || c.now < c.registerAt || c.replica.Live(c.proc) {
		return
	}
	key := c.keys.Member(c.proc.Member)
	// The condition keeps a late copy of an older process's registration from
	// replacing that of its successor.
	c.registerCall = c.callState(&storage.Request{Kind: storage.Txn,
		Compares: []storage.Compare{{Key: key, ModRevision: c.replica.Members[c.proc.Member].ModRevision}},
		Puts:     []storage.Put{{Key: key, Value: storage.Encode(storage.Registration{Process: c.proc, Format: storage.Format}), Lease: c.permit}},
	}, storage.Urgent, stateTimeout, func(r *storage.Reply) {
		c.registerCall = false
		c.registerAt = c.now + 300*micros.Millisecond
		if r.Outcome == storage.LeaseNotFound {
			c.permit = 0
		}
	})
}

func (c *Core) tickCampaign() {
	if !c.synced || c.permit == 0 || c.campaignCall || c.now < c.campaignAt || !c.replica.Live(c.proc) {
		return
	}
	// The key of a leader whose member runs a newer process stays until its permit
	// ends: that process is surely dead, so its key can be taken over at once.
	if l := c.replica.ClusterLeader; l.ModRevision != 0 && !c.replica.Dead(l.Value) {
		return
	}
	c.campaignCall = c.callState(&storage.Request{Kind: storage.Txn,
		Compares: []storage.Compare{{Key: c.keys.ClusterLeader(), ModRevision: c.replica.ClusterLeader.ModRevision}},
		Puts:     []storage.Put{{Key: c.keys.ClusterLeader(), Value: storage.Encode(c.proc), Lease: c.permit}},
	}, storage.Urgent, stateTimeout, func(r *storage.Reply) {
		c.campaignCall = false
		c.campaignAt = c.now + 300*micros.Millisecond
		if r.Outcome == storage.LeaseNotFound {
			c.permit = 0
		}
	})
}

// leading tells whether this process is the leader, as far as it can know.
func (c *Core) leading() bool {
	return c.synced && c.replica.ClusterLeader.ModRevision != 0 && c.replica.ClusterLeader.Value == c.proc
}

// asLeader is the condition of every transaction of the leader: they may be
// applied late.
func (c *Core) asLeader() storage.Compare {
	return storage.Compare{Key: c.keys.ClusterLeader(), ModRevision: c.replica.ClusterLeader.ModRevision}
}

// queueChanged takes a change of a queue's holder or token.
func (c *Core) queueChanged(n int) {
	v, ok := c.replica.Partitions[n]
	h := c.holders[n]
	if !ok || v.Value.Leader != c.proc {
		if h != nil {
			c.log(levelWarn, "queue lost", "queue", n, "holder", v.Value.Leader.Member)
			delete(c.holders, n)
		}
		return
	}
	c.noteEnds()
	if h == nil {
		c.holders[n] = newHolder(c, n, v)
		c.log(levelInfo, "queue taken", "queue", n, "token", v.ModRevision, "machines", len(c.holders[n].machines), "jobs", len(c.holders[n].jobs))
		return
	}
	h.newToken(v.ModRevision)
}
