package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/coordination/fleet"
	"pipitlatch/internal/micros"
)

const (
	// settled is how long a machine is kept before it can be given up: it costs a
	// minute anyway.
	settled = 60 * micros.Second
	// movePace bounds how often a replica is moved: each is away for a moment.
	movePace = 3 * micros.Second
	// maxLeaving is how many machines are given up at a time, or a part of a large fleet.
	maxLeaving     = 3
	maxLeavingPart = 8
	// leavePerPass is how many are given up in one pass, which come movePace apart: a
	// pass must not hold everything else up, however large the fleet.
	leavePerPass = 64
	// imagePatience is how long a move off a dear machine waits for a machine that
	// has the image.
	imagePatience = 15 * micros.Second
)

// consolidate gives up machines whose services fit elsewhere, spare room included,
// while the arrays do not need them, those first that cost most a replica: such a
// machine takes no more tasks, its arrays end, its replicas move one by one.
// Exception to the design, which never gives a machine up while something runs
// there.
func (h *holder) consolidate() {
	now := h.c.now
	leaving := 0
	nowhere := map[string]bool{} // services whose replicas no machine takes now
	for _, m := range h.machines {
		if m.draining == "surplus" {
			h.moveOff(m, nowhere)
			if replicasOn(m) > 0 {
				leaving++ // one that waits for its arrays to end holds up no others
			}
		}
	}
	most := max(maxLeaving, len(h.machines)/maxLeavingPart)
	if leaving >= most || now-h.mergedAt < movePace || now-h.taken < 10*micros.Second || h.c.term.SinceConfirmed(now) >= storeStaleAfter {
		return
	}
	h.mergedAt = now
	// What arrays used of late is remembered for a minute where one of them can fill
	// the fleet, and for less the larger the fleet: a single one counts less there.
	arrays, services, capacity := h.cpuLoad()
	h.load = max(arrays, h.load-(h.load-arrays)/int64(max(4, min(20, 640/max(1, len(h.machines))))))
	type surplus struct {
		m    *machine
		cost float64 // a replica
	}
	var list []surplus
	for _, m := range h.machines {
		if m.kind == nil || m.block.Spot || !h.usable(m) || now-m.added < settled || m.idle != 0 {
			continue
		}
		list = append(list, surplus{m, m.kind.Price / float64(max(1, replicasOn(m)))})
	}
	slices.SortStableFunc(list, func(a, b surplus) int { return cmp.Compare(b.cost, a.cost) })
	survey := h.surveySpare(false)
	most = min(most, leaving+leavePerPass)
	for _, s := range list {
		m := s.m
		if leaving >= most {
			return
		}
		if h.load > (capacity-m.kind.Capacity.CPU-services)*8/10 ||
			slices.ContainsFunc(h.needs, func(n fleet.CapacityRequest) bool {
				return !n.Service && n.Allows(fleet.InstanceKind{InstanceType: m.block.InstanceType, Zone: m.block.Zone})
			}) {
			continue
		}
		if survey.missing(m) > 0 {
			continue
		}
		h.drain(m, "surplus")
		survey.remove(m)
		capacity -= m.kind.Capacity.CPU
		leaving++
	}
}

// replicasOn is how many replicas a machine has.
func replicasOn(m *machine) int {
	n := 0
	for _, a := range m.attempts {
		if a.state != Exited && a.j != nil && a.j.Kind == bookkeeping.Service {
			n++
		}
	}
	return n
}

// moveOff moves the next replica off a machine, to one that has its image. What found no
// place in this pass is not looked for again: the whole fleet was asked for it.
func (h *holder) moveOff(m *machine, nowhere map[string]bool) {
	pace := movePace / 2 / micros.Time(max(1, h.pack()))
	if h.c.now-h.movedAt < pace || m.ack != h.token {
		return
	}
	// A replica is away for as long as its image takes to arrive: a dear machine is
	// worth that, others wait for room where the image is.
	bare := h.c.now-m.drainAt > imagePatience && m.kind.Price > 3*h.cheapest()
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state != Running || a.stop || a.j == nil || a.j.Kind != bookkeeping.Service || (nowhere[a.j.ID] && !bare) {
			continue
		}
		for _, o := range h.machines {
			if o.kind == nil || !h.usable(o) || o.block.Spot && !a.j.Spot || (!o.hasImage(a.j.Image) && !bare) || !a.j.AllowsInstanceType(o.block.InstanceType) ||
				(a.j.Zone != "" && a.j.Zone != o.block.Zone) || a.j.OneZone || a.j.Spread || !a.need.Fits(h.free(o)) {
				continue
			}
			h.movedAt = h.c.now
			h.stop(a, a.j.CheckpointDuration)
			return
		}
		nowhere[a.j.ID] = true
	}
}

// returnPatience is how long the deletion of an idle machine takes at most while
// the cloud is well.
const returnPatience = 5 * micros.Second

const (
	// idleReserve is how many idle machines are kept for the usual time at least.
	idleReserve = 4
	// surplusKeep is how long those beyond the reserve are kept.
	surplusKeep = 5 * micros.Second
)

// returnIdle gives machines back that have had no task for a while and are not
// part of the spare room for services.
func (h *holder) returnIdle() {
	if h.c.term.SinceConfirmed(h.c.now) >= storeStaleAfter {
		// Nothing can be submitted while the state service is out: all users come back
		// at once, and what was given back would have to boot first.
		for _, m := range h.machines {
			if m.idle != 0 {
				m.idle = h.c.now
			}
		}
		return
	}
	survey := h.surveySpare(true)
	large := h.oversized(survey.kind)
	for _, m := range h.machines {
		if m.draining == "idle" && h.c.now-m.drainAt > returnPatience {
			// The cloud does not take them back now: what is drained serves nobody.
			return
		}
	}
	// Of many that are idle only a reserve is worth the usual time.
	var idle []micros.Time
	for _, m := range h.machines {
		if h.usable(m) && m.idle != 0 {
			idle = append(idle, m.idle)
		}
	}
	slices.Sort(idle)
	surplus := micros.Time(0) // idle since before then: beyond the reserve
	if n := len(idle) - max(idleReserve, len(h.machines)/8); n > 0 {
		surplus = idle[n-1]
	}
	for _, m := range h.machines {
		keep, takesOver := micros.Time(h.c.config.Operator.IdleKeepS)*micros.Second, false
		if !m.block.Spot {
			keep /= 3 // ordinary machines cost more; arrays mostly need not wait for them
			if large != nil && m.kind != nil && m.kind.Capacity.CPU < large.kind.Capacity.CPU {
				// It is there to take over from the large one once the others rented
				// for that have booted; returned before, it would be rented anew, and
				// the large one never be given up.
				keep, takesOver = 3*m.kind.Boot, true
			}
		}
		if m.idle <= surplus && !takesOver {
			keep = min(keep, surplusKeep)
		}
		if !h.usable(m) || m.idle == 0 || h.c.now-m.idle < keep || !h.vacant(m) ||
			slices.ContainsFunc(h.needs, func(n fleet.CapacityRequest) bool {
				return n.Allows(fleet.InstanceKind{InstanceType: m.block.InstanceType, Zone: m.block.Zone, Spot: m.block.Spot})
			}) {
			continue
		}
		if survey.missing(m) > 0 || (large != nil && large != m && survey.missingWithout(large, m) > 0) {
			continue
		}
		survey.remove(m)
		h.drain(m, "idle")
	}
}
