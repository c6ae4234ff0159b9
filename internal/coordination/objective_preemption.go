package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// startDeadline is until when a job's tasks are to start: as its class's `wait` objective
// wants, or, within its team's guaranteed quota, as the objective on guarantees does.
func (p *partitionLeader) startDeadline(r rankedJob) (deadline micros.Time, found bool) {
	within := micros.Max
	for _, o := range p.core.config.Settings.Objectives {
		if (o.Kind == objectiveWait && o.Class == r.job.Class) || (o.Kind == objectiveGuarantee && r.WithinGuarantee) {
			within, found = min(within, micros.FromSeconds(o.WithinS)), true
		}
	}
	return p.core.now - (p.core.wall - r.job.readySince) + within, found
}

// preemptionScope is whose work may be stopped for a job that would miss its objective.
type preemptionScope uint8

const (
	// anyTeam: of lower priority, or what another team runs on borrowed quota while the job is
	// within its team's guaranteed quota.
	anyTeam preemptionScope = iota
	// ownTeam: work of the team itself, of lower priority: it is the team's quota limit that
	// leaves nothing free, and what is started takes no more than what was stopped right
	// before on the same machine.
	ownTeam
)

// preemptibleDivisor is the part of a job's own run time that an attempt may have run and
// still be stopped for it.
const preemptibleDivisor = 4

// victim is an attempt that could be stopped, with what that costs and gains.
type victim struct {
	attempt *attempt
	machine *machine
	slots   int     // for tasks of the job
	cost    float64 // CPU-seconds lost, for a slot
}

// objectivePreemption finds the work that is stopped for one job that would miss its objective.
type objectivePreemption struct {
	*partitionLeader
	ranked   rankedJob
	startBy  micros.Time
	scope    preemptionScope
	borrowed map[string]int64 // CPU above the guaranteed quota, by team, less what is to be stopped
}

// preemptForObjective starts tasks of a job, all that are missing or none, in the place of work
// that was just begun. Exception to the design, whose tasks are not preempted: an urgent task of
// half a minute cannot wait for one that takes a minute, and a guarantee is no guarantee that
// waits for what others borrow. A task is stopped for this once only, so none is put off without
// end.
func (p *partitionLeader) preemptForObjective(r rankedJob, missing int, startBy micros.Time, scope preemptionScope) {
	j := r.job
	if missing <= 0 || startBy <= p.core.now || j.OneZone || j.Spread {
		return
	}
	borrowed := map[string]int64{}
	for name, t := range p.core.teams {
		borrowed[name] = p.teamUsage[name].CPU - t.GuaranteeCPU
	}
	o := objectivePreemption{p, r, startBy, scope, borrowed}
	for _, v := range o.selectVictims(o.candidates(), missing) {
		v.attempt.job.preemptedOnce.Add(v.attempt.id.Task)
		p.stopAttempt(v.attempt, 0)
		for range v.slots {
			if missing > 0 && p.startTask(j, v.machine, r.queued.Estimate) {
				missing--
			}
		}
	}
}

// selectVictims takes candidates in their order until they make place for all missing tasks; none if
// they do not.
func (o *objectivePreemption) selectVictims(candidates []victim, missing int) []victim {
	chosen := candidates[:0]
	for _, v := range candidates {
		if missing <= 0 {
			break
		}
		a := v.attempt
		if a.job.Priority >= o.ranked.job.Priority && o.borrowed[a.job.Team] < a.resources.CPU {
			continue // what is left is within its team's guaranteed quota
		}
		o.borrowed[a.job.Team] -= a.resources.CPU
		missing -= v.slots
		chosen = append(chosen, v)
	}
	if missing > 0 {
		return nil
	}
	return chosen
}

// candidates are the attempts that may be stopped for the job and make place for it in time,
// those first that lose least for a slot.
func (o *objectivePreemption) candidates() []victim {
	j := o.ranked.job
	var found []victim
	for _, m := range o.machines {
		if !o.acceptsStarts(m) || !j.mayRunOn(m) || !j.Resources.Fits(m.instanceType.Capacity) || !o.imageReadyInTime(m) {
			continue
		}
		found = append(found, o.candidatesOn(m)...)
	}
	slices.SortStableFunc(found, func(x, y victim) int { return cmp.Compare(x.cost, y.cost) })
	return found
}

// imageReadyInTime tells whether the job's image is on a machine by the time its tasks are to start.
func (o *objectivePreemption) imageReadyInTime(m *machine) bool {
	j := o.ranked.job
	if m.images.Has(j.Image) {
		return true
	}
	fetchGBps := m.instanceType.FetchGBps
	return fetchGBps > 0 && o.core.now+micros.FromSeconds(j.ImageGB/fetchGBps) <= o.startBy
}

// candidatesOn are those of one machine.
func (o *objectivePreemption) candidatesOn(m *machine) []victim {
	need := o.ranked.job.Resources
	var preemptible []*attempt
	for _, a := range m.attempts {
		if o.isPreemptible(a) {
			preemptible = append(preemptible, a)
		}
	}
	// The least work lost first.
	slices.SortFunc(preemptible, func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(o.occupiedFor(x), o.occupiedFor(y)), x.id.Compare(y.id))
	})
	free := m.freeResources()
	fitting := int(need.Count(free))
	var found []victim
	for _, a := range preemptible {
		if o.scope == ownTeam {
			if slots := int(need.Count(a.resources)); slots > 0 {
				found = append(found, o.victim(a, slots))
			}
			continue
		}
		if after := int(need.Count(free.Add(a.resources))); after > fitting {
			found = append(found, o.victim(a, after-fitting))
			free, fitting = free.Add(a.resources), after
		}
	}
	return found
}

// victim is an attempt with a number of slots that stopping it makes.
func (o *objectivePreemption) victim(a *attempt, slots int) victim {
	lost := micros.Seconds(o.occupiedFor(a)) * float64(a.resources.CPU)
	return victim{attempt: a, machine: a.machine, slots: slots, cost: lost / float64(slots)}
}

// isPreemptible tells whether an attempt may be stopped for the job.
func (o *objectivePreemption) isPreemptible(a *attempt) bool {
	if !a.knownToRun() || a.job == o.ranked.job || a.job.plannedWithinGuarantee || a.job.preemptedOnce.Has(a.id.Task) {
		return false
	}
	forJob := o.ranked.job
	lower := a.job.Priority < forJob.Priority
	if o.scope == ownTeam {
		return a.job.Team == forJob.Team && lower && o.occupiedFor(a) <= o.estimate(a.job)/preemptibleDivisor
	}
	if o.occupiedFor(a) > o.ranked.queued.Estimate/preemptibleDivisor || o.wouldMissDeadline(a.job) {
		return false
	}
	return lower || (o.ranked.WithinGuarantee && a.job.Priority == forJob.Priority && a.job.Team != forJob.Team &&
		o.borrowed[a.job.Team] >= a.resources.CPU)
}

// knownToRun tells whether a heartbeat showed the attempt, nothing is under way that starts or
// stops it, and its job is active.
func (a *attempt) knownToRun() bool {
	return a.state != messages.Exited && !a.stop.ordered && a.start.reported &&
		a.start.inFlight+a.start.unanswered == 0 && a.job != nil
}

// wouldMissDeadline tells whether a job in time would miss its deadline if a task began anew.
func (p *partitionLeader) wouldMissDeadline(j *job) bool {
	if j.Deadline <= 0 {
		return false
	}
	now := p.core.now
	due := now - (p.core.wall - j.Submitted) + j.Deadline
	return due > now && due < now+2*p.estimate(j)
}

// occupiedFor is the time that an attempt has occupied its machine, which stopping it loses.
func (p *partitionLeader) occupiedFor(a *attempt) micros.Time { return p.core.now - a.createdAt }
