package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// maxCancelRetries is how often a cancellation is tried again with a newer copy of the job's record.
const maxCancelRetries = 3

// cancelRequest is a user's request to cancel a job, while it is being carried out.
type cancelRequest struct {
	core        *Core
	request     messages.RequestID
	id          string
	retriesLeft int
}

// cancel carries a user's cancellation out: it writes the job's tombstone on condition that the
// record is as the cache has it, so that done and cancelled exclude each other.
func (c *Core) cancel(in *messages.Cancel) {
	r := &cancelRequest{core: c, request: in.Request, id: in.ID, retriesLeft: maxCancelRetries}
	r.try()
}

func (r *cancelRequest) try() {
	if r.core.respondIfFinal(r.request, r.id) {
		return
	}
	if entry := r.core.cache.Jobs[r.id]; entry != nil {
		r.writeTombstone(entry)
	} else {
		r.waitForJob()
	}
}

// retry tries again with the cache as it is now.
func (r *cancelRequest) retry() {
	r.retriesLeft--
	r.try()
}

// waitForJob brings the cache up to this moment, as it does not have the job: it was accepted by
// another controller just now, is in the archive, or does not exist.
func (r *cancelRequest) waitForJob() {
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

// writeTombstone writes that the job is cancelled, provided that its record has not changed.
func (r *cancelRequest) writeTombstone(entry *storage.JobEntry) {
	c := r.core
	key := c.keys.Job(r.id)
	sent := c.callStore(&storage.Request{
		Kind:     storage.Txn,
		Compares: []storage.Compare{{Key: key, ModRevision: entry.ModRevision}},
		Puts:     []storage.Put{{Key: key, Value: storage.Encode(entry.Job.Tombstone(workload.Cancelled))}},
		Deletes:  c.completedSegmentKeys(r.id, entry), // nobody needs them any more
	}, storage.Urgent, storeTimeout, r.tombstoneWritten)
	if !sent {
		c.respondWritesExhausted(r.request)
	}
}

func (r *cancelRequest) tombstoneWritten(reply *storage.Reply) {
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
