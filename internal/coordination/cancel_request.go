package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// maxCancelRetries limits how often a cancellation is retried with a newer copy of the job's record.
const maxCancelRetries = 3

// cancelRequest is a user's request to cancel a job, while it is in progress.
type cancelRequest struct {
	core        *Core
	request     messages.RequestID
	id          string
	retriesLeft int
}

// cancel processes a user's request to cancel a job. It writes the job's tombstone on condition that
// the stored record still has the cached mod revision, so that a job cannot become both done and
// cancelled.
func (c *Core) cancel(in *messages.Cancel) {
	r := &cancelRequest{core: c, request: in.Request, id: in.ID, retriesLeft: maxCancelRetries}
	r.attemptCancel()
}

func (r *cancelRequest) attemptCancel() {
	if r.core.respondIfFinal(r.request, r.id) {
		return
	}
	if entry := r.core.cache.Jobs[r.id]; entry != nil {
		r.writeTombstone(entry)
	} else {
		r.handleUncachedJob()
	}
}

// retry makes another attempt based on the current cache.
func (r *cancelRequest) retry() {
	r.retriesLeft--
	r.attemptCancel()
}

// handleUncachedJob brings the cache up to date, and then retries if the job has appeared or answers
// from the archive otherwise. A job that is not cached may have just been accepted by another
// controller, may have been archived, or may not exist.
func (r *cancelRequest) handleUncachedJob() {
	r.core.replica.LinearizableRead(func(ok bool) {
		switch {
		case !ok || r.retriesLeft <= 0:
			r.respondStoreUnavailable()
		case r.core.cache.Jobs[r.id] == nil:
			r.core.respondStatusOr(r.request, r.id, func() { r.core.respondNotFound(r.request) })
		default:
			r.retry()
		}
	})
}

// writeTombstone marks the job as cancelled in the store, provided that its record has not changed.
func (r *cancelRequest) writeTombstone(entry *storage.JobEntry) {
	c := r.core
	key := c.keys.Job(r.id)
	sent := c.callStore(&storage.Request{
		Kind:     storage.Txn,
		Compares: []storage.Compare{{Key: key, ModRevision: entry.ModRevision}},
		Puts:     []storage.Put{{Key: key, Value: storage.Encode(entry.Job.Tombstone(workload.Cancelled))}},
		Deletes:  c.completedSegmentKeys(r.id, entry), // obsolete once the job has ended
	}, storage.Urgent, storeTimeout, r.handleWriteReply)
	if !sent {
		c.respondWritesExhausted(r.request)
	}
}

func (r *cancelRequest) handleWriteReply(reply *storage.Reply) {
	switch {
	case reply.Outcome == storage.OK:
		r.core.recordOwnCancellation(r.id, reply.Revision)
		r.core.respond(messages.Response{
			Request: r.request,
			Kind:    messages.JobFound,
			Job:     messages.JobStatus{ID: r.id, Phase: workload.Cancelled},
		})
	case reply.Outcome == storage.Conflict && r.retriesLeft > 0:
		r.core.replica.LinearizableRead(func(ok bool) {
			if !ok {
				r.respondStoreUnavailable()
				return
			}
			r.retry()
		})
	default:
		r.respondStoreUnavailable()
	}
}

func (r *cancelRequest) respondStoreUnavailable() {
	r.core.respondUnavailable(r.request, storeUnavailable)
}
