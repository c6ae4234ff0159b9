package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
)

// startDeadline is until when a job's tasks are to start: as its class's `wait` objective
// wants, or, within its team's guarantee, as the objective on guarantees does.
func (p *partitionLeader) startDeadline(r rankedJob) (micros.Time, bool) {
	within, found := micros.Max, false
	for _, o := range p.core.config.Settings.Objectives {
		if (o.Kind == "wait" && o.Class == r.job.Class) || (o.Kind == "guarantee" && r.WithinGuarantee) {
			within, found = min(within, micros.FromSeconds(o.WithinS)), true
		}
	}
	return p.core.now - (p.core.wall - r.job.readySince) + within, found
}

// victim is an attempt that could be stopped, with what that costs and gains.
type victim struct {
	attempt *attempt
	machine *machine
	slots   int     // for tasks of the job
	cost    float64 // CPU-seconds lost, for a slot
}

// preemptForObjective starts tasks of a job, all that are missing or none, in the place of work
// that was just begun: of lower priority, or of what another team runs above its
// guarantee while this job is within its own. Exception to the design, whose tasks are
// not preempted: an urgent task of half a minute cannot wait for one that takes a
// minute, and a guarantee is no guarantee that waits for what others borrow. A task is
// stopped for this once only, so none is put off without end. Where it is the team's
// limit that leaves no room, only work of the team itself makes some: what is started
// takes no more than what was stopped right before on the same machine.
func (p *partitionLeader) preemptForObjective(r rankedJob, missing int, by micros.Time, limited bool) {
	j, now := r.job, p.core.now
	if missing <= 0 || by <= now || j.OneZone || j.Spread {
		return
	}
	borrowed := map[string]int64{} // CPU above the guarantee, by team
	for name, t := range p.core.teams {
		borrowed[name] = p.teamUsage[name].CPU - t.GuaranteeCPU
	}
	found := p.victims(r, by, borrowed, limited)
	gain, last := 0, 0
	for last < len(found) && gain < missing {
		v := &found[last]
		last++
		team := v.attempt.job.Team
		if v.attempt.job.Priority >= j.Priority {
			if borrowed[team] < v.attempt.resources.CPU {
				v.slots = 0
				continue // what is left is within its guarantee
			}
		}
		borrowed[team] -= v.attempt.resources.CPU
		gain += v.slots
	}
	if gain < missing {
		return
	}
	for _, v := range found[:last] {
		if v.slots == 0 {
			continue
		}
		v.attempt.job.preemptedOnce.Add(v.attempt.id.Task)
		p.stopAttempt(v.attempt, 0)
		for range v.slots {
			if missing > 0 && p.startTask(j, v.machine, r.queued.Estimate) {
				missing--
			}
		}
	}
}

// victims are the attempts that may be stopped for a job and make room for it in time, those
// first that lose least for a slot.
func (p *partitionLeader) victims(r rankedJob, by micros.Time, borrowed map[string]int64, limited bool) []victim {
	j, now := r.job, p.core.now
	var found []victim
	for _, m := range p.machines {
		if m.instanceType == nil || !p.schedulable(m) || m.lifecycle.startsPausedUntil > now || !j.AllowsInstanceType(m.record.InstanceType) || (j.Zone != "" && j.Zone != m.record.Zone) ||
			(m.record.Spot && !j.Spot) || !j.Resources.Fits(m.instanceType.Capacity) {
			continue
		}
		if !m.images.Has(j.Image) && (m.instanceType.FetchGBps <= 0 || now+micros.FromSeconds(j.ImageGB/m.instanceType.FetchGBps) > by) {
			continue
		}
		found = append(found, p.victimsOn(m, r, borrowed, limited)...)
	}
	slices.SortStableFunc(found, func(x, y victim) int { return cmp.Compare(x.cost, y.cost) })
	return found
}

// victimsOn are those of one machine.
func (p *partitionLeader) victimsOn(m *machine, r rankedJob, borrowed map[string]int64, limited bool) []victim {
	j := r.job
	var own []*attempt
	for _, a := range m.attempts {
		if p.preemptible(r, a, borrowed, limited) {
			own = append(own, a)
		}
	}
	// The least work lost first.
	slices.SortFunc(own, func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(p.occupiedFor(x), p.occupiedFor(y)), x.id.Compare(y.id))
	})
	free := m.freeResources()
	had := int(j.Resources.Count(free))
	var found []victim
	for _, a := range own {
		if limited {
			if k := int(j.Resources.Count(a.resources)); k > 0 {
				found = append(found, victim{a, m, k, micros.Seconds(p.occupiedFor(a)) * float64(a.resources.CPU) / float64(k)})
			}
			continue
		}
		if k := int(j.Resources.Count(free.Add(a.resources))); k > had {
			found = append(found, victim{a, m, k - had, micros.Seconds(p.occupiedFor(a)) * float64(a.resources.CPU) / float64(k-had)})
			free, had = free.Add(a.resources), k
		}
	}
	return found
}

// preemptibleDivisor is the part of a job's own run time that an attempt may have run and
// still be stopped for it.
const preemptibleDivisor = 4

// preemptible tells whether an attempt may be stopped for a job.
func (p *partitionLeader) preemptible(r rankedJob, a *attempt, borrowed map[string]int64, limited bool) bool {
	if a.state == messages.Exited || a.stop.ordered || !a.start.reported || a.start.inFlight+a.start.unanswered > 0 || a.job == nil || a.job == r.job || a.job.plannedWithinGuarantee || a.job.preemptedOnce.Has(a.id.Task) {
		return false
	}
	if limited {
		return a.job.Team == r.job.Team && a.job.Priority < r.job.Priority && p.occupiedFor(a) <= p.estimate(a.job)/preemptibleDivisor
	}
	if p.occupiedFor(a) > r.queued.Estimate/preemptibleDivisor {
		return false
	}
	if due := p.core.now - (p.core.wall - a.job.Submitted) + a.job.Deadline; a.job.Deadline > 0 && due > p.core.now && due < p.core.now+2*p.estimate(a.job) {
		return false // it would miss its own deadline for it
	}
	return a.job.Priority < r.job.Priority ||
		(r.WithinGuarantee && a.job.Priority == r.job.Priority && a.job.Team != r.job.Team && borrowed[a.job.Team] >= a.resources.CPU)
}

// occupiedFor is the time that an attempt has taken its room, which stopping it loses.
func (p *partitionLeader) occupiedFor(a *attempt) micros.Time { return p.core.now - a.createdAt }
