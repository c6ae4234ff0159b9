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

// rankedJob is a job together with the data that determines its position in the queue.
type rankedJob struct {
	job    *job
	queued *scheduling.QueuedJob
	scheduling.Precedence
}

// schedule runs one planning pass if one is due: it places pending tasks on machine timelines and
// starts those whose slot begins now. Tasks that cannot be placed in time become capacity
// requests; machines that are not needed are drained.
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
		// Until all machines are reconciled, some jobs are held back and have no capacity
		// requests yet, so machines that they need would look unused.
		p.scaleIn()
		p.consolidate()
	}
	p.logFleet(services, arrays)
}

// countServiceReplicas counts the tasks of all services that are not blocked by dependencies,
// whether they run or not.
func (p *partitionLeader) countServiceReplicas() {
	for _, j := range p.jobs {
		if j.Kind == workload.Service && !j.blockedByDependencies {
			p.plan.serviceReplicas += j.Tasks
		}
	}
}

// checkReconciled reports whether all machines are reconciled. It adds the full capacity of each
// unreconciled machine to plan.unreconciledUsage, as an upper bound of what may run there.
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

// place places the tasks of the ranked jobs and starts those whose slot begins now. It returns
// requests for the missing capacity.
func (p *partitionLeader) place(services, arrays []rankedJob) []provisioning.CapacityRequest {
	machines := p.buildTimelines()
	requests := p.placeServices(services, machines)
	if request, needed := p.headroomRequest(); needed {
		requests = append(requests, request)
	}
	return append(requests, p.placeArrays(arrays, machines)...)
}

// rankJobs returns the jobs that have startable tasks, in the order in which they are placed:
// services by priority and age, arrays by scheduling.Precedence.
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

// startable reports whether the job has tasks that can start as soon as there is capacity.
func (p *partitionLeader) startable(j *job, unreconciled bool) bool {
	if j.pendingTasks.Len() == 0 || j.startsPausedUntil > p.core.now || j.cancelRequested || j.blockedByDependencies {
		return false
	}
	// Tasks of a job whose record is older than this leader's lease may run on an unreconciled
	// machine. None of its tasks starts until all machines are reconciled.
	return !unreconciled || j.modRevision >= p.lease.acquiredToken
}

// rank returns the job with everything that determines its position except for the index, which
// scheduling.Rank computes over all queued jobs.
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

// shortestBoot returns the shortest boot time of the instance types that can run the job's tasks;
// micros.Max if there is none.
func (p *partitionLeader) shortestBoot(j *job) micros.Time {
	shortest := micros.Max
	for _, t := range p.core.catalog.Types() {
		if j.AllowsInstanceType(t.Name) && j.Resources.Fits(t.Capacity) {
			shortest = min(shortest, t.Boot)
		}
	}
	return shortest
}

// placementRequest returns a request to place count tasks of a job.
func (p *partitionLeader) placementRequest(r rankedJob, count int) *scheduling.Request {
	j := r.job
	request := &scheduling.Request{
		Job:         j.Job,
		Weight:      r.queued.Weight,
		Estimate:    r.queued.Estimate,
		Due:         r.queued.Due,
		Count:       count,
		Now:         p.core.now,
		TasksByZone: j.activeTasksByZone(),
		PackLimit:   p.packLimit(),
	}
	if j.OneZone {
		for zone := range request.TasksByZone { // at most one
			request.Zone = zone
		}
	}
	return request
}

// packDivisor determines the share of all service replicas that may be lost with one machine
// (1/16). Up to it replicas are packed, so that other machines become free when their arrays end;
// beyond it they are spread. This deviates from the scheduling model, whose machines are never
// terminated.
const packDivisor = 16

// packLimit returns how many replicas are placed on a machine before others are preferred.
func (p *partitionLeader) packLimit() int { return p.plan.serviceReplicas / packDivisor }

// unlimited exceeds what any machine or fleet has of a resource.
const unlimited = 1 << 50

// quotaAllowance returns how many more tasks of the job its team's quota limit allows to run at
// once. Unreconciled machines count as fully used by the team.
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

// allowedTasks returns how many pending tasks of the job its team's quota limit allows to run.
func (p *partitionLeader) allowedTasks(j *job) int {
	return min(j.pendingTasks.Len(), p.quotaAllowance(j))
}

// startTask starts the job's next pending task on a machine. It reports whether it did: the task may
// already have an active attempt, or the machine may not be schedulable.
func (p *partitionLeader) startTask(j *job, m *machine, length micros.Time) bool {
	task := j.pendingTasks.Next(0)
	if task < 0 || j.activeAttempts[task] != nil || !p.schedulable(m) {
		return false
	}
	p.attemptCounter++
	number := attemptNumber(p.lease.fencingToken, p.attemptCounter)
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
	// Further tasks with this image can start sooner on this machine.
	m.useImage(j.Image, j.ImageGB)
	return true
}
