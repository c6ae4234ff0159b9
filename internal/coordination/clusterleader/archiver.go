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
	// archiveInterval is the minimum interval between scans of the job records.
	archiveInterval = micros.Second
	// archiveWriteDivisor limits archiving to a sixth of the store's write limit.
	archiveWriteDivisor = 6
)

// archiverView is the part of the core that the archiver uses.
type archiverView interface {
	leaderView
	// StoreReachable reports whether this controller can currently serve users.
	StoreReachable() bool
}

// archiver moves the records of jobs that ended long ago out of every controller's memory. They
// stay in the store under separate keys, from which they are read on demand.
type archiver struct {
	view   archiverView
	config *config.Config
	keys   storage.Keys

	nextRunAt micros.Time
	inFlight  bool // whether a transaction has not been answered yet
	revisions revisionHistory
}

func newArchiver(view archiverView, cfg *config.Config, keys storage.Keys) *archiver {
	return &archiver{view: view, config: cfg, keys: keys}
}

func (a *archiver) startTerm() { a.nextRunAt, a.inFlight, a.revisions = 0, false, revisionHistory{} }

// tick archives the jobs that ended first while more jobs are cached than the limit allows. A job is
// archived only when all its tasks are certain to have left the machines: until then its record is
// counted against its team's limit.
func (a *archiver) tick() {
	now, cache := a.view.Now(), a.view.Cache()
	archiveDelay := 2*micros.FromSeconds(a.config.Settings.Workers.CancelS) + a.config.AgentLeaseExpiry()
	a.revisions.observe(now, cache.Revision, archiveDelay)
	revision, ok := a.revisions.revisionOlderThan(now, archiveDelay)
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

// deleteOrphanedParts deletes the parts of dependency lists that were written at or before a revision
// and belong to no unfinished job. It returns false if there are none.
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

// sendTransaction sends a transaction and calls then when it is answered.
func (a *archiver) sendTransaction(r *storage.Request, then func()) {
	a.inFlight = a.view.CallStore(r, storage.Deferrable, storeTimeout, func(*storage.Reply) {
		a.inFlight = false
		then()
	})
}

// jobsToArchive returns the terminal jobs in excess of the cache limit, oldest first and at most as
// many as one transaction can move.
func (a *archiver) jobsToArchive() []*storage.JobEntry {
	cache := a.view.Cache()
	var terminal []*storage.JobEntry
	for id, e := range cache.Jobs {
		// A job stays cached while an unfinished job depends on it.
		if e.Job.Phase != workload.Active && len(cache.Dependents[id]) == 0 {
			terminal = append(terminal, e)
		}
	}
	// Each job takes two operations, not counting the comparisons.
	count := min(len(terminal)-a.config.MaxCachedTerminalJobs(), a.config.Settings.StateLimits().TxnOps/2)
	if count <= 0 {
		return nil
	}
	// Jobs that ended in the same transaction have the same revision. Comparing their IDs as well
	// keeps the order independent of map iteration.
	slices.SortFunc(terminal, func(x, y *storage.JobEntry) int {
		return cmp.Or(cmp.Compare(x.ModRevision, y.ModRevision), cmp.Compare(x.Job.ID, y.Job.ID))
	})
	return terminal[:count]
}

// archiveRequest returns the transaction that archives those entries that are not newer than a
// revision. The entries are ordered by revision.
func (a *archiver) archiveRequest(entries []*storage.JobEntry, revision uint64) *storage.Request {
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{a.view.LeaderCompare()}}
	for _, e := range entries {
		if e.ModRevision > revision {
			break
		}
		key := a.keys.Job(e.Job.ID)
		r.Compares = append(r.Compares, storage.Compare{Key: key, ModRevision: e.ModRevision})
		r.Puts = append(r.Puts, storage.Put{Key: a.keys.ArchivedJob(e.Job.ID), Value: storage.Encode(e.Job)})
		r.Deletes = append(r.Deletes, key)
	}
	return r
}
