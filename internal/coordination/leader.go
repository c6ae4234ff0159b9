package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/fleet"
	"pipitlatch/internal/coordination/lease"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// leaderState is what the leader does: it leases queues, assigns machines, and
// alone rents and deletes them.
type leaderState struct {
	version    uint64 // of the leader key under which the rest was begun
	since      micros.Time
	assignAt   micros.Time
	assigning  bool
	counter    int
	renting    map[string]fleet.InstanceKind // charters with a call or write out
	retry      map[string]micros.Time        // charters: not before
	deleting   map[string]bool
	deleteCall bool
	deleteAt   micros.Time
	removing   map[string]micros.Time // blocks that lose machines: not again before
	gone       map[string]micros.Time
	listing    bool
	listAt     micros.Time
	deaf       map[storage.Process]micros.Time // holders that lost their machines: when
	absent     map[string]micros.Time          // blocks without a machine in the list: since when
	orphans    map[string]orphan
	adoptAt    micros.Time
	adoptKey   string // of a block whose write was not answered
	closed     uint64 // revision at which the last rental was written down, or became a block
	rentAt     micros.Time
	cloudLeft  float64 // rentals that may be sent
	cloudAt    micros.Time
	exhausted  *fleet.CapacityTracker
	shifts     map[string][]MachineTransfer
	shiftAt    micros.Time
	archive    archive
	formatCall bool
	formatAt   micros.Time
}

func (l *leaderState) begin(c *Core) {
	l.version, l.since = c.replica.ClusterLeader.ModRevision, c.now
	l.assigning, l.deleteCall, l.listing = false, false, false
	l.renting, l.retry = map[string]fleet.InstanceKind{}, map[string]micros.Time{}
	l.deleting, l.removing, l.orphans = map[string]bool{}, map[string]micros.Time{}, map[string]orphan{}
	l.closed = c.replica.Revision
	l.absent = map[string]micros.Time{}
	l.deaf = map[storage.Process]micros.Time{}
	l.gone = map[string]micros.Time{}
	l.counter, l.adoptKey = 0, ""
	l.archive = archive{}
	l.formatCall = false
	c.log(levelInfo, "leading", "token", l.version)
}

// recentlyGone are machines that are surely gone, told for a while, the latest first where
// one message has no room for all.
func (l *leaderState) recentlyGone(now micros.Time) []string {
	var out []string
	for m, at := range l.gone {
		if now-at < tellGoneFor {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(l.gone[b], l.gone[a]), cmp.Compare(a, b)) })
	return out[:min(len(out), maxGoneTold)]
}

const (
	// tellGoneFor is how long siblings are told that a machine is gone.
	tellGoneFor = 10 * micros.Second
	// maxGoneTold bounds the machines in one message. The records tell as well.
	maxGoneTold = 1000
)

func (c *Core) tickLeader() {
	if !c.leading() {
		return
	}
	l := &c.leader
	if l.version != c.replica.ClusterLeader.ModRevision {
		l.begin(c)
	}
	if c.permit == 0 || !c.term.Valid(c.now) {
		return
	}
	c.assignQueues()
	c.tickAdmission()
	c.deleteMachines()
	c.listMachines()
	c.rentMachines()
	c.removeBlocks()
	c.adoptMachines()
	c.shiftBlocks()
	c.tickArchive()
	c.tickFormat()
}

// assignQueues leases queues without a live holder. A holder that is registered
// but has not been heard from by the leader for long cannot tell its needs; its
// queues go to another.
func (c *Core) assignQueues() {
	l := &c.leader
	if l.assigning || c.now < l.assignAt {
		return
	}
	mute := func(p storage.Process) bool {
		v := c.peers[p.Member]
		heard := v != nil && v.status.From == p && c.now-v.at < 6*micros.Second
		return !heard && c.now-l.since > 6*micros.Second
	}
	todo := lease.Assign(c.replica, c.queues(), c.proc, func(p storage.Process) bool { return mute(p) || c.cutOff(p) }, c.reachOf)
	if len(todo) == 0 {
		return
	}
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.asLeader()}}
	for _, a := range todo {
		if len(r.Puts) >= c.cfg.Settings.StateLimits().TxnOps {
			break
		}
		m := a.Record.Leader.Member
		r.Compares = append(r.Compares,
			storage.Compare{Key: c.keys.Partition(a.Partition), ModRevision: c.replica.Partitions[a.Partition].ModRevision},
			storage.Compare{Key: c.keys.Member(m), ModRevision: c.replica.Members[m].ModRevision})
		r.Puts = append(r.Puts, storage.Put{Key: c.keys.Partition(a.Partition), Value: storage.Encode(a.Record)})
	}
	l.assigning = c.callState(r, storage.Urgent, stateTimeout, func(*storage.Reply) {
		l.assigning = false
		l.assignAt = c.now + 300*micros.Millisecond
	})
}

// deafFor is how long a controller that could not hear its machines is given no
// queue.
const deafFor = 30 * micros.Second

// clearGain is how many more machines another controller must reach at least, and
// an eighth of all, for a queue to change hands: that costs a second or two.
const clearGain = 3

// cutOff tells whether a holder has lost machines, but not the state service, while
// another controller reaches clearly more of them: the queue goes there, long before
// the workers' leases end. Two zones may not reach each other while a third reaches
// both. One that lost a queue gets none for a while, so it does not go back and forth.
func (c *Core) cutOff(p storage.Process) bool {
	l := &c.leader
	if at, ok := l.deaf[p]; ok && c.now-at < deafFor {
		return true
	}
	v := c.peers[p.Member]
	if v == nil || v.status.From != p || c.now-v.at > 3*micros.Second {
		return false
	}
	for _, q := range v.status.Partitions {
		if len(q.UnreachableZones) == 0 || c.replica.Partitions[q.Partition].Value.Leader != p {
			continue
		}
		mine, theirs, most := c.reachOf(p, q.Partition), 0, 0
		for _, o := range c.peers {
			if o.status.From != p && o.status.StoreReachable && c.replica.Live(o.status.From) {
				theirs = max(theirs, c.reachOf(o.status.From, q.Partition))
			}
		}
		for _, n := range c.inUse(q.Partition) {
			most += n
		}
		if theirs >= mine+max(clearGain, most/8) {
			c.log(levelInfo, "holder is cut off from machines", "holder", p.Member, "queue", q.Partition, "zones", q.UnreachableZones, "reaches", mine, "another", theirs)
			l.deaf[p] = c.now
			return true
		}
	}
	return false
}

func (c *Core) queues() int {
	n := 1
	for _, t := range c.teams {
		n = max(n, t.Partition+1)
	}
	return n
}

// statuses are what the present holders last said of their queues.
func (c *Core) statuses() []PartitionStatus {
	var out []PartitionStatus
	for _, m := range sortedKeys(c.peers) {
		p := c.peers[m]
		if c.now-p.at > statusLifetime {
			continue
		}
		for _, q := range p.status.Partitions {
			v := c.replica.Partitions[q.Partition]
			if v.Value.Leader == p.status.From && v.ModRevision == q.FencingToken {
				out = append(out, q)
			}
		}
	}
	return out
}

// deleteMachines deletes what holders let go. The cloud's 200 proves that the
// machines, and all on them, are gone.
func (c *Core) deleteMachines() {
	l := &c.leader
	// One that is cut off hears nobody, and what it asks of the cloud may be carried
	// out when the cut ends: it would delete machines that serve another by then.
	if l.deleteCall || c.now < l.deleteAt || c.alone() {
		return
	}
	var names []string
	add := func(m string) {
		if _, gone := l.gone[m]; !gone && !slices.Contains(names, m) && len(names) < 100 {
			names = append(names, m)
		}
	}
	for _, q := range c.statuses() {
		for _, m := range q.Terminate {
			if b, ok := c.replica.Machines[m]; ok && b.Value.Partition == q.Partition {
				add(m)
			}
		}
	}
	for _, m := range sortedKeys(l.deleting) {
		add(m)
	}
	if len(names) == 0 {
		return
	}
	l.deleteCall = true
	version := l.version
	c.callCloud(CloudCall{Operation: CloudTerminate, Names: names, Timeout: 3 * micros.Second}, func(r *CloudReply) {
		l.deleteCall = false
		l.deleteAt = c.now + 200*micros.Millisecond
		if r.Outcome != CloudOK {
			l.deleteAt = c.now + micros.Second
			return
		}
		for _, m := range names {
			c.machineGone(m)
		}
		if l.version == version {
			c.removeBlocks()
		}
		c.statusSoon = true
	})
}

// machineGone notes proof that a machine is gone.
func (c *Core) machineGone(m string) {
	c.leader.gone[m] = c.now
	if v, ok := c.replica.Machines[m]; ok {
		c.leader.exhausted.Terminated(fleet.InstanceKind{InstanceType: v.Value.InstanceType, Zone: v.Value.Zone, Spot: v.Value.Spot})
	}
	delete(c.leader.deleting, m)
	for _, n := range sortedKeys(c.holders) {
		c.holders[n].machineGone(m)
	}
}

// removeBlocks removes machines that are gone from their blocks' records.
func (c *Core) removeBlocks() {
	l := &c.leader
	gone := map[string][]string{} // by block
	for m, at := range l.gone {
		if b, ok := c.replica.Machines[m]; ok {
			gone[b.Value.Block] = append(gone[b.Value.Block], m)
		} else if c.now-at > goneFor {
			delete(l.gone, m)
		}
	}
	for _, name := range sortedKeys(gone) {
		slices.Sort(gone[name])
		if c.now < l.removing[name] {
			continue
		}
		b := c.replica.Blocks[name]
		r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.asLeader(), {Key: c.keys.Block(name), ModRevision: b.ModRevision}}}
		if rest := b.Value.Without(gone[name]...); len(rest.Machines) == 0 && rest.Requested == 0 {
			r.Deletes = append(r.Deletes, c.keys.Block(name))
		} else {
			c.putBlock(r, name, rest)
		}
		l.removing[name] = c.now + stateTimeout + micros.Second
		if !c.callState(r, storage.Deferrable, stateTimeout, func(*storage.Reply) { l.removing[name] = c.now + 500*micros.Millisecond }) {
			delete(l.removing, name)
			return
		}
	}
}

// goneFor is how long a machine that is gone is remembered after its record went:
// late copies of its reports, and lists, may still show it.
const goneFor = 300 * micros.Second

// listMachines compares the cloud's list with the blocks. Absence from a list
// proves nothing; a failed machine is gone, and an unknown one is adopted.
func (c *Core) listMachines() {
	l := &c.leader
	if l.listing || c.now < l.listAt {
		return
	}
	l.listing = true
	c.listMachinesPage("", map[string]bool{})
}

const (
	// listPage is how many machines one page of the cloud's list has.
	listPage = 500
	// listPace is how often the list is read where it has few pages.
	listPace = 2 * micros.Second
	// listShare is the part of the cloud's limit that lists may take: those of a large
	// fleet have many pages, and rentals and deletions need the rest.
	listShare = 0.25
)

// listPause is how long the next reading of the cloud's list waits.
func (c *Core) listPause() micros.Time {
	pages := 1 + len(c.replica.Machines)/listPage
	return max(listPace, micros.FromSeconds(float64(pages)/(c.cfg.Settings.Cloud.RPS*listShare)))
}

func (c *Core) listMachinesPage(after string, seen map[string]bool) {
	l := &c.leader
	version := l.version
	c.callCloud(CloudCall{Operation: CloudList, After: after, Limit: listPage, Timeout: 3 * micros.Second}, func(r *CloudReply) {
		if version != l.version {
			return
		}
		l.listAt = c.now + c.listPause()
		if r.Outcome != CloudOK {
			l.listing = false
			return
		}
		for _, m := range r.Instances {
			seen[m.Machine] = true
			if _, gone := l.gone[m.Machine]; gone {
				continue
			}
			b, known := c.replica.Machines[m.Machine]
			switch {
			case m.Failed:
				if !l.deleting[m.Machine] {
					l.deleting[m.Machine] = true
					c.log(levelInfo, "machine failed", "machine", m.Machine)
				}
			case !known && c.now-l.since > micros.Second && m.Age > 2*micros.Second:
				c.adoptMachine(m.Machine, m.Address, fleet.InstanceKind{InstanceType: m.InstanceType, Zone: m.Zone, Spot: m.Spot})
			case known:
				if h := c.holders[b.Value.Partition]; h != nil && m.Address != "" {
					if hm := h.machine(m.Machine); hm != nil && hm.addr == "" && m.Running {
						hm.addr = m.Address
					}
				}
			}
		}
		if r.More && len(r.Instances) > 0 {
			c.listMachinesPage(r.Instances[len(r.Instances)-1].Machine, seen)
			return
		}
		l.listing = false
		lag := micros.FromSeconds(c.cfg.Settings.Cloud.ListLagS)
		for _, id := range sortedKeys(c.replica.Machines) {
			if seen[id] {
				delete(l.absent, id)
			} else if _, ok := l.absent[id]; !ok {
				l.absent[id] = c.now
			} else if c.now-l.absent[id] > 4*lag+20*micros.Second {
				// Deleting is what proves it; the name may be unknown by now.
				if h := c.holders[b0(c, id)]; h == nil || h.machine(id) == nil || c.now-h.machine(id).seen > 10*micros.Second {
					l.deleting[id] = true
				}
				delete(l.absent, id)
			}
		}
		for id := range l.absent {
			if _, ok := c.replica.Machines[id]; !ok {
				delete(l.absent, id)
			}
		}
	})
}

func b0(c *Core, id string) int { return c.replica.Machines[id].Value.Partition }

// shiftBlocks moves idle machines of one queue to another that needs them.
func (c *Core) shiftBlocks() {
	l := &c.leader
	if c.now < l.shiftAt || c.queues() < 2 {
		return
	}
	l.shiftAt = c.now + 2*micros.Second
	statuses := c.statuses()
	for _, needy := range statuses {
		if len(needy.CapacityRequests) == 0 {
			continue
		}
		for _, q := range statuses {
			if q.Partition == needy.Partition || len(q.CapacityRequests) > 0 || len(q.Idle) == 0 {
				continue
			}
			for _, m := range q.Idle {
				b, ok := c.replica.Machines[m]
				if !ok || (b.Value.Spot && !slices.ContainsFunc(needy.CapacityRequests, func(n fleet.CapacityRequest) bool { return n.Spot })) {
					continue
				}
				holder := c.replica.Partitions[q.Partition].Value.Leader.Member
				if l.shifts == nil {
					l.shifts = map[string][]MachineTransfer{}
				}
				l.shifts[holder] = append(l.shifts[holder], MachineTransfer{Machine: m, ToPartition: needy.Partition})
				c.statusSoon = true
				return
			}
		}
	}
}
