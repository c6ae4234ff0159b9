package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// completeTask notes a completed task; its attempt is forgotten once that is stored.
func (p *partitionLeader) completeTask(a *attempt) {
	j, t := a.job, a.id.Task
	if j.activeAttempts[t] == a {
		delete(j.activeAttempts, t)
	}
	j.pendingTasks.Remove(t)
	if j.record.Completed != nil && j.record.Completed.Has(t) {
		a.persisted = true
		return
	}
	j.completion.unpersisted.Add(t)
	j.completion.dirtySegments[workload.Segment(t, p.core.usesSmallSegments())] = true
}

// usesSmallSegments tells whether finished ranges are written in parts: where a chunk would not
// fit at its worst, as soon as no older version is about, which reads chunks only.
func (c *Core) usesSmallSegments() bool {
	return c.cache.Format >= storage.Format && c.config.Settings.MaxValue() < workload.LargeSegmentBytes
}

// completedWriteInterval is how often finished tasks of an unfinished job are stored.
// Until then their workers keep showing them, so a crash loses nothing.
const completedWriteInterval = 1500 * micros.Millisecond

// persistCompleted writes finished ranges, and that the job is done when all are.
func (p *partitionLeader) persistCompleted(j *job) {
	if j.completion.writeInFlight || len(j.completion.dirtySegments) == 0 || p.core.now < j.completion.nextWriteAt || !p.core.term.Valid(p.core.now) {
		return
	}
	whole := j.Kind == workload.Array && j.completedCount() == j.Tasks
	if !whole && j.completion.nextWriteAt == 0 {
		j.completion.nextWriteAt = p.core.now + completedWriteInterval
		return
	}
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{
		{Key: p.core.keys.Partition(p.partition), ModRevision: p.lease.fencingToken},
		{Key: p.core.keys.Job(j.ID), ModRevision: j.modRevision},
	}}
	urgency, written := storage.Deferrable, map[int]*workload.Bitmap{}
	if whole {
		urgency = storage.Urgent
		p.putJobDone(r, j)
	} else {
		written = p.putCompletedSegments(r, j)
	}
	j.completion.writeInFlight = p.core.callStore(r, urgency, storeTimeout, func(reply *storage.Reply) {
		j.completion.writeInFlight = false
		j.completion.nextWriteAt = p.core.now + 300*micros.Millisecond
		if reply.Outcome == storage.OK {
			p.completedPersisted(j, whole, written)
		}
	})
}

// putJobDone adds to a transaction that a job is done; its finished ranges are needed no more.
func (p *partitionLeader) putJobDone(r *storage.Request, j *job) {
	over := j.Tombstone(workload.Done)
	over.CompletedAt = p.core.wall
	r.Puts = append(r.Puts, storage.Put{Key: p.core.keys.Job(j.ID), Value: storage.Encode(over)})
	for _, chunk := range sortedKeys(j.record.CompletedRevisions) {
		if len(r.Deletes)+1 < p.core.config.Settings.StateLimits().TxnOps {
			r.Deletes = append(r.Deletes, p.core.keys.CompletedSegment(j.ID, chunk))
		}
	}
}

// putCompletedSegments adds finished ranges to a transaction, and returns what it will have written,
// by chunk or part.
func (p *partitionLeader) putCompletedSegments(r *storage.Request, j *job) map[int]*workload.Bitmap {
	all := workload.NewBitmap(j.Tasks)
	for t := range j.Tasks {
		if j.taskCompleted(t) {
			all.Add(t)
		}
	}
	written := map[int]*workload.Bitmap{}
	for _, chunk := range sortedKeys(j.completion.dirtySegments) {
		if len(r.Puts) >= p.core.config.Settings.StateLimits().TxnOps {
			break
		}
		key := p.core.keys.CompletedSegment(j.ID, chunk)
		// The chunk's own version keeps a late copy of an older write from
		// taking finished tasks back.
		r.Compares = append(r.Compares, storage.Compare{Key: key, ModRevision: j.record.CompletedRevisions[chunk]})
		r.Puts = append(r.Puts, storage.Put{Key: key, Value: storage.Encode(all.Ranges(chunk))})
		written[chunk] = all
	}
	return written
}

// completedPersisted notes what is in the state service now. The stream brings the same to the replica;
// the workers may forget it.
func (p *partitionLeader) completedPersisted(j *job, whole bool, written map[int]*workload.Bitmap) {
	j.completion.nextWriteAt = p.core.now + completedWriteInterval
	for a := range j.attempts {
		if a.state == messages.Exited && (whole || segmentWritten(written, a.id.Task)) {
			a.persisted = true
		}
	}
	for chunk, set := range written {
		left := false
		for t := j.completion.unpersisted.Next(0); t >= 0; t = j.completion.unpersisted.Next(t + 1) {
			left = left || (workload.InSegment(t, chunk) && !set.Has(t))
		}
		if !left {
			delete(j.completion.dirtySegments, chunk)
		}
	}
	if whole {
		clear(j.completion.dirtySegments)
		took := p.core.wall - j.Submitted
		p.core.log(messages.LevelInfo, "job completed", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "duration_ms", took/micros.Millisecond,
			"tardiness_ms", (took-j.Deadline)/micros.Millisecond)
	}
}

// segmentWritten tells whether a task was among those that were written, by chunk or part.
func segmentWritten(written map[int]*workload.Bitmap, task int) bool {
	return bitmapHas(written[workload.Segment(task, false)], task) || bitmapHas(written[workload.Segment(task, true)], task)
}

// completionState is what is to be written down about completed tasks.
type completionState struct {
	unpersisted   *workload.Bitmap // completed, not known to be stored
	dirtySegments map[int]bool     // segments with unpersisted tasks
	writeInFlight bool
	nextWriteAt   micros.Time
}

func bitmapHas(s *workload.Bitmap, t int) bool { return s != nil && s.Has(t) }
