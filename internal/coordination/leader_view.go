package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// clusterView is the interface of the core to package clusterleader.
type clusterView struct{ environment }

// Cache returns the current copy of the store.
func (v clusterView) Cache() *storage.Cache { return v.core.cache }

// LeaderCompare returns the compare that every transaction of the cluster leader must include.
func (v clusterView) LeaderCompare() storage.Compare { return v.core.leaderCompare() }

// IsClusterLeader reports whether this process is the cluster leader according to its copy of the
// store, which may be outdated.
func (v clusterView) IsClusterLeader() bool { return v.core.isClusterLeader() }

// Isolated reports whether neither the store nor any peer has been heard from recently.
func (v clusterView) Isolated() bool { return v.core.isolated() }

// StoreReachable reports whether this controller can serve users now.
func (v clusterView) StoreReachable() bool { return v.core.storeReachable() }

// SendStatusSoon sends the next status message to peers early, after earlyStatusInterval.
func (v clusterView) SendStatusSoon() { v.core.status.soon = true }

// Catalog returns the instance types, or nil if they are not known yet.
func (v clusterView) Catalog() workload.Catalog { return v.core.catalog.Types() }

// PartitionCount returns the number of partitions.
func (v clusterView) PartitionCount() int { return v.core.partitionCount() }

// PartitionStatuses returns the last statuses that the current partition leaders sent.
func (v clusterView) PartitionStatuses() []messages.PartitionStatus {
	return v.core.partitionStatuses()
}

// ReachableMachines returns how many of a partition's machines a controller reaches, as it reported.
func (v clusterView) ReachableMachines(process storage.Process, partition int) int {
	return v.core.reachableMachines(process, partition)
}

// MachinesInUse returns the number of a partition's machines in use, by zone.
func (v clusterView) MachinesInUse(partition int) map[string]int {
	return v.core.machinesInUse(partition)
}

// PutBlock adds the write of a block's record to a request.
func (v clusterView) PutBlock(r *storage.Request, name string, record storage.BlockRecord) {
	v.core.putBlock(r, name, record)
}

// MaxBlockMachines returns the maximum number of machines in a block.
func (v clusterView) MaxBlockMachines() int { return v.core.maxBlockMachines() }

// MachineTerminated notifies the partition leaders in this process that a machine is terminated.
func (v clusterView) MachineTerminated(machine string) {
	for _, partition := range sortedKeys(v.core.partitions) {
		v.core.partitions[partition].removeMachine(machine)
	}
}

// InstanceRunning sets the address of a machine if the partition's leader is in this process and does
// not know the address yet.
func (v clusterView) InstanceRunning(partition int, machine, address string) {
	if p := v.core.partitions[partition]; p != nil {
		if m := p.machine(machine); m != nil && m.address == "" {
			m.address = address
		}
	}
}

// LastContact returns the time when a machine was last heard from. It returns false if the partition's
// leader is not in this process or does not have the machine.
func (v clusterView) LastContact(partition int, machine string) (micros.Time, bool) {
	if p := v.core.partitions[partition]; p != nil {
		if m := p.machine(machine); m != nil {
			return m.contact.LastContact(), true
		}
	}
	return 0, false
}
