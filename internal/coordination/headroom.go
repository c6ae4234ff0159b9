package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/workload"
)

// headroomSurvey is what the headroom for services depends on, counted once: what would be
// missing without one machine or another then follows without another look at the fleet.
//
// All counts are of replicas of the largest service.
type headroomSurvey struct {
	service  *job             // the largest service; nil: there is none, and nothing is missing
	growth   int              // further replicas that have to fit besides those of a lost machine
	replicas map[*machine]int // that there are, of any service
	fitting  map[*machine]int // that fit besides
	headroom int              // the sum of fitting
	// The machines with replicas whose loss takes most headroom.
	worst, second *machine
}

func newHeadroomSurvey() *headroomSurvey {
	return &headroomSurvey{replicas: map[*machine]int{}, fitting: map[*machine]int{}}
}

// addReplica counts a replica, wherever it is.
func (s *headroomSurvey) addReplica(m *machine) { s.replicas[m]++ }

// addHeadroom counts a number of replicas that fit on a machine.
func (s *headroomSurvey) addHeadroom(m *machine, n int) {
	if n > 0 {
		s.fitting[m] = n
		s.headroom += n
	}
}

// rankMachines finds the machines whose loss takes most headroom, once all is counted.
func (s *headroomSurvey) rankMachines() {
	s.worst, s.second = nil, nil
	for m := range s.replicas {
		s.rank(m)
	}
}

// rank keeps the two machines with replicas whose loss takes most headroom.
func (s *headroomSurvey) rank(m *machine) {
	switch {
	case s.worst == nil || s.lossImpact(m) > s.lossImpact(s.worst):
		s.worst, s.second = m, s.worst
	case s.second == nil || s.lossImpact(m) > s.lossImpact(s.second):
		s.second = m
	}
}

// lossImpact is the headroom that the loss of a machine takes: for its replicas, and what it has.
func (s *headroomSurvey) lossImpact(m *machine) int { return s.replicas[m] + s.fitting[m] }

// missing is how much headroom is missing: if a machine is given, after its replicas have moved
// elsewhere. What any one machine has must fit on the others, and growth must.
func (s *headroomSurvey) missing(without *machine) int {
	if s.service == nil {
		return 0
	}
	moving, headroom := s.replicas[without], s.headroom-s.fitting[without] // 0 if without is nil
	worst := s.worst
	if worst == without {
		worst = s.second
	}
	missing := s.growth + moving - headroom
	if worst != nil {
		missing = max(missing, s.lossImpact(worst)+moving-headroom)
	}
	return missing
}

// missingWithout is missing(large) once an empty machine was terminated as well.
func (s *headroomSurvey) missingWithout(large, empty *machine) int {
	rest := *s
	rest.headroom -= s.fitting[empty]
	return rest.missing(large)
}

// remove takes a machine out of what counts as headroom: it takes no more tasks.
func (s *headroomSurvey) remove(m *machine) {
	s.headroom -= s.fitting[m]
	delete(s.fitting, m)
	if s.replicas[m] > 0 {
		s.rankMachines()
	}
}

// surveyHeadroom counts the headroom for services; machines that still boot count if booting
// is set.
func (p *partitionLeader) surveyHeadroom(booting bool) *headroomSurvey {
	s := newHeadroomSurvey()
	replicas := 0
	for _, j := range p.sortedJobs {
		if j.Kind != workload.Service {
			continue
		}
		for _, a := range j.activeAttempts {
			replicas++
			s.addReplica(a.machine)
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
		s.addHeadroom(m, p.headroomOn(m, s.service, booting))
	}
	s.rankMachines()
	return s
}

// headroomOn is how many replicas of a service fit on a machine, where work of lower priority
// is preempted.
func (p *partitionLeader) headroomOn(m *machine, service *job, booting bool) int {
	if m.instanceType == nil || !service.mayRunOn(m) {
		return 0
	}
	if !p.schedulable(m) && (!booting || !p.expectedToBoot(m) && !p.justBooted(m)) {
		return 0
	}
	free := m.instanceType.Capacity
	for _, a := range m.attempts {
		if a.state != messages.Exited && (a.job == nil || a.job.Priority >= service.Priority) {
			free = free.Sub(a.resources)
		}
	}
	return int(service.Resources.Count(free))
}

// headroomRequest asks for headroom to take up the replicas of the machine that holds most of
// them, and some growth, at once: free capacity, or capacity for which arrays can be preempted.
// Exception to the design, which plans for tasks that are there.
func (p *partitionLeader) headroomRequest() (request provisioning.CapacityRequest, needed bool) {
	survey := p.surveyHeadroom(true)
	if missing := survey.missing(nil); missing > 0 {
		return p.capacityRequest(survey.service, missing), true
	}
	m := p.oversizedMachine(survey.service)
	if m == nil {
		return request, false
	}
	// Headroom on smaller machines for what keeps an expensive one busy: once it is there,
	// consolidate drains the expensive one.
	missing := survey.missing(m)
	if missing <= 0 {
		return request, false
	}
	request = p.capacityRequest(survey.service, missing)
	request.InstanceTypes = nil
	types := p.core.catalog.Types()
	for _, name := range sortedKeys(types) {
		smaller := types[name].Capacity.CPU < m.instanceType.Capacity.CPU
		if smaller && survey.service.AllowsInstanceType(name) {
			request.InstanceTypes = append(request.InstanceTypes, name)
		}
	}
	return request, true
}
