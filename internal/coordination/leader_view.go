package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// clusterView is the core as the duties of its cluster leader see it.
type clusterView struct{ environment }

// Cache is the present copy of the store.
func (v clusterView) Cache() *storage.Cache { return v.core.cache }

// LeaderCompare guards every transaction of the cluster leader.
func (v clusterView) LeaderCompare() storage.Compare { return v.core.leaderCompare() }

// IsClusterLeader tells whether this process is the cluster leader, as far as it can know.
func (v clusterView) IsClusterLeader() bool { return v.core.isClusterLeader() }

// Isolated tells whether neither the store nor any peer has been heard of late.
func (v clusterView) Isolated() bool { return v.core.isolated() }

// StoreReachable tells whether this controller can serve users now.
func (v clusterView) StoreReachable() bool { return v.core.storeReachable() }

// SendStatusSoon makes the next status message to peers an early one.
func (v clusterView) SendStatusSoon() { v.core.status.soon = true }

// Catalog are the instance types; nil as long as they are not known.
func (v clusterView) Catalog() workload.Catalog { return v.core.catalog.Types() }

// PartitionCount is how many partitions there are.
func (v clusterView) PartitionCount() int { return v.core.partitionCount() }

// PartitionStatuses are what the present partition leaders last said.
func (v clusterView) PartitionStatuses() []messages.PartitionStatus {
	return v.core.partitionStatuses()
}

// ReachableMachines is how many of a partition's machines a controller reaches, as far as it said.
func (v clusterView) ReachableMachines(process storage.Process, partition int) int {
	return v.core.reachableMachines(process, partition)
}

// MachinesInUse is how many machines of a partition are in use, by zone.
func (v clusterView) MachinesInUse(partition int) map[string]int {
	return v.core.machinesInUse(partition)
}

// PutBlock adds the write of a block's record to a request.
func (v clusterView) PutBlock(r *storage.Request, name string, record storage.BlockRecord) {
	v.core.putBlock(r, name, record)
}

// MaxBlockMachines is how many machines a block may have.
func (v clusterView) MaxBlockMachines() int { return v.core.maxBlockMachines() }

// MachineTerminated lets the partitions led here know that a machine is gone.
func (v clusterView) MachineTerminated(machine string) {
	for _, partition := range sortedKeys(v.core.partitions) {
		v.core.partitions[partition].removeMachine(machine)
	}
}

// InstanceRunning lets the partition's leader know the address of a machine, if it leads here
// and has no address of it.
func (v clusterView) InstanceRunning(partition int, machine, address string) {
	if p := v.core.partitions[partition]; p != nil {
		if m := p.machine(machine); m != nil && m.address == "" {
			m.address = address
		}
	}
}

// LastContact is when the machine was last heard from, if its partition's leader is here and
// has it.
func (v clusterView) LastContact(partition int, machine string) (micros.Time, bool) {
	if p := v.core.partitions[partition]; p != nil {
		if m := p.machine(machine); m != nil {
			return m.contact.LastContact(), true
		}
	}
	return 0, false
}
