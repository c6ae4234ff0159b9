package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// maxCachedArchivedJobs limits the cache of records read from the archive. With the cache, a
	// submission with many archived dependencies makes progress each time it is retried.
	maxCachedArchivedJobs = 4096
	// archiveReadTimeout is the timeout for reading one record from the archive.
	archiveReadTimeout = micros.Second
)

// lookupArchivedJob looks up a job that is not in the cache and passes its record to callback, or
// nil if the archive has no such job; ok is false if the archive could not be read. The caller must
// have brought the cache up to date first: only then does a job that is neither cached nor archived
// count as never accepted, since a job may move from the cache to the archive but not back.
func (c *Core) lookupArchivedJob(id string, callback func(e *storage.JobEntry, ok bool)) {
	if !c.cache.HasArchivedJobs {
		callback(nil, true) // no job has been archived yet
		return
	}
	if e := c.archivedJobs[id]; e != nil {
		callback(e, true) // archived records are immutable
		return
	}
	request := &storage.Request{Kind: storage.Get, Key: c.keys.ArchivedJob(id)}
	if !c.callStore(request, storage.Deferrable, archiveReadTimeout, func(r *storage.Reply) {
		switch {
		case r.Outcome == storage.NotFound:
			callback(nil, true)
		case r.Outcome == storage.OK && len(r.Items) == 1:
			e, err := storage.DecodeJob(r.Items[0])
			if err != nil {
				c.log(messages.LevelWarn, "undecodable record", "err", err)
			} else {
				c.cacheArchivedJob(id, e)
			}
			callback(e, err == nil)
		default:
			callback(nil, false)
		}
	}) {
		callback(nil, false)
	}
}

func (c *Core) cacheArchivedJob(id string, e *storage.JobEntry) {
	if len(c.archivedJobs) >= maxCachedArchivedJobs {
		clear(c.archivedJobs)
	}
	c.archivedJobs[id] = e
}

// CachedJobs returns the number of jobs in this controller's cache.
func (c *Core) CachedJobs() int { return len(c.cache.Jobs) }
