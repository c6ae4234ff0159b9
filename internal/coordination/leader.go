package coordination

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

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
	renting    map[string]fleet.Offer // charters with a call or write out
	retry      map[string]micros.Time // charters: not before
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
	exhausted  *fleet.Exhausted
	shifts     map[string][]Shift
	shiftAt    micros.Time
	archive    archive
	formatCall bool
	formatAt   micros.Time
}

func (l *leaderState) begin(c *Core) {
	l.version, l.since = c.replica.Leader.Version, c.now
	l.assigning, l.deleteCall, l.listing = false, false, false
	l.renting, l.retry = map[string]fleet.Offer{}, map[string]micros.Time{}
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
	r := &storage.Request{Kind: storage.Commit, Conditions: []storage.Condition{c.asLeader()}}
	for _, a := range todo {
		if len(r.Puts) >= c.cfg.Settings.StateLimits().TxnOps {
			break
		}
		m := a.Record.Holder.Member
		r.Conditions = append(r.Conditions,
			storage.Condition{Key: c.keys.Queue(a.Queue), Version: c.replica.Queues[a.Queue].Version},
			storage.Condition{Key: c.keys.Node(m), Version: c.replica.Nodes[m].Version})
		r.Puts = append(r.Puts, storage.Put{Key: c.keys.Queue(a.Queue), Value: storage.Encode(a.Record)})
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
	for _, q := range v.status.Queues {
		if len(q.Lost) == 0 || c.replica.Queues[q.Queue].Value.Holder != p {
			continue
		}
		mine, theirs, most := c.reachOf(p, q.Queue), 0, 0
		for _, o := range c.peers {
			if o.status.From != p && o.status.StateOK && c.replica.Live(o.status.From) {
				theirs = max(theirs, c.reachOf(o.status.From, q.Queue))
			}
		}
		for _, n := range c.inUse(q.Queue) {
			most += n
		}
		if theirs >= mine+max(clearGain, most/8) {
			c.log(levelInfo, "holder is cut off from machines", "holder", p.Member, "queue", q.Queue, "zones", q.Lost, "reaches", mine, "another", theirs)
			l.deaf[p] = c.now
			return true
		}
	}
	return false
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
		for _, m := range q.Release {
			if b, ok := c.replica.Machines[m]; ok && b.Value.Queue == q.Queue {
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
	if v, ok := c.replica.Machines[m]; ok {
		c.leader.exhausted.Gone(fleet.Offer{Type: v.Value.Type, Zone: v.Value.Zone, Spot: v.Value.Spot})
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
	for _, m := range sortedKeys(l.gone) {
		if b, ok := c.replica.Machines[m]; ok {
			gone[b.Value.Block] = append(gone[b.Value.Block], m)
		} else if c.now-l.gone[m] > goneFor {
			delete(l.gone, m)
		}
	}
	for _, name := range sortedKeys(gone) {
		if c.now < l.removing[name] {
			continue
		}
		b := c.replica.Blocks[name]
		r := &storage.Request{Kind: storage.Commit, Conditions: []storage.Condition{c.asLeader(), {Key: c.keys.Block(name), Version: b.Version}}}
		if rest := b.Value.Without(gone[name]...); len(rest.Machines) == 0 && rest.Want == 0 {
			r.Deletes = append(r.Deletes, c.keys.Block(name))
		} else {
			c.putBlock(r, name, rest)
		}
		l.removing[name] = c.now + stateTimeout + micros.Second
		if !c.callState(r, storage.Patient, stateTimeout, func(*storage.Reply) { l.removing[name] = c.now + 500*micros.Millisecond }) {
			delete(l.removing, name)
			return
		}
	}
}

// goneFor is how long a machine that is gone is remembered after its record went:
// late copies of its reports, and lists, may still show it.
const goneFor = 300 * micros.Second

// found takes a machine that reports and has no block: a rental executed late, or
// one whose answer was lost. The report may be a late copy from a machine that was
// deleted under an earlier leader: as a machine that had no task it holds up no
// planning, and as one that does not answer it is soon deleted again.
func (l *leaderState) found(c *Core, r *Report) {
	c.adoptMachine(r.Machine, r.Address, fleet.Offer{Type: r.Type, Zone: r.Zone, Spot: r.Spot})
}

// adoptMachine notes a machine that is to be assigned to the queue with the
// greatest need. It has had no task: only machines of a block get any, and they
// leave it only when they are gone.
func (c *Core) adoptMachine(id, address string, o fleet.Offer) {
	l := &c.leader
	if _, gone := l.gone[id]; gone || !c.leading() || l.version != c.replica.Leader.Version {
		return
	}
	if _, known := c.replica.Machines[id]; !known {
		l.orphans[id] = orphan{o, address}
	}
}

// beingRented tells whether a rental of the offer is open: a machine that reports may be
// one of those it brings, up before the cloud's answer. It is taken into the rental's
// block then. Adopted as well, it would be in two blocks, and what one record says of it
// (that it has had tasks) would be hidden by the other.
func (c *Core) beingRented(o fleet.Offer) bool {
	for _, out := range c.leader.renting {
		if out == o {
			return true
		}
	}
	for _, b := range c.replica.Blocks {
		if v := b.Value; v.Want > 0 && v.Type == o.Type && v.Zone == o.Zone && v.Spot == o.Spot {
			return true
		}
	}
	return false
}

// orphan is a machine without a block.
type orphan struct {
	fleet.Offer
	address string
}

// adoptPace lets machines found one after the other share a block.
const adoptPace = 500 * micros.Millisecond

// adoptMachines makes blocks of the machines found.
func (c *Core) adoptMachines() {
	l := &c.leader
	if len(l.orphans) == 0 || c.now < l.adoptAt {
		return
	}
	l.adoptAt = c.now + adoptPace
	if c.replica.Revision < l.closed {
		return // a rental may have become a block that is not seen yet
	}
	blocks := map[fleet.Offer]storage.BlockRecord{}
	for _, id := range sortedKeys(l.orphans) {
		o := l.orphans[id]
		_, known := c.replica.Machines[id]
		_, gone := l.gone[id]
		if known || gone {
			delete(l.orphans, id)
			continue
		}
		if c.beingRented(o.Offer) {
			continue
		}
		b, ok := blocks[o.Offer]
		if !ok {
			b = storage.BlockRecord{Queue: c.neediest(), Type: o.Type, Zone: o.Zone, Spot: o.Spot}
		}
		if len(b.Machines) < c.maxBlock() {
			blocks[o.Offer] = b.With(id, storage.MachineRecord{Address: o.address})
		}
	}
	for _, o := range slices.SortedFunc(maps.Keys(blocks), fleet.Offer.Compare) {
		b := blocks[o]
		if l.adoptKey == "" {
			l.counter++
			l.adoptKey = c.keys.Block(fmt.Sprintf("a%d-%d", l.version, l.counter))
		}
		key := l.adoptKey
		r := &storage.Request{Kind: storage.Commit, Conditions: []storage.Condition{c.asLeader(), {Key: key}}}
		c.putBlock(r, strings.TrimPrefix(key, c.keys.Block("")), b)
		l.adoptAt = c.now + stateTimeout + micros.Second
		c.log(levelInfo, "machines adopted", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "count", len(b.Machines), "queue", b.Queue)
		// One at a time, and one whose answer was lost again under its own key until that is
		// known to be taken: else both may be carried out, and a machine come into two blocks.
		if !c.callState(r, storage.Urgent, stateTimeout, func(reply *storage.Reply) {
			l.adoptAt = c.now + adoptPace
			if reply.Outcome == storage.OK || reply.Outcome == storage.Conflict {
				l.adoptKey = ""
				l.closed = max(l.closed, reply.Revision)
			}
		}) {
			l.adoptAt = c.now + adoptPace
		}
		return
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
			b, known := c.replica.Machines[m.Machine]
			switch {
			case m.Failed:
				if !l.deleting[m.Machine] {
					l.deleting[m.Machine] = true
					c.log(levelInfo, "machine failed", "machine", m.Machine)
				}
			case !known && c.now-l.since > micros.Second && m.Age > 2*micros.Second:
				c.adoptMachine(m.Machine, m.Address, fleet.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
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

func b0(c *Core, id string) int { return c.replica.Machines[id].Value.Queue }

// rentPace is how long a round waits after the last one, unless that was refused
// something.
const rentPace = 700 * micros.Millisecond

// maxRound bounds the machines rented for one look at the needs.
const maxRound = 200

// rentMachines rents for the queues' needs, one round at a time: the next round
// looks at what the last one brought.
func (c *Core) rentMachines() {
	l := &c.leader
	open := 0
	for _, name := range sortedKeys(c.replica.Blocks) {
		if b := c.replica.Blocks[name]; b.Value.Want > 0 {
			open++
			if _, out := l.renting[name]; !out && c.now >= l.retry[name] {
				c.rent(name, b.Value, b.Version)
			}
		}
	}
	if open > 0 || len(l.renting) > 0 || c.catalog == nil || c.now < l.rentAt || c.now-l.since < 500*micros.Millisecond {
		return
	}
	for _, p := range c.peers {
		if len(p.status.Queues) > 0 && p.status.Revision < l.closed {
			return // its needs are from before the last round
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
		most := func(o fleet.Offer) int {
			if slices.Contains(q.Lost, o.Zone) {
				return min(l.exhausted.Limit(o, c.now), c.tries(o.Zone))
			}
			return l.exhausted.Limit(o, c.now)
		}
		for _, r := range fleet.Choose(needs, c.catalog, most, maxRound/max(1, len(statuses))) {
			for r.Count > 0 && c.takeCloud() {
				part := r
				part.Count = min(r.Count, c.maxBlock())
				c.charter(q.Queue, part)
				r.Count -= part.Count
			}
		}
	}
	l.rentAt = c.now + rentPace
}

// zoneTries is how many machines of each offer are rented in a zone that is not heard,
// to find out when it is again. More would come up, and cost, without being heard.
const zoneTries = 1

// tries is how many machines may be rented in a zone that is not heard.
func (c *Core) tries(zone string) int {
	for _, m := range c.replica.Machines {
		if m.Value.Zone == zone && !m.Value.Used {
			return 0
		}
	}
	return zoneTries
}

// takeCloud keeps rentals within the greater part of the cloud's limit; lists,
// deletions and the siblings' calls have the rest.
func (c *Core) takeCloud() bool {
	l := &c.leader
	rate := c.cfg.Settings.Cloud.RPS * 0.6
	l.cloudLeft = min(rate, l.cloudLeft+rate*micros.Seconds(c.now-l.cloudAt))
	l.cloudAt = c.now
	if l.cloudLeft < 1 {
		return false
	}
	l.cloudLeft--
	return true
}

// charter writes a rental down before it is sent, as a block without machines, so
// that a successor neither loses it nor rents the same need twice.
func (c *Core) charter(queue int, r fleet.Rental) {
	l := &c.leader
	l.counter++
	name := fmt.Sprintf("c%d-%d", l.version, l.counter)
	rec := storage.BlockRecord{Queue: queue, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Want: r.Count}
	key := c.keys.Block(name)
	if c.callState(&storage.Request{Kind: storage.Commit,
		Conditions: []storage.Condition{c.asLeader(), {Key: key}},
		Puts:       []storage.Put{{Key: key, Value: storage.Encode(rec)}},
	}, storage.Urgent, stateTimeout, func(reply *storage.Reply) {
		delete(l.renting, name)
		if reply.Outcome == storage.OK {
			l.closed = max(l.closed, reply.Revision)
			c.rent(name, rec, reply.Revision)
		}
	}) {
		l.renting[name] = r.Offer
	}
}

// rent sends a rental that was written down.
func (c *Core) rent(name string, rec storage.BlockRecord, version uint64) {
	l := &c.leader
	offer := fleet.Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
	l.renting[name] = offer
	c.callCloud(CloudCall{Kind: CloudRent, Charter: name, Rental: fleet.Rental{Offer: offer, Count: rec.Want}, Timeout: 4 * micros.Second}, func(r *CloudReply) {
		delete(l.renting, name)
		switch r.Outcome {
		case CloudOK, CloudNoCapacity:
			if len(r.Names) < rec.Want {
				l.exhausted.Refuse(offer, c.now)
				l.rentAt = c.now // what was missing may be had elsewhere
			} else {
				l.exhausted.Grant(offer, rec.Want)
			}
			c.log(levelInfo, "rented", "charter", name, "type", rec.Type, "zone", rec.Zone, "spot", rec.Spot, "asked", rec.Want, "got", len(r.Names))
			c.closeCharter(name, rec, version, r.Names)
		default:
			l.retry[name] = c.now + micros.Second
		}
	})
}

// closeCharter turns a rental into a block.
func (c *Core) closeCharter(name string, rec storage.BlockRecord, version uint64, machines []string) {
	l := &c.leader
	rec.Want, rec.Machines = 0, map[string]storage.MachineRecord{}
	for _, m := range machines {
		// One that reported before the answer came was adopted already.
		if _, known := c.replica.Machines[m]; !known {
			rec.Machines[m] = storage.MachineRecord{}
		}
	}
	key := c.keys.Block(name)
	r := &storage.Request{Kind: storage.Commit, Conditions: []storage.Condition{c.asLeader(), {Key: key, Version: version}}}
	if len(rec.Machines) == 0 {
		r.Deletes = []string{key}
	} else {
		c.putBlock(r, name, rec)
	}
	l.renting[name] = fleet.Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
	again := func() {
		delete(l.renting, name)
		l.retry[name] = c.now + 200*micros.Millisecond // the same name gives the same answer
	}
	if !c.callState(r, storage.Urgent, stateTimeout, func(reply *storage.Reply) {
		again()
		if reply.Outcome == storage.OK {
			l.closed = max(l.closed, reply.Revision)
		}
	}) {
		again()
	}
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
				b, ok := c.replica.Machines[m]
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
