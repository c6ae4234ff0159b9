package coordination

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// useWriteInterval is the shortest time between two writes of a block, so that one write covers
	// several machines that boot in succession.
	useWriteInterval = 300 * micros.Millisecond
	// useWriteTimeout is how long after a write without a result the block is written again.
	useWriteTimeout = storeTimeout + micros.Second
)

// persistMachineUse stores which machines are in use, with one write per block. A machine gets its
// first task only once its use is stored, because the next partition leader assumes that any other
// machine has no tasks.
func (p *partitionLeader) persistMachineUse() {
	blocks, order := p.blocksWithNewUse()
	for _, name := range order {
		if !p.writeBlockUse(name, blocks[name]) {
			break
		}
	}
}

// blocksWithNewUse returns the updated records of the blocks with machines to be marked as in use, by
// name, and the names in the order in which they were found.
func (p *partitionLeader) blocksWithNewUse() (map[string]storage.BlockRecord, []string) {
	var blocks map[string]storage.BlockRecord
	var order []string
	for _, m := range p.machines {
		if !p.needsUseRecord(m) {
			continue
		}
		name := m.record.Block
		block, ok := blocks[name]
		if !ok {
			stored := p.core.cache.Blocks[name]
			if stored.ModRevision != m.modRevision {
				continue
			}
			if blocks == nil {
				blocks = map[string]storage.BlockRecord{}
			}
			block = stored.Value
			order = append(order, name)
		}
		blocks[name] = block.With(m.id, storage.MachineRecord{Address: m.address, Used: true})
	}
	return blocks, order
}

// needsUseRecord reports whether the machine is to be marked as in use now: it is not marked yet, its
// agent has acknowledged its required fencing token, and its block is not being written.
func (p *partitionLeader) needsUseRecord(m *machine) bool {
	return !m.record.Used &&
		m.agent.HasHeartbeat() &&
		m.agent.Acknowledged(m.requiredToken) &&
		m.drain.reason == notDraining &&
		p.core.now >= p.useWriteAfter[m.record.Block]
}

// writeBlockUse writes a block's record. It returns false if the request budget is exhausted.
func (p *partitionLeader) writeBlockUse(name string, block storage.BlockRecord) bool {
	p.useWriteAfter[name] = p.core.now + useWriteTimeout
	request := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{
		{Key: p.core.keys.Partition(p.partition), ModRevision: p.lease.fencingToken},
		{Key: p.core.keys.Block(name), ModRevision: p.core.cache.Blocks[name].ModRevision},
	}}
	p.core.putBlock(request, name, block)
	sent := p.core.callStore(request, storage.Urgent, storeTimeout, func(*storage.Reply) {
		p.useWriteAfter[name] = p.core.now + useWriteInterval
	})
	if !sent {
		p.useWriteAfter[name] = p.core.now + useWriteInterval
	}
	return sent
}
