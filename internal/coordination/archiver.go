package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// archiver is what the leader moves out of every controller's memory: records of jobs
// that were over long ago. They stay in the state service under a key of their own and
// are read when somebody asks.
type archiver struct {
	nextRunAt     micros.Time
	txnInFlight   bool // a transaction is out
	revisionTimes []revisionAt
}

// revisionAt dates a revision.
type revisionAt struct {
	at       micros.Time
	revision uint64
}

const (
	// archiveInterval bounds how often the records are looked through.
	archiveInterval = micros.Second
	// archiveWriteDivisor is the part of the state service's changes that goes into it.
	archiveWriteDivisor = 6
	// revisionTimeInterval is how often a revision is dated.
	revisionTimeInterval = 10 * micros.Second
)

// archiveTerminalJobs moves the jobs that were over first, as long as there are more than
// are to be kept. None is moved before everything of it is surely off the machines:
// until then its team's limit counts what its record says.
func (c *Core) archiveTerminalJobs() {
	a := &c.leader.archiver
	if n := len(a.revisionTimes); n == 0 || c.now-a.revisionTimes[n-1].at >= revisionTimeInterval {
		a.revisionTimes = append(a.revisionTimes, revisionAt{c.now, c.cache.Revision})
	}
	safe := 2*micros.FromSeconds(c.config.Settings.Workers.CancelS) + c.config.AgentLeaseExpiry()
	for len(a.revisionTimes) > 1 && c.now-a.revisionTimes[1].at > safe {
		a.revisionTimes = a.revisionTimes[1:]
	}
	keep := c.config.MaxCachedTerminalJobs()
	if !a.txnInFlight && c.now >= a.nextRunAt && c.now-a.revisionTimes[0].at > safe && c.storeReachable() {
		if stale := c.cache.OrphanedDependencyParts(a.revisionTimes[0].revision, c.config.Settings.StateLimits().TxnOps); len(stale) > 0 {
			a.nextRunAt = c.now + archiveInterval
			a.txnInFlight = c.callStore(&storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.leaderCompare()}, Deletes: stale},
				storage.Deferrable, storeTimeout, func(*storage.Reply) { a.txnInFlight = false })
			return
		}
	}
	if a.txnInFlight || c.now < a.nextRunAt || len(c.cache.Jobs) <= keep || c.now-a.revisionTimes[0].at <= safe || !c.storeReachable() {
		return
	}
	a.nextRunAt = c.now + archiveInterval
	var over []*storage.JobEntry
	for id, e := range c.cache.Jobs {
		// A needed job stays at hand while an unfinished one names it.
		if e.Job.Phase != workload.Active && len(c.cache.Dependents[id]) == 0 {
			over = append(over, e)
		}
	}
	most := min(len(over)-keep, c.config.Settings.StateLimits().TxnOps/2)
	if most <= 0 {
		return
	}
	// Jobs that one transaction ended have the same revision: without the id, map order would decide.
	slices.SortFunc(over, func(x, y *storage.JobEntry) int {
		return cmp.Or(cmp.Compare(x.ModRevision, y.ModRevision), cmp.Compare(x.Job.ID, y.Job.ID))
	})
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.leaderCompare()}}
	for _, e := range over[:most] {
		if e.ModRevision > a.revisionTimes[0].revision {
			break
		}
		key := c.keys.Job(e.Job.ID)
		r.Compares = append(r.Compares, storage.Compare{Key: key, ModRevision: e.ModRevision})
		r.Puts = append(r.Puts, storage.Put{Key: c.keys.Archive(e.Job.ID), Value: storage.Encode(e.Job)})
		r.Deletes = append(r.Deletes, key)
	}
	if len(r.Puts) == 0 {
		return
	}
	a.txnInFlight = c.callStore(r, storage.Deferrable, storeTimeout, func(*storage.Reply) {
		a.txnInFlight = false
		a.nextRunAt = c.now + max(archiveInterval, micros.FromSeconds(float64(r.Writes())*archiveWriteDivisor/c.config.Settings.StateLimits().WriteRPS))
	})
}

// maxArchivedCache bounds the records read from the archive that are kept: a submission that names
// many such jobs gets on from one repeat to the next.
const maxArchivedCache = 4096

// lookupArchived looks a job up that is not in memory, and calls then with its record, nil
// if there is none. The replica must be fresh: a job that was open or kept then, and
// is in the archive now, is found; one that is neither was never accepted.
func (c *Core) lookupArchived(id string, then func(e *storage.JobEntry, ok bool)) {
	if !c.cache.Archived {
		then(nil, true) // nothing was ever moved
		return
	}
	if e := c.archivedJobs[id]; e != nil {
		then(e, true) // it cannot change any more
		return
	}
	if !c.callStore(&storage.Request{Kind: storage.Get, Key: c.keys.Archive(id)}, storage.Deferrable, micros.Second, func(r *storage.Reply) {
		switch {
		case r.Outcome == storage.NotFound:
			then(nil, true)
		case r.Outcome == storage.OK && len(r.Items) == 1:
			e, err := storage.DecodeJob(r.Items[0])
			if err != nil {
				c.log(messages.LevelWarn, "undecodable record", "err", err)
			} else {
				if len(c.archivedJobs) >= maxArchivedCache {
					clear(c.archivedJobs)
				}
				c.archivedJobs[id] = e
			}
			then(e, err == nil)
		default:
			then(nil, false)
		}
	}) {
		then(nil, false)
	}
}

// CachedJobs is how many jobs this controller keeps in memory.
func (c *Core) CachedJobs() int { return len(c.cache.Jobs) }
