package coordination

import (
	"fmt"

	"pipitlatch/internal/storage"
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
