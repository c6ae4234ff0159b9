package clusterleader

import (
	"cmp"
	"slices"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const (
	// archiveInterval bounds how often the records are looked through.
	archiveInterval = micros.Second
	// archiveWriteDivisor is the part of the store's write limit that goes into it.
	archiveWriteDivisor = 6
)

// archiverView is what the archiver needs of the core.
type archiverView interface {
	leaderView
	// StoreReachable tells whether this controller can serve users now.
	StoreReachable() bool
}

// archiver moves records of jobs that were over long ago out of every controller's memory. They
// stay in the store under a key of their own and are read when somebody asks.
type archiver struct {
	view   archiverView
	config *config.Config
	keys   storage.Keys

	nextRunAt micros.Time
	inFlight  bool // a transaction
	revisions revisionHistory
}

func newArchiver(view archiverView, cfg *config.Config, keys storage.Keys) *archiver {
	return &archiver{view: view, config: cfg, keys: keys}
}

func (a *archiver) startTerm() { a.nextRunAt, a.inFlight, a.revisions = 0, false, revisionHistory{} }

// tick moves the jobs that were over first, as long as there are more than are to be kept. None
// is moved before everything of it is surely off the machines: until then its team's limit
// counts what its record says.
func (a *archiver) tick() {
	now, cache := a.view.Now(), a.view.Cache()
	settled := 2*micros.FromSeconds(a.config.Settings.Workers.CancelS) + a.config.AgentLeaseExpiry()
	a.revisions.observe(now, cache.Revision, settled)
	revision, ok := a.revisions.revisionOlderThan(now, settled)
	if !ok || a.inFlight || now < a.nextRunAt || !a.view.StoreReachable() {
		return
	}
	if a.deleteOrphanedParts(revision) || len(cache.Jobs) <= a.config.MaxCachedTerminalJobs() {
		return
	}
	a.nextRunAt = now + archiveInterval
	if r := a.archiveRequest(a.jobsToArchive(), revision); len(r.Puts) > 0 {
		a.sendTransaction(r, func() {
			writes := float64(r.Writes()) * archiveWriteDivisor
			pause := micros.FromSeconds(writes / a.config.Settings.StateLimits().WriteRPS)
			a.nextRunAt = a.view.Now() + max(archiveInterval, pause)
		})
	}
}

// deleteOrphanedParts deletes parts of lists of dependencies that were written up to a revision
// and that no job's record names; it returns false if there are none.
func (a *archiver) deleteOrphanedParts(revision uint64) bool {
	orphaned := a.view.Cache().OrphanedDependencyParts(revision, a.config.Settings.StateLimits().TxnOps)
	if len(orphaned) == 0 {
		return false
	}
	a.nextRunAt = a.view.Now() + archiveInterval
	r := &storage.Request{
		Kind: storage.Txn, Compares: []storage.Compare{a.view.LeaderCompare()}, Deletes: orphaned,
	}
	a.sendTransaction(r, func() {})
	return true
}

// sendTransaction sends a transaction, and calls then when it is answered.
func (a *archiver) sendTransaction(r *storage.Request, then func()) {
	a.inFlight = a.view.CallStore(r, storage.Deferrable, storeTimeout, func(*storage.Reply) {
		a.inFlight = false
		then()
	})
}

// jobsToArchive are the records of jobs that are over, the oldest first, as many as are too
// many and one transaction can move.
func (a *archiver) jobsToArchive() []*storage.JobEntry {
	cache := a.view.Cache()
	var terminal []*storage.JobEntry
	for id, e := range cache.Jobs {
		// A dependency stays at hand while an unfinished job names it.
		if e.Job.Phase != workload.Active && len(cache.Dependents[id]) == 0 {
			terminal = append(terminal, e)
		}
	}
	// Two operations a job, besides the guards.
	count := min(len(terminal)-a.config.MaxCachedTerminalJobs(), a.config.Settings.StateLimits().TxnOps/2)
	if count <= 0 {
		return nil
	}
	// Jobs that one transaction ended have the same revision: without the id, map order would decide.
	slices.SortFunc(terminal, func(x, y *storage.JobEntry) int {
		return cmp.Or(cmp.Compare(x.ModRevision, y.ModRevision), cmp.Compare(x.Job.ID, y.Job.ID))
	})
	return terminal[:count]
}

// archiveRequest moves those records, ordered by revision, that are not newer than a revision.
func (a *archiver) archiveRequest(entries []*storage.JobEntry, revision uint64) *storage.Request {
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{a.view.LeaderCompare()}}
	for _, e := range entries {
		if e.ModRevision > revision {
			break
		}
		key := a.keys.Job(e.Job.ID)
		r.Compares = append(r.Compares, storage.Compare{Key: key, ModRevision: e.ModRevision})
		r.Puts = append(r.Puts, storage.Put{Key: a.keys.Archive(e.Job.ID), Value: storage.Encode(e.Job)})
		r.Deletes = append(r.Deletes, key)
	}
	return r
}
