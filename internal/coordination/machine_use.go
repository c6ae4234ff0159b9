package coordination

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// useWriteInterval is how long machines that boot after others of their block wait to be
// marked together.
const useWriteInterval = 300 * micros.Millisecond

// persistMachineUse writes which machines are in use, before their first task, a block's
// together.
func (p *partitionLeader) persistMachineUse() {
	var marked map[string]storage.BlockRecord
	var order []string
	for _, m := range p.machines {
		if m.record.Used || !m.agent.HeardFrom() || !m.agent.Acknowledged(p.lease.fencingToken) || m.drain.reason != notDraining || p.core.now < p.useWriteAfter[m.record.Block] {
			continue
		}
		name := m.record.Block
		b, ok := marked[name]
		if !ok {
			if b, ok = p.core.cache.Blocks[name].Value, p.core.cache.Blocks[name].ModRevision == m.modRevision; !ok {
				continue
			}
			if marked == nil {
				marked = map[string]storage.BlockRecord{}
			}
			order = append(order, name)
		}
		marked[name] = b.With(m.id, storage.MachineRecord{Address: m.address, Used: true})
	}
	for _, name := range order {
		p.useWriteAfter[name] = p.core.now + storeTimeout + micros.Second
		r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{{Key: p.core.keys.Partition(p.partition), ModRevision: p.lease.fencingToken},
			{Key: p.core.keys.Block(name), ModRevision: p.core.cache.Blocks[name].ModRevision}}}
		p.core.putBlock(r, name, marked[name])
		if !p.core.callStore(r, storage.Urgent, storeTimeout, func(*storage.Reply) { p.useWriteAfter[name] = p.core.now + useWriteInterval }) {
			p.useWriteAfter[name] = p.core.now + useWriteInterval
			break
		}
	}
}
