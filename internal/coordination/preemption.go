package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// preemptionShape is what decides where room can be made for a task without further
// conditions.
type preemptionShape struct {
	resources workload.Resources
	priority  workload.Priority
	zone      string
	spot      bool
}

// preemptFor stops work of lower priority for a task that otherwise would wait
// until a time, and starts the task in its place. Exception to the design: the
// paper's tasks are not preempted, but services must not wait for arrays.
func (p *partitionLeader) preemptFor(j *job, until micros.Time) bool {
	now := p.core.now
	if until-now < micros.Second || j.pendingTasks.Len() == 0 {
		return false
	}
	// What found no room in this plan finds none again: many services alike wait.
	shape := preemptionShape{j.Resources, j.Priority, j.Zone, j.Spot}
	plain := len(j.InstanceTypes) == 0 && !j.OneZone && !j.Spread
	if plain && p.plan.preemptionFailed[shape] {
		return false
	}
	var best *machine
	var victims []*attempt
	bestCost := 0.0
	for _, m := range p.machines {
		if m.instanceType == nil || !p.schedulable(m) || m.lifecycle.startsPausedUntil > now || !j.AllowsInstanceType(m.record.InstanceType) || (j.Zone != "" && j.Zone != m.record.Zone) ||
			(m.record.Spot && !j.Spot) || !p.zoneAllows(j, m.record.Zone) {
			continue
		}
		if take, cost, ok := p.preemptionOn(m, j); ok && (best == nil || cost < bestCost) {
			best, victims, bestCost = m, take, cost
		}
	}
	if best == nil {
		if plain {
			p.plan.preemptionFailed[shape] = true
		}
		return false
	}
	saves := false
	for _, a := range victims {
		grace := micros.Time(0)
		if a.job.CheckpointInterval > 0 {
			grace, saves = a.job.CheckpointDuration, true
		}
		p.stopAttempt(a, grace)
	}
	if !saves {
		// Commands are executed in order: the room is there when the start comes.
		return p.startTask(j, best, scheduling.Forever)
	}
	return true
}

// preemptionOn says which attempts of lower priority have to be stopped on a machine for a task of
// the job, and what that costs; ok is false where it would not be enough.
func (p *partitionLeader) preemptionOn(m *machine, j *job) (take []*attempt, cost float64, ok bool) {
	free := m.instanceType.Capacity
	var lower []*attempt
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state == messages.Exited {
			continue
		}
		free = free.Sub(a.resources)
		if a.job != nil && a.job.Priority < j.Priority && !a.stop.ordered {
			lower = append(lower, a)
		}
	}
	// The least work lost first.
	slices.SortStableFunc(lower, func(a, b *attempt) int { return cmp.Compare(p.lostWork(a), p.lostWork(b)) })
	for _, a := range lower {
		if j.Resources.Fits(free) {
			break
		}
		free = free.Add(a.resources)
		cost += micros.Seconds(p.lostWork(a)) + 1
		take = append(take, a)
	}
	if !m.images.Has(j.Image) && m.instanceType.FetchGBps > 0 {
		cost += 20 * j.ImageGB / m.instanceType.FetchGBps
	}
	return take, cost, j.Resources.Fits(free)
}

// lostWork is the work that stopping an attempt loses.
func (p *partitionLeader) lostWork(a *attempt) micros.Time {
	if a.runningSince == 0 {
		return 0
	}
	run := p.core.now - a.runningSince
	if a.job.CheckpointInterval > 0 {
		return a.job.CheckpointDuration
	}
	return run
}

func (p *partitionLeader) zoneAllows(j *job, zone string) bool {
	n := 0
	for _, a := range j.activeAttempts {
		if a.machine.record.Zone == zone {
			n++
		} else if j.OneZone {
			return false
		}
	}
	return !j.Spread || n < j.SpreadLimit()
}

// headroomRequests asks for room to take up the services of the machine that holds most of
// them, and some growth, at once: free room, or room that arrays can be stopped
// for. Exception to the design, which plans for tasks that are there.
func (p *partitionLeader) headroomRequest() (request provisioning.CapacityRequest, needed bool) {
	survey := p.surveyHeadroom(true)
	kind, missing := survey.service, survey.missing(nil)
	if missing > 0 {
		return p.capacityRequest(kind, missing), true
	}
	m := p.oversized(kind)
	if m == nil {
		return request, false
	}
	// Room on smaller machines for what keeps a dear one busy: once it is there,
	// consolidate gives the dear one up.
	if missing = survey.missing(m); missing <= 0 {
		return request, false
	}
	n := p.capacityRequest(kind, missing)
	n.InstanceTypes = nil
	for _, name := range sortedKeys(p.core.catalog) {
		if p.core.catalog[name].Capacity.CPU < m.instanceType.Capacity.CPU && kind.AllowsInstanceType(name) {
			n.InstanceTypes = append(n.InstanceTypes, name)
		}
	}
	return n, true
}

// oversized finds a machine that is kept for so few replicas that smaller ones
// would do for much less, and that the arrays do not need.
func (p *partitionLeader) oversized(kind *job) *machine {
	if kind == nil {
		return nil
	}
	arrays, services, capacity := p.cpuLoad()
	var worst *machine
	for _, m := range p.machines {
		if m.instanceType == nil || m.record.Spot || !p.schedulable(m) || p.core.now-m.lifecycle.addedAt < minMachineAge {
			continue
		}
		replicas := 0
		room := m.instanceType.Capacity.CPU
		for _, a := range m.attempts {
			if a.state != messages.Exited && a.job != nil && a.job.Kind == workload.Service {
				replicas++
				room -= a.resources.CPU
			}
		}
		if max(arrays, p.consolidation.recentArrayCPU) > (capacity-services-room)*8/10 {
			continue
		}
		for _, t := range p.core.catalog {
			slots := int(kind.Resources.Count(t.Capacity))
			if replicas == 0 || slots == 0 || t.Capacity.CPU >= m.instanceType.Capacity.CPU || !kind.AllowsInstanceType(t.Name) {
				continue
			}
			instead := float64((replicas+slots)/slots) * t.Price
			if m.instanceType.Price-instead >= p.lowestPrice() && (worst == nil || m.instanceType.Price > worst.instanceType.Price) {
				worst = m
			}
		}
	}
	return worst
}

// lowestPrice is the lowest price of an ordinary machine.
func (p *partitionLeader) lowestPrice() float64 {
	lowest := 0.0
	for _, t := range p.core.catalog {
		if lowest == 0 || t.Price < lowest {
			lowest = t.Price
		}
	}
	return lowest
}

// cpuLoad is the CPU that arrays and services use, and all there is, on usable
// machines.
func (p *partitionLeader) cpuLoad() (arrays, services, capacity int64) {
	for _, m := range p.machines {
		if m.instanceType == nil || !p.schedulable(m) {
			continue
		}
		capacity += m.instanceType.Capacity.CPU
		for _, a := range m.attempts {
			switch {
			case a.state == messages.Exited:
			case a.job != nil && a.job.Kind == workload.Service:
				services += a.resources.CPU
			default:
				arrays += a.resources.CPU
			}
		}
	}
	return arrays, services, capacity
}

// headroomSurvey is what the spare room for services depends on, counted once: what would be
// missing without one machine or another then follows without another look at the fleet.
type headroomSurvey struct {
	service    *job             // the largest service; nil: there is none
	growth     int              // replicas that there has to be room for besides
	replicas   map[*machine]int // by machine
	headroomOn map[*machine]int // further replicas that fit there
	headroom   int              // all of it
	// The machines whose loss takes most room: the replicas there and the room left.
	worst, second *machine
}

// surveyHeadroom counts the spare room; machines that still boot count if booting is set.
func (p *partitionLeader) surveyHeadroom(booting bool) *headroomSurvey {
	s := &headroomSurvey{replicas: map[*machine]int{}, headroomOn: map[*machine]int{}}
	replicas := 0
	for _, j := range p.sortedJobs {
		if j.Kind != workload.Service {
			continue
		}
		for _, a := range j.activeAttempts {
			replicas++
			s.replicas[a.machine]++
		}
		if s.service == nil || j.Resources.CPU > s.service.Resources.CPU {
			s.service = j
		}
	}
	if s.service == nil {
		return s
	}
	s.growth = (replicas*int(p.core.config.Operator.SparePercent)+99)/100 + 1
	for _, m := range p.machines {
		if n := p.headroomOn(m, s.service, booting); n > 0 {
			s.headroomOn[m] = n
			s.headroom += n
		}
	}
	for m := range s.replicas {
		s.rank(m)
	}
	return s
}

// headroomOn is how many replicas of a kind fit on a machine, where arrays give way.
func (p *partitionLeader) headroomOn(m *machine, kind *job, booting bool) int {
	if m.instanceType == nil || m.record.Spot && !kind.Spot || !kind.AllowsInstanceType(m.record.InstanceType) ||
		(kind.Zone != "" && kind.Zone != m.record.Zone) || (!p.schedulable(m) && (!booting || !p.expectedToBoot(m) && !p.justBooted(m))) {
		return 0
	}
	free := m.instanceType.Capacity
	for _, a := range m.attempts {
		if a.state != messages.Exited && (a.job == nil || a.job.Priority >= kind.Priority) {
			free = free.Sub(a.resources)
		}
	}
	return int(kind.Resources.Count(free))
}

// weight is the room that the loss of a machine takes: its replicas, and what is free there.
func (s *headroomSurvey) weight(m *machine) int { return s.replicas[m] + s.headroomOn[m] }

// rank keeps the two machines with replicas whose loss takes most room.
func (s *headroomSurvey) rank(m *machine) {
	switch {
	case s.worst == nil || s.weight(m) > s.weight(s.worst):
		s.worst, s.second = m, s.worst
	case s.second == nil || s.weight(m) > s.weight(s.second):
		s.second = m
	}
}

// missing is how much room is missing: if without is given, after its replicas have moved
// elsewhere. What any one machine has must fit on the others.
func (s *headroomSurvey) missing(without *machine) int {
	if s.service == nil {
		return 0
	}
	moving, room := s.replicas[without], s.headroom-s.headroomOn[without] // 0 if without is nil
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
func (s *headroomSurvey) missingWithout(large, empty *machine) int {
	rest := *s
	rest.headroom -= s.headroomOn[empty]
	return rest.missing(large)
}

// remove takes a machine out of the room that counts: it takes no more tasks.
func (s *headroomSurvey) remove(m *machine) {
	s.headroom -= s.headroomOn[m]
	delete(s.headroomOn, m)
	if s.replicas[m] == 0 {
		return
	}
	s.worst, s.second = nil, nil
	for o := range s.replicas {
		s.rank(o)
	}
}

// freeResources is the room a machine has now.
func (p *partitionLeader) freeResources(m *machine) workload.Resources {
	free := m.instanceType.Capacity
	for _, a := range m.attempts {
		if a.state != messages.Exited {
			free = free.Sub(a.resources)
		}
	}
	return free
}
