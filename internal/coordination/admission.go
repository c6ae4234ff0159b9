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
	// windowBytes is about what a flow's window takes in an epoch's record.
	windowBytes = 56
	// epochBytes is what the record has besides.
	epochBytes = 240
)

// fairAdmission is this controller's part in admission epochs: the demand that it saw, the epoch
// that it knows, the demand that its peers saw and, while it is cluster leader, the next epoch. It
// is nil while fair admission is off.
type fairAdmission struct {
	settings           admission.Settings
	tracker            *admission.Tracker
	view               admission.View
	planner            *admission.Planner
	peerDemands        map[string]peerDemand // by member
	demandSentAt       micros.Time
	epochCheckedAt     micros.Time // when it was last checked whether an epoch is due
	epochWriteInFlight bool
	leaderRevision     uint64      // fencing token under which the planner plans
	ignoredLoggedAt    micros.Time // when an ignored record was last logged
}

// newFairAdmission returns nil if fair admission is off.
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

// admissionSettings are the operators' settings in the form of package admission.
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

// flowOf is the flow of a job.
func flowOf(j *workload.Job) admission.Flow { return admission.Flow{Team: j.Team, Class: j.Class} }

// admit asks for the verdict on a job that the cache does not have, and calls admitted unless the
// job is refused. Without an epoch in force nothing is refused here: what the store has no room for
// is refused where it is written.
func (c *Core) admit(request messages.RequestID, job *workload.Job, admitted func(storage.Urgency)) {
	f := c.fair
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

// admittedUrgency is the urgency of the write of an admitted job. A flow that gets all that it asks
// for may overdraw the budget: else it would lose the share that it was given to flows that are
// given less than they ask for.
func admittedUrgency(verdict admission.Verdict) storage.Urgency {
	if verdict.Unrestricted {
		return storage.Urgent
	}
	return storage.Prompt
}

// deferSubmission tells a user that it is not the job's turn yet. A job that was accepted before is
// answered with its state all the same: one that another controller just accepted, or that was
// archived long ago, is looked up before it is refused.
func (c *Core) deferSubmission(request messages.RequestID, job *workload.Job, turn micros.Time) {
	c.respondStatusOr(request, job.ID, func() {
		c.fair.tracker.Deferred(c.now, flowOf(job), job.ID, turn)
		c.respond(messages.Response{
			Request:    request,
			Kind:       messages.Overloaded,
			Text:       "overload: it is not its turn yet",
			RetryAfter: turn,
		})
	})
}

// countAccepted counts a submission that was accepted.
func (c *Core) countAccepted(j *workload.Job) {
	if c.fair != nil {
		c.fair.tracker.Accepted(c.now, flowOf(j))
	}
}

// countShed counts a submission that was refused for lack of capacity.
func (c *Core) countShed() {
	if c.fair != nil {
		c.fair.tracker.Refused(c.now)
	}
}
