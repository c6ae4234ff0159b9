package coordination

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// partitionLeader plans one queue and directs its machines, under one lease.
type partitionLeader struct {
	core          *Core
	partition     int
	acquiredToken uint64 // version at the change of holder: older jobs may be on silent machines
	fencingToken  uint64 // version now: the fencing token
	formerLeaders []storage.Process
	acquiredAt    micros.Time

	machines       []*machine // by name
	sortedJobs     []*job     // by id
	jobs           map[string]*job
	teamUsage      map[string]workload.Resources // by team
	attemptCounter uint64

	planStale        bool
	lastPlanAt       micros.Time
	planInterval     micros.Time              // until the next plan
	serviceReplicas  int                      // service tasks, running or not, as of lastPlanAt
	preemptionFailed map[preemptionShape]bool // of this plan
	capacityRequests []provisioning.CapacityRequest
	// unreconciledUsage is what machines whose tasks are not known may be running, in this plan.
	unreconciledUsage workload.Resources
	lastTick          micros.Time
	silenceCountsFrom micros.Time // silence is judged from then on
	// Until then, silence is put down to the network near this controller.
	networkSuspectUntil       micros.Time
	zones                     map[string]*zoneHealth // of machines in use
	zonesCheckedAt            micros.Time            // last look at them
	ignoredHeartbeatLoggedAt  micros.Time            // last report told as not believed
	progressCursor            string                 // the job with which the next message on progress begins
	allReconciled             bool                   // all machines are known, or were
	fleetLoggedAt             micros.Time
	consolidatedAt            micros.Time            // last look at surplus machines
	replicaMovedAt            micros.Time            // last move of a replica
	recentArrayCPU            int64                  // CPU that arrays used of late
	probeQueue                []*machine             // of this tick
	healthSummary             *fleetHealth           // of this tick
	sendRound                 int                    // counts rounds of sending
	useWriteAfter             map[string]micros.Time // blocks whose record of use is being written, or was: not again before
	pendingKills              []*attempt             // of cancelled jobs, not shown gone
	unresolvedDependencies    map[string]micros.Time // needed jobs that are not in memory: not looked up before
	lookupsInFlight           int                    // look-ups that are out
	dependencyCancellations   map[string]bool        // cancelled with a job before them, which is to be written down
	cancellationWriteInFlight bool
	nextCancellationWriteAt   micros.Time
	inheritedUrgency          map[string]inheritedUrgency // of this plan
	fairShares                *fairShares                 // nil: off
}

// job is an active job of the queue.
type job struct {
	*workload.Job
	modRevision            uint64
	record                 *storage.JobEntry
	pendingTasks           *workload.Bitmap
	unpersistedTasks       *workload.Bitmap // finished, not known to be stored
	activeAttempts         map[int]*attempt
	attempts               map[*attempt]struct{} // all that machines may still show, ended ones included
	dirtySegments          map[int]bool          // with pending tasks
	writeInFlight          bool
	nextWriteAt            micros.Time
	startsPausedUntil      micros.Time // no starts before
	runtimeTotal           micros.Time // run times of its completed tasks, added up
	runtimeSamples         int
	estimate               micros.Time // estimate of a task as of estimatedAt
	estimatedAt            micros.Time
	plannedWithinGuarantee bool             // it was within its team's guarantee when it was planned
	preemptedOnce          *workload.Bitmap // stopped once for another job, and not again
	duplicateAttempts      []*attempt       // second attempts at a live task, being stopped
	cancelRequested        bool             // a sibling knows it to be cancelled: it starts nothing any more
	blockedByDependencies  bool             // it waits on others
	readySince             micros.Time      // time of day since which it may start
}

func (j *job) taskCompleted(task int) bool {
	return j.unpersistedTasks.Has(task) || (j.record.Completed != nil && j.record.Completed.Has(task))
}

func (j *job) completedCount() int {
	n := j.unpersistedTasks.Len()
	if j.record.Completed != nil {
		n += j.record.Completed.Len()
		for t := j.unpersistedTasks.Next(0); t >= 0; t = j.unpersistedTasks.Next(t + 1) {
			if j.record.Completed.Has(t) {
				n--
			}
		}
	}
	return n
}

// attempt is one attempt at a task, on its machine.
type attempt struct {
	id               AttemptID
	machine          *machine
	job              *job // nil: the job is over or unknown
	team             string
	resources        workload.Resources
	state            TaskState
	reported         bool // a report showed it
	persisted        bool // nothing more is to be kept of it
	startSent        bool // its start went out, or a report showed it
	startsInFlight   int  // sends of its start without an answer yet
	startsUnanswered int  // sends of its start that got no answer: they may come late
	createdAt        micros.Time
	runningSince     micros.Time // since when
	plannedDuration  micros.Time // planned
	stopping         bool
	gracePeriod      micros.Time
	stoppedAt        micros.Time // when the stop was first ordered
	startedHere      bool        // started by this holder
	killDeadline     micros.Time // of a cancelled job: when it must be shown gone; 0: it is not
}

func newPartitionLeader(c *Core, n int, v storage.Versioned[storage.PartitionRecord]) *partitionLeader {
	h := &partitionLeader{core: c, partition: n, acquiredToken: v.ModRevision, fencingToken: v.ModRevision, formerLeaders: v.Value.FormerLeaders, acquiredAt: c.now,
		jobs: map[string]*job{}, teamUsage: map[string]workload.Resources{}, planStale: true, lastTick: c.now,
		silenceCountsFrom: c.now, planInterval: minPlanInterval, preemptionFailed: map[preemptionShape]bool{}, zones: map[string]*zoneHealth{}, useWriteAfter: map[string]micros.Time{},
		unresolvedDependencies: map[string]micros.Time{}, dependencyCancellations: map[string]bool{}}
	for _, id := range sortedKeys(c.cache.Machines) {
		h.machineChanged(id)
	}
	for _, id := range sortedKeys(c.cache.Jobs) {
		h.jobChanged(id)
	}
	h.inheritUnreachableZones()
	h.fairShares = c.newFairShares(n)
	return h
}

func (c *Core) partitionOfJob(j *workload.Job) int {
	if t := c.teams[j.Team]; t != nil {
		return t.Partition
	}
	return 0
}

// renewToken takes a new token under the same lease: every machine has to
// acknowledge it before it is given commands again.
func (p *partitionLeader) renewToken(v uint64) {
	if v != p.fencingToken {
		p.fencingToken = v
		p.planStale = true
	}
}

// reconcileSnapshot compares everything with a fresh copy of the state.
func (p *partitionLeader) reconcileSnapshot(old *storage.Cache) {
	for _, id := range sortedKeys(old.Jobs) {
		p.jobChanged(id)
	}
	for _, id := range sortedKeys(p.core.cache.Jobs) {
		p.jobChanged(id)
	}
	for _, id := range sortedKeys(old.Machines) {
		p.machineChanged(id)
	}
	for _, id := range sortedKeys(p.core.cache.Machines) {
		p.machineChanged(id)
	}
}

func (p *partitionLeader) machineChanged(id string) {
	v, ok := p.core.cache.Machines[id]
	m := p.machine(id)
	switch {
	case !ok || v.Value.Partition != p.partition:
		// The leader removes a block only after the cloud confirmed that the
		// machine is gone, and a block moves only after its holder let go.
		p.machineTerminated(id)
	case m == nil:
		m = &machine{id: id, record: v.Value, modRevision: v.ModRevision, address: v.Value.Address, addedAt: p.core.now, lastContact: p.core.now,
			attempts: map[AttemptID]*attempt{}, idleSince: p.core.now}
		// Nobody starts tasks on a machine before the record says so, and a block
		// that came after the lease was never a predecessor's.
		m.reconciled = !v.Value.Used || v.ModRevision > p.acquiredToken
		i, _ := slices.BinarySearchFunc(p.machines, id, func(m *machine, id string) int { return cmp.Compare(m.id, id) })
		p.machines = slices.Insert(p.machines, i, m)
		p.planStale = true
	default:
		m.record, m.modRevision = v.Value, v.ModRevision
		p.planStale = true
	}
}

func (p *partitionLeader) machineTerminated(id string) {
	m := p.machine(id)
	if m == nil {
		return
	}
	if m.record.Spot && m.epoch != 0 && (m.drainReason == "silent" || m.preemptAt != 0) {
		p.core.spot.losses++
	}
	p.clearAttempts(m)
	p.machines = slices.DeleteFunc(p.machines, func(o *machine) bool { return o == m })
	p.core.faults.ForgetMachine(id)
	p.planStale = true
	p.core.log(levelInfo, "machine gone", "machine", id, "why", m.drainReason)
}

// clearAttempts notes that the machine surely has none of the tasks known so far.
func (p *partitionLeader) clearAttempts(m *machine) {
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		p.release(a)
		p.requeue(a)
		a.unindex()
	}
	m.outbox = nil
	m.reconciled = true
	m.ackedToken = 0
	if m.idleSince == 0 {
		m.idleSince = p.core.now
	}
	p.planStale = true
}

func sortedAttempts(m *machine) []AttemptID {
	out := make([]AttemptID, 0, len(m.attempts))
	for id := range m.attempts {
		out = append(out, id)
	}
	slices.SortFunc(out, AttemptID.compare)
	return out
}

// sortedAttempts are the job's attempts by machine, so that a run can be repeated.
func (j *job) sortedAttempts() []*attempt {
	out := slices.Collect(maps.Keys(j.attempts))
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.machine.id, b.machine.id), a.id.compare(b.id))
	})
	return out
}

// index notes an attempt under its machine and its job: what concerns a job must not
// look at every machine of the fleet.
func (a *attempt) index() {
	a.machine.attempts[a.id] = a
	if a.job != nil {
		a.job.attempts[a] = struct{}{}
	}
}

// unindex is the opposite of remember.
func (a *attempt) unindex() {
	delete(a.machine.attempts, a.id)
	if a.job != nil {
		delete(a.job.attempts, a)
	}
}

func (id AttemptID) compare(o AttemptID) int {
	return cmp.Or(cmp.Compare(id.Job, o.Job), cmp.Compare(id.Task, o.Task), cmp.Compare(id.Number, o.Number))
}

func (p *partitionLeader) jobChanged(id string) {
	e := p.core.cache.Jobs[id]
	j := p.jobs[id]
	if e != nil && e.CancelledByDependency && e.Job.Phase == workload.Active && p.core.partitionOfJob(e.Job) == p.partition {
		p.dependencyCancellations[id] = true
	}
	if e == nil || e.Job.Phase != workload.Active || e.CancelledByDependency || p.core.partitionOfJob(e.Job) != p.partition {
		if j != nil {
			p.jobTerminated(j)
		}
		return
	}
	if j != nil {
		j.record, j.modRevision = e, e.ModRevision
		p.updateDependencies(j)
		return
	}
	j = &job{Job: e.Job, modRevision: e.ModRevision, record: e, pendingTasks: workload.NewBitmap(e.Job.Tasks),
		unpersistedTasks: workload.NewBitmap(e.Job.Tasks), activeAttempts: map[int]*attempt{}, attempts: map[*attempt]struct{}{}, dirtySegments: map[int]bool{},
		preemptedOnce: workload.NewBitmap(e.Job.Tasks)}
	for t := range e.Job.Tasks {
		if !j.taskCompleted(t) {
			j.pendingTasks.Add(t)
		}
	}
	j.readySince = j.Submitted
	j.blockedByDependencies = j.HasDependencies()
	p.jobs[id] = j
	i, _ := slices.BinarySearchFunc(p.sortedJobs, id, func(o *job, id string) int { return cmp.Compare(o.ID, id) })
	p.sortedJobs = slices.Insert(p.sortedJobs, i, j)
	_, j.cancelRequested = p.core.cancellations.requested[id]
	j.cancelRequested = j.cancelRequested || p.core.cancellations.noticed[id]
	p.updateDependencies(j)
	p.planStale = true
	p.core.log(levelDebug, "job", "job", id, "class", j.Class, "tasks", j.Tasks, "cpu", j.Resources.CPU, "estimate_ms", j.Estimate/micros.Millisecond,
		"due_ms", j.Deadline/micros.Millisecond)
}

// jobTerminated ends what is left of a job that is done or cancelled.
func (p *partitionLeader) jobTerminated(j *job) {
	cancelled := p.core.isCancelled(j.ID)
	delete(p.jobs, j.ID)
	p.sortedJobs = slices.DeleteFunc(p.sortedJobs, func(o *job) bool { return o == j })
	for _, a := range j.sortedAttempts() {
		a.job, a.persisted = nil, true
		switch {
		case a.state == Exited:
		case cancelled:
			p.kill(a)
		default:
			p.stopAttempt(a, 0)
		}
	}
	p.core.faults.ForgetJob(j.ID)
	p.planStale = true
}

// reserve and leave count what an attempt takes.
func (p *partitionLeader) reserve(a *attempt) {
	p.teamUsage[a.team] = p.teamUsage[a.team].Add(a.resources)
	a.machine.idleSince = 0
}

func (p *partitionLeader) release(a *attempt) {
	if a.state == Exited {
		return
	}
	a.state = Exited
	p.teamUsage[a.team] = p.teamUsage[a.team].Sub(a.resources)
	for _, o := range a.machine.attempts {
		if o.state != Exited {
			return
		}
	}
	a.machine.idleSince = p.core.now
}

// requeue lets the task of an attempt that has ended wait again.
func (p *partitionLeader) requeue(a *attempt) {
	if a.job == nil || a.job.activeAttempts[a.id.Task] != a {
		return
	}
	delete(a.job.activeAttempts, a.id.Task)
	p.planStale = true
	for i, o := range a.job.duplicateAttempts {
		if o.id.Task == a.id.Task && o.state != Exited {
			a.job.duplicateAttempts = slices.Delete(a.job.duplicateAttempts, i, i+1)
			a.job.activeAttempts[a.id.Task] = o
			return
		}
	}
	if !a.job.taskCompleted(a.id.Task) {
		a.job.pendingTasks.Add(a.id.Task)
	}
}

// stopAttempt orders an attempt to end.
func (p *partitionLeader) stopAttempt(a *attempt, grace micros.Time) {
	if a.state == Exited || (a.stopping && a.gracePeriod <= grace) {
		return
	}
	if !a.startSent {
		p.revoke(a)
		return
	}
	a.stopping, a.gracePeriod = true, grace
	if a.stoppedAt == 0 {
		a.stoppedAt = p.core.now
	}
	a.machine.outbox = append(a.machine.outbox, Command{Operation: Stop, AttemptID: a.id, GracePeriod: grace})
}

// revoke takes back an attempt whose start was not sent yet.
func (p *partitionLeader) revoke(a *attempt) {
	p.release(a)
	p.requeue(a)
	a.unindex()
	a.machine.outbox = slices.DeleteFunc(a.machine.outbox, func(c Command) bool { return c.AttemptID == a.id })
}

// status is what the leader is told of the queue.
func (p *partitionLeader) status() PartitionStatus {
	s := PartitionStatus{Partition: p.partition, FencingToken: p.fencingToken, CapacityRequests: p.capacityRequests, UnreachableZones: p.unreachableZones()}
	if !p.core.term.Valid(p.core.now) {
		return s
	}
	s.Lags = p.flowLags()
	several := p.core.partitionCount() > 1
	idle := map[bool]int{} // of spot machines, and of the others
	for _, m := range p.machines {
		if m.drainReason == "silent" && (p.core.now < p.networkSuspectUntil || p.zoneVerdictPending(m.record.Zone)) && !m.leaseExpired {
			continue
		}
		if m.drainReason != "" && (m.drainReason == "silent" || m.drainReason == "never came up" || m.drainReason == "unresolved" || m.decommissioned() || p.terminable(m)) {
			if len(s.Terminate) < maxTerminationsPerStatus {
				s.Terminate = append(s.Terminate, m.id)
			}
		} else if several && idle[m.record.Spot] < maxIdlePerStatus && p.schedulable(m) && p.transferable(m) {
			idle[m.record.Spot]++
			s.Idle = append(s.Idle, m.id)
		}
	}
	return s
}

// What one message to the siblings has room for, with the longest names, whatever the size
// of the fleet. The next message tells of what is left then: the leader deletes a hundred
// machines at a time, and moves one idle machine at a time.
const (
	maxTerminationsPerStatus = 1000
	maxIdlePerStatus         = 100 // of each kind
)

// maxProgressPerMessage bounds the jobs in one message to the siblings.
const maxProgressPerMessage = 500

// jobProgress tells how far jobs are, for display elsewhere. With more jobs than one
// message takes, the next goes on where the last ended, so that none is left out.
func (p *partitionLeader) jobProgress() []JobProgress {
	from, _ := slices.BinarySearchFunc(p.sortedJobs, p.progressCursor, func(j *job, id string) int { return cmp.Compare(j.ID, id) })
	var out []JobProgress
	for k := range p.sortedJobs {
		j := p.sortedJobs[(from+k)%len(p.sortedJobs)]
		if len(out) == maxProgressPerMessage {
			p.progressCursor = j.ID
			break
		}
		entry := JobProgress{ID: j.ID, Done: j.completedCount()}
		for _, a := range j.activeAttempts {
			if a.state == Running || a.state == Checkpointing {
				entry.Running++
			}
		}
		if entry.Running > 0 || entry.Done > 0 || p.core.progress[j.ID] != (JobProgress{}) {
			out = append(out, entry)
		}
	}
	return out
}

// transferMachine moves an empty machine to another queue: this holder has let go, and
// both queues get new tokens in the same transaction, so that the machine obeys
// the new holder only, and that one only after the machine acknowledged it.
func (c *Core) transferMachine(s MachineTransfer) {
	b, ok := c.cache.Machines[s.Machine]
	h := c.partitions[b.Value.Partition]
	if !ok || h == nil || s.ToPartition == h.partition || !c.term.Valid(c.now) {
		return
	}
	to, ok := c.cache.Partitions[s.ToPartition]
	m := h.machine(s.Machine)
	if !ok || m == nil || m.drainReason != "" || !h.transferable(m) {
		return
	}
	from := c.cache.Partitions[h.partition]
	rest := c.cache.Blocks[b.Value.Block]
	moved := storage.BlockRecord{Partition: s.ToPartition, InstanceType: b.Value.InstanceType, Zone: b.Value.Zone, Spot: b.Value.Spot}.With(m.id, b.Value.MachineRecord)
	key := c.keys.Block(fmt.Sprintf("m%d-%s", h.fencingToken, m.id))
	h.drain(m, "moving")
	r := &storage.Request{Kind: storage.Txn,
		Compares: []storage.Compare{{Key: c.keys.Partition(h.partition), ModRevision: h.fencingToken}, {Key: c.keys.Partition(s.ToPartition), ModRevision: to.ModRevision},
			{Key: c.keys.Block(b.Value.Block), ModRevision: rest.ModRevision}, {Key: key}},
		Puts: []storage.Put{{Key: key, Value: storage.Encode(moved)},
			{Key: c.keys.Partition(h.partition), Value: storage.Encode(from.Value)}, {Key: c.keys.Partition(s.ToPartition), Value: storage.Encode(to.Value)}}}
	if c.putBlock(r, b.Value.Block, rest.Value.Without(m.id)); len(r.Puts) > c.config.Settings.StateLimits().TxnOps {
		m.drainReason = "" // a record of an older version, too large: the next change splits it
		return
	}
	if !c.callStore(r, storage.Deferrable, storeTimeout, func(r *storage.Reply) {
		// Without a clear no, the move may still happen: the machine stays drained
		// here until the stream tells.
		if r.Outcome == storage.Conflict || r.Outcome == storage.Unavailable || r.Outcome == storage.Invalid {
			m.drainReason = ""
		}
	}) {
		m.drainReason = ""
	}
}

func bitmapHas(s *workload.Bitmap, t int) bool { return s != nil && s.Has(t) }
