package coordination

import (
	"cmp"
	"fmt"
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
	renting    map[string]bool        // charters with a call or write out
	retry      map[string]micros.Time // charters: not before
	deleting   map[string]bool
	deleteCall bool
	deleteAt   micros.Time
	removing   map[string]bool // blocks of machines that are gone
	gone       map[string]micros.Time
	listing    bool
	listAt     micros.Time
	absent     map[string]micros.Time // blocks without a machine in the list: since when
	adopting   map[string]bool
	rentAt     micros.Time
	exhausted  *fleet.Exhausted
	shifts     map[string][]Shift
	shiftAt    micros.Time
}

func (l *leaderState) begin(c *Core) {
	l.version, l.since = c.replica.Leader.Version, c.now
	l.assigning, l.deleteCall, l.listing = false, false, false
	l.renting, l.retry = map[string]bool{}, map[string]micros.Time{}
	l.deleting, l.removing, l.adopting = map[string]bool{}, map[string]bool{}, map[string]bool{}
	l.absent = map[string]micros.Time{}
	l.gone = map[string]micros.Time{}
	l.counter = 0
	c.log(levelInfo, "leading", "token", l.version)
}

// recentlyGone are machines that are surely gone, told for a while.
func (l *leaderState) recentlyGone(now micros.Time) []string {
	var out []string
	for _, m := range sortedKeys(l.gone) {
		if now-l.gone[m] < 10*micros.Second {
			out = append(out, m)
		}
	}
	return out
}

func (c *Core) tickLeader() {
	if !c.leading() {
		return
	}
	l := &c.leader
	if l.version != c.replica.Leader.Version {
		l.begin(c)
	}
	if c.permit == 0 || !c.term.Valid(c.now) {
		return
	}
	c.assignQueues()
	c.deleteMachines()
	c.listMachines()
	c.rentMachines()
	c.removeBlocks()
	c.shiftBlocks()
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
	todo := lease.Assign(c.replica, c.queues(), c.proc, mute)
	if len(todo) == 0 {
		return
	}
	r := &storage.Request{Kind: storage.Commit, Conditions: []storage.Condition{c.asLeader()}}
	for _, a := range todo {
		if len(r.Puts) >= c.cfg.Settings.State.TxnOps {
			break
		}
		m := a.Record.Holder.Member
		r.Conditions = append(r.Conditions,
			storage.Condition{Key: c.keys.Queue(a.Queue), Version: c.replica.Queues[a.Queue].Version},
			storage.Condition{Key: c.keys.Node(m), Version: c.replica.Nodes[m].Version})
		r.Puts = append(r.Puts, storage.Put{Key: c.keys.Queue(a.Queue), Value: storage.Encode(a.Record)})
	}
	l.assigning = c.callState(r, true, stateTimeout, func(*storage.Reply) {
		l.assigning = false
		l.assignAt = c.now + 300*micros.Millisecond
	})
}

func (c *Core) queues() int {
	n := 1
	for _, t := range c.teams {
		n = max(n, t.Queue+1)
	}
	return n
}

// statuses are what the present holders last said of their queues.
func (c *Core) statuses() []QueueStatus {
	var out []QueueStatus
	for _, m := range sortedKeys(c.peers) {
		p := c.peers[m]
		if c.now-p.at > 3*micros.Second {
			continue
		}
		for _, q := range p.status.Queues {
			v := c.replica.Queues[q.Queue]
			if v.Value.Holder == p.status.From && v.Version == q.Token {
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
	if l.deleteCall || c.now < l.deleteAt {
		return
	}
	var names []string
	add := func(m string) {
		if _, gone := l.gone[m]; !gone && !slices.Contains(names, m) && len(names) < 100 {
			names = append(names, m)
		}
	}
	for _, q := range c.statuses() {
		for _, m := range q.Release {
			if b, ok := c.replica.Blocks[m]; ok && b.Value.Queue == q.Queue {
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
	c.callCloud(CloudCall{Kind: CloudDelete, Names: names, Timeout: 3 * micros.Second}, func(r *CloudReply) {
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
		c.statusUp = true
	})
}

// machineGone notes proof that a machine is gone.
func (c *Core) machineGone(m string) {
	c.leader.gone[m] = c.now
	delete(c.leader.deleting, m)
	for _, n := range sortedKeys(c.holders) {
		c.holders[n].machineGone(m)
	}
}

// removeBlocks removes the records of machines that are gone.
func (c *Core) removeBlocks() {
	l := &c.leader
	r := &storage.Request{Kind: storage.Commit, Conditions: []storage.Condition{c.asLeader()}}
	var names []string
	for _, m := range sortedKeys(l.gone) {
		if _, ok := c.replica.Blocks[m]; !ok {
			if c.now-l.gone[m] > 60*micros.Second {
				delete(l.gone, m)
			}
			continue
		}
		if !l.removing[m] && len(r.Deletes) < c.cfg.Settings.State.TxnOps {
			r.Deletes = append(r.Deletes, c.keys.Block(m))
			names = append(names, m)
		}
	}
	if len(names) == 0 || !c.callState(r, false, stateTimeout, func(*storage.Reply) {
		for _, m := range names {
			delete(l.removing, m)
		}
	}) {
		return
	}
	for _, m := range names {
		l.removing[m] = true
	}
}

// found takes a machine that reports, or is listed, and has no block: a rental
// executed late, or one whose answer was lost.
func (l *leaderState) found(c *Core, r *Report) {
	c.adoptMachine(r.Machine, storage.BlockRecord{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Address: r.Address, Used: true})
}

// adoptMachine assigns a machine to the queue with the greatest need. Its record
// says that it is used: it may have had tasks under a block that was removed.
func (c *Core) adoptMachine(id string, b storage.BlockRecord) {
	l := &c.leader
	if _, gone := l.gone[id]; gone || l.adopting[id] || !c.leading() || l.version != c.replica.Leader.Version {
		return
	}
	b.Queue = c.neediest()
	key := c.keys.Block(id)
	if c.callState(&storage.Request{Kind: storage.Commit,
		Conditions: []storage.Condition{c.asLeader(), {Key: key}},
		Puts:       []storage.Put{{Key: key, Value: storage.Encode(b)}},
	}, false, stateTimeout, func(*storage.Reply) { delete(l.adopting, id) }) {
		l.adopting[id] = true
		c.log(levelInfo, "machine adopted", "machine", id, "queue", b.Queue)
	}
}

func (c *Core) neediest() int {
	best, most := 0, -1
	for _, q := range c.statuses() {
		n := 0
		for _, need := range q.Needs {
			n += need.Count
		}
		if n > most {
			best, most = q.Queue, n
		}
	}
	return best
}

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

func (c *Core) listMachinesPage(after string, seen map[string]bool) {
	l := &c.leader
	version := l.version
	c.callCloud(CloudCall{Kind: CloudList, After: after, Limit: 500, Timeout: 3 * micros.Second}, func(r *CloudReply) {
		if version != l.version {
			return
		}
		l.listAt = c.now + 2*micros.Second
		if r.Outcome != CloudOK {
			l.listing = false
			return
		}
		for _, m := range r.Listed {
			seen[m.Machine] = true
			if _, gone := l.gone[m.Machine]; gone {
				continue
			}
			b, known := c.replica.Blocks[m.Machine]
			switch {
			case m.Failed:
				if !l.deleting[m.Machine] {
					l.deleting[m.Machine] = true
					c.log(levelInfo, "machine failed", "machine", m.Machine)
				}
			case !known && c.now-l.since > micros.Second && m.Age > 2*micros.Second:
				c.adoptMachine(m.Machine, storage.BlockRecord{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Address: m.Address, Used: m.Running})
			case known:
				if h := c.holders[b.Value.Queue]; h != nil && m.Address != "" {
					if hm := h.machine(m.Machine); hm != nil && hm.addr == "" && m.Running {
						hm.addr = m.Address
					}
				}
			}
		}
		if r.More && len(r.Listed) > 0 {
			c.listMachinesPage(r.Listed[len(r.Listed)-1].Machine, seen)
			return
		}
		l.listing = false
		lag := micros.FromSeconds(c.cfg.Settings.Cloud.ListLagS)
		for _, id := range sortedKeys(c.replica.Blocks) {
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
			if _, ok := c.replica.Blocks[id]; !ok {
				delete(l.absent, id)
			}
		}
	})
}

func b0(c *Core, id string) int { return c.replica.Blocks[id].Value.Queue }

// rentMachines rents for the queues' needs, one round at a time: the next round
// looks at what the last one brought.
func (c *Core) rentMachines() {
	l := &c.leader
	for _, ch := range sortedKeys(c.replica.Charters) {
		if !l.renting[ch] && c.now >= l.retry[ch] {
			c.sendCharter(ch, c.replica.Charters[ch].Value)
		}
	}
	if len(c.replica.Charters) > 0 || len(l.renting) > 0 || c.catalog == nil || c.now < l.rentAt || c.now-l.since < 500*micros.Millisecond {
		return
	}
	for _, p := range c.peers {
		if len(p.status.Queues) > 0 && p.status.Revision < l.rentedRevision(c) {
			return
		}
	}
	statuses := c.statuses()
	slices.SortStableFunc(statuses, func(a, b QueueStatus) int { return cmp.Compare(a.Queue, b.Queue) })
	for _, q := range statuses {
		var needs []fleet.Need
		for _, service := range []bool{true, false} {
			for _, n := range q.Needs {
				if n.Service == service {
					needs = append(needs, n)
				}
			}
		}
		for _, n := range needs {
			c.log(levelDebug, "need", "queue", q.Queue, "count", n.Count, "cpu", n.Each.CPU, "service", n.Service, "urgent", n.Urgent)
		}
		exhausted := func(o fleet.Offer) bool { return l.exhausted.Now(o, c.now) }
		for _, r := range fleet.Choose(needs, c.catalog, exhausted, 20) {
			c.charter(q.Queue, r)
		}
	}
	l.rentAt = c.now + 700*micros.Millisecond
}

// rentedRevision is the revision a holder must have seen to know of all rented
// machines.
func (l *leaderState) rentedRevision(c *Core) uint64 {
	var v uint64
	for _, b := range c.replica.Blocks {
		v = max(v, b.Version)
	}
	return v
}

// charter writes a rental down before it is sent, so that a successor neither
// loses it nor rents the same need twice.
func (c *Core) charter(queue int, r fleet.Rental) {
	l := &c.leader
	l.counter++
	name := fmt.Sprintf("c%d-%d", l.version, l.counter)
	rec := storage.CharterRecord{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: min(50, r.Count), Queue: queue, At: c.wall}
	key := c.keys.Charter(name)
	if c.callState(&storage.Request{Kind: storage.Commit,
		Conditions: []storage.Condition{c.asLeader(), {Key: key}},
		Puts:       []storage.Put{{Key: key, Value: storage.Encode(rec)}},
	}, false, stateTimeout, func(reply *storage.Reply) {
		delete(l.renting, name)
		if reply.Outcome == storage.OK {
			c.sendCharter(name, rec)
		}
	}) {
		l.renting[name] = true
	}
}

func (c *Core) sendCharter(name string, rec storage.CharterRecord) {
	l := &c.leader
	l.renting[name] = true
	offer := fleet.Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
	c.callCloud(CloudCall{Kind: CloudRent, Charter: name, Rental: fleet.Rental{Offer: offer, Count: rec.Count}, Timeout: 4 * micros.Second}, func(r *CloudReply) {
		delete(l.renting, name)
		switch r.Outcome {
		case CloudOK, CloudNoCapacity:
			if len(r.Names) < rec.Count {
				l.exhausted.Refuse(offer, c.now)
			} else {
				l.exhausted.Grant(offer)
			}
			c.log(levelInfo, "rented", "charter", name, "type", rec.Type, "zone", rec.Zone, "spot", rec.Spot, "asked", rec.Count, "got", len(r.Names))
			c.closeCharter(name, rec, r.Names)
		default:
			l.retry[name] = c.now + micros.Second
		}
	})
}

// closeCharter turns a rental into blocks. Machines that do not fit into one
// transaction come first, the charter's end last.
func (c *Core) closeCharter(name string, rec storage.CharterRecord, machines []string) {
	l := &c.leader
	r := &storage.Request{Kind: storage.Commit, Conditions: []storage.Condition{c.asLeader()}}
	var rest []string
	for _, m := range machines {
		if _, known := c.replica.Blocks[m]; known {
			continue
		}
		if len(r.Puts) >= c.cfg.Settings.State.TxnOps-1 {
			rest = append(rest, m)
			continue
		}
		key := c.keys.Block(m)
		r.Conditions = append(r.Conditions, storage.Condition{Key: key})
		r.Puts = append(r.Puts, storage.Put{Key: key, Value: storage.Encode(storage.BlockRecord{Queue: rec.Queue, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot})})
	}
	if len(rest) == 0 {
		r.Deletes = append(r.Deletes, c.keys.Charter(name))
	}
	again := func() {
		delete(l.renting, name)
		l.retry[name] = c.now + 500*micros.Millisecond // the same charter gives the same answer
	}
	if !c.callState(r, true, stateTimeout, func(reply *storage.Reply) {
		again()
		if reply.Outcome == storage.OK && len(rest) > 0 {
			c.closeCharter(name, rec, rest)
		}
	}) {
		again()
		return
	}
	l.renting[name] = true
}

// shiftBlocks moves idle machines of one queue to another that needs them.
func (c *Core) shiftBlocks() {
	l := &c.leader
	if c.now < l.shiftAt || c.queues() < 2 {
		return
	}
	l.shiftAt = c.now + 2*micros.Second
	statuses := c.statuses()
	for _, needy := range statuses {
		if len(needy.Needs) == 0 {
			continue
		}
		for _, q := range statuses {
			if q.Queue == needy.Queue || len(q.Needs) > 0 || len(q.Idle) == 0 {
				continue
			}
			for _, m := range q.Idle {
				b, ok := c.replica.Blocks[m]
				if !ok || (b.Value.Spot && !slices.ContainsFunc(needy.Needs, func(n fleet.Need) bool { return n.Spot })) {
					continue
				}
				holder := c.replica.Queues[q.Queue].Value.Holder.Member
				if l.shifts == nil {
					l.shifts = map[string][]Shift{}
				}
				l.shifts[holder] = append(l.shifts[holder], Shift{Machine: m, To: needy.Queue})
				c.statusUp = true
				return
			}
		}
	}
}
