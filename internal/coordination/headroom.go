package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/workload"
)

// headroomSurvey holds the counts that determine the headroom for services. The fleet is counted
// once; the headroom that is missing without a given machine then follows without another scan.
//
// Headroom is measured in replicas of the largest service.
type headroomSurvey struct {
	service  *job             // the largest service; nil if there is none: nothing is missing then
	growth   int              // additional replicas that must fit
	replicas map[*machine]int // existing replicas of all services
	fitting  map[*machine]int // additional replicas that fit
	headroom int              // the sum of fitting
	// The machines with replicas whose loss would reduce the headroom most.
	worst, second *machine
}

func newHeadroomSurvey() *headroomSurvey {
	return &headroomSurvey{replicas: map[*machine]int{}, fitting: map[*machine]int{}}
}

// addReplica counts a replica on a machine, whether the machine takes more tasks or not.
func (s *headroomSurvey) addReplica(m *machine) { s.replicas[m]++ }

// addHeadroom records that n more replicas fit on a machine.
func (s *headroomSurvey) addHeadroom(m *machine, n int) {
	if n > 0 {
		s.fitting[m] = n
		s.headroom += n
	}
}

// rankMachines sets worst and second once all machines and replicas have been counted.
func (s *headroomSurvey) rankMachines() {
	s.worst, s.second = nil, nil
	for m := range s.replicas {
		s.rank(m)
	}
}

// rank updates worst and second with one machine.
func (s *headroomSurvey) rank(m *machine) {
	switch {
	case s.worst == nil || s.lossImpact(m) > s.lossImpact(s.worst):
		s.worst, s.second = m, s.worst
	case s.second == nil || s.lossImpact(m) > s.lossImpact(s.second):
		s.second = m
	}
}

// lossImpact returns the headroom that the loss of a machine costs: slots for its replicas, and the
// slots that it has free.
func (s *headroomSurvey) lossImpact(m *machine) int { return s.replicas[m] + s.fitting[m] }

// missing returns how much headroom is missing; if a machine is given, after its replicas have moved
// elsewhere. The headroom must be enough for growth, and for the loss of any one machine. It is
// zero or negative if nothing is missing.
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

// missingWithout returns missing(large) as it would be after an empty machine was terminated as well.
func (s *headroomSurvey) missingWithout(large, empty *machine) int {
	rest := *s
	rest.headroom -= s.fitting[empty]
	return rest.missing(large)
}

// remove excludes a machine from the headroom because it takes no more tasks. Its replicas still
// count.
func (s *headroomSurvey) remove(m *machine) {
	s.headroom -= s.fitting[m]
	delete(s.fitting, m)
	if s.replicas[m] > 0 {
		s.rankMachines()
	}
}

// surveyHeadroom counts the headroom for services. If booting is set, it includes machines that are
// expected to be up soon.
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

// headroomOn returns how many replicas of a service fit on a machine if work of lower priority is
// preempted there.
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

// headroomRequest requests capacity if the headroom would not take the replicas of any one lost
// machine at once, or some growth. Capacity on which arrays can be preempted counts as headroom.
// This deviates from the scheduling model, which plans only for existing tasks.
func (p *partitionLeader) headroomRequest() (request provisioning.CapacityRequest, needed bool) {
	survey := p.surveyHeadroom(true)
	if missing := survey.missing(nil); missing > 0 {
		return p.capacityRequest(survey.service, missing), true
	}
	m := p.oversizedMachine(survey.service)
	if m == nil {
		return request, false
	}
	// Request headroom on smaller machines for the replicas that keep an oversized machine in use.
	// Once it is there, consolidate drains the oversized one.
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
