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

const (
	// minPlanInterval bounds how often the timelines are rebuilt.
	minPlanInterval = 100 * micros.Millisecond
	// planTimeDivisor bounds the part of the time that is spent on it: the next plan comes
	// this many times as late as the last one took.
	planTimeDivisor = 20
	// maxPlanInterval is how often they are rebuilt without a change: estimates of
	// running tasks run out, and slots come due.
	maxPlanInterval = 1000 * micros.Millisecond
	// maxTasksPerPlan bounds the tasks placed in one plan; the rest wait in index order.
	maxTasksPerPlan = 2000
)

// rankedJob is a job with its place in the order.
type rankedJob struct {
	job    *job
	queued *scheduling.QueuedJob
	scheduling.Precedence
}

// schedule plans the waiting tasks and starts those whose slot is now.
func (p *partitionLeader) schedule() {
	now := p.core.now
	if p.core.catalog == nil || now-p.plan.lastRunAt < p.plan.interval || (!p.plan.stale && now-p.plan.lastRunAt < maxPlanInterval) {
		return
	}
	p.plan.lastRunAt, p.plan.stale = now, false
	p.plan.inheritedUrgency = nil
	p.core.lastPlanned = p
	clear(p.plan.preemptionFailed)
	p.plan.serviceReplicas = 0
	for _, j := range p.jobs {
		if j.Kind == workload.Service && !j.blockedByDependencies {
			p.plan.serviceReplicas += j.Tasks
		}
	}
	silent := slices.ContainsFunc(p.machines, func(m *machine) bool { return !m.agent.Reconciled() })
	p.plan.unreconciledUsage = workload.Resources{}
	for _, m := range p.machines {
		if !m.agent.Reconciled() && m.instanceType != nil {
			p.plan.unreconciledUsage = p.plan.unreconciledUsage.Add(m.instanceType.Capacity)
		}
	}
	if !silent && !p.plan.allReconciled {
		p.plan.allReconciled = true
		p.core.log(messages.LevelInfo, "all machines reconciled", "partition", p.partition, "after_ms", (now-p.lease.acquiredAt)/micros.Millisecond)
	}

	p.advanceShares(silent)
	services, arrays := p.rankJobs(silent)
	machines := p.buildTimelines()
	var needs []provisioning.CapacityRequest
	for _, r := range services {
		needs = append(needs, p.placeService(r, machines)...)
	}
	needs = append(needs, p.headroomRequests()...)
	p.placeLongWaiting(arrays, machines)
	left := maxTasksPerPlan
	for _, r := range arrays {
		needs = append(needs, p.placeArray(r, machines, &left)...)
	}
	needs = mergeCapacityRequests(needs)
	if len(needs) > 0 && !slices.EqualFunc(needs, p.plan.capacityRequests, sameCapacityRequest) {
		p.core.status.soon = true // the leader is to hear of them soon
	}
	p.plan.capacityRequests = needs
	if !silent {
		// Jobs that wait for the last silent machine have no needs yet, and will.
		p.scaleIn()
		p.consolidate()
	}
	p.logFleet(services, arrays)
}

// rankJobs are the jobs with tasks that may start, in the order in which they are placed:
// services by priority and age, arrays by the index, after what is guaranteed.
func (p *partitionLeader) rankJobs(silent bool) (services, arrays []rankedJob) {
	now := p.core.now
	var queue []*scheduling.QueuedJob
	for _, j := range p.sortedJobs {
		j.runtime.estimate = 0
		if !p.startable(j, silent) {
			continue
		}
		r := rankedJob{job: j, queued: p.indexInput(j)}
		r.Precedence = scheduling.Precedence{WithinGuarantee: p.withinGuarantee(j), Lag: p.lagBeyondBound(j), NearObjective: p.nearObjective(j), ReadySince: j.readySince, Queued: r.queued}
		j.plannedWithinGuarantee = j.plannedWithinGuarantee || r.WithinGuarantee
		if j.Kind == workload.Service {
			services = append(services, r)
		} else {
			arrays = append(arrays, r)
			queue = append(queue, r.queued)
		}
	}
	scheduling.Rank(queue, now)
	slices.SortStableFunc(services, func(a, b rankedJob) int {
		return cmp.Or(cmp.Compare(b.job.Priority, a.job.Priority), cmp.Compare(a.job.readySince, b.job.readySince))
	})
	slices.SortStableFunc(arrays, func(a, b rankedJob) int { return a.Precedence.Compare(b.Precedence) })
	return services, arrays
}

// fleetLogInterval is how often the state of the fleet is logged.
const fleetLogInterval = 10 * micros.Second

// logFleet tells the operator what the queue's machines do, in CPU.
func (p *partitionLeader) logFleet(services, arrays []rankedJob) {
	if p.core.now-p.plan.fleetLoggedAt < fleetLogInterval {
		return
	}
	p.plan.fleetLoggedAt = p.core.now
	waiting := 0
	for _, list := range [][]rankedJob{services, arrays} {
		for _, r := range list {
			waiting += r.job.pendingTasks.Len()
		}
	}
	for _, spot := range []bool{false, true} {
		var machines, booting, leaving int
		var total, boot, services, running, fetching int64
		for _, m := range p.machines {
			if m.record.Spot != spot || m.instanceType == nil {
				continue
			}
			machines++
			total += m.instanceType.Capacity.CPU
			if !m.agent.HeardFrom() {
				booting++
				boot += m.instanceType.Capacity.CPU
			}
			if m.drain.reason != notDraining {
				leaving++
			}
			for _, a := range m.attempts {
				switch {
				case a.state == messages.Exited:
				case a.job != nil && a.job.Kind == workload.Service:
					services += a.resources.CPU
				case a.state == messages.Fetching:
					fetching += a.resources.CPU
				default:
					running += a.resources.CPU
				}
			}
		}
		p.core.log(messages.LevelDebug, "fleet summary", "partition", p.partition, "spot", spot, "machines", machines, "booting", booting, "draining", leaving, "cpu", total/1000,
			"cpu_booting", boot/1000, "cpu_services", services/1000, "cpu_running", running/1000, "cpu_starting", fetching/1000,
			"tasks_waiting", waiting)
	}
}

// indexInput is what the index needs of a job's waiting tasks. A job with no
// deadline takes d = arrival + 2p.
func (p *partitionLeader) indexInput(j *job) *scheduling.QueuedJob {
	estimate := p.estimate(j)
	after := p.inheritFromDependents(j.ID)
	q := &scheduling.QueuedJob{Weight: scheduling.Weight(max(j.Priority, after.priority)), Estimate: estimate, Count: j.pendingTasks.Len()}
	due := micros.Max // time of day
	if j.Deadline > 0 {
		due = j.Submitted + j.Deadline
	}
	if due = min(due, after.due); due != micros.Max {
		// A job is done with its slowest task: the slack has to do for that one.
		due -= micros.Time(float64(estimate) * (p.core.runtimes.TailRatio(j.Class) - 1) / 2)
	} else {
		due = j.readySince + 2*estimate
	}
	q.Due = p.core.now - p.core.wall + due
	return q
}

// estimateWeight is how many completed tasks of a job weigh as much as its estimate.
const estimateWeight = 2

// estimate is a task's run time as known by now: the owner's estimate, corrected
// by what the class shows, and by the job's own tasks, completed or running
// longer than that. Exception to the design, which takes run times as known.
func (p *partitionLeader) estimate(j *job) micros.Time {
	if j.runtime.estimate > 0 && j.runtime.estimatedAt == p.plan.lastRunAt {
		return j.runtime.estimate // once a plan
	}
	estimate := p.core.runtimes.Estimate(j.Job)
	estimate = (estimate*estimateWeight + j.runtime.total) / micros.Time(estimateWeight+j.runtime.samples)
	for _, a := range j.activeAttempts {
		if a.state == messages.Running && a.runningSince > 0 {
			estimate = max(estimate, p.core.now-a.runningSince)
		}
	}
	j.runtime.estimate, j.runtime.estimatedAt = estimate, p.plan.lastRunAt
	return estimate
}

// buildTimelines builds the timelines from what runs.
func (p *partitionLeader) buildTimelines() []*scheduling.Machine {
	now := p.core.now
	var out []*scheduling.Machine
	for i, m := range p.machines {
		if m.instanceType == nil || m.lifecycle.startsPausedUntil > now {
			continue
		}
		up := p.schedulable(m)
		if !up && !p.expectedToBoot(m) {
			continue
		}
		from := now
		if !up {
			// Boot times vary; one that is overdue is taken to be there soon.
			from = max(now+2*micros.Second, m.lifecycle.addedAt+m.instanceType.Boot)
		}
		pm := &scheduling.Machine{Index: i, Type: m.instanceType, Zone: m.record.Zone, Spot: m.record.Spot, Up: up, Slowness: m.runtime.Slowness(),
			Timeline: scheduling.NewTimeline(from, m.instanceType.Capacity), HasImage: m.images.Has}
		if m.record.Spot {
			pm.LossRate = p.core.spot.rate()
		}
		for _, a := range m.attempts { // in any order: the sums are the same
			if a.state == messages.Exited {
				continue
			}
			if a.job != nil && a.job.Kind == workload.Service {
				pm.Replicas++
			}
			pm.Timeline.Reserve(a.resources, from, p.remaining(a))
		}
		out = append(out, pm)
	}
	return out
}

// expectedToBoot tells whether a machine that is not up can be counted on to boot.
func (p *partitionLeader) expectedToBoot(m *machine) bool {
	if m.drain.reason != notDraining || m.lifecycle.preemptAt != 0 {
		return false
	}
	if m.agent.HeardFrom() {
		return m.agent.Reconciled() && !m.agent.LeaseExpired() && p.core.now-m.contact.LastContact() < p.suspicionTimeout() // about to be usable
	}
	return !m.record.Used && !p.detector.ZoneUnreachable(m.record.Zone) && p.core.now-m.lifecycle.addedAt < m.instanceType.Boot*3/2
}

// justBooted tells whether a machine reported for the first time a moment ago, so that
// nothing has reached it yet. The spare room for services counts it: missing for that
// moment, it would be rented once more at every boot, and another be given back.
func (p *partitionLeader) justBooted(m *machine) bool {
	return m.drain.reason == notDraining && m.lifecycle.preemptAt == 0 && m.agent.Reconciled() && !m.agent.LeaseExpired() && m.agent.BootedWithin(p.suspicionTimeout(), p.core.now)
}

// remaining is how much longer an attempt is expected to take its room.
func (p *partitionLeader) remaining(a *attempt) micros.Time {
	switch {
	case a.stop.ordered:
		return a.stop.gracePeriod + micros.Second/2
	case a.job == nil:
		return micros.Second
	case a.job.Kind == workload.Service:
		return scheduling.Forever
	}
	estimate := p.estimate(a.job)
	if a.runningSince == 0 {
		return max(estimate, a.createdAt+a.plannedDuration-p.core.now)
	}
	// An overdue task is taken to need a part of its estimate more.
	return max(estimate/4, estimate-(p.core.now-a.runningSince))
}

// placementRequest is the planner's request for one job.
func (p *partitionLeader) placementRequest(r rankedJob, count int) *scheduling.Request {
	j := r.job
	q := &scheduling.Request{Job: j.Job, Weight: r.queued.Weight, Estimate: r.queued.Estimate, Due: r.queued.Due, Count: count, Now: p.core.now, TasksByZone: map[string]int{}, PackLimit: p.packLimit()}
	for _, a := range j.activeAttempts {
		q.TasksByZone[a.machine.record.Zone]++
		if j.OneZone {
			q.Zone = a.machine.record.Zone
		}
	}
	return q
}

// quotaAllowance is how many more tasks of the job its team's limit allows at once:
// a machine whose tasks are not known counts at its worst.
func (p *partitionLeader) quotaAllowance(j *job) int {
	t := p.core.teams[j.Team]
	if t == nil {
		return 0
	}
	use := p.teamUsage[j.Team]
	if t.LimitCPU >= 0 || t.LimitGPU >= 0 {
		use = use.Add(p.plan.unreconciledUsage)
	}
	free := workload.Resources{CPU: 1 << 50, GPU: 1 << 50, Mem: 1 << 50}
	if t.LimitCPU >= 0 {
		free.CPU = t.LimitCPU - use.CPU
	}
	if t.LimitGPU >= 0 {
		free.GPU = t.LimitGPU - use.GPU
	}
	return int(j.Resources.Count(free))
}

// startTask starts the job's next waiting task on a machine.
func (p *partitionLeader) startTask(j *job, m *machine, length micros.Time) bool {
	t := j.pendingTasks.Next(0)
	if t < 0 || j.activeAttempts[t] != nil || !p.schedulable(m) {
		return false
	}
	p.attemptCounter++
	a := &attempt{id: messages.AttemptID{Job: j.ID, Task: t, Number: p.lease.fencingToken<<20 + p.attemptCounter}, machine: m, job: j, team: j.Team, resources: j.Resources,
		createdAt: p.core.now, plannedDuration: length, startedHere: true}
	a.index()
	j.activeAttempts[t] = a
	j.pendingTasks.Remove(t)
	p.reserve(a)
	m.commands.Add(messages.Command{Operation: messages.Start, AttemptID: a.id})
	// Other tasks of the image need not wait for it as long.
	m.useImage(j.Image, j.ImageGB)
	return true
}

func (p *partitionLeader) placeService(r rankedJob, machines []*scheduling.Machine) []provisioning.CapacityRequest {
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
	if missing := count - placed; missing > 0 {
		n := p.capacityRequest(j, missing)
		n.Urgent = true
		return []provisioning.CapacityRequest{n}
	}
	return nil
}

// capacityRequest is what a rental for tasks of the job has to offer.
func (p *partitionLeader) capacityRequest(j *job, count int) provisioning.CapacityRequest {
	n := provisioning.CapacityRequest{Resources: j.Resources, Count: count, Spot: j.Spot, InstanceTypes: j.InstanceTypes, Zone: j.Zone,
		Service: j.Kind == workload.Service, Hold: micros.Time(p.core.config.Operator.IdleKeepS) * micros.Second}
	if n.Service {
		n.Hold *= 4
		n.Replicas = p.plan.serviceReplicas
	}
	return n
}

func (p *partitionLeader) placeArray(r rankedJob, machines []*scheduling.Machine, left *int) []provisioning.CapacityRequest {
	j := r.job
	now := p.core.now
	allowed := p.quotaAllowance(j)
	waiting := j.pendingTasks.Len()
	count := min(waiting, allowed, *left)
	tardy := 0
	by, wanted := p.startDeadline(r)
	late := 0 // tasks that would start later than an objective wants
	boot := micros.Max
	for _, t := range p.core.catalog {
		if j.AllowsInstanceType(t.Name) && j.Resources.Fits(t.Capacity) {
			boot = min(boot, t.Boot)
		}
	}
	placed := scheduling.Place(p.placementRequest(r, count), machines, func(s scheduling.Slot) {
		m := p.machines[s.Machine.Index]
		if s.Machine.Up && s.Start <= now {
			p.startTask(j, m, s.Length)
			return
		}
		if s.Start > by {
			late++
		}
		// A machine rented now helps only tasks that would start after its boot.
		// It is rented before a slot is surely too late: the slots are reckoned with
		// estimates, and a fleet that is rented when these have shown to be too low
		// comes a boot and a backlog too late.
		if s.Start+s.Length*3/2 > r.queued.Due && s.Start > now+boot {
			tardy++
		}
	})
	*left -= placed
	if wanted {
		p.preemptForObjective(r, late+count-placed, by, false)
		p.preemptForObjective(r, min(waiting-allowed, *left), by, true)
	}
	short := min(waiting, allowed) - placed + tardy
	if short <= 0 {
		return nil
	}
	// What does not fit in time: so many slots that the waves on new machines end
	// by the deadline, or, if that is over anyway, all at once.
	waves := max(1, min(4, (r.queued.Due-now-boot)/max(1, r.queued.Estimate)))
	return []provisioning.CapacityRequest{p.capacityRequest(j, (short+int(waves)-1)/int(waves))}
}

func sameCapacityRequest(a, b provisioning.CapacityRequest) bool {
	return a.Count == b.Count && a.Resources == b.Resources && a.Service == b.Service && a.Urgent == b.Urgent
}

func mergeCapacityRequests(needs []provisioning.CapacityRequest) []provisioning.CapacityRequest {
	var out []provisioning.CapacityRequest
	for _, n := range needs {
		i := slices.IndexFunc(out, func(o provisioning.CapacityRequest) bool {
			return o.Resources == n.Resources && o.Spot == n.Spot && o.Zone == n.Zone && o.Service == n.Service && o.Urgent == n.Urgent && slices.Equal(o.InstanceTypes, n.InstanceTypes)
		})
		if i >= 0 {
			out[i].Count += n.Count
		} else if len(out) < 32 {
			out = append(out, n)
		}
	}
	return out
}
