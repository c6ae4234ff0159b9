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

// maxTasksPerPlan bounds the tasks placed in one plan; the rest wait in index order.
const maxTasksPerPlan = 2000

// rankedJob is a job with its place in the order.
type rankedJob struct {
	job    *job
	queued *scheduling.QueuedJob
	scheduling.Precedence
}

// schedule plans the waiting tasks and starts those whose slot is now. What stays without a
// place in time becomes requests for capacity, and what is not needed is given up.
func (p *partitionLeader) schedule() {
	if p.core.catalog.Types() == nil || !p.plan.due(p.core.now) {
		return
	}
	p.plan.begin(p.core.now)
	p.core.lastPlanned = p
	p.countServiceReplicas()
	reconciled := p.checkReconciled()

	p.advanceShares(!reconciled)
	services, arrays := p.rankJobs(!reconciled)
	p.setCapacityRequests(p.place(services, arrays))
	if reconciled {
		// Jobs that wait for the last unreconciled machine have no requests yet, and will.
		p.scaleIn()
		p.consolidate()
	}
	p.logFleet(services, arrays)
}

// countServiceReplicas counts the tasks of services, running or not.
func (p *partitionLeader) countServiceReplicas() {
	for _, j := range p.jobs {
		if j.Kind == workload.Service && !j.blockedByDependencies {
			p.plan.serviceReplicas += j.Tasks
		}
	}
}

// checkReconciled tells whether all machines are reconciled, and counts what may run on those
// that are not.
func (p *partitionLeader) checkReconciled() bool {
	reconciled := true
	for _, m := range p.machines {
		if m.agent.Reconciled() {
			continue
		}
		reconciled = false
		if m.instanceType != nil {
			p.plan.unreconciledUsage = p.plan.unreconciledUsage.Add(m.instanceType.Capacity)
		}
	}
	if reconciled && !p.plan.allReconciled {
		p.plan.allReconciled = true
		p.core.log(messages.LevelInfo, "all machines reconciled", "partition", p.partition,
			"after_ms", (p.core.now-p.lease.acquiredAt)/micros.Millisecond)
	}
	return reconciled
}

// place places the tasks of ranked jobs, and starts those whose slot is now. It returns what
// capacity is missing.
func (p *partitionLeader) place(services, arrays []rankedJob) []provisioning.CapacityRequest {
	machines := p.buildTimelines()
	var requests []provisioning.CapacityRequest
	add := func(request provisioning.CapacityRequest, needed bool) {
		if needed {
			requests = append(requests, request)
		}
	}
	for _, r := range services {
		add(p.placeService(r, machines))
	}
	add(p.headroomRequest())
	p.placeLongWaiting(arrays, machines)
	budget := maxTasksPerPlan
	for _, r := range arrays {
		add(p.placeArray(r, machines, &budget))
	}
	return requests
}

// rankJobs are the jobs with tasks that may start, in the order in which they are placed:
// services by priority and age, arrays by the index and the exceptions from it.
func (p *partitionLeader) rankJobs(unreconciled bool) (services, arrays []rankedJob) {
	var queue []*scheduling.QueuedJob
	for _, j := range p.sortedJobs {
		j.runtime.estimate = 0
		if !p.startable(j, unreconciled) {
			continue
		}
		r := p.rank(j)
		j.plannedWithinGuarantee = j.plannedWithinGuarantee || r.WithinGuarantee
		if j.Kind == workload.Service {
			services = append(services, r)
		} else {
			arrays = append(arrays, r)
			queue = append(queue, r.queued)
		}
	}
	scheduling.Rank(queue, p.core.now)
	slices.SortStableFunc(services, func(a, b rankedJob) int {
		return cmp.Or(cmp.Compare(b.job.Priority, a.job.Priority), cmp.Compare(a.job.readySince, b.job.readySince))
	})
	slices.SortStableFunc(arrays, func(a, b rankedJob) int { return a.Compare(b.Precedence) })
	return services, arrays
}

// startable tells whether a job has tasks that may start once there is capacity.
func (p *partitionLeader) startable(j *job, unreconciled bool) bool {
	if j.pendingTasks.Len() == 0 || j.startsPausedUntil > p.core.now || j.cancelRequested || j.blockedByDependencies {
		return false
	}
	// Tasks of a job older than the lease may run on any unreconciled machine; nothing of it
	// starts until there is none.
	return !unreconciled || j.modRevision >= p.lease.acquiredToken
}

// rank is what places a job among the others, but for the index.
func (p *partitionLeader) rank(j *job) rankedJob {
	queued := p.queuedJob(j)
	return rankedJob{job: j, queued: queued, Precedence: scheduling.Precedence{
		WithinGuarantee: p.withinGuarantee(j),
		Lag:             p.fairShares.lagBeyondBound(flowOf(j.Job)),
		NearObjective:   p.nearObjective(j),
		ReadySince:      j.readySince,
		Queued:          queued,
	}}
}

// placeService places the waiting replicas of a service, and preempts for those that would
// wait. Missing capacity is urgent.
func (p *partitionLeader) placeService(
	r rankedJob, machines []*scheduling.Machine,
) (missing provisioning.CapacityRequest, needed bool) {
	j := r.job
	count := min(j.pendingTasks.Len(), p.quotaAllowance(j))
	placed := scheduling.Place(p.placementRequest(r, count), machines, func(s scheduling.Slot) {
		m := p.machines[s.Machine.Index]
		if s.Machine.Up && s.Start <= p.core.now && p.startTask(j, m, scheduling.Forever) {
			return
		}
		p.preemptFor(j, s.Start)
	})
	for range count - placed {
		p.preemptFor(j, micros.Max)
	}
	if placed == count {
		return missing, false
	}
	missing = p.capacityRequest(j, count-placed)
	missing.Urgent = true
	return missing, true
}

// maxFirstTaskWait is how long a job waits for the start of its first task before
// that task goes ahead of the index.
const maxFirstTaskWait = 120 * micros.Second

// placeLongWaiting places the first task of the jobs that have waited long for it,
// before all others. Exception to the design: the index ranks what is long and
// late behind all that is short, under load for ever, and every job is to begin.
func (p *partitionLeader) placeLongWaiting(arrays []rankedJob, machines []*scheduling.Machine) {
	var late []rankedJob
	for _, r := range arrays {
		j := r.job
		if p.core.wall-j.readySince > maxFirstTaskWait && len(j.activeAttempts) == 0 && j.completedCount() == 0 {
			late = append(late, r)
		}
	}
	slices.SortStableFunc(late, func(a, b rankedJob) int { return cmp.Compare(a.job.readySince, b.job.readySince) })
	for _, r := range late {
		budget := 1
		p.placeArray(r, machines, &budget) // what it lacks is asked for with the job's other tasks
	}
}

// placeArray places as many of an array's waiting tasks as the budget of this plan allows, and
// preempts for an objective that would be missed. It returns the capacity missing for its due
// date.
func (p *partitionLeader) placeArray(
	r rankedJob, machines []*scheduling.Machine, budget *int,
) (missing provisioning.CapacityRequest, needed bool) {
	j := r.job
	now := p.core.now
	allowed := p.quotaAllowance(j)
	waiting := j.pendingTasks.Len()
	count := min(waiting, allowed, *budget)
	startBy, hasObjective := p.startDeadline(r)
	boot := p.shortestBoot(j)
	missObjective := 0 // tasks that would start later than an objective wants
	tardy := 0         // tasks that would end late, and for which a new machine is there in time
	placed := scheduling.Place(p.placementRequest(r, count), machines, func(s scheduling.Slot) {
		if s.Machine.Up && s.Start <= now {
			p.startTask(j, p.machines[s.Machine.Index], s.Length)
			return
		}
		if s.Start > startBy {
			missObjective++
		}
		// A machine requested now helps only tasks that would start after its boot.
		// It is requested before a slot is surely too late: the slots are reckoned with
		// estimates, and a fleet that is requested when these have shown to be too low
		// comes a boot and a backlog too late.
		if s.Start+s.Length*3/2 > r.queued.Due && s.Start > now+boot {
			tardy++
		}
	})
	*budget -= placed
	if hasObjective {
		p.preemptForObjective(r, missObjective+count-placed, startBy, anyTeam)
		p.preemptForObjective(r, min(waiting-allowed, *budget), startBy, ownTeam)
	}
	return p.arrayCapacityRequest(r, min(waiting, allowed)-placed+tardy, boot)
}

// shortestBoot is how long the quickest instance type that takes the job's tasks takes to boot.
func (p *partitionLeader) shortestBoot(j *job) micros.Time {
	shortest := micros.Max
	for _, t := range p.core.catalog.Types() {
		if j.AllowsInstanceType(t.Name) && j.Resources.Fits(t.Capacity) {
			shortest = min(shortest, t.Boot)
		}
	}
	return shortest
}

// placementRequest is the request to place a number of a job's tasks.
func (p *partitionLeader) placementRequest(r rankedJob, count int) *scheduling.Request {
	j := r.job
	request := &scheduling.Request{
		Job:         j.Job,
		Weight:      r.queued.Weight,
		Estimate:    r.queued.Estimate,
		Due:         r.queued.Due,
		Count:       count,
		Now:         p.core.now,
		TasksByZone: map[string]int{},
		PackLimit:   p.packLimit(),
	}
	for _, a := range j.activeAttempts {
		request.TasksByZone[a.machine.record.Zone]++
		if j.OneZone {
			request.Zone = a.machine.record.Zone
		}
	}
	return request
}

// packDivisor is the part of all replicas that may be lost with one machine: below
// it they are packed, so that machines become free when the arrays end; above it
// they are spread. Exception to the design, whose gaps know no machines that end.
const packDivisor = 16

// packLimit is how many replicas a machine takes before others are preferred.
func (p *partitionLeader) packLimit() int { return p.plan.serviceReplicas / packDivisor }

// unlimited is more of each resource than there is anywhere.
const unlimited = 1 << 50

// quotaAllowance is how many more tasks of the job its team's quota limit allows at once:
// a machine that is not reconciled counts at its worst.
func (p *partitionLeader) quotaAllowance(j *job) int {
	t := p.core.teams[j.Team]
	if t == nil {
		return 0
	}
	used := p.teamUsage[j.Team]
	if t.LimitCPU >= 0 || t.LimitGPU >= 0 {
		used = used.Add(p.plan.unreconciledUsage)
	}
	free := workload.Resources{CPU: unlimited, GPU: unlimited, Mem: unlimited}
	if t.LimitCPU >= 0 {
		free.CPU = t.LimitCPU - used.CPU
	}
	if t.LimitGPU >= 0 {
		free.GPU = t.LimitGPU - used.GPU
	}
	return int(j.Resources.Count(free))
}

// startTask starts the job's next waiting task on a machine, if it may be started there.
func (p *partitionLeader) startTask(j *job, m *machine, length micros.Time) bool {
	task := j.pendingTasks.Next(0)
	if task < 0 || j.activeAttempts[task] != nil || !p.schedulable(m) {
		return false
	}
	p.attemptCounter++
	number := p.lease.fencingToken<<20 + p.attemptCounter
	a := &attempt{
		id:              messages.AttemptID{Job: j.ID, Task: task, Number: number},
		machine:         m,
		job:             j,
		team:            j.Team,
		resources:       j.Resources,
		createdAt:       p.core.now,
		plannedDuration: length,
		startedHere:     true,
	}
	a.index()
	j.activeAttempts[task] = a
	j.pendingTasks.Remove(task)
	p.reserve(a)
	m.commands.Add(messages.Command{Operation: messages.Start, AttemptID: a.id})
	// Other tasks of the image need not wait for it as long.
	m.useImage(j.Image, j.ImageGB)
	return true
}
