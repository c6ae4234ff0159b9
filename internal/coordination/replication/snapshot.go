package replication

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// snapshotPageItems is how many items one page of a snapshot has at most.
	snapshotPageItems = 500
	// snapshotPageTimeout is how long a page is waited for.
	snapshotPageTimeout = 4 * micros.Second
	// snapshotRetryInterval is how long after a page failed the snapshot is begun anew.
	snapshotRetryInterval = 200 * micros.Millisecond
)

// snapshotLoad is the snapshot that is being loaded.
type snapshotLoad struct {
	inProgress bool
	retryAt    micros.Time
}

// loadSnapshot reads the whole store, page by page, when there is no valid copy.
func (r *Replica) loadSnapshot() {
	if r.synced || r.snapshot.inProgress || r.environment.Now() < r.snapshot.retryAt {
		return
	}
	r.snapshot.inProgress = true
	r.loadPage(storage.NewCache(r.keys), "", 0)
}

// loadPage requests the page after a key. The change stream starts at the revision of the first
// page, which is 0 until that has come: what changed while the others were read comes again.
func (r *Replica) loadPage(into *storage.Cache, after string, firstRevision uint64) {
	sent := r.environment.Now()
	request := &storage.Request{Kind: storage.List, Key: r.keys.Prefix, After: after, Limit: snapshotPageItems}
	done := func(page *storage.Reply) { r.takePage(into, page, firstRevision, sent) }
	if !r.environment.CallStore(request, storage.Urgent, snapshotPageTimeout, done) {
		r.snapshotFailed()
	}
}

func (r *Replica) takePage(into *storage.Cache, page *storage.Reply, firstRevision uint64, sent micros.Time) {
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
			break // what follows is read when somebody asks for it
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
