package coordination

import "pipitlatch/internal/storage"

// olderMemberRegistered reports whether a process of an older version is registered. One may be started
// even after all members were upgraded. It must not become the leader of a partition that has jobs with
// dependencies, whose records it cannot read.
func (c *Core) olderMemberRegistered() bool {
	for member := range c.cache.Members {
		if c.cache.MemberFormats[member] < storage.Format {
			return true
		}
	}
	return false
}
