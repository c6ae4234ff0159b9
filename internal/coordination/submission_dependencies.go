package coordination

import (
	"fmt"
	"slices"

	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const (
	// acceptanceReserveBytes is the space kept free in a record for what is added on acceptance.
	acceptanceReserveBytes = 40
	// maxPartTxnBytes limits the total size of the parts in one transaction, which may have 64 KiB.
	maxPartTxnBytes = 32 << 10
	// maxJobIDBytes is the maximum length of a job id.
	maxJobIDBytes = 23
)

// dependencyCheck is the result of checking the dependencies of a submission, as far as it has got.
type dependencyCheck struct {
	unfinished []string // neither done nor cancelled
	cancelled  bool     // at least one of them is cancelled
}

// acceptWithDependencies accepts a job with dependencies. If all of them are cached, the cache need not
// be as recent as the submission: all were accepted, done and cancelled are final, and any later change
// of a dependency still makes the job wait, start or be cancelled as it should.
func (s *submission) acceptWithDependencies() {
	for _, id := range s.job.DependsOn {
		if s.core.cache.Jobs[id] == nil {
			s.core.replica.LinearizableRead(func(ok bool) {
				if !ok {
					s.respondUnavailable(storeUnavailable)
					return
				}
				s.startDependencyCheck()
			})
			return
		}
	}
	s.startDependencyCheck()
}

// startDependencyCheck looks up the job's dependencies. A new job is refused while the record format does
// not support dependencies yet, or while a member of an older version is registered, which would start
// the job without regard to them if it became the partition's leader.
func (s *submission) startDependencyCheck() {
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

// checkDependencies looks up the given dependencies and then proceeds to accept the job, unless one of
// them rules that out. If any of them is not cached, the cache must be at least as recent as the
// submission.
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
	s.finishDependencyCheck()
}

// checkArchivedDependency looks up a dependency that is not cached, and then the remaining ones.
func (s *submission) checkArchivedDependency(id string, remaining []string) {
	s.core.lookupArchivedJob(id, func(entry *storage.JobEntry, ok bool) {
		switch {
		case !ok:
			s.respondUnavailable(storeUnavailable)
		case entry == nil:
			s.rejectUnschedulable(dependsOnUnknownJob.withDependency(id))
		default:
			s.dependencies.cancelled = s.dependencies.cancelled || entry.Cancelled()
			s.checkDependencies(remaining)
		}
	})
}

// finishDependencyCheck accepts the job, to wait for its unfinished dependencies, or as cancelled if any
// dependency is cancelled.
func (s *submission) finishDependencyCheck() {
	if s.dependencies.cancelled {
		s.job = s.job.Tombstone(workload.Cancelled)
		s.job.Submitted = s.core.wall
		s.writeRecord(storage.Prompt)
		return
	}
	s.job.DependsOn = s.dependencies.unfinished
	s.storeDependencies()
}

// storeDependencies writes the job's record. If the list of dependencies does not fit into it, the list
// is first written in parts. The parts have no effect without the record, which refers to them.
func (s *submission) storeDependencies() {
	c, job := s.core, s.job
	maxValue := c.config.Settings.MaxValue()
	if len(storage.Encode(job)) <= maxValue-acceptanceReserveBytes {
		s.writeRecord(storage.Prompt)
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

// storeDependencyParts writes the parts of a list, as many per transaction as fit, and then the job's
// record. firstRevision is the mod revision of the first part, or 0 before it is written. The write of
// the record compares that revision: if it were applied minutes late, after the cluster leader deleted
// the parts as belonging to no job, the job would wait forever.
func (s *submission) storeDependencyParts(parts []storage.Put, firstRevision uint64) {
	c := s.core
	if len(parts) == 0 {
		firstPart := c.keys.DependencyPart(s.id, s.job.DependencyListName, 0)
		s.writeRecord(storage.Prompt, storage.Compare{Key: firstPart, ModRevision: firstRevision})
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

// partsPerTransaction returns how many of the parts fit into the next transaction, which is at least one.
func partsPerTransaction(parts []storage.Put, maxOperations int) int {
	count, size := 0, 0
	for count < min(len(parts), maxOperations) && (count == 0 || size+len(parts[count].Value) <= maxPartTxnBytes) {
		size += len(parts[count].Value)
		count++
	}
	return count
}
