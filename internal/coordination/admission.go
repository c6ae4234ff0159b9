package coordination

import (
	"errors"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// fairAdmission is this controller's part in admission epochs: what it was asked for, the
// epoch it knows, what siblings were asked for and, while it leads, the next epoch. Off,
// it is nil, and nothing here is called.
type fairAdmission struct {
	settings           admission.Settings
	tracker            *admission.Tracker
	view               admission.View
	planner            *admission.Planner
	peerDemands        map[string]peerDemand // by member
	demandSentAt       micros.Time
	epochCheckedAt     micros.Time // last look whether an epoch is due
	epochWriteInFlight bool
	leaderRevision     uint64      // fencing token under which the planner plans
	ignoredLoggedAt    micros.Time // last record told as ignored
}

// peerDemand is what a sibling last said that it was asked for.
type peerDemand struct {
	at     micros.Time
	demand *admission.Demand
}

const (
	// demandInterval is how often siblings are told what this controller was asked for.
	demandInterval = micros.Second
	// epochCheckInterval is how often the leader looks whether an epoch is due: adding up what all
	// controllers were asked for takes time.
	epochCheckInterval = 250 * micros.Millisecond
	// demandTTL is how long what a sibling said counts.
	demandTTL = 5 * micros.Second
	// windowBytes is about what a flow's window takes in an epoch's record.
	windowBytes = 56
	// epochBytes is what the record has besides.
	epochBytes = 240
	// minCapacityDivisor is the part of the state service's changes that new jobs get at
	// least, whatever was used for other things of late.
	minCapacityDivisor = 4
	// changesPerJob is how many changes a job takes at least: it is accepted, and it is over.
	// The second comes later, so that what is used now does not show it yet.
	changesPerJob = 2
)

// admissionSettings are the operators' settings as the package wants them.
func admissionSettings(cfg *config.Config) admission.Settings {
	f := cfg.Operator.FairAdmission
	s := admission.Settings{Length: micros.Time(f.EpochMs) * micros.Millisecond, FloorPercent: int64(f.FloorPercent),
		Teams: map[string]int64{}, Classes: map[admission.Flow]int64{},
		MaxWindows: max(1, min(admission.MaxFlows, (cfg.Settings.MaxValue()-epochBytes)/windowBytes))}
	for _, w := range f.Weights {
		if w.Class == "" {
			s.Teams[w.Team] = int64(w.Weight)
		} else {
			s.Classes[admission.Flow{Team: w.Team, Class: w.Class}] = int64(w.Weight)
		}
	}
	return s
}

func newFairAdmission(cfg *config.Config) *fairAdmission {
	if !cfg.Operator.FairAdmission.Enabled {
		return nil
	}
	s := admissionSettings(cfg)
	return &fairAdmission{settings: s, tracker: admission.NewTracker(len(cfg.Settings.Teams)), planner: admission.NewPlanner(s),
		peerDemands: map[string]peerDemand{}}
}

// flowOf is the flow of a job.
func flowOf(j *workload.Job) admission.Flow { return admission.Flow{Team: j.Team, Class: j.Class} }

// admit asks for the verdict on a job that is not known here, and goes on with take unless it
// is refused. What a flow gets whole may overdraw the budget: else it would lose the share
// that it was given to flows that are given less than they ask for. A known job is answered as known, first of all: one that another controller
// just took, or that was moved away long ago, is looked up before it is refused. Without an
// epoch in force nothing is refused here: what can't be stored is refused where it is.
func (c *Core) admit(req messages.RequestID, job *workload.Job, take func(storage.Urgency)) {
	f := c.fair
	if f == nil {
		take(storage.Prompt)
		return
	}
	flow := flowOf(job)
	f.tracker.Asked(c.now, flow, job.ID)
	v := f.view.Verdict(c.now, flow, job.ID)
	if v.Epoch != 0 {
		c.log(messages.LevelDebug, "admission verdict", "job", job.ID, "epoch", v.Epoch, "leader", v.Leader, "admit", v.Admit, "turn_ms", v.Turn/micros.Millisecond)
	}
	switch {
	case v.Epoch == 0:
		take(storage.Prompt)
		return
	case v.Admit:
		f.tracker.Admitted(c.now, flow)
		urgency := storage.Prompt
		if v.Whole {
			urgency = storage.Urgent
		}
		take(urgency)
		return
	}
	c.respondStatusOr(req, job.ID, func() {
		f.tracker.ComeBack(c.now, flow, job.ID, v.Turn)
		c.respond(messages.Response{Request: req, Kind: messages.Overloaded, Text: "overload: it is not its turn yet", RetryAfter: v.Turn})
	})
}

// countAccepted and shed count what became of a submission.
func (c *Core) countAccepted(j *workload.Job) {
	if c.fair != nil {
		c.fair.tracker.Accepted(c.now, flowOf(j))
	}
}

func (c *Core) countShed() {
	if c.fair != nil {
		c.fair.tracker.Refused(c.now)
	}
}

// admissionChanged takes the epoch's record as a request sent at a time read it.
func (c *Core) admissionChanged(sent micros.Time) {
	f := c.fair
	stored := c.cache.Admission
	if f == nil || stored.ModRevision == 0 {
		return
	}
	skew := micros.FromSeconds(c.config.Settings.SkewMS / 1000)
	err := f.view.Observe(stored.Value, sent, c.now, c.wall, skew)
	switch {
	case err == nil:
		if e := f.view.Current(c.now); e != nil {
			c.log(messages.LevelDebug, "admission epoch observed", "epoch", e.Number, "leader", e.Leader, "flows", len(e.Windows))
		}
	case errors.Is(err, admission.ErrStale) || c.now-f.ignoredLoggedAt < ignoredLogInterval:
	default:
		f.ignoredLoggedAt = c.now
		c.log(messages.LevelWarn, "admission epoch ignored", "mod_revision", stored.ModRevision, "err", err)
	}
}

// tickAdmission writes the next epoch, as the leader, while there is an overload.
func (c *Core) tickAdmission() {
	f := c.fair
	l := &c.leader
	if f == nil || f.epochWriteInFlight || c.now-f.epochCheckedAt < epochCheckInterval {
		return
	}
	f.epochCheckedAt = c.now
	if f.view.Current(c.now) == nil && !c.anyControllerRefused() {
		return
	}
	if f.leaderRevision != l.revision {
		f.leaderRevision, f.planner = l.revision, admission.NewPlanner(f.settings)
	}
	demand := c.totalDemand()
	capacity := c.admissionCapacity(demand)
	e := f.planner.Next(&f.view, admission.Situation{Now: c.now, Wall: c.wall, Leader: l.revision, Demand: demand, Capacity: capacity})
	if e == nil {
		return
	}
	f.epochWriteInFlight = c.callStore(&storage.Request{Kind: storage.Txn,
		// Carried out late, or by a leader that was replaced, it has no effect.
		Compares: []storage.Compare{c.leaderCompare(), {Key: c.keys.Admission(), ModRevision: c.cache.Admission.ModRevision}},
		Puts:     []storage.Put{{Key: c.keys.Admission(), Value: storage.Encode(e)}},
	}, storage.Critical, storeTimeout, func(r *storage.Reply) {
		f.epochWriteInFlight = false
		if r.Outcome != storage.OK {
			// In the flood that it is to end the state service refuses it as well: the next
			// look tries again, instead of waiting for the time of the next epoch. If it was
			// carried out all the same, the condition on its own version fails.
			f.planner.Failed()
			return
		}
		c.log(messages.LevelInfo, "admission epoch written", "epoch", e.Number, "flows", len(e.Windows), "rest_ppm", int64(e.Rest.Width)*1_000_000/admission.Points,
			"refused", demand.Refused, "admitted", demand.Admitted, "capacity_milli", capacity)
	})
	if f.epochWriteInFlight {
		f.planner.Written(c.now)
	}
}

// anyControllerRefused tells whether any controller refused a submission for lack of room of late.
func (c *Core) anyControllerRefused() bool {
	if c.fair.tracker.RefusedLately(c.now) > 0 {
		return true
	}
	for _, d := range c.fair.peerDemands {
		if c.now-d.at < demandTTL && d.demand.Refused > 0 {
			return true
		}
	}
	return false
}

// totalDemand adds up what all controllers were asked for of late.
func (c *Core) totalDemand() admission.Demand {
	all := []admission.Demand{c.fair.tracker.Demand(c.now)}
	for _, member := range sortedKeys(c.fair.peerDemands) {
		if d := c.fair.peerDemands[member]; member != c.process.Member && c.now-d.at < demandTTL {
			all = append(all, *d.demand)
		}
	}
	return admission.Merge(all)
}

// admissionCapacity is how many jobs can be taken a second, in thousandths: the changes that
// the state service takes, less what is used for everything but new jobs.
func (c *Core) admissionCapacity(demand admission.Demand) int64 {
	total := c.storeLimiter.TotalWriteRate()
	used := c.storeLimiter.RecentUsage().Writes
	for member, p := range c.peers.All() {
		if member != c.process.Member && c.now-p.ReceivedAt < 3*micros.Second {
			used += p.Status.Usage.Writes
		}
	}
	return max(total/minCapacityDivisor, min(total/changesPerJob, total-max(0, used-demand.AcceptRate)))
}

// demandForPeers is what the siblings are told now; nil: nothing new.
func (c *Core) demandForPeers() *admission.Demand {
	f := c.fair
	if f == nil || c.now-f.demandSentAt < demandInterval {
		return nil
	}
	f.demandSentAt = c.now
	d := f.tracker.Demand(c.now)
	return &d
}

// receiveDemand takes what a sibling was asked for.
func (c *Core) receiveDemand(s *messages.PeerStatus) {
	if c.fair != nil && s.Demand != nil {
		c.fair.peerDemands[s.From.Member] = peerDemand{c.now, s.Demand}
	}
}
