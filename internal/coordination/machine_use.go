package coordination

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// useWriteInterval is how long machines that boot after others of their block wait, so that
	// one write records several.
	useWriteInterval = 300 * micros.Millisecond
	// useWriteTimeout is after which time without a result a block is written again.
	useWriteTimeout = storeTimeout + micros.Second
)

// persistMachineUse records which machines are in use, those of a block together. A machine gets
// its first task only when that is stored: the next partition leader takes any other for empty.
func (p *partitionLeader) persistMachineUse() {
	blocks, order := p.blocksWithNewUse()
	for _, name := range order {
		if !p.writeBlockUse(name, blocks[name]) {
			break
		}
	}
}

// blocksWithNewUse returns the records of the blocks in which machines are to be recorded as in
// use, by name, and the order in which these were found.
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

// needsUseRecord tells whether the machine is to be recorded as in use now: its agent obeys this
// partition leader, and its block is not being written.
func (p *partitionLeader) needsUseRecord(m *machine) bool {
	return !m.record.Used &&
		m.agent.HeardFrom() &&
		m.agent.Acknowledged(p.lease.fencingToken) &&
		m.drain.reason == notDraining &&
		p.core.now >= p.useWriteAfter[m.record.Block]
}

// writeBlockUse writes a block's record. It returns false if the request budget does not allow it
// now.
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
