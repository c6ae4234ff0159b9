package coordination

import (
	"fmt"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
)

// transferMachine moves an empty machine to another partition. The leader of the old partition, in
// this process, drains the machine first. The same transaction gives both partitions new fencing
// tokens, so that the machine's agent obeys only the leader of the new partition, which uses the
// machine only after the agent has acknowledged the new token.
func (c *Core) transferMachine(transfer messages.MachineTransfer) {
	record, ok := c.cache.Machines[transfer.Machine]
	p := c.partitions[record.Value.Partition]
	if !ok || p == nil || transfer.ToPartition == p.partition || !c.term.Valid(c.now) {
		return
	}
	to, ok := c.cache.Partitions[transfer.ToPartition]
	m := p.machine(transfer.Machine)
	if !ok || m == nil || m.drain.reason != notDraining || !p.transferable(m) {
		return
	}
	p.startDrain(m, drainTransfer)
	request := p.transferRequest(m, record.Value, transfer.ToPartition, to)
	if len(request.Puts) > c.config.Settings.StateLimits().TxnOps {
		// The block was written by an older version and is too large. Its next change splits it.
		m.drain.reason = notDraining
		return
	}
	if !c.callStore(request, storage.Deferrable, storeTimeout, func(r *storage.Reply) {
		// Unless the store certainly rejected the transaction, it may still be applied, so the machine
		// keeps draining here until the change stream shows the transfer.
		if r.Outcome == storage.Conflict || r.Outcome == storage.Unavailable || r.Outcome == storage.Invalid {
			m.drain.reason = notDraining
		}
	}) {
		m.drain.reason = notDraining
	}
}

// transferRequest returns the transaction that moves the machine from its block to a new block of
// another partition.
func (p *partitionLeader) transferRequest(
	m *machine, record storage.Machine, toPartition int, to storage.Versioned[storage.PartitionRecord],
) *storage.Request {
	keys := p.core.keys
	oldBlock := p.core.cache.Blocks[record.Block]
	newBlock := storage.BlockRecord{
		Partition:    toPartition,
		InstanceType: record.InstanceType,
		Zone:         record.Zone,
		Spot:         record.Spot,
	}.With(m.id, record.MachineRecord)
	newBlockKey := keys.Block(fmt.Sprintf("m%d-%s", p.lease.fencingToken, m.id))
	request := &storage.Request{
		Kind: storage.Txn,
		Compares: []storage.Compare{
			{Key: keys.Partition(p.partition), ModRevision: p.lease.fencingToken},
			{Key: keys.Partition(toPartition), ModRevision: to.ModRevision},
			{Key: keys.Block(record.Block), ModRevision: oldBlock.ModRevision},
			{Key: newBlockKey},
		},
		Puts: []storage.Put{
			{Key: newBlockKey, Value: storage.Encode(newBlock)},
			{Key: keys.Partition(p.partition), Value: storage.Encode(p.leaseRecord())},
			{Key: keys.Partition(toPartition), Value: storage.Encode(to.Value)},
		},
	}
	p.core.putBlock(request, record.Block, oldBlock.Value.Without(m.id))
	return request
}
