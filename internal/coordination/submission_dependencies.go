package coordination

import (
	"fmt"
	"slices"

	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const (
	// acceptedRecordReserve is left for what a record gets when it is accepted.
	acceptedRecordReserve = 40
	// maxPartTxnBytes bounds the parts in one transaction, which may have 64 KiB.
	maxPartTxnBytes = 32 << 10
	// maxJobIDBytes is the longest that a job's id may be.
	maxJobIDBytes = 23
)

// submittedDependencies is what was found out of the dependencies of a submission.
type submittedDependencies struct {
	unfinished []string // neither done nor cancelled
	cancelled  bool     // one of them is
}

// acceptWithDependencies accepts a job with dependencies. Where the cache has all of them it need
// not be as new as the submission: they were accepted, done and cancelled are final, and what has
// become of them since makes the job wait, start or be cancelled all the same.
func (s *submission) acceptWithDependencies() {
	for _, id := range s.job.DependsOn {
		if s.core.cache.Jobs[id] == nil {
			s.core.replica.LinearizableRead(func(ok bool) {
				if !ok {
					s.respondUnavailable(storeUnavailable)
					return
				}
				s.resolveDependencies()
			})
			return
		}
	}
	s.resolveDependencies()
}

// resolveDependencies looks the job's dependencies up, provided that every member can read the
// record of a job that has some.
func (s *submission) resolveDependencies() {
	c := s.core
	if c.cache.Format < storage.Format || c.olderMemberRegistered() {
		s.respondStatusOr(func() { s.respondUnavailable(olderVersionRunning) })
		return
	}
	if c.cache.Jobs[s.id] != nil {
		s.respondDuplicate()
		return
	}
	s.checkDependencies(s.job.DependsOn)
}

// checkDependencies looks up the dependencies that are left and goes on to accept the job, or
// refuses it. The cache must be as new as the submission for those that it does not have.
func (s *submission) checkDependencies(ids []string) {
	for i, id := range ids {
		if id == s.id {
			s.rejectUnschedulable(dependsOnItself)
			return
		}
		entry := s.core.cache.Jobs[id]
		if entry == nil {
			s.checkArchivedDependency(id, ids[i+1:])
			return
		}
		switch {
		case entry.Cancelled():
			s.dependencies.cancelled = true
		case entry.Job.Phase == workload.Done:
		case entry.Job.Kind == workload.Service:
			s.rejectUnschedulable(dependsOnService.withDependency(id))
			return
		default:
			s.dependencies.unfinished = append(s.dependencies.unfinished, id)
		}
	}
	s.dependenciesChecked()
}

// checkArchivedDependency looks up a dependency that the cache does not have, and then the others.
func (s *submission) checkArchivedDependency(id string, others []string) {
	s.core.lookupArchived(id, func(entry *storage.JobEntry, ok bool) {
		switch {
		case !ok:
			s.respondUnavailable(storeUnavailable)
		case entry == nil:
			s.rejectUnschedulable(dependsOnUnknownJob.withDependency(id))
		default:
			s.dependencies.cancelled = s.dependencies.cancelled || entry.Cancelled()
			s.checkDependencies(others)
		}
	})
}

// dependenciesChecked accepts the job as one that waits for its unfinished dependencies, or as
// cancelled if one of them is.
func (s *submission) dependenciesChecked() {
	if s.dependencies.cancelled {
		s.job = s.job.Tombstone(workload.Cancelled)
		s.job.Submitted = s.core.wall
		s.accept(storage.Prompt)
		return
	}
	s.job.DependsOn = s.dependencies.unfinished
	s.storeDependencies()
}

// storeDependencies writes a list of dependencies that the record has no room for in parts, and
// then the record. Parts count only with the record, which names them.
func (s *submission) storeDependencies() {
	c, job := s.core, s.job
	maxValue := c.config.Settings.MaxValue()
	if len(storage.Encode(job)) <= maxValue-acceptedRecordReserve {
		s.accept(storage.Prompt)
		return
	}
	c.dependencyLists++
	job.DependencyListName = fmt.Sprintf("%s.%d", c.process.Incarnation, c.dependencyLists)
	idsPerPart := max(1, maxValue/(maxJobIDBytes+3)) // quotes and a comma
	var parts []storage.Put
	for ids := range slices.Chunk(job.DependsOn, idsPerPart) {
		key := c.keys.DependencyPart(s.id, job.DependencyListName, len(parts))
		parts = append(parts, storage.Put{Key: key, Value: storage.Encode(ids)})
	}
	job.DependsOn, job.DependencyParts = nil, len(parts)
	s.storeDependencyParts(parts, 0)
}

// storeDependencyParts writes the parts of a list, as many at a time as a transaction takes, and
// then the job's record; firstRevision is the mod revision of the first part, 0 before it is
// written. The record compares that part: carried out minutes late, after the cluster leader
// deleted the parts that no job had, it would be a job that waits for ever.
func (s *submission) storeDependencyParts(parts []storage.Put, firstRevision uint64) {
	c := s.core
	if len(parts) == 0 {
		firstPart := c.keys.DependencyPart(s.id, s.job.DependencyListName, 0)
		s.accept(storage.Prompt, storage.Compare{Key: firstPart, ModRevision: firstRevision})
		return
	}
	count := partsPerTransaction(parts, c.config.Settings.StateLimits().TxnOps)
	request := &storage.Request{Kind: storage.Txn, Puts: parts[:count]}
	sent := c.callStore(request, storage.Urgent, storeTimeout, func(reply *storage.Reply) {
		if reply.Outcome != storage.OK {
			s.respondUnavailable(storeUnavailable)
			return
		}
		if firstRevision == 0 {
			firstRevision = reply.Revision
		}
		s.storeDependencyParts(parts[count:], firstRevision)
	})
	if !sent {
		c.respondWritesExhausted(s.request)
	}
}

// partsPerTransaction is how many of the parts, one at least, one transaction takes.
func partsPerTransaction(parts []storage.Put, maxOperations int) int {
	count, size := 0, 0
	for count < min(len(parts), maxOperations) && (count == 0 || size+len(parts[count].Value) <= maxPartTxnBytes) {
		size += len(parts[count].Value)
		count++
	}
	return count
}
