package coordination

import (
	"pipitlatch/internal/admission"
	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const (
	// windowBytes is the approximate encoded size of a flow's window in an epoch's record.
	windowBytes = 56
	// epochBytes is the approximate encoded size of the rest of the record.
	epochBytes = 240
)

// fairAdmission is the state of fair admission on this controller: the demand that it observed, the
// current epoch, the demand that its peers reported and, while it is the cluster leader, the planner
// of the next epoch. It is nil if fair admission is disabled.
type fairAdmission struct {
	settings           admission.Settings
	tracker            *admission.Tracker
	view               admission.View
	planner            *admission.Planner
	peerDemands        map[string]peerDemand // by member
	demandSentAt       micros.Time
	epochCheckedAt     micros.Time // time of the last check whether an epoch is due
	epochWriteInFlight bool
	leaderRevision     uint64      // fencing token under which the planner plans
	ignoredLoggedAt    micros.Time // time when an ignored record was last logged
}

// newFairAdmission returns nil if fair admission is disabled.
func newFairAdmission(cfg *config.Config) *fairAdmission {
	if !cfg.Operator.FairAdmission.Enabled {
		return nil
	}
	settings := admissionSettings(cfg)
	return &fairAdmission{
		settings:    settings,
		tracker:     admission.NewTracker(len(cfg.Settings.Teams)),
		planner:     admission.NewPlanner(settings),
		peerDemands: map[string]peerDemand{},
	}
}

// admissionSettings converts the operator settings to settings of package admission.
func admissionSettings(cfg *config.Config) admission.Settings {
	operator := cfg.Operator.FairAdmission
	windowsPerRecord := (cfg.Settings.MaxValue() - epochBytes) / windowBytes
	settings := admission.Settings{
		Length:       micros.Time(operator.EpochMs) * micros.Millisecond,
		FloorPercent: int64(operator.FloorPercent),
		Teams:        map[string]int64{},
		Classes:      map[admission.Flow]int64{},
		MaxWindows:   max(1, min(admission.MaxFlows, windowsPerRecord)),
	}
	for _, w := range operator.Weights {
		if w.Class == "" {
			settings.Teams[w.Team] = int64(w.Weight)
		} else {
			settings.Classes[admission.Flow{Team: w.Team, Class: w.Class}] = int64(w.Weight)
		}
	}
	return settings
}

// flowOf returns the flow that a job belongs to.
func flowOf(j *workload.Job) admission.Flow { return admission.Flow{Team: j.Team, Class: j.Class} }

// admit applies the current epoch's verdict to a job that is not in the cache: it calls admitted, or
// refuses the submission. Without an epoch in force no submission is refused here; one that exceeds
// the store's request budget is refused when its record is written.
func (c *Core) admit(request messages.RequestID, job *workload.Job, admitted func(storage.Urgency)) {
	f := c.fairAdmission
	if f == nil {
		admitted(storage.Prompt)
		return
	}
	flow := flowOf(job)
	f.tracker.Asked(c.now, flow, job.ID)
	verdict := f.view.Verdict(c.now, flow, job.ID)
	if verdict.Epoch == 0 {
		admitted(storage.Prompt)
		return
	}
	c.log(messages.LevelDebug, "admission verdict", "job", job.ID, "epoch", verdict.Epoch, "leader", verdict.Leader,
		"admit", verdict.Admit, "turn_ms", verdict.RetryDelay/micros.Millisecond)
	if !verdict.Admit {
		c.deferSubmission(request, job, verdict.RetryDelay)
		return
	}
	f.tracker.Admitted(c.now, flow)
	admitted(admittedUrgency(verdict))
}

// admittedUrgency returns the urgency with which the record of an admitted job is written. A flow
// whose whole demand is admitted may overdraw the request budget; otherwise it would lose its share to
// flows of which only a part is admitted.
func admittedUrgency(verdict admission.Verdict) storage.Urgency {
	if verdict.Unrestricted {
		return storage.Urgent
	}
	return storage.Prompt
}

// deferSubmission refuses a submission with a time after which to retry. The job is looked up first,
// since another controller may just have accepted it, or it may be in the archive. A job that was
// accepted before is answered with its state.
func (c *Core) deferSubmission(request messages.RequestID, job *workload.Job, turn micros.Time) {
	c.respondStatusOr(request, job.ID, func() {
		c.fairAdmission.tracker.Deferred(c.now, flowOf(job), job.ID, turn)
		c.respond(messages.Response{
			Request:    request,
			Kind:       messages.Overloaded,
			Reason:     "overload: it is not its turn yet",
			RetryAfter: turn,
		})
	})
}

// countAccepted records a submission that was accepted.
func (c *Core) countAccepted(j *workload.Job) {
	if c.fairAdmission != nil {
		c.fairAdmission.tracker.Accepted(c.now, flowOf(j))
	}
}

// countShed records a submission that was refused for lack of capacity.
func (c *Core) countShed() {
	if c.fairAdmission != nil {
		c.fairAdmission.tracker.Refused(c.now)
	}
}
