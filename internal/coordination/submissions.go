package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// defaultRetryAfter is when a refused user may try again.
const defaultRetryAfter = micros.Second

func (c *Core) respond(a messages.Response) { c.output.Responses = append(c.output.Responses, a) }

func (c *Core) respondUnavailable(id messages.RequestID, why string) {
	c.respond(messages.Response{Request: id, Kind: messages.ServiceUnavailable, Text: why, RetryAfter: defaultRetryAfter})
}

// respondIfFinal answers from what can never change, if it is known.
func (c *Core) respondIfFinal(req messages.RequestID, id string) bool {
	e := c.cache.Jobs[id]
	if e == nil || (e.Job.Phase == workload.Active && !e.CancelledByDependency) {
		return false
	}
	c.respond(messages.Response{Request: req, Kind: messages.JobFound, Job: c.jobStatus(e)})
	return true
}

func (c *Core) jobStatus(e *storage.JobEntry) messages.JobStatus {
	v := messages.JobStatus{ID: e.Job.ID, Phase: e.Job.Phase}
	if e.CancelledByDependency {
		v.Phase = workload.Cancelled
	}
	switch v.Phase {
	case workload.Done:
		v.Done = e.Job.Tasks
	case workload.Active:
		p := c.progress[v.ID]
		v.Done, v.Running = p.Done, p.Running
		if e.Completed != nil {
			v.Done = max(v.Done, e.Completed.Len())
		}
	}
	return v
}

// respondStatusOr answers with the job's state as it is now, or calls missing if there
// is no such job.
func (c *Core) respondStatusOr(req messages.RequestID, id string, missing func()) {
	if c.respondIfFinal(req, id) {
		return
	}
	c.linearizableRead(func(ok bool) {
		switch e := c.cache.Jobs[id]; {
		case !ok:
			c.respondUnavailable(req, "the state service does not answer")
		case e != nil:
			c.resolveDependencies(id, func(ok bool) {
				e := c.cache.Jobs[id]
				if !ok || e == nil {
					c.respondUnavailable(req, "the state service does not answer")
					return
				}
				c.respond(messages.Response{Request: req, Kind: messages.JobFound, Job: c.jobStatus(e)})
			})
		default:
			c.lookupArchived(id, func(e *storage.JobEntry, ok bool) {
				switch {
				case !ok:
					c.respondUnavailable(req, "the state service does not answer")
				case e != nil:
					c.respond(messages.Response{Request: req, Kind: messages.JobFound, Job: c.jobStatus(e)})
				default:
					missing()
				}
			})
		}
	})
}

func (c *Core) lookup(in *messages.Lookup) {
	c.respondStatusOr(in.Request, in.ID, func() { c.respond(messages.Response{Request: in.Request, Kind: messages.JobNotFound}) })
}

func (c *Core) submit(in *messages.Submit) {
	req, id := in.Request, in.ID
	if id == "" {
		c.respond(messages.Response{Request: req, Kind: messages.RequestMalformed, Text: in.Fault})
		return
	}
	if c.cache.Jobs[id] != nil {
		c.respondStatusOr(req, id, func() { c.respondUnavailable(req, "try again") })
		return
	}
	// A job that is known already gets 200 whatever its repetition looks like, so
	// faults are told only after the record was looked up.
	if in.Job == nil {
		c.respondStatusOr(req, id, func() { c.respond(messages.Response{Request: req, Kind: messages.RequestMalformed, Text: in.Fault}) })
		return
	}
	if !c.storeReachable() {
		c.respondUnavailable(req, "the state service does not answer")
		return
	}
	if why := c.unschedulableReason(in.Job); why != "" {
		c.rejectUnschedulable(req, id, why)
		return
	}
	c.admit(req, in.Job, func(urgency storage.Urgency) {
		in.Job.Submitted = c.wall
		c.pruneInstanceTypes(in.Job)
		if len(in.Job.DependsOn) > 0 {
			c.acceptWithDependencies(req, in.Job)
			return
		}
		c.accept(req, in.Job, urgency)
	})
}

// pruneInstanceTypes leaves out of a job's record what says nothing: machine types that do not
// exist, or on which its tasks do not fit.
func (c *Core) pruneInstanceTypes(j *workload.Job) {
	j.InstanceTypes = slices.DeleteFunc(slices.Clone(j.InstanceTypes), func(name string) bool {
		t := c.catalog[name]
		return t == nil || !j.Resources.Fits(t.Capacity)
	})
	slices.Sort(j.InstanceTypes)
	j.InstanceTypes = slices.Compact(j.InstanceTypes)
}

// rejectUnschedulable refuses a job that can never run, unless it is known: then its user is told
// of it, whatever the repeated submission looks like.
func (c *Core) rejectUnschedulable(req messages.RequestID, id, why string) {
	c.respondStatusOr(req, id, func() { c.respond(messages.Response{Request: req, Kind: messages.JobUnschedulable, Text: why}) })
}

// accept writes a job's record, by which it is accepted, under further conditions.
func (c *Core) accept(req messages.RequestID, job *workload.Job, urgency storage.Urgency, conditions ...storage.Compare) {
	id := job.ID
	key, value := c.keys.Job(id), storage.Encode(job)
	if len(value) > c.config.Settings.MaxValue() {
		c.rejectUnschedulable(req, id, "its description is too long to be kept")
		return
	}
	sent := c.callStore(&storage.Request{Kind: storage.Txn,
		Compares: append([]storage.Compare{{Key: key}, {Key: c.keys.Archive(id)}}, conditions...),
		Puts:     []storage.Put{{Key: key, Value: value}},
	}, urgency, storeTimeout, func(r *storage.Reply) {
		switch r.Outcome {
		case storage.OK:
			c.countAccepted(job)
			c.respond(messages.Response{Request: req, Kind: messages.JobAccepted, Job: messages.JobStatus{ID: id, Phase: job.Phase}})
		case storage.Conflict:
			c.respondStatusOr(req, id, func() { c.respondUnavailable(req, "try again") })
		case storage.Unavailable:
			c.countShed()
			c.respondUnavailable(req, "the state service does not answer")
		default:
			c.respondUnavailable(req, "the state service does not answer")
		}
	})
	if !sent {
		c.countShed()
		c.respond(messages.Response{Request: req, Kind: messages.Overloaded, Text: "too many changes", RetryAfter: defaultRetryAfter})
	}
}

// unschedulableReason says why a job can never run, or nothing.
func (c *Core) unschedulableReason(j *workload.Job) string {
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

func (c *Core) cancel(in *messages.Cancel) { c.tryCancel(in, 3) }

func (c *Core) tryCancel(in *messages.Cancel, tries int) {
	if c.respondIfFinal(in.Request, in.ID) {
		return
	}
	e := c.cache.Jobs[in.ID]
	if e == nil {
		c.linearizableRead(func(ok bool) {
			switch {
			case !ok || tries <= 0:
				c.respondUnavailable(in.Request, "the state service does not answer")
			case c.cache.Jobs[in.ID] == nil:
				c.respondStatusOr(in.Request, in.ID, func() { c.respond(messages.Response{Request: in.Request, Kind: messages.JobNotFound}) })
			default:
				c.tryCancel(in, tries-1)
			}
		})
		return
	}
	key := c.keys.Job(in.ID)
	gone := e.Job.Tombstone(workload.Cancelled)
	// done and cancelled exclude each other by the record's version.
	sent := c.callStore(&storage.Request{Kind: storage.Txn,
		Compares: []storage.Compare{{Key: key, ModRevision: e.ModRevision}},
		Puts:     []storage.Put{{Key: key, Value: storage.Encode(gone)}},
		Deletes:  c.completedSegmentKeys(in.ID, e), // nobody needs them any more
	}, storage.Urgent, storeTimeout, func(r *storage.Reply) {
		switch {
		case r.Outcome == storage.OK:
			c.noteCancellation(in.ID, r.Revision, true)
			c.respond(messages.Response{Request: in.Request, Kind: messages.JobFound, Job: messages.JobStatus{ID: in.ID, Phase: workload.Cancelled}})
		case r.Outcome == storage.Conflict && tries > 0:
			c.linearizableRead(func(ok bool) {
				if !ok {
					c.respondUnavailable(in.Request, "the state service does not answer")
					return
				}
				c.tryCancel(in, tries-1)
			})
		default:
			c.respondUnavailable(in.Request, "the state service does not answer")
		}
	})
	if !sent {
		c.respond(messages.Response{Request: in.Request, Kind: messages.Overloaded, Text: "too many changes", RetryAfter: defaultRetryAfter})
	}
}
