package coordination

import (
	"fmt"

	"pipitlatch/internal/storage"
)

// Every write fits both the store's current limits and the announced next ones, because the store
// switches to the next ones at an unknown time. A record that no longer fitted could not be written,
// and its job, block or partition would be stuck.

// blockRecordReserve is the number of bytes of a block's record reserved for everything but its machines.
const blockRecordReserve = 200

// maxBlockMachines returns the maximum number of machines that are placed in one block.
func (c *Core) maxBlockMachines() int {
	fitting := (c.config.Settings.MaxValue() - blockRecordReserve) / storage.MachineRecordBytes
	return max(1, min(storage.MaxBlockMachines, fitting))
}

// putBlock adds the write of a block's record to a request. A record that is too large, because it
// was written by an older version or has long names, is split into several blocks. The additional
// blocks get unused names, and compares guard against overwriting an existing block.
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

// unusedBlockKey returns the key of a block that does not exist, whose name is the given one with the
// first unused suffix that is not below the given one. It also returns the suffix to continue from.
func (c *Core) unusedBlockKey(name string, suffix int) (key string, next int) {
	for ; ; suffix++ {
		candidate := fmt.Sprintf("%s+%d", name, suffix)
		if _, exists := c.cache.Blocks[candidate]; !exists {
			return c.keys.Block(candidate), suffix + 1
		}
	}
}
