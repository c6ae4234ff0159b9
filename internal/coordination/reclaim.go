package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
)

// startBy is until when a job's tasks are to start: as its class's `wait` objective
// wants, or, within its team's guarantee, as the objective on guarantees does.
func (h *holder) startBy(r ranked) (micros.Time, bool) {
	within, found := micros.Max, false
	for _, o := range h.c.config.Settings.Objectives {
		if (o.Kind == "wait" && o.Class == r.j.Class) || (o.Kind == "guarantee" && r.Guaranteed) {
			within, found = min(within, micros.FromSeconds(o.WithinS)), true
		}
	}
	return h.c.now - (h.c.wall - r.j.ready) + within, found
}

// victim is an attempt that could be stopped, with what that costs and gains.
type victim struct {
	a     *attempt
	m     *machine
	slots int     // for tasks of the job
	cost  float64 // CPU-seconds lost, for a slot
}

// reclaim starts tasks of a job, all that are missing or none, in the place of work
// that was just begun: of lower priority, or of what another team runs above its
// guarantee while this job is within its own. Exception to the design, whose tasks are
// not preempted: an urgent task of half a minute cannot wait for one that takes a
// minute, and a guarantee is no guarantee that waits for what others borrow. A task is
// stopped for this once only, so none is put off without end. Where it is the team's
// limit that leaves no room, only work of the team itself makes some: what is started
// takes no more than what was stopped right before on the same machine.
func (h *holder) reclaim(r ranked, missing int, by micros.Time, limited bool) {
	j, now := r.j, h.c.now
	if missing <= 0 || by <= now || j.OneZone || j.Spread {
		return
	}
	borrowed := map[string]int64{} // CPU above the guarantee, by team
	for name, t := range h.c.teams {
		borrowed[name] = h.usage[name].CPU - t.GuaranteeCPU
	}
	found := h.victims(r, by, borrowed, limited)
	gain, last := 0, 0
	for last < len(found) && gain < missing {
		v := &found[last]
		last++
		team := v.a.j.Team
		if v.a.j.Priority >= j.Priority {
			if borrowed[team] < v.a.need.CPU {
				v.slots = 0
				continue // what is left is within its guarantee
			}
		}
		borrowed[team] -= v.a.need.CPU
		gain += v.slots
	}
	if gain < missing {
		return
	}
	for _, v := range found[:last] {
		if v.slots == 0 {
			continue
		}
		v.a.j.spared.Add(v.a.id.Task)
		h.stop(v.a, 0)
		for range v.slots {
			if missing > 0 && h.start(j, v.m, r.q.P) {
				missing--
			}
		}
	}
}

// victims are the attempts that may be stopped for a job and make room for it in time, those
// first that lose least for a slot.
func (h *holder) victims(r ranked, by micros.Time, borrowed map[string]int64, limited bool) []victim {
	j, now := r.j, h.c.now
	var found []victim
	for _, m := range h.machines {
		if m.kind == nil || !h.usable(m) || m.pause > now || !j.AllowsInstanceType(m.block.InstanceType) || (j.Zone != "" && j.Zone != m.block.Zone) ||
			(m.block.Spot && !j.Spot) || !j.Resources.Fits(m.kind.Capacity) {
			continue
		}
		if !m.hasImage(j.Image) && (m.kind.FetchGBps <= 0 || now+micros.FromSeconds(j.ImageGB/m.kind.FetchGBps) > by) {
			continue
		}
		found = append(found, h.victimsOn(m, r, borrowed, limited)...)
	}
	slices.SortStableFunc(found, func(x, y victim) int { return cmp.Compare(x.cost, y.cost) })
	return found
}

// victimsOn are those of one machine.
func (h *holder) victimsOn(m *machine, r ranked, borrowed map[string]int64, limited bool) []victim {
	j := r.j
	var own []*attempt
	for _, a := range m.attempts {
		if h.reclaimable(r, a, borrowed, limited) {
			own = append(own, a)
		}
	}
	// The least work lost first.
	slices.SortFunc(own, func(x, y *attempt) int { return cmp.Or(cmp.Compare(h.begun(x), h.begun(y)), x.id.compare(y.id)) })
	free := h.free(m)
	had := int(j.Resources.Count(free))
	var found []victim
	for _, a := range own {
		if limited {
			if k := int(j.Resources.Count(a.need)); k > 0 {
				found = append(found, victim{a, m, k, micros.Seconds(h.begun(a)) * float64(a.need.CPU) / float64(k)})
			}
			continue
		}
		if k := int(j.Resources.Count(free.Add(a.need))); k > had {
			found = append(found, victim{a, m, k - had, micros.Seconds(h.begun(a)) * float64(a.need.CPU) / float64(k-had)})
			free, had = free.Add(a.need), k
		}
	}
	return found
}

// reclaimPart is the part of a job's own run time that an attempt may have run and
// still be stopped for it.
const reclaimPart = 4

// reclaimable tells whether an attempt may be stopped for a job.
func (h *holder) reclaimable(r ranked, a *attempt, borrowed map[string]int64, limited bool) bool {
	if a.state == Exited || a.stop || !a.shown || a.open+a.lost > 0 || a.j == nil || a.j == r.j || a.j.wasGuaranteed || a.j.spared.Has(a.id.Task) {
		return false
	}
	if limited {
		return a.j.Team == r.j.Team && a.j.Priority < r.j.Priority && h.begun(a) <= h.estimate(a.j)/reclaimPart
	}
	if h.begun(a) > r.q.P/reclaimPart {
		return false
	}
	if due := h.c.now - (h.c.wall - a.j.Submitted) + a.j.Deadline; a.j.Deadline > 0 && due > h.c.now && due < h.c.now+2*h.estimate(a.j) {
		return false // it would miss its own deadline for it
	}
	return a.j.Priority < r.j.Priority ||
		(r.Guaranteed && a.j.Priority == r.j.Priority && a.j.Team != r.j.Team && borrowed[a.j.Team] >= a.need.CPU)
}

// begun is the time that an attempt has taken its room, which stopping it loses.
func (h *holder) begun(a *attempt) micros.Time { return h.c.now - a.made }
