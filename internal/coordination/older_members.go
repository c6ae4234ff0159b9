package coordination

import "pipitlatch/internal/storage"

// olderMemberRegistered reports whether a process of an older version is registered. One may be started
// even after all members were upgraded, and nothing keeps it from becoming a partition leader. It ignores
// a job's dependencies, whether they are listed in the job's record or stored in parts, and would start
// the job without regard to them. New jobs with dependencies are therefore refused while one is
// registered.
func (c *Core) olderMemberRegistered() bool {
	for member := range c.cache.Members {
		if c.cache.MemberFormats[member] < storage.Format {
			return true
		}
	}
	return false
}
