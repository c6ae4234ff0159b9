package coordination

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// heardFromUnmanaged takes a machine that reports and has no block: a rental executed late, or
// one whose answer was lost. The report may be a late copy from a machine that was
// deleted under an earlier leader: as a machine that had no task it holds up no
// planning, and as one that does not answer it is soon deleted again.
func (l *clusterLeader) heardFromUnmanaged(c *Core, r *messages.Heartbeat) {
	c.addOrphan(r.Machine, r.Address, provisioning.InstanceKind{InstanceType: r.InstanceType, Zone: r.Zone, Spot: r.Spot})
}

// addOrphan notes a machine that is to be assigned to the queue with the
// greatest need. It has had no task: only machines of a block get any, and they
// leave it only when they are gone.
func (c *Core) addOrphan(id, address string, o provisioning.InstanceKind) {
	l := &c.leader
	if _, gone := l.termination.confirmed[id]; gone || !c.isClusterLeader() || l.revision != c.cache.ClusterLeader.ModRevision {
		return
	}
	if _, known := c.cache.Machines[id]; !known {
		l.adoption.orphans[id] = orphan{o, address}
	}
}

// requestOpenFor tells whether a rental of the offer is open: a machine that reports may be
// one of those it brings, up before the cloud's answer. It is taken into the rental's
// block then. Adopted as well, it would be in two blocks, and what one record says of it
// (that it has had tasks) would be hidden by the other.
func (c *Core) requestOpenFor(o provisioning.InstanceKind) bool {
	for _, out := range c.leader.scaling.requestsInFlight {
		if out == o {
			return true
		}
	}
	for _, b := range c.cache.Blocks {
		if v := b.Value; v.Requested > 0 && v.InstanceType == o.InstanceType && v.Zone == o.Zone && v.Spot == o.Spot {
			return true
		}
	}
	return false
}

// orphan is a machine without a block.
type orphan struct {
	provisioning.InstanceKind
	address string
}

// adoptionInterval lets machines found one after the other share a block.
const adoptionInterval = 500 * micros.Millisecond

// adoptOrphans makes blocks of the machines found.
func (c *Core) adoptOrphans() {
	l := &c.leader
	if len(l.adoption.orphans) == 0 || c.now < l.adoption.nextAt {
		return
	}
	l.adoption.nextAt = c.now + adoptionInterval
	if c.cache.Revision < l.scaling.provisionedRevision {
		return // a rental may have become a block that is not seen yet
	}
	blocks := map[provisioning.InstanceKind]storage.BlockRecord{}
	for _, id := range sortedKeys(l.adoption.orphans) {
		o := l.adoption.orphans[id]
		_, known := c.cache.Machines[id]
		_, gone := l.termination.confirmed[id]
		if known || gone {
			delete(l.adoption.orphans, id)
			continue
		}
		if c.requestOpenFor(o.InstanceKind) {
			continue
		}
		b, ok := blocks[o.InstanceKind]
		if !ok {
			b = storage.BlockRecord{Partition: c.partitionWithMostNeed(), InstanceType: o.InstanceType, Zone: o.Zone, Spot: o.Spot}
		}
		if len(b.Machines) < c.maxBlockMachines() {
			blocks[o.InstanceKind] = b.With(id, storage.MachineRecord{Address: o.address})
		}
	}
	if offers := slices.SortedFunc(maps.Keys(blocks), provisioning.InstanceKind.Compare); len(offers) > 0 {
		c.adoptBlock(blocks[offers[0]])
	}
}

// adoptBlock writes a block of machines found. One at a time, and one whose answer was lost
// again under its own key until that is known to be taken: else both may be carried out, and
// a machine come into two blocks.
func (c *Core) adoptBlock(b storage.BlockRecord) {
	l := &c.leader
	if l.adoption.key == "" {
		l.nameCounter++
		l.adoption.key = c.keys.Block(fmt.Sprintf("a%d-%d", l.revision, l.nameCounter))
	}
	key := l.adoption.key
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.leaderCompare(), {Key: key}}}
	c.putBlock(r, strings.TrimPrefix(key, c.keys.Block("")), b)
	l.adoption.nextAt = c.now + storeTimeout + micros.Second
	c.log(messages.LevelInfo, "unmanaged instances adopted", "instance_type", b.InstanceType, "zone", b.Zone, "spot", b.Spot, "count", len(b.Machines), "partition", b.Partition)
	if !c.callStore(r, storage.Urgent, storeTimeout, func(reply *storage.Reply) {
		l.adoption.nextAt = c.now + adoptionInterval
		if reply.Outcome == storage.OK || reply.Outcome == storage.Conflict {
			l.adoption.key = ""
			l.scaling.provisionedRevision = max(l.scaling.provisionedRevision, reply.Revision)
		}
	}) {
		l.adoption.nextAt = c.now + adoptionInterval
	}
}

func (c *Core) partitionWithMostNeed() int {
	best, most := 0, -1
	for _, q := range c.partitionStatuses() {
		n := 0
		for _, need := range q.CapacityRequests {
			n += need.Count
		}
		if n > most {
			best, most = q.Partition, n
		}
	}
	return best
}
