package clusterleader

import (
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// pruneInterval is how long after the write of a block's record the next of the same block
	// may be sent.
	pruneInterval = 500 * micros.Millisecond
	// pruneTimeout is how long after one without an answer: it is surely not on its way any more.
	pruneTimeout = storeTimeout + micros.Second
)

// pruningView is what pruning needs of the core.
type pruningView interface {
	leaderView
	blockView
}

// blockPruning removes machines that are gone from their blocks' records.
type blockPruning struct {
	view       pruningView
	keys       storage.Keys
	terminated *provisioning.TerminatedInstances
	writeAfter map[string]micros.Time // by block: when it may be written again
}

func newBlockPruning(view pruningView, keys storage.Keys, terminated *provisioning.TerminatedInstances) *blockPruning {
	return &blockPruning{view: view, keys: keys, terminated: terminated}
}

func (p *blockPruning) startTerm() { p.writeAfter = map[string]micros.Time{} }

// tick writes the records of the blocks that have machines which are gone, as far as the
// request budget allows.
func (p *blockPruning) tick() {
	machines := p.view.Cache().Machines
	gone := p.terminated.Recorded(p.view.Now(), func(name string) (string, bool) {
		machine, ok := machines[name]
		return machine.Value.Block, ok
	})
	for _, block := range sortedKeys(gone) {
		if p.view.Now() < p.writeAfter[block] {
			continue
		}
		if !p.prune(block, gone[block]) {
			return
		}
	}
}

// prune removes machines from a block; it returns false if the request budget does not allow it.
func (p *blockPruning) prune(name string, gone []string) bool {
	block, key := p.view.Cache().Blocks[name], p.keys.Block(name)
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{
		p.view.LeaderCompare(), {Key: key, ModRevision: block.ModRevision},
	}}
	if rest := block.Value.Without(gone...); len(rest.Machines) == 0 && rest.Requested == 0 {
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
