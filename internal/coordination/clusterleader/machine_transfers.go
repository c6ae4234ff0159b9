package clusterleader

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// transferInterval is the minimum interval between searches for a machine to transfer: by then the
// partitions' statuses reflect the previous transfer.
const transferInterval = 2 * micros.Second

// transferView is the part of the core that machine transfers use.
type transferView interface {
	partitionsView
	Now() micros.Time
	Cache() *storage.Cache
	// SendStatusSoon makes the next status message early; it carries the transfers.
	SendStatusSoon()
}

// machineTransfers asks partition leaders to transfer idle machines to partitions that lack
// capacity.
type machineTransfers struct {
	view    transferView
	pending map[string][]messages.MachineTransfer // by member, for the next status message
	nextAt  micros.Time
}

// tick requests at most one transfer.
func (t *machineTransfers) tick() {
	if t.view.Now() < t.nextAt || t.view.PartitionCount() < 2 {
		return
	}
	t.nextAt = t.view.Now() + transferInterval
	statuses := t.view.PartitionStatuses()
	for i := range statuses {
		recipient := &statuses[i]
		if len(recipient.CapacityRequests) == 0 {
			continue
		}
		for j := range statuses {
			if machine, ok := t.idleMachine(&statuses[j], recipient); ok {
				t.request(statuses[j].Partition, messages.MachineTransfer{Machine: machine, ToPartition: recipient.Partition})
				return
			}
		}
	}
}

// idleMachine returns a machine that is idle in one partition and that another can use.
func (t *machineTransfers) idleMachine(from, needy *messages.PartitionStatus) (string, bool) {
	if from.Partition == needy.Partition || len(from.CapacityRequests) > 0 {
		return "", false
	}
	allowsSpot := slices.ContainsFunc(needy.CapacityRequests, func(r provisioning.CapacityRequest) bool { return r.Spot })
	for _, name := range from.Idle {
		if machine, ok := t.view.Cache().Machines[name]; ok && (allowsSpot || !machine.Value.Spot) {
			return name, true
		}
	}
	return "", false
}

// request adds a transfer to the next status message to the partition's leader.
func (t *machineTransfers) request(from int, transfer messages.MachineTransfer) {
	leader := t.view.Cache().Partitions[from].Value.Leader.Member
	if t.pending == nil {
		t.pending = map[string][]messages.MachineTransfer{}
	}
	t.pending[leader] = append(t.pending[leader], transfer)
	t.view.SendStatusSoon()
}
