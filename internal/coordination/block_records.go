package coordination

import (
	"fmt"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// Every write fits the smaller of the store's limits in force and to come: the change comes
// unannounced, and a record that could not be written any more would stop its job, block or
// partition.

// blockRecordReserve is left of a block's record for all but its machines.
const blockRecordReserve = 200

// maxBlockMachines is how many machines a block is given.
func (c *Core) maxBlockMachines() int {
	fitting := (c.config.Settings.MaxValue() - blockRecordReserve) / storage.MachineRecordBytes
	return max(1, min(storage.MaxBlockMachines, fitting))
}

// putBlock adds the write of a block's record to a request: in several blocks where it is
// too large for one, as what an older version wrote may be, or with long names. The names
// of the others are new, and guarded as such, so that they overwrite nothing.
func (c *Core) putBlock(r *storage.Request, name string, record storage.BlockRecord) {
	suffix := 0
	for i, part := range record.Split(c.config.Settings.MaxValue()) {
		key := c.keys.Block(name)
		if i > 0 {
			key, suffix = c.unusedBlockKey(name, suffix)
			r.Compares = append(r.Compares, storage.Compare{Key: key})
		}
		r.Puts = append(r.Puts, storage.Put{Key: key, Value: storage.Encode(part)})
	}
}

// unusedBlockKey is the key of a block that does not exist, named after another and the first
// unused suffix from one on, and the suffix after it.
func (c *Core) unusedBlockKey(name string, suffix int) (key string, next int) {
	for ; ; suffix++ {
		candidate := fmt.Sprintf("%s+%d", name, suffix)
		if _, exists := c.cache.Blocks[candidate]; !exists {
			return c.keys.Block(candidate), suffix + 1
		}
	}
}

// persistCatalog takes the machine types from the state when the cloud has not told
// them yet: a controller that starts while the cloud is down must be able to
// judge submissions and to plan. The leader writes them down, in parts if they are too
// many for one record.
func (c *Core) persistCatalog() {
	stored := c.cache.Catalog.Value
	if c.catalog == nil && len(stored) > 0 {
		c.catalog = stored
	}
	if !c.isClusterLeader() || !c.catalogSync.fromCloud || c.catalogSync.writing || c.now-c.catalogSync.writtenAt < 10*micros.Second || c.catalog.SameTypes(stored) {
		return
	}
	c.catalogSync.writtenAt = c.now
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.leaderCompare()}}
	if value := storage.Encode(c.catalog); len(value) <= c.config.Settings.MaxValue() {
		key := c.keys.Catalog()
		r.Compares = append(r.Compares, storage.Compare{Key: key, ModRevision: c.cache.Catalog.ModRevision})
		r.Puts = append(r.Puts, storage.Put{Key: key, Value: value})
	} else if c.cache.Format < storage.Format {
		return // an older version would take a part for all
	} else {
		c.putCatalogParts(r, stored)
	}
	c.catalogSync.writing = c.callStore(r, storage.Deferrable, storeTimeout, func(*storage.Reply) { c.catalogSync.writing = false })
}

// putCatalogParts adds the parts of the catalog that are not stored as they are, as many as one
// transaction takes; the next look writes the others.
func (c *Core) putCatalogParts(r *storage.Request, stored workload.Catalog) {
	part, n := workload.Catalog{}, 0
	flush := func() {
		same := true
		for name, t := range part {
			same = same && stored[name] != nil && workload.Catalog{name: t}.SameTypes(workload.Catalog{name: stored[name]})
		}
		if key := c.keys.CatalogPart(n); !same && len(r.Puts) < c.config.Settings.StateLimits().TxnOps {
			r.Compares = append(r.Compares, storage.Compare{Key: key, ModRevision: c.cache.CatalogPartRevision(n)})
			r.Puts = append(r.Puts, storage.Put{Key: key, Value: storage.Encode(part)})
		}
		part = workload.Catalog{}
		n++
	}
	for _, name := range sortedKeys(c.catalog) {
		part[name] = c.catalog[name]
		if len(part) > 1 && len(storage.Encode(part)) > c.config.Settings.MaxValue() {
			delete(part, name)
			flush()
			part[name] = c.catalog[name]
		}
	}
	flush()
}
