package coordination

import (
	"cmp"
	"fmt"
	"slices"

	"pipitlatch/internal/coordination/fleet"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// statusLifetime is how old what a sibling said of its queues may be to be acted on.
const statusLifetime = 3 * micros.Second

// rentPace is how long a round waits after the last one, unless that was refused
// something.
const rentPace = 700 * micros.Millisecond

// minRound and roundPart bound the machines rented for one look at the needs: a part of
// those there are, so that a large fleet grows as quickly as a small one, and the needs
// are looked at again before it doubles.
const (
	minRound  = 200
	roundPart = 10
)

// maxRound is how many machines are rented for one look at the needs.
func (c *Core) maxRound() int { return max(minRound, len(c.replica.Machines)/roundPart) }

// rentMachines rents for the queues' needs, one round at a time: the next round
// looks at what the last one brought.
func (c *Core) rentMachines() {
	l := &c.leader
	open := 0
	for _, name := range sortedKeys(c.replica.Blocks) {
		if b := c.replica.Blocks[name]; b.Value.Requested > 0 {
			open++
			if _, out := l.renting[name]; !out && c.now >= l.retry[name] {
				c.rent(name, b.Value, b.ModRevision)
			}
		}
	}
	if open > 0 || len(l.renting) > 0 || c.catalog == nil || c.now < l.rentAt || c.now-l.since < 500*micros.Millisecond {
		return
	}
	for _, p := range c.peers {
		// Only of those whose needs are looked at: a former holder that is cut off says
		// nothing new for minutes, and nothing would be rented as long.
		if c.now-p.at <= statusLifetime && len(p.status.Partitions) > 0 && p.status.Revision < l.closed {
			return // its needs are from before the last round
		}
	}
	statuses := c.statuses()
	slices.SortStableFunc(statuses, func(a, b PartitionStatus) int { return cmp.Compare(a.Partition, b.Partition) })
	for _, q := range statuses {
		var needs []fleet.CapacityRequest
		for _, service := range []bool{true, false} {
			for _, n := range q.CapacityRequests {
				if n.Service == service {
					needs = append(needs, n)
				}
			}
		}
		for _, n := range needs {
			c.log(levelDebug, "need", "queue", q.Partition, "count", n.Count, "cpu", n.Resources.CPU, "service", n.Service, "urgent", n.Urgent)
		}
		most := func(o fleet.InstanceKind) int {
			if slices.Contains(q.UnreachableZones, o.Zone) {
				return min(l.exhausted.Limit(o, c.now), c.tries(o.Zone))
			}
			return l.exhausted.Limit(o, c.now)
		}
		for _, r := range fleet.Choose(needs, c.catalog, most, c.maxRound()/max(1, len(statuses))) {
			for r.Count > 0 && c.takeCloud() {
				part := r
				part.Count = min(r.Count, c.maxBlock())
				c.charter(q.Partition, part)
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
func (c *Core) charter(queue int, r fleet.InstanceRequest) {
	l := &c.leader
	l.counter++
	name := fmt.Sprintf("c%d-%d", l.version, l.counter)
	rec := storage.BlockRecord{Partition: queue, InstanceType: r.InstanceType, Zone: r.Zone, Spot: r.Spot, Requested: r.Count}
	key := c.keys.Block(name)
	if c.callState(&storage.Request{Kind: storage.Txn,
		Compares: []storage.Compare{c.asLeader(), {Key: key}},
		Puts:     []storage.Put{{Key: key, Value: storage.Encode(rec)}},
	}, storage.Urgent, stateTimeout, func(reply *storage.Reply) {
		delete(l.renting, name)
		if reply.Outcome == storage.OK {
			l.closed = max(l.closed, reply.Revision)
			c.rent(name, rec, reply.Revision)
		}
	}) {
		l.renting[name] = r.InstanceKind
	}
}

// rent sends a rental that was written down.
func (c *Core) rent(name string, rec storage.BlockRecord, version uint64) {
	l := &c.leader
	offer := fleet.InstanceKind{InstanceType: rec.InstanceType, Zone: rec.Zone, Spot: rec.Spot}
	l.renting[name] = offer
	c.callCloud(CloudCall{Operation: CloudRequestInstances, InstanceRequestID: name, InstanceRequest: fleet.InstanceRequest{InstanceKind: offer, Count: rec.Requested}, Timeout: 4 * micros.Second}, func(r *CloudReply) {
		delete(l.renting, name)
		switch r.Outcome {
		case CloudOK, CloudInsufficientCapacity:
			if len(r.Names) < rec.Requested {
				l.exhausted.Exhausted(offer, c.now)
				l.rentAt = c.now // what was missing may be had elsewhere
			} else {
				l.exhausted.Granted(offer, rec.Requested)
			}
			c.log(levelInfo, "rented", "charter", name, "type", rec.InstanceType, "zone", rec.Zone, "spot", rec.Spot, "asked", rec.Requested, "got", len(r.Names))
			c.closeCharter(name, rec, version, r.Names)
		default:
			l.retry[name] = c.now + micros.Second
		}
	})
}

// closeCharter turns a rental into a block.
func (c *Core) closeCharter(name string, rec storage.BlockRecord, version uint64, machines []string) {
	l := &c.leader
	rec.Requested, rec.Machines = 0, map[string]storage.MachineRecord{}
	for _, m := range machines {
		// One that reported before the answer came was adopted already.
		if _, known := c.replica.Machines[m]; !known {
			rec.Machines[m] = storage.MachineRecord{}
		}
	}
	key := c.keys.Block(name)
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.asLeader(), {Key: key, ModRevision: version}}}
	if len(rec.Machines) == 0 {
		r.Deletes = []string{key}
	} else {
		c.putBlock(r, name, rec)
	}
	l.renting[name] = fleet.InstanceKind{InstanceType: rec.InstanceType, Zone: rec.Zone, Spot: rec.Spot}
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
