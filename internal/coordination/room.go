package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/coordination/fleet"
	"pipitlatch/internal/coordination/plan"
	"pipitlatch/internal/micros"
)

// roomShape is what decides where room can be made for a task without further
// conditions.
type roomShape struct {
	need     bookkeeping.Resources
	priority bookkeeping.Priority
	zone     string
	spot     bool
}

// makeRoom stops work of lower priority for a task that otherwise would wait
// until a time, and starts the task in its place. Exception to the design: the
// paper's tasks are not preempted, but services must not wait for arrays.
func (h *holder) makeRoom(j *job, until micros.Time) bool {
	now := h.c.now
	if until-now < micros.Second || j.waiting.Len() == 0 {
		return false
	}
	// What found no room in this plan finds none again: many services alike wait.
	shape := roomShape{j.Resources, j.Priority, j.Zone, j.Spot}
	plain := len(j.InstanceTypes) == 0 && !j.OneZone && !j.Spread
	if plain && h.noRoom[shape] {
		return false
	}
	var best *machine
	var victims []*attempt
	bestCost := 0.0
	for _, m := range h.machines {
		if m.kind == nil || !h.usable(m) || m.pause > now || !j.AllowsInstanceType(m.block.InstanceType) || (j.Zone != "" && j.Zone != m.block.Zone) ||
			(m.block.Spot && !j.Spot) || !h.zoneAllows(j, m.block.Zone) {
			continue
		}
		if take, cost, ok := h.roomOn(m, j); ok && (best == nil || cost < bestCost) {
			best, victims, bestCost = m, take, cost
		}
	}
	if best == nil {
		if plain {
			h.noRoom[shape] = true
		}
		return false
	}
	saves := false
	for _, a := range victims {
		grace := micros.Time(0)
		if a.j.CheckpointInterval > 0 {
			grace, saves = a.j.CheckpointDuration, true
		}
		h.stop(a, grace)
	}
	if !saves {
		// Commands are executed in order: the room is there when the start comes.
		return h.start(j, best, plan.Forever)
	}
	return true
}

// roomOn says which attempts of lower priority have to be stopped on a machine for a task of
// the job, and what that costs; ok is false where it would not be enough.
func (h *holder) roomOn(m *machine, j *job) (take []*attempt, cost float64, ok bool) {
	free := m.kind.Capacity
	var lower []*attempt
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state == Exited {
			continue
		}
		free = free.Sub(a.need)
		if a.j != nil && a.j.Priority < j.Priority && !a.stop {
			lower = append(lower, a)
		}
	}
	// The least work lost first.
	slices.SortStableFunc(lower, func(a, b *attempt) int { return cmp.Compare(h.lost(a), h.lost(b)) })
	for _, a := range lower {
		if j.Resources.Fits(free) {
			break
		}
		free = free.Add(a.need)
		cost += micros.Seconds(h.lost(a)) + 1
		take = append(take, a)
	}
	if !m.hasImage(j.Image) && m.kind.FetchGBps > 0 {
		cost += 20 * j.ImageGB / m.kind.FetchGBps
	}
	return take, cost, j.Resources.Fits(free)
}

// lost is the work that stopping an attempt loses.
func (h *holder) lost(a *attempt) micros.Time {
	if a.running == 0 {
		return 0
	}
	run := h.c.now - a.running
	if a.j.CheckpointInterval > 0 {
		return a.j.CheckpointDuration
	}
	return run
}

func (h *holder) zoneAllows(j *job, zone string) bool {
	n := 0
	for _, a := range j.live {
		if a.m.block.Zone == zone {
			n++
		} else if j.OneZone {
			return false
		}
	}
	return !j.Spread || n < j.SpreadLimit()
}

// spare asks for room to take up the services of the machine that holds most of
// them, and some growth, at once: free room, or room that arrays can be stopped
// for. Exception to the design, which plans for tasks that are there.
func (h *holder) spare() []fleet.CapacityRequest {
	survey := h.surveySpare(true)
	kind, missing := survey.kind, survey.missing(nil)
	if missing > 0 {
		return []fleet.CapacityRequest{h.need(kind, missing)}
	}
	m := h.oversized(kind)
	if m == nil {
		return nil
	}
	// Room on smaller machines for what keeps a dear one busy: once it is there,
	// consolidate gives the dear one up.
	if missing = survey.missing(m); missing <= 0 {
		return nil
	}
	n := h.need(kind, missing)
	n.InstanceTypes = nil
	for _, name := range sortedKeys(h.c.catalog) {
		if h.c.catalog[name].Capacity.CPU < m.kind.Capacity.CPU && kind.AllowsInstanceType(name) {
			n.InstanceTypes = append(n.InstanceTypes, name)
		}
	}
	return []fleet.CapacityRequest{n}
}

// oversized finds a machine that is kept for so few replicas that smaller ones
// would do for much less, and that the arrays do not need.
func (h *holder) oversized(kind *job) *machine {
	if kind == nil {
		return nil
	}
	arrays, services, capacity := h.cpuLoad()
	var worst *machine
	for _, m := range h.machines {
		if m.kind == nil || m.block.Spot || !h.usable(m) || h.c.now-m.added < settled {
			continue
		}
		replicas := 0
		room := m.kind.Capacity.CPU
		for _, a := range m.attempts {
			if a.state != Exited && a.j != nil && a.j.Kind == bookkeeping.Service {
				replicas++
				room -= a.need.CPU
			}
		}
		if max(arrays, h.load) > (capacity-services-room)*8/10 {
			continue
		}
		for _, t := range h.c.catalog {
			slots := int(kind.Resources.Count(t.Capacity))
			if replicas == 0 || slots == 0 || t.Capacity.CPU >= m.kind.Capacity.CPU || !kind.AllowsInstanceType(t.Name) {
				continue
			}
			instead := float64((replicas+slots)/slots) * t.Price
			if m.kind.Price-instead >= h.cheapest() && (worst == nil || m.kind.Price > worst.kind.Price) {
				worst = m
			}
		}
	}
	return worst
}

// cheapest is the lowest price of an ordinary machine.
func (h *holder) cheapest() float64 {
	lowest := 0.0
	for _, t := range h.c.catalog {
		if lowest == 0 || t.Price < lowest {
			lowest = t.Price
		}
	}
	return lowest
}

// cpuLoad is the CPU that arrays and services use, and all there is, on usable
// machines.
func (h *holder) cpuLoad() (arrays, services, capacity int64) {
	for _, m := range h.machines {
		if m.kind == nil || !h.usable(m) {
			continue
		}
		capacity += m.kind.Capacity.CPU
		for _, a := range m.attempts {
			switch {
			case a.state == Exited:
			case a.j != nil && a.j.Kind == bookkeeping.Service:
				services += a.need.CPU
			default:
				arrays += a.need.CPU
			}
		}
	}
	return arrays, services, capacity
}

// spareSurvey is what the spare room for services depends on, counted once: what would be
// missing without one machine or another then follows without another look at the fleet.
type spareSurvey struct {
	kind     *job             // the largest service; nil: there is none
	growth   int              // replicas that there has to be room for besides
	replicas map[*machine]int // by machine
	roomOn   map[*machine]int // further replicas that fit there
	room     int              // all of it
	// The machines whose loss takes most room: the replicas there and the room left.
	worst, second *machine
}

// surveySpare counts the spare room; machines that still boot count if booting is set.
func (h *holder) surveySpare(booting bool) *spareSurvey {
	s := &spareSurvey{replicas: map[*machine]int{}, roomOn: map[*machine]int{}}
	replicas := 0
	for _, j := range h.order {
		if j.Kind != bookkeeping.Service {
			continue
		}
		for _, a := range j.live {
			replicas++
			s.replicas[a.m]++
		}
		if s.kind == nil || j.Resources.CPU > s.kind.Resources.CPU {
			s.kind = j
		}
	}
	if s.kind == nil {
		return s
	}
	s.growth = (replicas*int(h.c.config.Operator.SparePercent)+99)/100 + 1
	for _, m := range h.machines {
		if n := h.spareRoomOn(m, s.kind, booting); n > 0 {
			s.roomOn[m] = n
			s.room += n
		}
	}
	for m := range s.replicas {
		s.rank(m)
	}
	return s
}

// spareRoomOn is how many replicas of a kind fit on a machine, where arrays give way.
func (h *holder) spareRoomOn(m *machine, kind *job, booting bool) int {
	if m.kind == nil || m.block.Spot && !kind.Spot || !kind.AllowsInstanceType(m.block.InstanceType) ||
		(kind.Zone != "" && kind.Zone != m.block.Zone) || (!h.usable(m) && (!booting || !h.expected(m) && !h.justBooted(m))) {
		return 0
	}
	free := m.kind.Capacity
	for _, a := range m.attempts {
		if a.state != Exited && (a.j == nil || a.j.Priority >= kind.Priority) {
			free = free.Sub(a.need)
		}
	}
	return int(kind.Resources.Count(free))
}

// weight is the room that the loss of a machine takes: its replicas, and what is free there.
func (s *spareSurvey) weight(m *machine) int { return s.replicas[m] + s.roomOn[m] }

// rank keeps the two machines with replicas whose loss takes most room.
func (s *spareSurvey) rank(m *machine) {
	switch {
	case s.worst == nil || s.weight(m) > s.weight(s.worst):
		s.worst, s.second = m, s.worst
	case s.second == nil || s.weight(m) > s.weight(s.second):
		s.second = m
	}
}

// missing is how much room is missing: if without is given, after its replicas have moved
// elsewhere. What any one machine has must fit on the others.
func (s *spareSurvey) missing(without *machine) int {
	if s.kind == nil {
		return 0
	}
	moving, room := s.replicas[without], s.room-s.roomOn[without] // 0 if without is nil
	worst := s.worst
	if worst == without {
		worst = s.second
	}
	missing := s.growth + moving - room
	if worst != nil {
		missing = max(missing, s.weight(worst)+moving-room)
	}
	return missing
}

// missingWithout is missing(large) once an empty machine was given back as well.
func (s *spareSurvey) missingWithout(large, empty *machine) int {
	rest := *s
	rest.room -= s.roomOn[empty]
	return rest.missing(large)
}

// remove takes a machine out of the room that counts: it takes no more tasks.
func (s *spareSurvey) remove(m *machine) {
	s.room -= s.roomOn[m]
	delete(s.roomOn, m)
	if s.replicas[m] == 0 {
		return
	}
	s.worst, s.second = nil, nil
	for o := range s.replicas {
		s.rank(o)
	}
}

// free is the room a machine has now.
func (h *holder) free(m *machine) bookkeeping.Resources {
	free := m.kind.Capacity
	for _, a := range m.attempts {
		if a.state != Exited {
			free = free.Sub(a.need)
		}
	}
	return free
}

// packShare is the part of all replicas that may be lost with one machine: below
// it they are packed, so that machines become free when the arrays end; above it
// they are spread. Exception to the design, whose gaps know no machines that end.
const packShare = 16

// pack is how many replicas a machine takes before others are preferred.
func (h *holder) pack() int { return h.replicas / packShare }
