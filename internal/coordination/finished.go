package coordination

import (
	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// finish notes a completed task; its attempt is forgotten once that is stored.
func (h *holder) finish(a *attempt) {
	j, t := a.j, a.id.Task
	if j.live[t] == a {
		delete(j.live, t)
	}
	j.waiting.Remove(t)
	if j.entry.Completed != nil && j.entry.Completed.Has(t) {
		a.stored = true
		return
	}
	j.pending.Add(t)
	j.chunks[bookkeeping.Segment(t, h.c.finParts())] = true
}

// finParts tells whether finished ranges are written in parts: where a chunk would not
// fit at its worst, as soon as no older version is about, which reads chunks only.
func (c *Core) finParts() bool {
	return c.cache.Format >= storage.Format && c.config.Settings.MaxValue() < bookkeeping.LargeSegmentBytes
}

// partialEvery is how often finished tasks of an unfinished job are stored.
// Until then their workers keep showing them, so a crash loses nothing.
const partialEvery = 1500 * micros.Millisecond

// store writes finished ranges, and that the job is done when all are.
func (h *holder) store(j *job) {
	if j.storing || len(j.chunks) == 0 || h.c.now < j.storeAt || !h.c.term.Valid(h.c.now) {
		return
	}
	whole := j.Kind == bookkeeping.Array && j.finishedCount() == j.Tasks
	if !whole && j.storeAt == 0 {
		j.storeAt = h.c.now + partialEvery
		return
	}
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{
		{Key: h.c.keys.Partition(h.queue), ModRevision: h.token},
		{Key: h.c.keys.Job(j.ID), ModRevision: j.version},
	}}
	urgency, written := storage.Deferrable, map[int]*bookkeeping.Bitmap{}
	if whole {
		urgency = storage.Urgent
		h.putDone(r, j)
	} else {
		written = h.putFinished(r, j)
	}
	j.storing = h.c.callStore(r, urgency, storeTimeout, func(reply *storage.Reply) {
		j.storing = false
		j.storeAt = h.c.now + 300*micros.Millisecond
		if reply.Outcome == storage.OK {
			h.stored(j, whole, written)
		}
	})
}

// putDone adds to a transaction that a job is done; its finished ranges are needed no more.
func (h *holder) putDone(r *storage.Request, j *job) {
	over := j.Tombstone(bookkeeping.Done)
	over.CompletedAt = h.c.wall
	r.Puts = append(r.Puts, storage.Put{Key: h.c.keys.Job(j.ID), Value: storage.Encode(over)})
	for _, chunk := range sortedKeys(j.entry.CompletedRevisions) {
		if len(r.Deletes)+1 < h.c.config.Settings.StateLimits().TxnOps {
			r.Deletes = append(r.Deletes, h.c.keys.CompletedSegment(j.ID, chunk))
		}
	}
}

// putFinished adds finished ranges to a transaction, and returns what it will have written,
// by chunk or part.
func (h *holder) putFinished(r *storage.Request, j *job) map[int]*bookkeeping.Bitmap {
	all := bookkeeping.NewBitmap(j.Tasks)
	for t := range j.Tasks {
		if j.finished(t) {
			all.Add(t)
		}
	}
	written := map[int]*bookkeeping.Bitmap{}
	for _, chunk := range sortedKeys(j.chunks) {
		if len(r.Puts) >= h.c.config.Settings.StateLimits().TxnOps {
			break
		}
		key := h.c.keys.CompletedSegment(j.ID, chunk)
		// The chunk's own version keeps a late copy of an older write from
		// taking finished tasks back.
		r.Compares = append(r.Compares, storage.Compare{Key: key, ModRevision: j.entry.CompletedRevisions[chunk]})
		r.Puts = append(r.Puts, storage.Put{Key: key, Value: storage.Encode(all.Ranges(chunk))})
		written[chunk] = all
	}
	return written
}

// stored notes what is in the state service now. The stream brings the same to the replica;
// the workers may forget it.
func (h *holder) stored(j *job, whole bool, written map[int]*bookkeeping.Bitmap) {
	j.storeAt = h.c.now + partialEvery
	for a := range j.attempts {
		if a.state == Exited && (whole || wrote(written, a.id.Task)) {
			a.stored = true
		}
	}
	for chunk, set := range written {
		left := false
		for t := j.pending.Next(0); t >= 0; t = j.pending.Next(t + 1) {
			left = left || (bookkeeping.InSegment(t, chunk) && !set.Has(t))
		}
		if !left {
			delete(j.chunks, chunk)
		}
	}
	if whole {
		clear(j.chunks)
		took := h.c.wall - j.Submitted
		h.c.log(levelInfo, "job done", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "took_ms", took/micros.Millisecond,
			"late_ms", (took-j.Deadline)/micros.Millisecond)
	}
}

// wrote tells whether a task was among those that were written, by chunk or part.
func wrote(written map[int]*bookkeeping.Bitmap, task int) bool {
	return has(written[bookkeeping.Segment(task, false)], task) || has(written[bookkeeping.Segment(task, true)], task)
}
