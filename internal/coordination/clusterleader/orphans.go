package clusterleader

import (
	"maps"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// adoptionInterval is the minimum interval between adoptions. It lets unmanaged instances that
	// are found shortly after each other share a block.
	adoptionInterval = 500 * micros.Millisecond
	// adoptionTimeout is the delay before the next write after one that got no reply.
	adoptionTimeout = storeTimeout + micros.Second
)

// adoptionView is the part of the core that orphan adoption uses.
type adoptionView interface {
	leaderView
	blockView
	// PartitionStatuses returns the latest statuses from the current partition leaders.
	PartitionStatuses() []messages.PartitionStatus
	// IsClusterLeader reports whether this process is the cluster leader.
	IsClusterLeader() bool
}

// orphan is a machine without a block.
type orphan struct {
	provisioning.InstanceKind
	address string
}

// orphanAdoption records unmanaged instances in blocks. They come from instance requests that the
// cloud executed late or whose reply was lost.
type orphanAdoption struct {
	view       adoptionView
	keys       storage.Keys
	term       *leaderTerm
	terminated *provisioning.TerminatedInstances
	scaling    *scaleOut

	orphans      map[string]orphan
	nextAt       micros.Time
	pendingBlock string // name of a block whose write was not answered
}

func newOrphanAdoption(view adoptionView, keys storage.Keys, term *leaderTerm,
	terminated *provisioning.TerminatedInstances, scaling *scaleOut) *orphanAdoption {
	return &orphanAdoption{view: view, keys: keys, term: term, terminated: terminated, scaling: scaling}
}

func (a *orphanAdoption) startTerm() { a.orphans, a.pendingBlock = map[string]orphan{}, "" }

// add schedules a machine for adoption into the partition that lacks capacity for the most tasks. The
// machine has had no task: only machines in a block get any, and they leave it only when they are
// terminated.
func (a *orphanAdoption) add(machine, address string, kind provisioning.InstanceKind) {
	if a.terminated.Contains(machine) || !a.view.IsClusterLeader() ||
		a.term.revision != a.view.Cache().ClusterLeader.ModRevision {
		return
	}
	if _, recorded := a.view.Cache().Machines[machine]; !recorded {
		a.orphans[machine] = orphan{kind, address}
	}
}

// tick adopts the orphans of one kind, up to one block of them.
func (a *orphanAdoption) tick() {
	if len(a.orphans) == 0 || a.view.Now() < a.nextAt {
		return
	}
	a.nextAt = a.view.Now() + adoptionInterval
	if a.view.Cache().Revision < a.scaling.provisionedRevision {
		return // an instance request may have become a block that the cache does not have yet
	}
	blocks := a.groupIntoBlocks()
	if kinds := slices.SortedFunc(maps.Keys(blocks), provisioning.InstanceKind.Compare); len(kinds) > 0 {
		a.adopt(blocks[kinds[0]])
	}
}

// groupIntoBlocks returns a block of orphans for each kind. It removes the orphans that have been
// recorded or terminated since they were added.
func (a *orphanAdoption) groupIntoBlocks() map[provisioning.InstanceKind]storage.BlockRecord {
	blocks := map[provisioning.InstanceKind]storage.BlockRecord{}
	for _, name := range sortedKeys(a.orphans) {
		orphan := a.orphans[name]
		if _, recorded := a.view.Cache().Machines[name]; recorded || a.terminated.Contains(name) {
			delete(a.orphans, name)
			continue
		}
		if a.scaling.requestOpenFor(orphan.InstanceKind) {
			continue
		}
		block, ok := blocks[orphan.InstanceKind]
		if !ok {
			block = storage.BlockRecord{
				Partition:    a.partitionWithMostDemand(),
				InstanceType: orphan.InstanceType, Zone: orphan.Zone, Spot: orphan.Spot,
			}
		}
		if len(block.Machines) < a.view.MaxBlockMachines() {
			blocks[orphan.InstanceKind] = block.With(name, storage.MachineRecord{Address: orphan.address})
		}
	}
	return blocks
}

// adopt writes a block of orphans. Only one write is in flight at a time, and a write whose reply was
// lost is repeated under the same name until that name is known to be taken. Otherwise both writes
// could be applied, and a machine could be in two blocks.
func (a *orphanAdoption) adopt(block storage.BlockRecord) {
	if a.pendingBlock == "" {
		a.pendingBlock = a.term.uniqueName("a")
	}
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{
		a.view.LeaderCompare(), {Key: a.keys.Block(a.pendingBlock)},
	}}
	a.view.PutBlock(r, a.pendingBlock, block)
	a.nextAt = a.view.Now() + adoptionTimeout
	a.view.Log(messages.LevelInfo, "unmanaged instances adopted", "instance_type", block.InstanceType,
		"zone", block.Zone, "spot", block.Spot, "count", len(block.Machines), "partition", block.Partition)
	if !a.view.CallStore(r, storage.Urgent, storeTimeout, func(reply *storage.Reply) {
		a.nextAt = a.view.Now() + adoptionInterval
		if reply.Outcome == storage.OK || reply.Outcome == storage.Conflict {
			a.pendingBlock = ""
			a.scaling.advanceProvisionedRevision(reply.Revision)
		}
	}) {
		a.nextAt = a.view.Now() + adoptionInterval
	}
}

// partitionWithMostDemand returns the partition that lacks capacity for the most tasks.
func (a *orphanAdoption) partitionWithMostDemand() int {
	partition, most := 0, -1
	for _, status := range a.view.PartitionStatuses() {
		tasks := 0
		for i := range status.CapacityRequests {
			tasks += status.CapacityRequests[i].Count
		}
		if tasks > most {
			partition, most = status.Partition, tasks
		}
	}
	return partition
}
