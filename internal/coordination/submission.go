package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// submission is a user's request to accept a job, while it is in progress. The job is checked and
// admitted, its dependencies are looked up, and its record is written; that write accepts the job.
// Submissions are idempotent: whatever the reason for a rejection, a job that was accepted before is
// answered with its status instead.
type submission struct {
	core         *Core
	request      messages.RequestID
	id           string
	job          *workload.Job
	dependencies dependencyCheck
}

// submit processes a user's submission.
func (c *Core) submit(in *messages.Submit) {
	s := &submission{core: c, request: in.Request, id: in.ID, job: in.Job}
	switch {
	case in.ID == "":
		s.respondMalformed(in.Fault)
	case c.cache.Jobs[in.ID] != nil:
		s.respondDuplicate()
	case in.Job == nil:
		// A repeated submission of an accepted job is answered with the job's status even if it is
		// malformed, so faults are reported only after the job has been looked up.
		s.respondStatusOr(func() { s.respondMalformed(in.Fault) })
	case !c.storeReachable():
		s.respondUnavailable(storeUnavailable)
	default:
		s.checkAndAdmit()
	}
}

// checkAndAdmit rejects a job that can never run, and requests admission of any other.
func (s *submission) checkAndAdmit() {
	if reason := s.core.checkSchedulable(s.job); reason != schedulable {
		s.rejectUnschedulable(reason)
		return
	}
	s.core.admit(s.request, s.job, s.handleAdmission)
}

// handleAdmission accepts an admitted job. The urgency does not apply to a job with dependencies, whose
// record is written only after these have been looked up.
func (s *submission) handleAdmission(urgency storage.Urgency) {
	s.job.Submitted = s.core.wall
	s.core.pruneInstanceTypes(s.job)
	if len(s.job.DependsOn) > 0 {
		s.acceptWithDependencies()
		return
	}
	s.writeRecord(urgency)
}

// writeRecord writes the job's record, which accepts the job. The write succeeds only if the job has no
// record yet, archived or not, and the given compares hold.
func (s *submission) writeRecord(urgency storage.Urgency, compares ...storage.Compare) {
	c := s.core
	key, value := c.keys.Job(s.id), storage.Encode(s.job)
	if len(value) > c.config.Settings.MaxValue() {
		s.rejectUnschedulable(recordTooLarge)
		return
	}
	sent := c.callStore(&storage.Request{
		Kind:     storage.Txn,
		Compares: append([]storage.Compare{{Key: key}, {Key: c.keys.ArchivedJob(s.id)}}, compares...),
		Puts:     []storage.Put{{Key: key, Value: value}},
	}, urgency, storeTimeout, s.handleWriteReply)
	if !sent {
		c.countShed()
		c.respondWritesExhausted(s.request)
	}
}

func (s *submission) handleWriteReply(reply *storage.Reply) {
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

// respondDuplicate responds with the status of a job that was accepted before.
func (s *submission) respondDuplicate() {
	s.respondStatusOr(func() { s.respondUnavailable(concurrentChange) })
}

// rejectUnschedulable rejects a job that can never run, unless it was accepted before.
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

// checkSchedulable returns the reason why a job can never run, or schedulable if it can.
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

// pruneInstanceTypes removes instance types from a job that do not exist or on which its tasks do not
// fit, as well as duplicates.
func (c *Core) pruneInstanceTypes(j *workload.Job) {
	j.InstanceTypes = slices.DeleteFunc(slices.Clone(j.InstanceTypes), func(name string) bool {
		instanceType := c.catalog.Types()[name]
		return instanceType == nil || !j.Resources.Fits(instanceType.Capacity)
	})
	slices.Sort(j.InstanceTypes)
	j.InstanceTypes = slices.Compact(j.InstanceTypes)
}
