package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// submission is a user's request to accept a job, while it is being carried out: it is checked,
// admitted, its dependencies are looked up, and its record is written, by which it is accepted.
// Whatever it is refused for, a job that was accepted before is answered with its state instead:
// submissions are idempotent.
type submission struct {
	core         *Core
	request      messages.RequestID
	id           string
	job          *workload.Job
	dependencies submittedDependencies
}

// submit carries a user's submission out.
func (c *Core) submit(in *messages.Submit) {
	s := &submission{core: c, request: in.Request, id: in.ID, job: in.Job}
	switch {
	case in.ID == "":
		s.respondMalformed(in.Fault)
	case c.cache.Jobs[in.ID] != nil:
		s.respondDuplicate()
	case in.Job == nil:
		// A job that was accepted before is answered with its state whatever the repeated
		// submission looks like, so faults are told only after its record was looked up.
		s.respondStatusOr(func() { s.respondMalformed(in.Fault) })
	case !c.storeReachable():
		s.respondUnavailable(storeUnavailable)
	default:
		s.checkSchedulable()
	}
}

// checkSchedulable refuses a job that can never run, and asks for the admission of any other.
func (s *submission) checkSchedulable() {
	if reason := s.core.checkSchedulable(s.job); reason != schedulable {
		s.rejectUnschedulable(reason)
		return
	}
	s.core.admit(s.request, s.job, s.admitted)
}

// admitted accepts a job that was admitted. A job with dependencies does not keep the urgency: its
// record is written after they were looked up.
func (s *submission) admitted(urgency storage.Urgency) {
	s.job.Submitted = s.core.wall
	s.core.pruneInstanceTypes(s.job)
	if len(s.job.DependsOn) > 0 {
		s.acceptWithDependencies()
		return
	}
	s.accept(urgency)
}

// accept writes the job's record, by which it is accepted, under further compares.
func (s *submission) accept(urgency storage.Urgency, compares ...storage.Compare) {
	c := s.core
	key, value := c.keys.Job(s.id), storage.Encode(s.job)
	if len(value) > c.config.Settings.MaxValue() {
		s.rejectUnschedulable(recordTooLarge)
		return
	}
	sent := c.callStore(&storage.Request{
		Kind:     storage.Txn,
		Compares: append([]storage.Compare{{Key: key}, {Key: c.keys.Archive(s.id)}}, compares...),
		Puts:     []storage.Put{{Key: key, Value: value}},
	}, urgency, storeTimeout, s.recordWritten)
	if !sent {
		c.countShed()
		c.respondWritesExhausted(s.request)
	}
}

func (s *submission) recordWritten(reply *storage.Reply) {
	if reply.Outcome == storage.OK {
		s.core.countAccepted(s.job)
		s.core.respond(messages.Response{
			Request: s.request,
			Kind:    messages.JobAccepted,
			Job:     messages.JobStatus{ID: s.id, Phase: s.job.Phase},
		})
		return
	}
	if reply.Outcome == storage.Conflict {
		s.respondDuplicate()
		return
	}
	if reply.Outcome == storage.Unavailable {
		s.core.countShed()
	}
	s.respondUnavailable(storeUnavailable)
}

// respondDuplicate answers with the state of a job that was accepted before.
func (s *submission) respondDuplicate() {
	s.respondStatusOr(func() { s.respondUnavailable(concurrentChange) })
}

// rejectUnschedulable refuses a job that can never run, unless it was accepted before.
func (s *submission) rejectUnschedulable(reason unschedulableReason) {
	s.respondStatusOr(func() {
		s.core.respond(messages.Response{Request: s.request, Kind: messages.JobUnschedulable, Reason: reason.String()})
	})
}

func (s *submission) respondMalformed(fault string) {
	s.core.respond(messages.Response{Request: s.request, Kind: messages.RequestMalformed, Reason: fault})
}

func (s *submission) respondUnavailable(reason unavailableReason) {
	s.core.respondUnavailable(s.request, reason)
}

func (s *submission) respondStatusOr(notFound func()) {
	s.core.respondStatusOr(s.request, s.id, notFound)
}

// checkSchedulable says why a job can never run, or that it is schedulable.
func (c *Core) checkSchedulable(j *workload.Job) unschedulableReason {
	team := c.teams[j.Team]
	switch {
	case team == nil:
		return unknownTeam
	case !team.CanEverRun(j):
		return exceedsTeamLimit
	case !c.catalog.Types().Fits(j):
		return fitsNoInstanceType
	}
	return schedulable
}

// pruneInstanceTypes leaves out of a job's record what says nothing: instance types that do not
// exist, or on which its tasks do not fit.
func (c *Core) pruneInstanceTypes(j *workload.Job) {
	j.InstanceTypes = slices.DeleteFunc(slices.Clone(j.InstanceTypes), func(name string) bool {
		instanceType := c.catalog.Types()[name]
		return instanceType == nil || !j.Resources.Fits(instanceType.Capacity)
	})
	slices.Sort(j.InstanceTypes)
	j.InstanceTypes = slices.Compact(j.InstanceTypes)
}
