package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// archive is what the leader moves out of every controller's memory: records of jobs
// that were over long ago. They stay in the state service under a key of their own and
// are read when somebody asks.
type archive struct {
	at    micros.Time
	moved bool // a transaction is out
	ages  []revisionAt
}

// revisionAt dates a revision.
type revisionAt struct {
	at       micros.Time
	revision uint64
}

const (
	// archivePace bounds how often the records are looked through.
	archivePace = micros.Second
	// archivePart is the part of the state service's changes that goes into it.
	archivePart = 6
	// agePace is how often a revision is dated.
	agePace = 10 * micros.Second
)

// tickArchive moves the jobs that were over first, as long as there are more than
// are to be kept. None is moved before everything of it is surely off the machines:
// until then its team's limit counts what its record says.
func (c *Core) tickArchive() {
	a := &c.leader.archive
	if n := len(a.ages); n == 0 || c.now-a.ages[n-1].at >= agePace {
		a.ages = append(a.ages, revisionAt{c.now, c.replica.Revision})
	}
	safe := 2*micros.FromSeconds(c.cfg.Settings.Workers.CancelS) + c.cfg.AgentLeaseExpiry()
	for len(a.ages) > 1 && c.now-a.ages[1].at > safe {
		a.ages = a.ages[1:]
	}
	keep := c.cfg.MaxCachedTerminalJobs()
	if !a.moved && c.now >= a.at && c.now-a.ages[0].at > safe && c.stateOK() {
		if stale := c.replica.OrphanedDependencyParts(a.ages[0].revision, c.cfg.Settings.StateLimits().TxnOps); len(stale) > 0 {
			a.at = c.now + archivePace
			a.moved = c.callState(&storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.asLeader()}, Deletes: stale},
				storage.Deferrable, stateTimeout, func(*storage.Reply) { a.moved = false })
			return
		}
	}
	if a.moved || c.now < a.at || len(c.replica.Jobs) <= keep || c.now-a.ages[0].at <= safe || !c.stateOK() {
		return
	}
	a.at = c.now + archivePace
	var over []*storage.JobEntry
	for id, e := range c.replica.Jobs {
		// A needed job stays at hand while an unfinished one names it.
		if e.Job.Phase != bookkeeping.Active && len(c.replica.Dependents[id]) == 0 {
			over = append(over, e)
		}
	}
	most := min(len(over)-keep, c.cfg.Settings.StateLimits().TxnOps/2)
	if most <= 0 {
		return
	}
	slices.SortFunc(over, func(x, y *storage.JobEntry) int { return cmp.Compare(x.ModRevision, y.ModRevision) })
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.asLeader()}}
	for _, e := range over[:most] {
		if e.ModRevision > a.ages[0].revision {
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
	a.moved = c.callState(r, storage.Deferrable, stateTimeout, func(*storage.Reply) {
		a.moved = false
		a.at = c.now + max(archivePace, micros.FromSeconds(float64(r.Writes())*archivePart/c.cfg.Settings.StateLimits().WriteRPS))
	})
}

// maxRead bounds the records read from the archive that are kept: a submission that names
// many such jobs gets on from one repeat to the next.
const maxRead = 4096

// archived looks a job up that is not in memory, and calls then with its record, nil
// if there is none. The replica must be fresh: a job that was open or kept then, and
// is in the archive now, is found; one that is neither was never accepted.
func (c *Core) archived(id string, then func(e *storage.JobEntry, ok bool)) {
	if !c.replica.Archived {
		then(nil, true) // nothing was ever moved
		return
	}
	if e := c.archive[id]; e != nil {
		then(e, true) // it cannot change any more
		return
	}
	if !c.callState(&storage.Request{Kind: storage.Get, Key: c.keys.Archive(id)}, storage.Deferrable, micros.Second, func(r *storage.Reply) {
		switch {
		case r.Outcome == storage.NotFound:
			then(nil, true)
		case r.Outcome == storage.OK && len(r.Items) == 1:
			e, err := storage.DecodeJob(r.Items[0])
			if err != nil {
				c.log(levelWarn, "bad record", "err", err)
			} else {
				if len(c.archive) >= maxRead {
					clear(c.archive)
				}
				c.archive[id] = e
			}
			then(e, err == nil)
		default:
			then(nil, false)
		}
	}) {
		then(nil, false)
	}
}

// Kept is how many jobs this controller keeps in memory.
func (c *Core) Kept() int { return len(c.replica.Jobs) }
