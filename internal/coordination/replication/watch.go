package replication

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// watchWait is how long the store holds a watch open while nothing changes.
	watchWait = micros.Second
	// watchTimeout limits the wait for the reply to a watch.
	watchTimeout = watchWait + 3*micros.Second
	// watchRetryInterval is the delay before the next watch after a failed one.
	watchRetryInterval = 100 * micros.Millisecond
)

// watchState limits the rate of watches; at most one is in flight at a time.
type watchState struct {
	interval       micros.Time
	inFlight       bool
	sentAt         micros.Time
	retryAt        micros.Time
	previousSentAt micros.Time
}

// PreviousWatchSentAt returns when the last watch whose reply has been completely applied was
// sent. The changes in the reply being applied, or in the next one, were made after that time.
func (r *Replica) PreviousWatchSentAt() micros.Time { return r.watch.previousSentAt }

// watchChanges requests the changes after the revision of the cache.
func (r *Replica) watchChanges() {
	sent := r.environment.Now()
	if !r.synced || r.watch.inFlight || sent < r.watch.retryAt || sent-r.watch.sentAt < r.watch.interval {
		return
	}
	request := &storage.Request{Kind: storage.Watch, Key: r.keys.Prefix, Revision: r.cache.Revision, Wait: watchWait}
	done := func(reply *storage.Reply) { r.handleChanges(reply, sent) }
	r.watch.inFlight = r.environment.CallStore(request, storage.Urgent, watchTimeout, done)
	if r.watch.inFlight {
		r.watch.sentAt = sent
	}
}

// handleChanges handles the reply to a watch sent at the time sent. A successful reply confirms the
// term as of that time, whether or not it contains changes.
func (r *Replica) handleChanges(reply *storage.Reply, sent micros.Time) {
	r.watch.inFlight = false
	switch reply.Outcome {
	case storage.OK:
		r.term.Confirm(sent)
		r.applyChanges(reply.Items, sent)
		r.cache.Revision = max(r.cache.Revision, reply.Revision)
		r.reads.release()
		r.watch.previousSentAt = sent // the next reply contains only changes made after this time
	case storage.Compacted:
		r.synced = false // changes were lost, so a new snapshot is needed
	case storage.Conflict, storage.NotFound, storage.LeaseNotFound,
		storage.Unavailable, storage.Invalid, storage.OutcomeUnknown:
		r.watch.retryAt = r.environment.Now() + watchRetryInterval
	}
}

// applyChanges applies changes in order. A partition leader learns of jobs and of the loss of its
// lease only through the change stream, so it sees both in the order in which they happened.
func (r *Replica) applyChanges(items []storage.Item, sent micros.Time) {
	admissionRevision := r.cache.Admission.ModRevision
	for len(items) > 0 {
		end := transactionEnd(items)
		r.applyTransaction(items[:end])
		items = items[end:]
	}
	if r.cache.Admission.ModRevision != admissionRevision {
		r.observer.AdmissionChanged(sent)
	}
	r.observer.ChangesApplied()
}

// transactionEnd returns the number of leading items that belong to one transaction: all its changes have
// the same revision.
func transactionEnd(items []storage.Item) int {
	end := 1
	for end < len(items) && items[end].ModRevision == items[0].ModRevision {
		end++
	}
	return end
}

// applyTransaction applies all changes of a transaction to the cache before the observer is notified of any.
// In between, the cache may show what was never true: a machine that moves to another block in neither.
func (r *Replica) applyTransaction(items []storage.Item) {
	type appliedChange struct {
		change storage.Change
		item   storage.Item
	}
	var applied []appliedChange
	for _, item := range items {
		change, changed, err := r.cache.Apply(item)
		if err != nil {
			r.logUndecodable(err)
			continue
		}
		if changed {
			applied = append(applied, appliedChange{change, item})
		}
	}
	for _, a := range applied {
		r.observer.Changed(a.change, a.item)
	}
}
