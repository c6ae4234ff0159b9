package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// maxFirstTaskWait is how long a job may wait for its first task to start before that task is
// placed ahead of the index order.
const maxFirstTaskWait = 120 * micros.Second

// arrayPlacement is an array in one planning pass.
type arrayPlacement struct {
	rankedJob
	waiting int // pending tasks that the team's quota limit allows to run, at the beginning
	placed  int // tasks that started or have a slot
	tardy   int // tasks that may end late and that a new machine could start earlier
	// complete is set once a slot was looked for on all machines for each of the waiting tasks.
	complete bool
}

// left returns the number of waiting tasks that have no slot.
func (a *arrayPlacement) left() int { return a.waiting - a.placed }

// placeArrays places the pending tasks of the arrays in their order, within the limits of a pass. Work
// that starts at once does not wait for slots in the future: what the limits leave out is started
// where a task fits now (startLeftOut). It returns requests for the missing capacity.
func (p *partitionLeader) placeArrays(
	arrays []rankedJob, machines []*scheduling.Machine,
) []provisioning.CapacityRequest {
	p.placeLongWaiting(arrays, machines)
	placements := make([]arrayPlacement, len(arrays))
	tasks, searches := maxTasksPerPlan, maxSearchesPerPlan
	for i, r := range arrays {
		a := &placements[i]
		a.rankedJob = r
		a.waiting = p.allowedTasks(r.job)
		if tasks <= 0 || searches <= 0 {
			continue
		}
		searches -= p.placeArray(a, machines, tasks)
		tasks -= a.placed
	}
	p.startLeftOut(placements, machines)
	return p.arrayCapacityRequests(placements)
}

// placeLongWaiting places one task of each job that has waited longer than maxFirstTaskWait for
// its first task to start, ahead of all other array tasks. This deviates from the scheduling
// model (package scheduling, docs/design.md): the index ranks long overdue tasks behind all short
// ones, so that under sustained load such a job would never start.
func (p *partitionLeader) placeLongWaiting(arrays []rankedJob, machines []*scheduling.Machine) {
	var late []rankedJob
	for _, r := range arrays {
		j := r.job
		if p.core.wall-j.readySince > maxFirstTaskWait && len(j.activeAttempts) == 0 && j.completedCount() == 0 {
			late = append(late, r)
		}
	}
	slices.SortStableFunc(late, func(a, b rankedJob) int { return cmp.Compare(a.job.readySince, b.job.readySince) })
	searches := maxSearchesPerPlan
	p.plan.longWaiting.visit(late, func(r rankedJob) bool {
		if searches <= 0 {
			return false
		}
		a := arrayPlacement{rankedJob: r, waiting: p.allowedTasks(r.job)}
		searches -= p.placeArray(&a, machines, 1) // missing capacity is requested with the job's other tasks
		return true
	})
}

// placeArray places up to limit of an array's waiting tasks, and preempts other work if the job
// would miss a service-level objective. It returns the number of machines examined for slots.
func (p *partitionLeader) placeArray(
	a *arrayPlacement, machines []*scheduling.Machine, limit int,
) (searches int) {
	j := a.job
	now := p.core.now
	count := min(a.waiting, limit)
	startBy, hasObjective := p.startDeadline(a.rankedJob)
	boot := p.shortestBoot(j)
	missObjective := 0 // tasks that would start after the objective's deadline
	pending := j.pendingTasks.Len()
	a.placed = scheduling.Place(p.placementRequest(a.rankedJob, count), machines, func(s scheduling.Slot) {
		if s.Machine.Up && s.Start <= now {
			p.startTask(j, p.machines[s.Machine.Index], s.Length)
			return
		}
		if s.Start > startBy {
			missObjective++
		}
		// A machine requested now helps only tasks that would start after its boot. The
		// factor of 1.5 requests it before the slot is certain to be late: slots are based on
		// estimates, and machines requested only once these have proved too low arrive late by
		// a boot time and the backlog that has built up.
		if s.Start+s.Length*3/2 > a.queued.Due && s.Start > now+boot {
			a.tardy++
		}
	})
	a.complete = a.placed < count || count == a.waiting
	if hasObjective {
		p.preemptForObjective(a.rankedJob, missObjective+count-a.placed, startBy, anyTeam)
		p.preemptForObjective(a.rankedJob, min(pending-a.waiting, limit-a.placed), startBy, ownTeam)
	}
	if count <= 0 {
		return 0
	}
	return len(machines)
}

// startLeftOut starts tasks of the arrays that the limits of the pass left out, in their order, where
// a task can start now without delaying one that has a slot. Otherwise arrays that wait for one
// machine could take the whole pass, and others would wait while machines that fit them are
// empty. It has limits of its own, of which each array may take a half of what is left; where
// they end a pass, the next one continues. This deviates from the scheduling model, whose order
// has no limits.
func (p *partitionLeader) startLeftOut(placements []arrayPlacement, machines []*scheduling.Machine) {
	var leftOut []*arrayPlacement
	for i := range placements {
		if a := &placements[i]; !a.complete && a.left() > 0 {
			leftOut = append(leftOut, a)
		}
	}
	if len(leftOut) == 0 {
		p.plan.leftOut.reset()
		return
	}
	room := newFreeRoom(leftOut, machines)
	starts, searches, started := maxLeftOutStarts, maxSearchesPerPlan, 0
	p.plan.leftOut.visit(leftOut, func(a *arrayPlacement) bool {
		if starts <= 0 || searches <= 0 {
			return false
		}
		if !a.job.Resources.Fits(room.largest) {
			searches--
			return true
		}
		n := p.startNow(a, room.machines, (starts+1)/2)
		starts -= n
		started += n
		searches -= len(room.machines)
		return true
	})
	p.logPlanLimit(placements, leftOut, started)
}

// startNow starts up to limit of an array's tasks that have no slot, on machines that have room for
// them now. It returns the number of tasks started.
func (p *partitionLeader) startNow(a *arrayPlacement, machines []*scheduling.Machine, limit int) int {
	count := min(a.left(), p.quotaAllowance(a.job), limit)
	request := p.placementRequest(a.rankedJob, count)
	request.StartNow = true
	placed := scheduling.Place(request, machines, func(s scheduling.Slot) {
		// Tasks that were started in place of others in this pass are not on the timelines.
		if m := p.machines[s.Machine.Index]; a.job.Resources.Fits(m.freeResources()) {
			p.startTask(a.job, m, s.Length)
		}
	})
	a.placed += placed
	return placed
}

// freeRoom is the capacity that is free at the time of a planning pass, for the arrays that it left out.
type freeRoom struct {
	machines []*scheduling.Machine // those that may fit a task
	largest  workload.Resources    // upper bound of what is free on any machine
}

// newFreeRoom returns the machines that may fit a task of any of the arrays now.
func newFreeRoom(arrays []*arrayPlacement, machines []*scheduling.Machine) freeRoom {
	smallest := arrays[0].job.Resources
	for _, a := range arrays {
		smallest = smallest.Min(a.job.Resources)
	}
	var room freeRoom
	for _, m := range machines {
		if free := m.FreeNow(); m.Up && smallest.Fits(free) {
			room.machines = append(room.machines, m)
			room.largest = room.largest.Max(free)
		}
	}
	return room
}

// arrayCapacityRequests returns requests for the capacity that arrays miss, in their order.
func (p *partitionLeader) arrayCapacityRequests(placements []arrayPlacement) []provisioning.CapacityRequest {
	var requests []provisioning.CapacityRequest
	for i := range placements {
		a := &placements[i]
		if request, needed := p.arrayCapacityRequest(a.rankedJob, a.left()+a.tardy, p.shortestBoot(a.job)); needed {
			requests = append(requests, request)
		}
	}
	return requests
}
