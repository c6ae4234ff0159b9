package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/coordination/leadership"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// clusterLeader is what the leader does: it leases queues, assigns machines, and
// alone rents and deletes them.
type clusterLeader struct {
	revision      uint64 // mod revision of the cluster leader's key under which the rest was begun
	acquiredAt    micros.Time
	nameCounter   int // makes the names of instance requests and adopted blocks unique
	assignment    assignmentState
	transfer      transferState
	scaling       scalingState
	termination   terminationState
	listing       listingState
	adoption      adoptionState
	archiver      archiver
	formatUpgrade formatUpgradeState
}

// assignmentState paces the assignment of partitions to members.
type assignmentState struct {
	nextAt          micros.Time
	inFlight        bool
	isolatedLeaders map[storage.Process]micros.Time // partition leaders that lost their machines: when
}

// transferState holds the transfers of idle machines that partition leaders are asked for.
type transferState struct {
	pending map[string][]messages.MachineTransfer // by member
	nextAt  micros.Time
}

// scalingState is what is under way to scale the fleet out.
type scalingState struct {
	requestsInFlight map[string]provisioning.InstanceKind // instance requests with a call or write in flight
	requestRetryAt   map[string]micros.Time               // by instance request
	// provisionedRevision is the revision at which the last instance request was written down
	// or became a block.
	provisionedRevision uint64
	nextScaleOutAt      micros.Time
	cloudTokens         float64 // instance requests that the rate limit allows now
	cloudTokensAt       micros.Time
	capacity            *provisioning.CapacityTracker
}

// terminationState is what is under way to terminate instances.
type terminationState struct {
	requested       map[string]bool // instances to terminate besides those that partition leaders ask for
	inFlight        bool
	retryAt         micros.Time
	confirmed       map[string]micros.Time // instances that are surely gone: since when
	blockWriteAfter map[string]micros.Time // by block: when it may be written again
}

// listingState is the reading of the cloud's list of instances.
type listingState struct {
	inFlight    bool
	nextAt      micros.Time
	absentSince map[string]micros.Time // machines that are not in the list: since when
}

// adoptionState holds unmanaged instances until they are written into a block.
type adoptionState struct {
	orphans map[string]orphan
	nextAt  micros.Time
	key     string // of a block whose write was not answered
}

// formatUpgradeState paces the write that allows newer forms of records.
type formatUpgradeState struct {
	inFlight bool
	retryAt  micros.Time
}

func (l *clusterLeader) acquire(c *Core) {
	l.revision, l.acquiredAt = c.cache.ClusterLeader.ModRevision, c.now
	l.assignment.inFlight, l.termination.inFlight, l.listing.inFlight = false, false, false
	l.scaling.requestsInFlight, l.scaling.requestRetryAt = map[string]provisioning.InstanceKind{}, map[string]micros.Time{}
	l.termination.requested, l.termination.blockWriteAfter, l.adoption.orphans = map[string]bool{}, map[string]micros.Time{}, map[string]orphan{}
	l.scaling.provisionedRevision = c.cache.Revision
	l.listing.absentSince = map[string]micros.Time{}
	l.assignment.isolatedLeaders = map[storage.Process]micros.Time{}
	l.termination.confirmed = map[string]micros.Time{}
	l.nameCounter, l.adoption.key = 0, ""
	l.archiver = archiver{}
	l.formatUpgrade.inFlight = false
	c.log(messages.LevelInfo, "cluster leadership acquired", "fencing_token", l.revision)
}

// recentlyTerminated are machines that are surely gone, told for a while, the latest first where
// one message has no room for all.
func (l *clusterLeader) recentlyTerminated(now micros.Time) []string {
	var out []string
	for m, at := range l.termination.confirmed {
		if now-at < terminatedNoticeTTL {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.termination.confirmed[b], l.termination.confirmed[a]), cmp.Compare(a, b))
	})
	return out[:min(len(out), maxTerminatedPerMessage)]
}

const (
	// terminatedNoticeTTL is how long siblings are told that a machine is gone.
	terminatedNoticeTTL = 10 * micros.Second
	// maxTerminatedPerMessage bounds the machines in one message. The records tell as well.
	maxTerminatedPerMessage = 1000
)

func (c *Core) tickLeader() {
	if !c.isClusterLeader() {
		return
	}
	l := &c.leader
	if l.revision != c.cache.ClusterLeader.ModRevision {
		l.acquire(c)
	}
	if c.member.LeaseID() == 0 || !c.term.Valid(c.now) {
		return
	}
	c.assignPartitions()
	c.tickAdmission()
	c.terminateInstances()
	c.listInstances()
	c.scaleOut()
	c.pruneBlocks()
	c.adoptOrphans()
	c.transferIdleMachines()
	c.archiveTerminalJobs()
	c.upgradeFormat()
}

// assignPartitions leases queues without a live holder. A holder that is registered
// but has not been heard from by the leader for long cannot tell its needs; its
// queues go to another.
func (c *Core) assignPartitions() {
	l := &c.leader
	if l.assignment.inFlight || c.now < l.assignment.nextAt {
		return
	}
	mute := func(p storage.Process) bool {
		v := c.peers.Latest(p.Member)
		heard := v != nil && v.Status.From == p && c.now-v.ReceivedAt < 6*micros.Second
		return !heard && c.now-l.acquiredAt > 6*micros.Second
	}
	todo := leadership.Assign(c.cache, c.partitionCount(), c.process, func(p storage.Process) bool { return mute(p) || c.leaderIsolated(p) }, c.reachableMachines)
	if len(todo) == 0 {
		return
	}
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.leaderCompare()}}
	for _, a := range todo {
		if len(r.Puts) >= c.config.Settings.StateLimits().TxnOps {
			break
		}
		m := a.Record.Leader.Member
		r.Compares = append(r.Compares,
			storage.Compare{Key: c.keys.Partition(a.Partition), ModRevision: c.cache.Partitions[a.Partition].ModRevision},
			storage.Compare{Key: c.keys.Member(m), ModRevision: c.cache.Members[m].ModRevision})
		r.Puts = append(r.Puts, storage.Put{Key: c.keys.Partition(a.Partition), Value: storage.Encode(a.Record)})
	}
	l.assignment.inFlight = c.callStore(r, storage.Urgent, storeTimeout, func(*storage.Reply) {
		l.assignment.inFlight = false
		l.assignment.nextAt = c.now + 300*micros.Millisecond
	})
}

// isolationPenalty is how long a controller that could not hear its machines is given no
// queue.
const isolationPenalty = 30 * micros.Second

// minReachabilityGain is how many more machines another controller must reach at least, and
// an eighth of all, for a queue to change hands: that costs a second or two.
const minReachabilityGain = 3

// leaderIsolated tells whether a holder has lost machines, but not the state service, while
// another controller reaches clearly more of them: the queue goes there, long before
// the workers' leases end. Two zones may not reach each other while a third reaches
// both. One that lost a queue gets none for a while, so it does not go back and forth.
func (c *Core) leaderIsolated(p storage.Process) bool {
	l := &c.leader
	if at, ok := l.assignment.isolatedLeaders[p]; ok && c.now-at < isolationPenalty {
		return true
	}
	v := c.peers.Latest(p.Member)
	if v == nil || v.Status.From != p || c.now-v.ReceivedAt > 3*micros.Second {
		return false
	}
	for _, q := range v.Status.Partitions {
		if len(q.UnreachableZones) == 0 || c.cache.Partitions[q.Partition].Value.Leader != p {
			continue
		}
		mine, theirs, most := c.reachableMachines(p, q.Partition), 0, 0
		for _, o := range c.peers.All() {
			if o.Status.From != p && o.Status.StoreReachable && c.cache.Live(o.Status.From) {
				theirs = max(theirs, c.reachableMachines(o.Status.From, q.Partition))
			}
		}
		for _, n := range c.machinesInUse(q.Partition) {
			most += n
		}
		if theirs >= mine+max(minReachabilityGain, most/8) {
			c.log(messages.LevelInfo, "partition leader isolated from machines", "leader", p.Member, "partition", q.Partition, "zones", q.UnreachableZones, "reachable", mine, "reachable_by_peer", theirs)
			l.assignment.isolatedLeaders[p] = c.now
			return true
		}
	}
	return false
}

func (c *Core) partitionCount() int {
	n := 1
	for _, t := range c.teams {
		n = max(n, t.Partition+1)
	}
	return n
}

// partitionStatuses are what the present holders last said of their queues.
func (c *Core) partitionStatuses() []messages.PartitionStatus {
	var out []messages.PartitionStatus
	for _, p := range c.peers.All() {
		if c.now-p.ReceivedAt > statusLifetime {
			continue
		}
		for _, q := range p.Status.Partitions {
			v := c.cache.Partitions[q.Partition]
			if v.Value.Leader == p.Status.From && v.ModRevision == q.FencingToken {
				out = append(out, q)
			}
		}
	}
	return out
}

// terminateInstances deletes what holders let go. The cloud's 200 proves that the
// machines, and all on them, are gone.
func (c *Core) terminateInstances() {
	l := &c.leader
	// One that is cut off hears nobody, and what it asks of the cloud may be carried
	// out when the cut ends: it would delete machines that serve another by then.
	if l.termination.inFlight || c.now < l.termination.retryAt || c.isolated() {
		return
	}
	var names []string
	add := func(m string) {
		if _, gone := l.termination.confirmed[m]; !gone && !slices.Contains(names, m) && len(names) < 100 {
			names = append(names, m)
		}
	}
	for _, q := range c.partitionStatuses() {
		for _, m := range q.Terminate {
			if b, ok := c.cache.Machines[m]; ok && b.Value.Partition == q.Partition {
				add(m)
			}
		}
	}
	for _, m := range sortedKeys(l.termination.requested) {
		add(m)
	}
	if len(names) == 0 {
		return
	}
	l.termination.inFlight = true
	version := l.revision
	c.callCloud(messages.CloudCall{Operation: messages.CloudTerminate, Names: names, Timeout: 3 * micros.Second}, func(r *messages.CloudReply) {
		l.termination.inFlight = false
		l.termination.retryAt = c.now + 200*micros.Millisecond
		if r.Outcome != messages.CloudOK {
			l.termination.retryAt = c.now + micros.Second
			return
		}
		for _, m := range names {
			c.instanceTerminated(m)
		}
		if l.revision == version {
			c.pruneBlocks()
		}
		c.status.soon = true
	})
}

// instanceTerminated notes proof that a machine is gone.
func (c *Core) instanceTerminated(m string) {
	c.leader.termination.confirmed[m] = c.now
	if v, ok := c.cache.Machines[m]; ok {
		c.leader.scaling.capacity.Terminated(provisioning.InstanceKind{InstanceType: v.Value.InstanceType, Zone: v.Value.Zone, Spot: v.Value.Spot})
	}
	delete(c.leader.termination.requested, m)
	for _, n := range sortedKeys(c.partitions) {
		c.partitions[n].machineTerminated(m)
	}
}

// pruneBlocks removes machines that are gone from their blocks' records.
func (c *Core) pruneBlocks() {
	l := &c.leader
	gone := map[string][]string{} // by block
	for m, at := range l.termination.confirmed {
		if b, ok := c.cache.Machines[m]; ok {
			gone[b.Value.Block] = append(gone[b.Value.Block], m)
		} else if c.now-at > terminatedTTL {
			delete(l.termination.confirmed, m)
		}
	}
	for _, name := range sortedKeys(gone) {
		slices.Sort(gone[name])
		if c.now < l.termination.blockWriteAfter[name] {
			continue
		}
		b := c.cache.Blocks[name]
		r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.leaderCompare(), {Key: c.keys.Block(name), ModRevision: b.ModRevision}}}
		if rest := b.Value.Without(gone[name]...); len(rest.Machines) == 0 && rest.Requested == 0 {
			r.Deletes = append(r.Deletes, c.keys.Block(name))
		} else {
			c.putBlock(r, name, rest)
		}
		l.termination.blockWriteAfter[name] = c.now + storeTimeout + micros.Second
		if !c.callStore(r, storage.Deferrable, storeTimeout, func(*storage.Reply) { l.termination.blockWriteAfter[name] = c.now + 500*micros.Millisecond }) {
			delete(l.termination.blockWriteAfter, name)
			return
		}
	}
}

// terminatedTTL is how long a machine that is gone is remembered after its record went:
// late copies of its reports, and lists, may still show it.
const terminatedTTL = 300 * micros.Second

// listInstances compares the cloud's list with the blocks. Absence from a list
// proves nothing; a failed machine is gone, and an unknown one is adopted.
func (c *Core) listInstances() {
	l := &c.leader
	if l.listing.inFlight || c.now < l.listing.nextAt {
		return
	}
	l.listing.inFlight = true
	c.listInstancesPage("", map[string]bool{})
}

const (
	// listPageSize is how many machines one page of the cloud's list has.
	listPageSize = 500
	// minListInterval is how often the list is read where it has few pages.
	minListInterval = 2 * micros.Second
	// listRateShare is the part of the cloud's limit that lists may take: those of a large
	// fleet have many pages, and rentals and deletions need the rest.
	listRateShare = 0.25
)

// listInterval is how long the next reading of the cloud's list waits.
func (c *Core) listInterval() micros.Time {
	pages := 1 + len(c.cache.Machines)/listPageSize
	return max(minListInterval, micros.FromSeconds(float64(pages)/(c.config.Settings.Cloud.RPS*listRateShare)))
}

func (c *Core) listInstancesPage(after string, seen map[string]bool) {
	l := &c.leader
	version := l.revision
	c.callCloud(messages.CloudCall{Operation: messages.CloudList, After: after, Limit: listPageSize, Timeout: 3 * micros.Second}, func(r *messages.CloudReply) {
		if version != l.revision {
			return
		}
		l.listing.nextAt = c.now + c.listInterval()
		if r.Outcome != messages.CloudOK {
			l.listing.inFlight = false
			return
		}
		for _, m := range r.Instances {
			seen[m.Machine] = true
			if _, gone := l.termination.confirmed[m.Machine]; gone {
				continue
			}
			b, known := c.cache.Machines[m.Machine]
			switch {
			case m.Failed:
				if !l.termination.requested[m.Machine] {
					l.termination.requested[m.Machine] = true
					c.log(messages.LevelInfo, "instance failed", "machine", m.Machine)
				}
			case !known && c.now-l.acquiredAt > micros.Second && m.Age > 2*micros.Second:
				c.addOrphan(m.Machine, m.Address, provisioning.InstanceKind{InstanceType: m.InstanceType, Zone: m.Zone, Spot: m.Spot})
			case known:
				if h := c.partitions[b.Value.Partition]; h != nil && m.Address != "" {
					if hm := h.machine(m.Machine); hm != nil && hm.address == "" && m.Running {
						hm.address = m.Address
					}
				}
			}
		}
		if r.More && len(r.Instances) > 0 {
			c.listInstancesPage(r.Instances[len(r.Instances)-1].Machine, seen)
			return
		}
		l.listing.inFlight = false
		lag := micros.FromSeconds(c.config.Settings.Cloud.ListLagS)
		for _, id := range sortedKeys(c.cache.Machines) {
			if seen[id] {
				delete(l.listing.absentSince, id)
			} else if _, ok := l.listing.absentSince[id]; !ok {
				l.listing.absentSince[id] = c.now
			} else if c.now-l.listing.absentSince[id] > 4*lag+20*micros.Second {
				// Deleting is what proves it; the name may be unknown by now.
				if h := c.partitions[partitionOfMachine(c, id)]; h == nil || h.machine(id) == nil || c.now-h.machine(id).contact.LastContact() > 10*micros.Second {
					l.termination.requested[id] = true
				}
				delete(l.listing.absentSince, id)
			}
		}
		for id := range l.listing.absentSince {
			if _, ok := c.cache.Machines[id]; !ok {
				delete(l.listing.absentSince, id)
			}
		}
	})
}

func partitionOfMachine(c *Core, id string) int { return c.cache.Machines[id].Value.Partition }

// transferIdleMachines moves idle machines of one queue to another that needs them.
func (c *Core) transferIdleMachines() {
	l := &c.leader
	if c.now < l.transfer.nextAt || c.partitionCount() < 2 {
		return
	}
	l.transfer.nextAt = c.now + 2*micros.Second
	statuses := c.partitionStatuses()
	for _, needy := range statuses {
		if len(needy.CapacityRequests) == 0 {
			continue
		}
		for _, q := range statuses {
			if q.Partition == needy.Partition || len(q.CapacityRequests) > 0 || len(q.Idle) == 0 {
				continue
			}
			for _, m := range q.Idle {
				b, ok := c.cache.Machines[m]
				if !ok || (b.Value.Spot && !slices.ContainsFunc(needy.CapacityRequests, func(n provisioning.CapacityRequest) bool { return n.Spot })) {
					continue
				}
				holder := c.cache.Partitions[q.Partition].Value.Leader.Member
				if l.transfer.pending == nil {
					l.transfer.pending = map[string][]messages.MachineTransfer{}
				}
				l.transfer.pending[holder] = append(l.transfer.pending[holder], messages.MachineTransfer{Machine: m, ToPartition: needy.Partition})
				c.status.soon = true
				return
			}
		}
	}
}
