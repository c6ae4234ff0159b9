package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// Jobs with dependencies. What a job depends on never changes, so that it may start, and that it is
// cancelled with one of its dependencies, are functions of records (storage.Cache), the same on
// every controller. Nothing here believes more than the change stream shows: that the tasks of a
// dependency ended is not enough, its record has to say so.

const (
	// dependencyLookupInterval is how often a dependency is looked up that is not cached.
	dependencyLookupInterval = 2 * micros.Second
	// maxDependencyLookups bounds the look-ups in flight.
	maxDependencyLookups = 2
	// dependencyWriteInterval is how often cancellations with a dependency are written.
	dependencyWriteInterval = 300 * micros.Millisecond
)

// dependencyState is what a partition leader still has to find out, and to write, about jobs with
// dependencies.
type dependencyState struct {
	unresolved      map[string]micros.Time // dependencies that are not cached, and when to look them up again
	lookupsInFlight int
	cancelled       map[string]bool // jobs cancelled with a dependency, which their records do not say yet
	writeInFlight   bool
	nextWriteAt     micros.Time
}

func newDependencyState() dependencyState {
	return dependencyState{
		unresolved: map[string]micros.Time{},
		cancelled:  map[string]bool{},
	}
}

// addUnresolved records a dependency that is to be looked up. One that was looked up keeps the time
// of its next look-up.
func (s *dependencyState) addUnresolved(id string) { s.unresolved[id] = max(s.unresolved[id], 1) }

// lookupAvailable tells whether one more look-up may be in flight.
func (s *dependencyState) lookupAvailable() bool { return s.lookupsInFlight < maxDependencyLookups }

// lookupCandidates are the dependencies that may have to be looked up, in order, if any look-up may
// be sent now.
func (s *dependencyState) lookupCandidates() []string {
	if len(s.unresolved) == 0 || !s.lookupAvailable() {
		return nil
	}
	return sortedKeys(s.unresolved)
}

// beginLookup tells whether a dependency is to be looked up now, and counts that look-up as in
// flight until endLookup.
func (s *dependencyState) beginLookup(id string, now micros.Time) bool {
	if s.unresolved[id] > now || !s.lookupAvailable() {
		return false
	}
	s.unresolved[id] = now + dependencyLookupInterval
	s.lookupsInFlight++
	return true
}

func (s *dependencyState) endLookup() { s.lookupsInFlight-- }

// addCancelled records a job whose cancellation with a dependency is to be written.
func (s *dependencyState) addCancelled(id string) { s.cancelled[id] = true }

// writePending tells whether cancellations are to be written and no write stands in the way now.
func (s *dependencyState) writePending(now micros.Time) bool {
	return len(s.cancelled) > 0 && !s.writeInFlight && now >= s.nextWriteAt
}

// nextCancellations are the records of the jobs to be written as cancelled, at most so many, in the
// order of their ids. Jobs whose records in the cache say that they have ended are forgotten.
func (s *dependencyState) nextCancellations(cached map[string]*storage.JobEntry, most int) []*storage.JobEntry {
	var entries []*storage.JobEntry
	for _, id := range sortedKeys(s.cancelled) {
		entry := cached[id]
		if entry == nil || entry.Job.Phase != workload.Active {
			delete(s.cancelled, id)
			continue
		}
		if len(entries) < most {
			entries = append(entries, entry)
		}
	}
	return entries
}

// updateDependencies lets a job start once all its dependencies are done.
func (p *partitionLeader) updateDependencies(j *job) {
	if !j.blockedByDependencies {
		return
	}
	blocked, unresolved := p.core.cache.Blocked(j.record)
	if unresolved != "" {
		p.dependencies.addUnresolved(unresolved)
	}
	if blocked {
		return
	}
	// Times other than the due date count from now, or from when the last of them was done as its
	// record tells.
	j.blockedByDependencies, j.readySince = false, j.Submitted
	for _, id := range j.record.Dependencies {
		if entry := p.core.cache.Jobs[id]; entry != nil && entry.Job.CompletedAt > 0 {
			j.readySince = max(j.readySince, entry.Job.CompletedAt)
		} else {
			j.readySince = p.core.wall
		}
	}
	p.plan.stale = true
	p.core.log(messages.LevelDebug, "job dependencies satisfied", "job", j.ID)
}

// lookUpDependencies reads the archived records of dependencies that are not cached.
func (p *partitionLeader) lookUpDependencies() {
	for _, id := range p.dependencies.lookupCandidates() {
		if !awaitsResolution(p.core.cache, id) {
			delete(p.dependencies.unresolved, id)
			continue
		}
		if !p.dependencies.beginLookup(id, p.core.now) {
			continue
		}
		p.core.lookupArchivedJob(id, func(entry *storage.JobEntry, ok bool) {
			p.dependencies.endLookup()
			if ok && entry != nil {
				p.core.cache.Resolve(id, entry.Job.Phase)
				p.core.reevaluateAffected()
			}
		})
	}
}

// awaitsResolution tells whether a job depends on one of which the cache knows nothing.
func awaitsResolution(cache *storage.Cache, id string) bool {
	return cache.Jobs[id] == nil && len(cache.Dependents[id]) > 0 && cache.ArchivedPhases[id] == workload.Active
}

// persistDependencyCancellations writes that jobs are cancelled with one of their dependencies, one
// transaction at a time: every controller says so already.
func (p *partitionLeader) persistDependencyCancellations() {
	if !p.dependencies.writePending(p.core.now) {
		return
	}
	maxOperations := p.core.config.Settings.StateLimits().TxnOps
	entries := p.dependencies.nextCancellations(p.core.cache.Jobs, maxOperations)
	if len(entries) == 0 {
		return
	}
	request := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{
		{Key: p.core.keys.Partition(p.partition), ModRevision: p.lease.fencingToken},
	}}
	for _, entry := range entries {
		key := p.core.keys.Job(entry.Job.ID)
		tombstone := entry.Job.Tombstone(workload.Cancelled)
		request.Compares = append(request.Compares, storage.Compare{Key: key, ModRevision: entry.ModRevision})
		request.Puts = append(request.Puts, storage.Put{Key: key, Value: storage.Encode(tombstone)})
	}
	p.dependencies.nextWriteAt = p.core.now + dependencyWriteInterval
	p.dependencies.writeInFlight = p.core.callStore(request, storage.Deferrable, storeTimeout, func(*storage.Reply) {
		p.dependencies.writeInFlight = false
	})
}

// resolveDependencies reads the archived records of the dependencies of a job, direct or through
// others, and calls then when it is known whether the job is cancelled with one of them. Without
// this a controller that began after they were archived would call a job queued that another calls
// cancelled.
func (c *Core) resolveDependencies(id string, then func(ok bool)) {
	c.readArchivedDependencies(c.cache, c.cache.Unresolved(id), then)
}

func (c *Core) readArchivedDependencies(cache *storage.Cache, ids []string, then func(ok bool)) {
	if len(ids) == 0 || c.cache != cache {
		then(c.cache == cache) // a cache of a new snapshot knows nothing of what was read
		return
	}
	c.lookupArchivedJob(ids[0], func(entry *storage.JobEntry, ok bool) {
		if !ok {
			then(false)
			return
		}
		if entry != nil && c.cache == cache {
			cache.Resolve(ids[0], entry.Job.Phase)
			c.reevaluateAffected()
		}
		c.readArchivedDependencies(cache, ids[1:], then)
	})
}

// reevaluateAffected looks at the jobs again for which something changed with another job.
func (c *Core) reevaluateAffected() {
	for _, id := range c.cache.TakeAffected() {
		c.jobChanged(id)
	}
}
