package replication

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// watchWait is how long the store holds a watch back while nothing changes.
	watchWait = micros.Second
	// watchTimeout is how long the reply to a watch is waited for.
	watchTimeout = watchWait + 3*micros.Second
	// watchRetryInterval is how long after a watch failed the next one is sent.
	watchRetryInterval = 100 * micros.Millisecond
)

// watchState paces the watches, of which one is in flight at a time.
type watchState struct {
	interval       micros.Time
	inFlight       bool
	sentAt         micros.Time
	retryAt        micros.Time
	previousSentAt micros.Time
}

// PreviousWatchSentAt is when the watch before the last that succeeded was sent: what the last
// one brought happened after it.
func (r *Replica) PreviousWatchSentAt() micros.Time { return r.watch.previousSentAt }

// watchChanges asks for what changed after the revision of the cache.
func (r *Replica) watchChanges() {
	sent := r.environment.Now()
	if !r.synced || r.watch.inFlight || sent < r.watch.retryAt || sent-r.watch.sentAt < r.watch.interval {
		return
	}
	request := &storage.Request{Kind: storage.Watch, Key: r.keys.Prefix, Revision: r.cache.Revision, Wait: watchWait}
	done := func(reply *storage.Reply) { r.takeChanges(reply, sent) }
	r.watch.inFlight = r.environment.CallStore(request, storage.Urgent, watchTimeout, done)
	if r.watch.inFlight {
		r.watch.sentAt = sent
	}
}

// takeChanges takes the reply to a watch that was sent at a time. A successful one confirms the
// term from that time on, whether anything changed or not.
func (r *Replica) takeChanges(reply *storage.Reply, sent micros.Time) {
	r.watch.inFlight = false
	switch reply.Outcome {
	case storage.OK:
		r.term.Confirm(sent)
		r.applyChanges(reply.Items, sent)
		r.cache.Revision = max(r.cache.Revision, reply.Revision)
		r.reads.release()
		r.watch.previousSentAt = sent // what the next brings came after this
	case storage.Compacted:
		r.synced = false // changes are lost: a new snapshot is needed
	case storage.Conflict, storage.NotFound, storage.LeaseNotFound,
		storage.Unavailable, storage.Invalid, storage.OutcomeUnknown:
		r.watch.retryAt = r.environment.Now() + watchRetryInterval
	}
}

// applyChanges applies changes in their order. The stream is the only way in which a partition
// leader learns of jobs and of the loss of its lease, so that it learns them in their order.
func (r *Replica) applyChanges(items []storage.Item, sent micros.Time) {
	admissionRevision := r.cache.Admission.ModRevision
	for _, item := range items {
		change, changed, err := r.cache.Apply(item)
		if err != nil {
			r.logUndecodable(err)
			continue
		}
		if changed {
			r.observer.Changed(change, item)
		}
	}
	if r.cache.Admission.ModRevision != admissionRevision {
		r.observer.AdmissionChanged(sent)
	}
	r.observer.ChangesApplied()
}
