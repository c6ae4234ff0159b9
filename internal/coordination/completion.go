package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const (
	// completedWriteInterval is how often completed tasks of a job that goes on are stored. Until
	// then the agents keep showing them, so that a crash loses nothing.
	completedWriteInterval = 1500 * micros.Millisecond
	// completedRetryInterval is how long after a write that failed the next one may follow.
	completedRetryInterval = 300 * micros.Millisecond
)

// completionState is which tasks of a job were seen to complete by this partition leader, and what
// of that is still to be stored. What is stored already comes with the job's record, and is passed
// in as a bitmap, nil if there is none.
type completionState struct {
	tasks         int
	observed      *workload.Bitmap // tasks that were seen to complete, stored since or not
	dirtySegments map[int]bool     // segments with observed tasks that are not known to be stored
	writeInFlight bool
	nextWriteAt   micros.Time // 0: nothing was to be written yet
}

// completedWrite is what one write of completed tasks holds.
type completedWrite struct {
	segments  []int            // in ascending order; none if the job is done
	completed *workload.Bitmap // all tasks that are completed as of the write
	jobDone   bool             // the write says that the job is done, instead of its tasks
}

func newCompletionState(tasks int) completionState {
	return completionState{
		tasks:         tasks,
		observed:      workload.NewBitmap(tasks),
		dirtySegments: map[int]bool{},
	}
}

// observe records a completed task that is not stored, and marks its segment as to be written.
func (s *completionState) observe(task int, smallSegments bool) {
	s.observed.Add(task)
	s.dirtySegments[workload.Segment(task, smallSegments)] = true
}

// taskCompleted tells whether a task is completed, stored or not.
func (s *completionState) taskCompleted(task int, stored *workload.Bitmap) bool {
	return s.observed.Has(task) || bitmapHas(stored, task)
}

// count is how many tasks are completed, stored or not.
func (s *completionState) count(stored *workload.Bitmap) int {
	count := s.observed.Len()
	if stored == nil {
		return count
	}
	count += stored.Len()
	for t := s.observed.Next(0); t >= 0; t = s.observed.Next(t + 1) {
		if stored.Has(t) {
			count--
		}
	}
	return count
}

// writePending tells whether something is to be written and no write stands in the way now.
func (s *completionState) writePending(now micros.Time) bool {
	return !s.writeInFlight && len(s.dirtySegments) > 0 && now >= s.nextWriteAt
}

// delayFirstWrite tells whether a pending write is the first of its job, and puts it off for an
// interval: tasks that complete together are to be written together. That the job is done is
// written at once.
func (s *completionState) delayFirstWrite(now micros.Time) bool {
	if s.nextWriteAt != 0 {
		return false
	}
	s.nextWriteAt = now + completedWriteInterval
	return true
}

// nextWrite is the write of the first dirty segments, at most so many, with all that is completed
// in them.
func (s *completionState) nextWrite(stored *workload.Bitmap, maxSegments int) completedWrite {
	w := completedWrite{completed: workload.NewBitmap(s.tasks)}
	for t := range s.tasks {
		if s.taskCompleted(t, stored) {
			w.completed.Add(t)
		}
	}
	w.segments = sortedKeys(s.dirtySegments)
	w.segments = w.segments[:min(len(w.segments), maxSegments)]
	return w
}

// writeEnded records that a write was answered, and whether the store carried it out. A segment
// in which more tasks completed meanwhile stays dirty.
func (s *completionState) writeEnded(w completedWrite, persisted bool, now micros.Time) {
	s.writeInFlight = false
	if !persisted {
		s.nextWriteAt = now + completedRetryInterval
		return
	}
	s.nextWriteAt = now + completedWriteInterval
	if w.jobDone {
		clear(s.dirtySegments)
		return
	}
	for _, segment := range w.segments {
		if !s.hasMoreThan(w, segment) {
			delete(s.dirtySegments, segment)
		}
	}
}

// hasMoreThan tells whether tasks of a segment were seen to complete that are not in a write.
func (s *completionState) hasMoreThan(w completedWrite, segment int) bool {
	for t := s.observed.Next(0); t >= 0; t = s.observed.Next(t + 1) {
		if workload.InSegment(t, segment) && !w.completed.Has(t) {
			return true
		}
	}
	return false
}

// includes tells whether the write stores that a task is completed.
func (w completedWrite) includes(task int) bool {
	if w.jobDone {
		return true
	}
	for _, segment := range w.segments {
		if workload.InSegment(task, segment) {
			return w.completed.Has(task)
		}
	}
	return false
}

// usesSmallSegments tells whether completed tasks are written in small segments: where a large one
// would not fit a value at its worst, as soon as no older version is registered, which reads large
// segments only.
func (c *Core) usesSmallSegments() bool {
	return c.cache.Format >= storage.Format && c.config.Settings.MaxValue() < workload.LargeSegmentBytes
}

// completeTask records a completed task. Its attempt is forgotten once that is stored.
func (p *partitionLeader) completeTask(a *attempt) {
	j, task := a.job, a.id.Task
	if j.activeAttempts[task] == a {
		delete(j.activeAttempts, task)
	}
	j.pendingTasks.Remove(task)
	if bitmapHas(j.record.Completed, task) {
		a.persisted = true
		return
	}
	j.completion.observe(task, p.core.usesSmallSegments())
}

// persistCompleted writes the completed tasks of a job to the store if that is due, or, when all
// are completed, that the job is done.
func (p *partitionLeader) persistCompleted(j *job) {
	if !j.completion.writePending(p.core.now) || !p.core.term.Valid(p.core.now) {
		return
	}
	jobDone := j.Kind == workload.Array && j.completedCount() == j.Tasks
	if !jobDone && j.completion.delayFirstWrite(p.core.now) {
		return
	}
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{
		{Key: p.core.keys.Partition(p.partition), ModRevision: p.lease.fencingToken},
		{Key: p.core.keys.Job(j.ID), ModRevision: j.modRevision},
	}}
	urgency, write := storage.Deferrable, completedWrite{jobDone: jobDone}
	if jobDone {
		urgency = storage.Urgent
		p.putJobDone(r, j)
	} else {
		write = j.completion.nextWrite(j.record.Completed, p.core.config.Settings.StateLimits().TxnOps)
		p.putCompletedSegments(r, j, write)
	}
	j.completion.writeInFlight = p.core.callStore(r, urgency, storeTimeout, func(reply *storage.Reply) {
		persisted := reply.Outcome == storage.OK
		j.completion.writeEnded(write, persisted, p.core.now)
		if persisted {
			p.completedPersisted(j, write)
		}
	})
}

// putJobDone adds to a transaction that a job is done; its completed segments are needed no more.
func (p *partitionLeader) putJobDone(r *storage.Request, j *job) {
	done := j.Tombstone(workload.Done)
	done.CompletedAt = p.core.wall
	r.Puts = append(r.Puts, storage.Put{Key: p.core.keys.Job(j.ID), Value: storage.Encode(done)})
	r.Deletes = append(r.Deletes, p.core.completedSegmentKeys(j.ID, j.record)...)
}

// completedSegmentKeys are the keys of a job's stored segments, to be deleted with the write that
// ends the job: as many as one transaction has room for beside the job's record.
func (c *Core) completedSegmentKeys(id string, record *storage.JobEntry) []string {
	var keys []string
	for _, segment := range sortedKeys(record.CompletedRevisions) {
		if len(keys)+1 < c.config.Settings.StateLimits().TxnOps {
			keys = append(keys, c.keys.CompletedSegment(id, segment))
		}
	}
	return keys
}

// putCompletedSegments adds completed segments to a transaction.
func (p *partitionLeader) putCompletedSegments(r *storage.Request, j *job, write completedWrite) {
	for _, segment := range write.segments {
		key := p.core.keys.CompletedSegment(j.ID, segment)
		// The segment's own revision keeps a late copy of an older write from taking completed
		// tasks back.
		r.Compares = append(r.Compares, storage.Compare{Key: key, ModRevision: j.record.CompletedRevisions[segment]})
		r.Puts = append(r.Puts, storage.Put{Key: key, Value: storage.Encode(write.completed.Ranges(segment))})
	}
}

// completedPersisted records what is in the store now. The change stream brings the same to the
// cache; the agents may forget the attempts.
func (p *partitionLeader) completedPersisted(j *job, write completedWrite) {
	for a := range j.attempts {
		if a.state == messages.Exited && write.includes(a.id.Task) {
			a.persisted = true
		}
	}
	if write.jobDone {
		duration := p.core.wall - j.Submitted
		p.core.log(messages.LevelInfo, "job completed", "job", j.ID, "class", j.Class, "tasks", j.Tasks,
			"duration_ms", duration/micros.Millisecond, "tardiness_ms", (duration-j.Deadline)/micros.Millisecond)
	}
}

func bitmapHas(b *workload.Bitmap, task int) bool { return b != nil && b.Has(task) }
