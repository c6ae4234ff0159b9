package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// This file handles jobs with dependencies. A job's dependencies never change, so whether it may start
// and whether it is cancelled with one of its dependencies are functions of the stored records
// (storage.Cache) and the same on every controller. Decisions are based only on what the change stream
// shows: a dependency counts as done when its record says so, not when all its tasks have ended.

const (
	// dependencyLookupInterval is the interval between lookups of a dependency that is not cached.
	dependencyLookupInterval = 2 * micros.Second
	// maxDependencyLookups limits the number of lookups in flight.
	maxDependencyLookups = 2
	// dependencyWriteInterval is the interval between writes of jobs cancelled with a dependency.
	dependencyWriteInterval = 300 * micros.Millisecond
)

// dependencyState tracks the dependencies that a partition leader has yet to look up, and the jobs
// cancelled with a dependency whose records it has yet to write.
type dependencyState struct {
	unresolved      map[string]micros.Time // uncached dependencies, with the time of their next lookup
	lookupsInFlight int
	cancelled       map[string]bool // jobs cancelled with a dependency, but not yet in their records
	writeInFlight   bool
	nextWriteAt     micros.Time
}

func newDependencyState() dependencyState {
	return dependencyState{
		unresolved: map[string]micros.Time{},
		cancelled:  map[string]bool{},
	}
}

// addUnresolved records a dependency to be looked up. If it is already recorded, the time of its next
// lookup stays the same. Otherwise that time is 1, which has passed, so the lookup is due immediately.
func (s *dependencyState) addUnresolved(id string) { s.unresolved[id] = max(s.unresolved[id], 1) }

// lookupAvailable reports whether another lookup may be started.
func (s *dependencyState) lookupAvailable() bool { return s.lookupsInFlight < maxDependencyLookups }

// lookupCandidates returns the unresolved dependencies in order of their ids, or nil if no lookup may be
// started now.
func (s *dependencyState) lookupCandidates() []string {
	if len(s.unresolved) == 0 || !s.lookupAvailable() {
		return nil
	}
	return sortedKeys(s.unresolved)
}

// beginLookup reports whether a dependency should be looked up now. If so, the lookup counts as in flight
// until endLookup is called.
func (s *dependencyState) beginLookup(id string, now micros.Time) bool {
	if s.unresolved[id] > now || !s.lookupAvailable() {
		return false
	}
	s.unresolved[id] = now + dependencyLookupInterval
	s.lookupsInFlight++
	return true
}

func (s *dependencyState) endLookup() { s.lookupsInFlight-- }

// addCancelled records a job whose cancellation with a dependency has to be written.
func (s *dependencyState) addCancelled(id string) { s.cancelled[id] = true }

// writeDue reports whether there are cancellations to write, the time of the next write has come, and no
// other write is in flight.
func (s *dependencyState) writeDue(now micros.Time) bool {
	return len(s.cancelled) > 0 && !s.writeInFlight && now >= s.nextWriteAt
}

// nextCancellations returns the entries of up to limit jobs to be written as cancelled, in order of their
// ids. Jobs that have ended according to the cache, or are no longer cached, are dropped.
func (s *dependencyState) nextCancellations(cached map[string]*storage.JobEntry, limit int) []*storage.JobEntry {
	var entries []*storage.JobEntry
	for _, id := range sortedKeys(s.cancelled) {
		entry := cached[id]
		if entry == nil || entry.Job.Phase != workload.Active {
			delete(s.cancelled, id)
			continue
		}
		if len(entries) < limit {
			entries = append(entries, entry)
		}
	}
	return entries
}

// updateDependencies unblocks a job once all its dependencies are done.
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
	// Except for the due date, all times of the job are relative to when it became ready: the latest
	// completion time in the records of its dependencies, or now if such a time is not known.
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

// lookUpDependencies reads the archived records of unresolved dependencies.
func (p *partitionLeader) lookUpDependencies() {
	for _, id := range p.dependencies.lookupCandidates() {
		if !needsResolution(p.core.cache, id) {
			delete(p.dependencies.unresolved, id)
			continue
		}
		if !p.dependencies.beginLookup(id, p.core.now) {
			continue
		}
		p.core.lookupArchivedJob(id, func(entry *storage.JobEntry, ok bool) {
			p.dependencies.endLookup()
			if ok && entry != nil {
				p.core.cache.ResolveDependency(id, entry.Job.Phase)
				p.core.reevaluateAffected()
			}
		})
	}
}

// needsResolution reports whether other jobs depend on this one and the cache does not know its outcome.
func needsResolution(cache *storage.Cache, id string) bool {
	return cache.Jobs[id] == nil && len(cache.Dependents[id]) > 0 && cache.ArchivedPhases[id] == workload.Active
}

// persistDependencyCancellations marks jobs that are cancelled with a dependency as cancelled in the
// store, one transaction at a time. This is not urgent, since every controller already reports them as
// cancelled.
func (p *partitionLeader) persistDependencyCancellations() {
	if !p.dependencies.writeDue(p.core.now) {
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

// resolveDependencies reads the archived records of a job's unresolved dependencies, direct or
// transitive, and then calls callback(true). Without these reads, a controller that started after the
// records were archived would report a job as queued that other controllers report as cancelled.
// It calls callback(false) if a record could not be read or the cache was replaced meanwhile: then it is
// not known whether the job is cancelled with a dependency. A dependency without an archived record
// stays unresolved and does not prevent callback(true).
func (c *Core) resolveDependencies(id string, callback func(ok bool)) {
	c.readArchivedDependencies(c.cache, c.cache.UnresolvedDependencies(id), callback)
}

func (c *Core) readArchivedDependencies(cache *storage.Cache, ids []string, callback func(ok bool)) {
	if len(ids) == 0 || c.cache != cache {
		callback(c.cache == cache) // a cache loaded from a new snapshot lacks the phases read so far
		return
	}
	c.lookupArchivedJob(ids[0], func(entry *storage.JobEntry, ok bool) {
		if !ok {
			callback(false)
			return
		}
		if entry != nil && c.cache == cache {
			cache.ResolveDependency(ids[0], entry.Job.Phase)
			c.reevaluateAffected()
		}
		c.readArchivedDependencies(cache, ids[1:], callback)
	})
}

// reevaluateAffected reevaluates the jobs that may start or are cancelled because another job changed.
func (c *Core) reevaluateAffected() {
	for _, id := range c.cache.TakeAffected() {
		c.jobChanged(id)
	}
}
