package clusterleader

import (
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// pruneInterval is the minimum time between the reply to a write of a block's record and the
	// next write of the same record.
	pruneInterval = 500 * micros.Millisecond
	// pruneTimeout is how long after sending a write that got no reply the record may be written
	// again: by then the first write can no longer be in flight.
	pruneTimeout = storeTimeout + micros.Second
)

// pruningView is the part of the core that block pruning uses.
type pruningView interface {
	leaderView
	blockView
}

// blockPruning removes terminated machines from the records of their blocks.
type blockPruning struct {
	view       pruningView
	keys       storage.Keys
	terminated *provisioning.TerminatedInstances
	writeAfter map[string]micros.Time // by block: earliest time of the next write
}

func newBlockPruning(view pruningView, keys storage.Keys, terminated *provisioning.TerminatedInstances) *blockPruning {
	return &blockPruning{view: view, keys: keys, terminated: terminated}
}

func (p *blockPruning) startTerm() { p.writeAfter = map[string]micros.Time{} }

// tick prunes the blocks that have terminated machines, as far as the request budget allows.
func (p *blockPruning) tick() {
	machines := p.view.Cache().Machines
	terminated := p.terminated.Recorded(p.view.Now(), func(name string) (string, bool) {
		machine, ok := machines[name]
		return machine.Value.Block, ok
	})
	for _, block := range sortedKeys(terminated) {
		if p.view.Now() < p.writeAfter[block] {
			continue
		}
		if !p.prune(block, terminated[block]) {
			return
		}
	}
}

// prune removes machines from a block's record, and deletes the record if it has no other machines
// and no open request. It returns false if the request budget does not allow it.
func (p *blockPruning) prune(name string, terminated []string) bool {
	block, key := p.view.Cache().Blocks[name], p.keys.Block(name)
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{
		p.view.LeaderCompare(), {Key: key, ModRevision: block.ModRevision},
	}}
	if rest := block.Value.Without(terminated...); len(rest.Machines) == 0 && rest.Requested == 0 {
		r.Deletes = append(r.Deletes, key)
	} else {
		p.view.PutBlock(r, name, rest)
	}
	p.writeAfter[name] = p.view.Now() + pruneTimeout
	sent := p.view.CallStore(r, storage.Deferrable, storeTimeout, func(*storage.Reply) {
		p.writeAfter[name] = p.view.Now() + pruneInterval
	})
	if !sent {
		delete(p.writeAfter, name)
	}
	return sent
}
