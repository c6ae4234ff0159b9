package coordination

import "pipitlatch/internal/storage"

// olderMemberRegistered tells whether a process of an older version serves now: one that came back
// although all members were new once. It must not come to lead jobs with dependencies.
func (c *Core) olderMemberRegistered() bool {
	for member := range c.cache.Members {
		if c.cache.MemberFormats[member] < storage.Format {
			return true
		}
	}
	return false
}
