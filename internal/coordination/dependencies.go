package coordination

import (
	"maps"
	"slices"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// Jobs that wait on others. What a job needs never changes, so that it may start, and
// that it is cancelled with one before it, are functions of records (storage.Replica),
// the same on every controller. Nothing here believes more than the stream shows: that
// the tasks of a needed job ended is not enough, its record has to say so.

// Format is written once every member of the settings was registered with a version that
// reads the new forms: until then an older one may still become the holder, and would
// start a job without regard to what it waits for.
func (c *Core) upgradeFormat() {
	l := &c.leader
	if c.cache.Format >= storage.Format || l.formatUpgrade.inFlight || c.now < l.formatUpgrade.retryAt {
		return
	}
	members := []string{c.process.Member}
	for _, s := range c.config.Peers {
		members = append(members, s.Member)
	}
	for _, m := range members {
		if c.cache.Members[m].ModRevision == 0 || c.cache.MemberFormats[m] < storage.Format {
			return
		}
	}
	l.formatUpgrade.retryAt = c.now + micros.Second
	l.formatUpgrade.inFlight = c.callStore(&storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.leaderCompare()},
		Puts: []storage.Put{{Key: c.keys.Format(), Value: storage.Encode(map[string]int{"v": storage.Format})}},
	}, storage.Urgent, storeTimeout, func(r *storage.Reply) {
		l.formatUpgrade.inFlight = false
		if r.Outcome == storage.OK {
			c.log(messages.LevelInfo, "record format upgraded", "format", storage.Format)
		}
	})
}

// olderMemberRegistered tells whether a process of an older version serves now: one that came
// back old although all were new once. It must not get to hold jobs that wait.
func (c *Core) olderMemberRegistered() bool {
	for member := range c.cache.Members {
		if c.cache.MemberFormats[member] < storage.Format {
			return true
		}
	}
	return false
}

// resolveDependencies reads the records of jobs before this one that were moved away, and calls
// then when it is known whether it is cancelled with one of them. Without this a controller
// that began after the move would call a job queued that another calls cancelled.
func (c *Core) resolveDependencies(id string, then func(ok bool)) {
	c.readArchivedDependencies(c.cache, c.cache.Unresolved(id), then)
}

func (c *Core) readArchivedDependencies(replica *storage.Cache, ids []string, then func(ok bool)) {
	if len(ids) == 0 || c.cache != replica {
		then(c.cache == replica) // a new copy of the state knows nothing of what was read
		return
	}
	c.lookupArchived(ids[0], func(e *storage.JobEntry, ok bool) {
		if !ok {
			then(false)
			return
		}
		if e != nil && c.cache == replica {
			replica.Resolve(ids[0], e.Job.Phase)
			c.reevaluateAffected()
		}
		c.readArchivedDependencies(replica, ids[1:], then)
	})
}

// reevaluateAffected looks at the jobs again for which something changed with another job.
func (c *Core) reevaluateAffected() {
	for _, id := range c.cache.TakeAffected() {
		for _, n := range sortedKeys(c.partitions) {
			c.partitions[n].jobChanged(id)
		}
	}
}

// updateDependencies tells how things stand with what a job waits for.
func (p *partitionLeader) updateDependencies(j *job) {
	if !j.blockedByDependencies {
		return
	}
	blocked, unknown := p.core.cache.Blocked(j.record)
	if unknown != "" {
		p.dependencies.unresolved[unknown] = max(p.dependencies.unresolved[unknown], 1)
	}
	if blocked {
		return
	}
	// Times other than the due date count from now, or from when the last of them was
	// done as its record tells.
	j.blockedByDependencies, j.readySince = false, j.Submitted
	for _, w := range j.record.Dependencies {
		if e := p.core.cache.Jobs[w]; e != nil && e.Job.CompletedAt > 0 {
			j.readySince = max(j.readySince, e.Job.CompletedAt)
		} else {
			j.readySince = p.core.wall
		}
	}
	p.plan.stale = true
	p.core.log(messages.LevelDebug, "job dependencies satisfied", "job", j.ID)
}

const (
	// dependencyLookupInterval is how often a needed job is looked up that was moved away.
	dependencyLookupInterval = 2 * micros.Second
	// maxDependencyLookups bounds the look-ups at a time.
	maxDependencyLookups = 2
)

// lookUpDependencies looks needed jobs up that are not in memory.
func (p *partitionLeader) lookUpDependencies() {
	if len(p.dependencies.unresolved) == 0 || p.dependencies.lookupsInFlight >= maxDependencyLookups {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.dependencies.unresolved)) {
		if p.core.cache.Jobs[id] != nil || len(p.core.cache.Dependents[id]) == 0 || p.core.cache.ArchivedPhases[id] != workload.Active {
			delete(p.dependencies.unresolved, id)
			continue
		}
		if p.dependencies.unresolved[id] > p.core.now || p.dependencies.lookupsInFlight >= maxDependencyLookups {
			continue
		}
		p.dependencies.unresolved[id] = p.core.now + dependencyLookupInterval
		p.dependencies.lookupsInFlight++
		p.core.lookupArchived(id, func(e *storage.JobEntry, ok bool) {
			p.dependencies.lookupsInFlight--
			if ok && e != nil {
				p.core.cache.Resolve(id, e.Job.Phase)
				p.core.reevaluateAffected()
			}
		})
	}
}

// persistDependencyCancellations writes down that jobs are cancelled with one before them, one at a time:
// every controller says so already.
func (p *partitionLeader) persistDependencyCancellations() {
	if len(p.dependencies.cancelled) == 0 || p.dependencies.writeInFlight || p.core.now < p.dependencies.nextWriteAt {
		return
	}
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{{Key: p.core.keys.Partition(p.partition), ModRevision: p.lease.fencingToken}}}
	for _, id := range slices.Sorted(maps.Keys(p.dependencies.cancelled)) {
		e := p.core.cache.Jobs[id]
		if e == nil || e.Job.Phase != workload.Active {
			delete(p.dependencies.cancelled, id)
			continue
		}
		if len(r.Puts) < p.core.config.Settings.StateLimits().TxnOps {
			r.Compares = append(r.Compares, storage.Compare{Key: p.core.keys.Job(id), ModRevision: e.ModRevision})
			r.Puts = append(r.Puts, storage.Put{Key: p.core.keys.Job(id), Value: storage.Encode(e.Job.Tombstone(workload.Cancelled))})
		}
	}
	if len(r.Puts) == 0 {
		return
	}
	p.dependencies.nextWriteAt = p.core.now + 300*micros.Millisecond
	p.dependencies.writeInFlight = p.core.callStore(r, storage.Deferrable, storeTimeout, func(*storage.Reply) { p.dependencies.writeInFlight = false })
}

// startOverhead is what the start of a task takes besides its image.
const startOverhead = 2 * micros.Second

// inheritedUrgency is what a job must meet for those that wait on it.
type inheritedUrgency struct {
	due      micros.Time // time of day; micros.Max: none
	priority workload.Priority
}

// inheritFromDependents works back from the jobs after one: it has to be done early enough for what is
// still expected to run after it, its image and start included, and it has the priority
// of any job that needs it. Exception to the design, whose tasks are independent and have
// due dates of their own: users set them on the last job only.
func (p *partitionLeader) inheritFromDependents(id string) inheritedUrgency {
	out := inheritedUrgency{due: micros.Max}
	if len(p.core.cache.Dependents[id]) == 0 {
		return out
	}
	if got, ok := p.plan.inheritedUrgency[id]; ok {
		return got
	}
	for dep := range p.core.cache.Dependents[id] {
		e := p.core.cache.Jobs[dep]
		if e == nil || e.Job.Phase != workload.Active || e.CancelledByDependency {
			continue
		}
		after := p.inheritFromDependents(dep)
		due := after.due
		if e.Job.Deadline > 0 {
			due = min(due, e.Job.Submitted+e.Job.Deadline)
		}
		if due != micros.Max {
			run := micros.Time(float64(p.core.runtimes.Estimate(e.Job)) * p.core.runtimes.TailRatio(e.Job.Class))
			out.due = min(out.due, due-run-p.fetchTime(e.Job.ImageGB)-startOverhead)
		}
		out.priority = max(out.priority, after.priority, e.Job.Priority)
	}
	if p.plan.inheritedUrgency == nil {
		p.plan.inheritedUrgency = map[string]inheritedUrgency{}
	}
	p.plan.inheritedUrgency[id] = out
	return out
}

// fetchTime is how long an image takes to arrive at a machine of the mean.
func (p *partitionLeader) fetchTime(gb float64) micros.Time {
	sum, n := 0.0, 0
	for _, t := range p.core.catalog {
		sum += t.FetchGBps
		n++
	}
	if sum <= 0 {
		return 0
	}
	return micros.FromSeconds(gb * float64(n) / sum)
}

// dependencyState is what is still to be found out and written down about jobs that depend on
// others.
type dependencyState struct {
	unresolved      map[string]micros.Time // dependencies that are not cached, and when to look them up again
	lookupsInFlight int
	cancelled       map[string]bool // jobs cancelled with a dependency, which is to be written down
	writeInFlight   bool
	nextWriteAt     micros.Time
}
