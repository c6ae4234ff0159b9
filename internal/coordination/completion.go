package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const (
	// completedWriteInterval is the interval between writes of the completed tasks of an unfinished
	// job. Agents keep reporting a completed task until it is stored, so that a crash of the partition
	// leader loses nothing.
	completedWriteInterval = 1500 * micros.Millisecond
	// completedRetryInterval is the delay before the next write after a failed one.
	completedRetryInterval = 300 * micros.Millisecond
)

// completionState tracks which tasks of a job this partition leader has observed to complete, and which
// of these remain to be stored. The tasks already stored come with the job's record; methods take them
// as a bitmap, which is nil if none are stored.
type completionState struct {
	tasks         int
	observed      *workload.Bitmap // tasks observed to complete, whether stored since or not
	dirtySegments map[int]bool     // segments with observed tasks not known to be stored
	writeInFlight bool
	nextWriteAt   micros.Time // 0: nothing has needed writing yet
}

// completedWrite describes the contents of one write of completed tasks.
type completedWrite struct {
	segments  []int            // in ascending order; empty if the job is done
	completed *workload.Bitmap // all tasks completed as of the write
	jobDone   bool             // the write marks the job as done instead of storing its tasks
}

func newCompletionState(tasks int) completionState {
	return completionState{
		tasks:         tasks,
		observed:      workload.NewBitmap(tasks),
		dirtySegments: map[int]bool{},
	}
}

// observe records a completed task that is not stored yet, and marks its segment as dirty.
func (s *completionState) observe(task int, smallSegments bool) {
	s.observed.Add(task)
	s.dirtySegments[workload.Segment(task, smallSegments)] = true
}

// taskCompleted reports whether a task is completed, stored or not.
func (s *completionState) taskCompleted(task int, stored *workload.Bitmap) bool {
	return s.observed.Has(task) || bitmapHas(stored, task)
}

// count returns the number of completed tasks, stored or not.
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

// writeDue reports whether there are dirty segments to write, the time of the next write has come, and no
// other write is in flight.
func (s *completionState) writeDue(now micros.Time) bool {
	return !s.writeInFlight && len(s.dirtySegments) > 0 && now >= s.nextWriteAt
}

// delayFirstWrite delays the first write of a job by one write interval, so that tasks that complete at
// about the same time are written together, and reports whether it did. The write that marks the job as
// done is never delayed.
func (s *completionState) delayFirstWrite(now micros.Time) bool {
	if s.nextWriteAt != 0 {
		return false
	}
	s.nextWriteAt = now + completedWriteInterval
	return true
}

// nextWrite returns a write of the first maxSegments dirty segments with all their completed tasks.
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

// finishWrite records the outcome of a write. A segment in which more tasks completed while the write
// was in flight stays dirty.
func (s *completionState) finishWrite(w completedWrite, persisted bool, now micros.Time) {
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
		if !s.observedSince(w, segment) {
			delete(s.dirtySegments, segment)
		}
	}
}

// observedSince reports whether tasks of a segment were observed to complete after a write was prepared.
func (s *completionState) observedSince(w completedWrite, segment int) bool {
	for t := s.observed.Next(0); t >= 0; t = s.observed.Next(t + 1) {
		if workload.InSegment(t, segment) && !w.completed.Has(t) {
			return true
		}
	}
	return false
}

// includes reports whether the write stores a task as completed.
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

// usesSmallSegments reports whether completed tasks are written in small segments. They are needed where
// the worst-case encoding of a large segment exceeds the store's value size, but older versions can read
// large segments only, so they are used only after all members have registered with a version that reads
// the current record format.
func (c *Core) usesSmallSegments() bool {
	return c.cache.Format >= storage.Format && c.config.Settings.MaxValue() < workload.LargeSegmentBytes
}

// completeTask records a completed task. Its attempt is dropped once the completion is stored.
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

// persistCompleted writes the completed tasks of a job to the store if a write is due. If all tasks of
// an array are completed, it marks the job as done instead.
func (p *partitionLeader) persistCompleted(j *job) {
	if !j.completion.writeDue(p.core.now) || !p.core.term.Valid(p.core.now) {
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
		j.completion.finishWrite(write, persisted, p.core.now)
		if persisted {
			p.markPersisted(j, write)
		}
	})
}

// putJobDone adds to a transaction the writes that mark a job as done and delete its
// stored segments of completed tasks.
func (p *partitionLeader) putJobDone(r *storage.Request, j *job) {
	done := j.Tombstone(workload.Done)
	done.CompletedAt = p.core.wall
	r.Puts = append(r.Puts, storage.Put{Key: p.core.keys.Job(j.ID), Value: storage.Encode(done)})
	r.Deletes = append(r.Deletes, p.core.completedSegmentKeys(j.ID, j.record)...)
}

// completedSegmentKeys returns the keys of a job's stored segments of completed tasks, which are deleted
// in the transaction that ends the job. It returns no more than fit into one transaction along with the
// job's record.
func (c *Core) completedSegmentKeys(id string, record *storage.JobEntry) []string {
	var keys []string
	for _, segment := range sortedKeys(record.CompletedRevisions) {
		if len(keys)+1 < c.config.Settings.StateLimits().TxnOps {
			keys = append(keys, c.keys.CompletedSegment(id, segment))
		}
	}
	return keys
}

// putCompletedSegments adds the writes of segments of completed tasks to a transaction. The other tasks
// of such a segment need not be completed.
func (p *partitionLeader) putCompletedSegments(r *storage.Request, j *job, write completedWrite) {
	for _, segment := range write.segments {
		key := p.core.keys.CompletedSegment(j.ID, segment)
		// Comparing the segment's revision prevents an older write that is applied late from
		// overwriting newer completions.
		r.Compares = append(r.Compares, storage.Compare{Key: key, ModRevision: j.record.CompletedRevisions[segment]})
		r.Puts = append(r.Puts, storage.Put{Key: key, Value: storage.Encode(write.completed.Ranges(segment))})
	}
}

// markPersisted marks the attempts whose completion a successful write has stored, so that agents may
// forget them. The cache receives the write through the change stream.
func (p *partitionLeader) markPersisted(j *job, write completedWrite) {
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
