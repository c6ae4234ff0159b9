package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// lookup answers a user's question for a job's state.
func (c *Core) lookup(in *messages.Lookup) {
	c.respondStatusOr(in.Request, in.ID, func() { c.respondNotFound(in.Request) })
}

// respondStatusOr answers with the job's state as it is at this moment, or calls notFound if there
// is no such job. What can never change is answered from the cache at once; anything else takes a
// linearizable read.
func (c *Core) respondStatusOr(request messages.RequestID, id string, notFound func()) {
	if c.respondIfFinal(request, id) {
		return
	}
	c.replica.LinearizableRead(func(ok bool) {
		switch {
		case !ok:
			c.respondUnavailable(request, storeUnavailable)
		case c.cache.Jobs[id] != nil:
			c.respondCachedStatus(request, id)
		default:
			c.respondArchivedStatusOr(request, id, notFound)
		}
	})
}

// respondIfFinal answers from what can never change, if the cache has it, and tells whether it did.
func (c *Core) respondIfFinal(request messages.RequestID, id string) bool {
	entry := c.cache.Jobs[id]
	if entry == nil || (entry.Job.Phase == workload.Active && !entry.CancelledByDependency) {
		return false
	}
	c.respondStatus(request, entry)
	return true
}

// respondCachedStatus answers with the state of a job that the cache has, once it is known whether
// the job is cancelled with one of its dependencies.
func (c *Core) respondCachedStatus(request messages.RequestID, id string) {
	c.resolveDependencies(id, func(ok bool) {
		entry := c.cache.Jobs[id]
		if !ok || entry == nil {
			c.respondUnavailable(request, storeUnavailable)
			return
		}
		c.respondStatus(request, entry)
	})
}

// respondArchivedStatusOr answers with the state of a job that ended long ago, or calls notFound if
// the archive has none. The cache must be as new as the question.
func (c *Core) respondArchivedStatusOr(request messages.RequestID, id string, notFound func()) {
	c.lookupArchivedJob(id, func(entry *storage.JobEntry, ok bool) {
		switch {
		case !ok:
			c.respondUnavailable(request, storeUnavailable)
		case entry != nil:
			c.respondStatus(request, entry)
		default:
			notFound()
		}
	})
}

func (c *Core) respondStatus(request messages.RequestID, entry *storage.JobEntry) {
	c.respond(messages.Response{Request: request, Kind: messages.JobFound, Job: c.jobStatus(entry)})
}

// jobStatus is what a user is told of a job. Progress is what the partition leader last said of it,
// and never less than what is stored.
func (c *Core) jobStatus(entry *storage.JobEntry) messages.JobStatus {
	status := messages.JobStatus{ID: entry.Job.ID, Phase: entry.Job.Phase}
	if entry.CancelledByDependency {
		status.Phase = workload.Cancelled
	}
	switch status.Phase {
	case workload.Cancelled: // how far it came is of no use any more
	case workload.Done:
		status.Done = entry.Job.Tasks
	case workload.Active:
		progress := c.progress.of(status.ID)
		status.Done, status.Running = progress.Done, progress.Running
		if entry.Completed != nil {
			status.Done = max(status.Done, entry.Completed.Len())
		}
	}
	return status
}
