package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// lookup responds to a user's request for the status of a job.
func (c *Core) lookup(in *messages.Lookup) {
	c.respondStatusOr(in.Request, in.ID, func() { c.respondNotFound(in.Request) })
}

// respondStatusOr responds with the current status of a job, or calls notFound if there is no such job.
// A final status is served from the cache immediately; any other requires a linearizable read.
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

// respondIfFinal responds with the cached status of a job if that can no longer change, and reports whether
// it did.
func (c *Core) respondIfFinal(request messages.RequestID, id string) bool {
	entry := c.cache.Jobs[id]
	if entry == nil || (entry.Job.Phase == workload.Active && !entry.CancelledByDependency) {
		return false
	}
	c.respondStatus(request, entry)
	return true
}

// respondCachedStatus responds with the status of a cached job, once it is known whether the job is
// cancelled with one of its dependencies.
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

// respondArchivedStatusOr responds with the status of an archived job, or calls notFound if the archive
// has no such job. The cache must be at least as recent as the request.
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

// jobStatus returns the status of a job as reported to users. The progress is what the partition leader
// reported last, but at least what is stored.
func (c *Core) jobStatus(entry *storage.JobEntry) messages.JobStatus {
	status := messages.JobStatus{ID: entry.Job.ID, Phase: entry.Job.Phase}
	if entry.CancelledByDependency {
		status.Phase = workload.Cancelled
	}
	switch status.Phase {
	case workload.Cancelled: // progress is not reported for cancelled jobs
	case workload.Done:
		status.Done = entry.Job.Tasks
	case workload.Active:
		progress := c.progress.get(status.ID)
		status.Done, status.Running = progress.Done, progress.Running
		if entry.Completed != nil {
			status.Done = max(status.Done, entry.Completed.Len())
		}
	}
	return status
}
