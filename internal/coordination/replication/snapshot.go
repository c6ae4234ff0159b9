package replication

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// snapshotPageItems is the maximum number of items in a page of a snapshot.
	snapshotPageItems = 500
	// snapshotPageTimeout limits the wait for a page.
	snapshotPageTimeout = 4 * micros.Second
	// snapshotRetryInterval is the delay before a snapshot is restarted after a failed page.
	snapshotRetryInterval = 200 * micros.Millisecond
)

// snapshotLoad is the state of loading a snapshot.
type snapshotLoad struct {
	inProgress bool
	retryAt    micros.Time
}

// loadSnapshot reads the whole store page by page if there is no complete copy.
func (r *Replica) loadSnapshot() {
	if r.synced || r.snapshot.inProgress || r.environment.Now() < r.snapshot.retryAt {
		return
	}
	r.snapshot.inProgress = true
	r.loadPage(storage.NewCache(r.keys), "", 0)
}

// loadPage requests the page that follows the key after. The change stream starts at the revision
// of the first page, so that it repeats the changes made while later pages were read.
// firstRevision is 0 until the first page has been received.
func (r *Replica) loadPage(into *storage.Cache, after string, firstRevision uint64) {
	sent := r.environment.Now()
	request := &storage.Request{Kind: storage.List, Key: r.keys.Prefix, After: after, Limit: snapshotPageItems}
	done := func(page *storage.Reply) { r.handlePage(into, page, firstRevision, sent) }
	if !r.environment.CallStore(request, storage.Urgent, snapshotPageTimeout, done) {
		r.snapshotFailed()
	}
}

func (r *Replica) handlePage(into *storage.Cache, page *storage.Reply, firstRevision uint64, sent micros.Time) {
	if page.Outcome != storage.OK || (page.More && len(page.Items) == 0) {
		r.snapshotFailed()
		return
	}
	if firstRevision == 0 {
		firstRevision = page.Revision
	}
	for _, item := range page.Items {
		if _, _, err := into.Apply(item); err != nil {
			r.logUndecodable(err)
		}
		if into.HasArchivedJobs {
			break // archived jobs are read on demand
		}
	}
	if page.More && !into.HasArchivedJobs {
		r.loadPage(into, page.Items[len(page.Items)-1].Key, firstRevision)
		return
	}
	into.SnapshotComplete()
	into.Revision = firstRevision
	r.snapshot.inProgress = false
	r.Install(into, sent)
}

func (r *Replica) snapshotFailed() {
	r.snapshot.inProgress = false
	r.snapshot.retryAt = r.environment.Now() + snapshotRetryInterval
}
