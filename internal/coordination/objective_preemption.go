package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// startDeadline returns the time by which a job's tasks must start to meet the `wait` objective of
// its class, or, if the job is within its team's guaranteed quota, the `guarantee` objective. The
// earlier one applies; found is false if there is neither.
func (p *partitionLeader) startDeadline(r rankedJob) (deadline micros.Time, found bool) {
	within := micros.Max
	for _, o := range p.core.config.Settings.Objectives {
		if (o.Kind == objectiveWait && o.Class == r.job.Class) || (o.Kind == objectiveGuarantee && r.WithinGuarantee) {
			within, found = min(within, micros.FromSeconds(o.WithinS)), true
		}
	}
	return p.core.now - (p.core.wall - r.job.readySince) + within, found
}

// preemptionScope limits whose work may be stopped for a job that would miss its objective.
type preemptionScope uint8

const (
	// anyTeam allows work of lower priority of any team and, for a job within its team's guaranteed
	// quota, work of equal priority that another team runs on borrowed quota.
	anyTeam preemptionScope = iota
	// ownTeam allows only work of lower priority of the job's own team. It applies if the team's
	// quota limit is exhausted: a started task takes no more than the attempt that was stopped for
	// it on the same machine.
	ownTeam
)

// preemptibleDivisor limits how long an attempt may have occupied its machine and still be stopped:
// at most a quarter of the estimate of the job to start, or for ownTeam of its own job.
const preemptibleDivisor = 4

// victim is an attempt that could be stopped, with the cost and the gain of doing so.
type victim struct {
	attempt *attempt
	machine *machine
	slots   int     // tasks of the job that fit in its place
	cost    float64 // CPU-seconds lost per slot
}

// objectivePreemption selects the work to stop for one job that would miss its objective.
type objectivePreemption struct {
	*partitionLeader
	ranked   rankedJob
	startBy  micros.Time
	scope    preemptionScope
	borrowed map[string]int64 // by team: CPU above the guaranteed quota, without selected victims
}

// preemptForObjective stops recently started work and starts the missing tasks of a job in its
// place, either all of them or none. This deviates from the scheduling model, which has no
// preemption: an urgent task of half a minute cannot wait for one that takes a minute, and
// guaranteed quota must not wait for work on borrowed quota. Each task is stopped for this reason at
// most once, so that none is delayed indefinitely.
func (p *partitionLeader) preemptForObjective(r rankedJob, missing int, startBy micros.Time, scope preemptionScope) {
	j := r.job
	if missing <= 0 || startBy <= p.core.now || j.OneZone || j.Spread || p.plan.objectiveSearches <= 0 {
		return
	}
	p.plan.objectiveSearches -= len(p.machines)
	borrowed := map[string]int64{}
	for name, t := range p.core.teams {
		borrowed[name] = p.teamUsage[name].CPU - t.GuaranteeCPU
	}
	o := objectivePreemption{p, r, startBy, scope, borrowed}
	for _, v := range o.selectVictims(o.candidates(), missing) {
		v.attempt.job.preemptedOnce.Add(v.attempt.id.Task)
		p.stopAttempt(v.attempt, reasonPreempted, 0)
		for range v.slots {
			if missing > 0 && p.startTask(j, v.machine, r.queued.Estimate) {
				missing--
			}
		}
	}
}

// selectVictims returns candidates, in their order, until all missing tasks fit. It returns none if
// not all of them do.
func (o *objectivePreemption) selectVictims(candidates []victim, missing int) []victim {
	chosen := candidates[:0]
	for _, v := range candidates {
		if missing <= 0 {
			break
		}
		a := v.attempt
		if a.job.Priority >= o.ranked.job.Priority && o.borrowed[a.job.Team] < a.resources.CPU {
			continue // the rest of its team's work is within the guaranteed quota
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

// candidates returns the attempts that may be stopped for the job on machines where its tasks can
// start in time, those that lose the least per slot first.
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

// imageReadyInTime reports whether the machine has the job's image, or can fetch it by the start
// deadline.
func (o *objectivePreemption) imageReadyInTime(m *machine) bool {
	j := o.ranked.job
	if m.images.Has(j.Image) {
		return true
	}
	fetchGBps := m.instanceType.FetchGBps
	return fetchGBps > 0 && o.core.now+micros.FromSeconds(j.ImageGB/fetchGBps) <= o.startBy
}

// candidatesOn returns the candidates on one machine.
func (o *objectivePreemption) candidatesOn(m *machine) []victim {
	need := o.ranked.job.Resources
	var preemptible []*attempt
	for _, a := range m.attempts {
		if o.isPreemptible(a) {
			preemptible = append(preemptible, a)
		}
	}
	// Attempts that lose the least work come first.
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

// victim returns the attempt with the number of slots that stopping it frees, and its cost.
func (o *objectivePreemption) victim(a *attempt, slots int) victim {
	lost := micros.Seconds(o.occupiedFor(a)) * float64(a.resources.CPU)
	return victim{attempt: a, machine: a.machine, slots: slots, cost: lost / float64(slots)}
}

// isPreemptible reports whether an attempt may be stopped for the job.
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

// knownToRun reports whether a heartbeat has confirmed the attempt, no command that starts or stops
// it is pending, and its job is active.
func (a *attempt) knownToRun() bool {
	return a.state != messages.Exited && !a.stop.ordered && a.start.reported &&
		a.start.inFlight+a.start.unanswered == 0 && a.job != nil
}

// wouldMissDeadline reports whether a job that can still meet its deadline would miss it if one of
// its tasks were restarted. A restart is assumed to take up to two estimates.
func (p *partitionLeader) wouldMissDeadline(j *job) bool {
	if j.Deadline <= 0 {
		return false
	}
	now := p.core.now
	due := now - (p.core.wall - j.Submitted) + j.Deadline
	return due > now && due < now+2*p.estimate(j)
}

// occupiedFor returns how long an attempt has occupied its machine: the time lost by stopping it.
func (p *partitionLeader) occupiedFor(a *attempt) micros.Time { return p.core.now - a.createdAt }
