package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// maxArchivedCache bounds the records read from the archive that are kept: a submission that
	// names many such jobs gets on from one repeat to the next.
	maxArchivedCache = 4096
	// archiveReadTimeout is how long a record from the archive is waited for.
	archiveReadTimeout = micros.Second
)

// lookupArchived looks a job up that is not in memory, and calls then with its record, nil
// if there is none. The cache must be fresh: a job that was open or kept then, and
// is in the archive now, is found; one that is neither was never accepted.
func (c *Core) lookupArchived(id string, then func(e *storage.JobEntry, ok bool)) {
	if !c.cache.Archived {
		then(nil, true) // nothing was ever moved
		return
	}
	if e := c.archivedJobs[id]; e != nil {
		then(e, true) // it cannot change any more
		return
	}
	request := &storage.Request{Kind: storage.Get, Key: c.keys.Archive(id)}
	if !c.callStore(request, storage.Deferrable, archiveReadTimeout, func(r *storage.Reply) {
		switch {
		case r.Outcome == storage.NotFound:
			then(nil, true)
		case r.Outcome == storage.OK && len(r.Items) == 1:
			e, err := storage.DecodeJob(r.Items[0])
			if err != nil {
				c.log(messages.LevelWarn, "undecodable record", "err", err)
			} else {
				c.keepArchived(id, e)
			}
			then(e, err == nil)
		default:
			then(nil, false)
		}
	}) {
		then(nil, false)
	}
}

func (c *Core) keepArchived(id string, e *storage.JobEntry) {
	if len(c.archivedJobs) >= maxArchivedCache {
		clear(c.archivedJobs)
	}
	c.archivedJobs[id] = e
}

// CachedJobs is how many jobs this controller keeps in memory.
func (c *Core) CachedJobs() int { return len(c.cache.Jobs) }
