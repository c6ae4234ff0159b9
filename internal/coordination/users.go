package coordination

import (
	"slices"

	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// comeBack is when a refused user may try again.
const comeBack = micros.Second

func (c *Core) answer(a Response) { c.out.Responses = append(c.out.Responses, a) }

func (c *Core) unavailable(id RequestID, why string) {
	c.answer(Response{Request: id, Kind: ServiceUnavailable, Text: why, RetryAfter: comeBack})
}

// final answers from what can never change, if it is known.
func (c *Core) final(req RequestID, id string) bool {
	e := c.replica.Jobs[id]
	if e == nil || (e.Job.Phase == bookkeeping.Active && !e.CancelledByDependency) {
		return false
	}
	c.answer(Response{Request: req, Kind: JobFound, Job: c.view(e)})
	return true
}

func (c *Core) view(e *storage.JobEntry) JobStatus {
	v := JobStatus{ID: e.Job.ID, Phase: e.Job.Phase}
	if e.CancelledByDependency {
		v.Phase = bookkeeping.Cancelled
	}
	switch v.Phase {
	case bookkeeping.Done:
		v.Done = e.Job.Tasks
	case bookkeeping.Active:
		p := c.progress[v.ID]
		v.Done, v.Running = p.Done, p.Running
		if e.Completed != nil {
			v.Done = max(v.Done, e.Completed.Len())
		}
	}
	return v
}

// viewOr answers with the job's state as it is now, or calls missing if there
// is no such job.
func (c *Core) viewOr(req RequestID, id string, missing func()) {
	if c.final(req, id) {
		return
	}
	c.fresh(func(ok bool) {
		switch e := c.replica.Jobs[id]; {
		case !ok:
			c.unavailable(req, "the state service does not answer")
		case e != nil:
			c.resolveNeeded(id, func(ok bool) {
				e := c.replica.Jobs[id]
				if !ok || e == nil {
					c.unavailable(req, "the state service does not answer")
					return
				}
				c.answer(Response{Request: req, Kind: JobFound, Job: c.view(e)})
			})
		default:
			c.archived(id, func(e *storage.JobEntry, ok bool) {
				switch {
				case !ok:
					c.unavailable(req, "the state service does not answer")
				case e != nil:
					c.answer(Response{Request: req, Kind: JobFound, Job: c.view(e)})
				default:
					missing()
				}
			})
		}
	})
}

func (c *Core) lookup(in *Lookup) {
	c.viewOr(in.Request, in.ID, func() { c.answer(Response{Request: in.Request, Kind: JobNotFound}) })
}

func (c *Core) submit(in *Submit) {
	req, id := in.Request, in.ID
	if id == "" {
		c.answer(Response{Request: req, Kind: RequestMalformed, Text: in.Fault})
		return
	}
	if c.replica.Jobs[id] != nil {
		c.viewOr(req, id, func() { c.unavailable(req, "try again") })
		return
	}
	// A job that is known already gets 200 whatever its repetition looks like, so
	// faults are told only after the record was looked up.
	if in.Job == nil {
		c.viewOr(req, id, func() { c.answer(Response{Request: req, Kind: RequestMalformed, Text: in.Fault}) })
		return
	}
	if !c.stateOK() {
		c.unavailable(req, "the state service does not answer")
		return
	}
	if why := c.impossible(in.Job); why != "" {
		c.cannotRun(req, id, why)
		return
	}
	c.admit(req, in.Job, func(urgency storage.Urgency) {
		in.Job.Submitted = c.wall
		c.fitRecord(in.Job)
		if len(in.Job.DependsOn) > 0 {
			c.acceptWaiting(req, in.Job)
			return
		}
		c.accept(req, in.Job, urgency)
	})
}

// fitRecord leaves out of a job's record what says nothing: machine types that do not
// exist, or on which its tasks do not fit.
func (c *Core) fitRecord(j *bookkeeping.Job) {
	j.InstanceTypes = slices.DeleteFunc(slices.Clone(j.InstanceTypes), func(name string) bool {
		t := c.catalog[name]
		return t == nil || !j.Resources.Fits(t.Capacity)
	})
	slices.Sort(j.InstanceTypes)
	j.InstanceTypes = slices.Compact(j.InstanceTypes)
}

// cannotRun refuses a job that can never run, unless it is known: then its user is told
// of it, whatever the repeated submission looks like.
func (c *Core) cannotRun(req RequestID, id, why string) {
	c.viewOr(req, id, func() { c.answer(Response{Request: req, Kind: JobUnschedulable, Text: why}) })
}

// accept writes a job's record, by which it is accepted, under further conditions.
func (c *Core) accept(req RequestID, job *bookkeeping.Job, urgency storage.Urgency, conditions ...storage.Compare) {
	id := job.ID
	key, value := c.keys.Job(id), storage.Encode(job)
	if len(value) > c.cfg.Settings.MaxValue() {
		c.cannotRun(req, id, "its description is too long to be kept")
		return
	}
	sent := c.callState(&storage.Request{Kind: storage.Txn,
		Compares: append([]storage.Compare{{Key: key}, {Key: c.keys.Archive(id)}}, conditions...),
		Puts:     []storage.Put{{Key: key, Value: value}},
	}, urgency, stateTimeout, func(r *storage.Reply) {
		switch r.Outcome {
		case storage.OK:
			c.accepted(job)
			c.answer(Response{Request: req, Kind: JobAccepted, Job: JobStatus{ID: id, Phase: job.Phase}})
		case storage.Conflict:
			c.viewOr(req, id, func() { c.unavailable(req, "try again") })
		case storage.Unavailable:
			c.shed()
			c.unavailable(req, "the state service does not answer")
		default:
			c.unavailable(req, "the state service does not answer")
		}
	})
	if !sent {
		c.shed()
		c.answer(Response{Request: req, Kind: Overloaded, Text: "too many changes", RetryAfter: comeBack})
	}
}

// impossible says why a job can never run, or nothing.
func (c *Core) impossible(j *bookkeeping.Job) string {
	team := c.teams[j.Team]
	switch {
	case team == nil:
		return "unknown team"
	case !team.CanEverRun(j):
		return "needs more than the team's limit"
	case !c.catalog.Fits(j):
		return "a task fits no allowed machine type"
	}
	return ""
}

func (c *Core) cancel(in *Cancel) { c.tryCancel(in, 3) }

func (c *Core) tryCancel(in *Cancel, tries int) {
	if c.final(in.Request, in.ID) {
		return
	}
	e := c.replica.Jobs[in.ID]
	if e == nil {
		c.fresh(func(ok bool) {
			switch {
			case !ok || tries <= 0:
				c.unavailable(in.Request, "the state service does not answer")
			case c.replica.Jobs[in.ID] == nil:
				c.viewOr(in.Request, in.ID, func() { c.answer(Response{Request: in.Request, Kind: JobNotFound}) })
			default:
				c.tryCancel(in, tries-1)
			}
		})
		return
	}
	key := c.keys.Job(in.ID)
	gone := e.Job.Tombstone(bookkeeping.Cancelled)
	var ranges []string // of finished tasks, which nobody needs any more
	for _, chunk := range sortedKeys(e.CompletedRevisions) {
		if len(ranges)+1 < c.cfg.Settings.StateLimits().TxnOps {
			ranges = append(ranges, c.keys.CompletedSegment(in.ID, chunk))
		}
	}
	// done and cancelled exclude each other by the record's version.
	sent := c.callState(&storage.Request{Kind: storage.Txn,
		Compares: []storage.Compare{{Key: key, ModRevision: e.ModRevision}},
		Puts:     []storage.Put{{Key: key, Value: storage.Encode(gone)}},
		Deletes:  ranges,
	}, storage.Urgent, stateTimeout, func(r *storage.Reply) {
		switch {
		case r.Outcome == storage.OK:
			c.confirmed(in.ID, r.Revision, true)
			c.answer(Response{Request: in.Request, Kind: JobFound, Job: JobStatus{ID: in.ID, Phase: bookkeeping.Cancelled}})
		case r.Outcome == storage.Conflict && tries > 0:
			c.fresh(func(ok bool) {
				if !ok {
					c.unavailable(in.Request, "the state service does not answer")
					return
				}
				c.tryCancel(in, tries-1)
			})
		default:
			c.unavailable(in.Request, "the state service does not answer")
		}
	})
	if !sent {
		c.answer(Response{Request: in.Request, Kind: Overloaded, Text: "too many changes", RetryAfter: comeBack})
	}
}
