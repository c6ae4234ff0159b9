package coordination

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"pipitlatch/internal/coordination/agents"
	"pipitlatch/internal/coordination/failuredetector"
	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// partitionLeader plans one queue and directs its machines, under one lease.
type partitionLeader struct {
	core      *Core
	partition int
	lease     partitionLease

	machines       []*machine // by name
	sortedJobs     []*job     // by id
	jobs           map[string]*job
	teamUsage      map[string]workload.Resources // by team
	attemptCounter uint64

	plan          planState
	fairShares    *fairShares // nil: off
	consolidation consolidationState
	detector      *failuredetector.Detector
	dependencies  dependencyState

	lastTick      micros.Time
	sendRound     int                    // counts rounds of sending commands
	probeQueue    []*machine             // to be probed in this tick
	useWriteAfter map[string]micros.Time // by block: when its machines in use may be written again
	pendingKills  []*attempt             // of cancelled jobs, not shown as gone

	progressCursor           string      // the job with which the next message on progress begins
	ignoredHeartbeatLoggedAt micros.Time // when an ignored heartbeat was last logged
}

// partitionLease is the lease under which a process leads a partition.
type partitionLease struct {
	// acquiredToken is the mod revision at which leadership was acquired: jobs older than
	// that may run on machines that are not reconciled yet.
	acquiredToken uint64
	fencingToken  uint64 // mod revision of the partition's key now
	formerLeaders []storage.Process
	acquiredAt    micros.Time
}

// planState is what the planner keeps from one plan to the next.
type planState struct {
	stale            bool // something changed since the last plan
	lastRunAt        micros.Time
	interval         micros.Time              // until the next plan
	serviceReplicas  int                      // tasks of services, running or not, as of lastRunAt
	preemptionFailed map[preemptionShape]bool // in this plan
	capacityRequests []provisioning.CapacityRequest
	// unreconciledUsage is what unreconciled machines may be running, in this plan.
	unreconciledUsage workload.Resources
	inheritedUrgency  map[string]inheritedUrgency // in this plan
	allReconciled     bool                        // all machines are, or were, reconciled
	fleetLoggedAt     micros.Time
}

// consolidationState paces the moves that free machines.
type consolidationState struct {
	lastPassAt     micros.Time // last search for machines that are not needed
	replicaMovedAt micros.Time // last move of a service replica
	recentArrayCPU int64       // CPU that arrays used recently
}

// dependencyState is what is still to be found out and written down about jobs that depend on
// others.
type dependencyState struct {
	unresolved      map[string]micros.Time // dependencies that are not cached, and when to look them up again
	lookupsInFlight int
	cancelled       map[string]bool // jobs cancelled with a dependency, which is to be written down
	writeInFlight   bool
	nextWriteAt     micros.Time
}

// job is an active job of the queue.
type job struct {
	*workload.Job
	modRevision       uint64
	record            *storage.JobEntry
	pendingTasks      *workload.Bitmap
	activeAttempts    map[int]*attempt
	attempts          map[*attempt]struct{} // all that machines may still show, ended ones included
	duplicateAttempts []*attempt            // second attempts at an active task, being stopped
	completion        completionState
	runtime           jobRuntime

	startsPausedUntil      micros.Time
	readySince             micros.Time // time of day since which it may start
	blockedByDependencies  bool
	cancelRequested        bool             // a peer knows it to be cancelled: it starts nothing any more
	plannedWithinGuarantee bool             // it was within its team's guarantee when it was planned
	preemptedOnce          *workload.Bitmap // tasks that were preempted once, and are not again
}

// completionState is what is to be written down about completed tasks.
type completionState struct {
	unpersisted   *workload.Bitmap // completed, not known to be stored
	dirtySegments map[int]bool     // segments with unpersisted tasks
	writeInFlight bool
	nextWriteAt   micros.Time
}

// jobRuntime is what is known of the run time of the job's tasks.
type jobRuntime struct {
	total       micros.Time // run times of its completed tasks, added up
	samples     int
	estimate    micros.Time // of a task, as of estimatedAt
	estimatedAt micros.Time
}

func (j *job) taskCompleted(task int) bool {
	return j.completion.unpersisted.Has(task) || (j.record.Completed != nil && j.record.Completed.Has(task))
}

func (j *job) completedCount() int {
	n := j.completion.unpersisted.Len()
	if j.record.Completed != nil {
		n += j.record.Completed.Len()
		for t := j.completion.unpersisted.Next(0); t >= 0; t = j.completion.unpersisted.Next(t + 1) {
			if j.record.Completed.Has(t) {
				n--
			}
		}
	}
	return n
}

// attempt is one attempt at a task, on its machine.
type attempt struct {
	id              messages.AttemptID
	machine         *machine
	job             *job // nil: the job is over or unknown
	team            string
	resources       workload.Resources
	state           messages.TaskState
	persisted       bool // nothing of it is left to be stored
	startedHere     bool // started by this partition leader
	createdAt       micros.Time
	runningSince    micros.Time
	plannedDuration micros.Time
	start           startState
	stop            stopState
}

// startState is what became of the commands to start an attempt.
type startState struct {
	sent       bool // a start command went out, or a heartbeat showed the attempt
	reported   bool // a heartbeat showed the attempt
	inFlight   int  // start commands without a reply yet
	unanswered int  // start commands that got no reply: they may still arrive late
}

// stopState is what was ordered to end an attempt.
type stopState struct {
	ordered      bool
	gracePeriod  micros.Time
	orderedAt    micros.Time // when the stop was first ordered
	killDeadline micros.Time // of a cancelled job: when it must be shown as gone; 0: not cancelled
}

func newPartitionLeader(c *Core, n int, v storage.Versioned[storage.PartitionRecord]) *partitionLeader {
	h := &partitionLeader{
		core:      c,
		partition: n,
		lease: partitionLease{
			acquiredToken: v.ModRevision,
			fencingToken:  v.ModRevision,
			formerLeaders: v.Value.FormerLeaders,
			acquiredAt:    c.now,
		},
		jobs:      map[string]*job{},
		teamUsage: map[string]workload.Resources{},
		plan: planState{
			stale:            true,
			interval:         minPlanInterval,
			preemptionFailed: map[preemptionShape]bool{},
		},
		dependencies: dependencyState{
			unresolved: map[string]micros.Time{},
			cancelled:  map[string]bool{},
		},
		lastTick:      c.now,
		useWriteAfter: map[string]micros.Time{},
	}
	h.detector = newFailureDetector(h)
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
	if v != p.lease.fencingToken {
		p.lease.fencingToken = v
		p.plan.stale = true
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
		m = &machine{
			id:          id,
			record:      v.Value,
			modRevision: v.ModRevision,
			address:     v.Value.Address,
			contact:     agents.NewContact(p.core.now),
			lifecycle:   machineLifecycle{addedAt: p.core.now, idleSince: p.core.now},
			attempts:    map[messages.AttemptID]*attempt{},
		}
		// Nobody starts tasks on a machine before the record says so, and a block
		// that came after the lease was never a predecessor's.
		if !v.Value.Used || v.ModRevision > p.lease.acquiredToken {
			m.agent.Reconcile()
		}
		i, _ := slices.BinarySearchFunc(p.machines, id, func(m *machine, id string) int { return cmp.Compare(m.id, id) })
		p.machines = slices.Insert(p.machines, i, m)
		p.plan.stale = true
	default:
		m.record, m.modRevision = v.Value, v.ModRevision
		p.plan.stale = true
	}
}

func (p *partitionLeader) machineTerminated(id string) {
	m := p.machine(id)
	if m == nil {
		return
	}
	if m.record.Spot && m.agent.HeardFrom() && (m.drain.reason == drainUnresponsive || m.lifecycle.preemptAt != 0) {
		p.core.spot.losses++
	}
	p.clearAttempts(m)
	p.machines = slices.DeleteFunc(p.machines, func(o *machine) bool { return o == m })
	p.core.faults.ForgetMachine(id)
	p.plan.stale = true
	p.core.log(messages.LevelInfo, "machine terminated", "machine", id, "reason", m.drain.reason)
}

// clearAttempts notes that the machine surely has none of the tasks known so far.
func (p *partitionLeader) clearAttempts(m *machine) {
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		p.release(a)
		p.requeue(a)
		a.unindex()
	}
	m.commands.outbox = nil
	if m.lifecycle.idleSince == 0 {
		m.lifecycle.idleSince = p.core.now
	}
	p.plan.stale = true
}

func sortedAttempts(m *machine) []messages.AttemptID {
	out := make([]messages.AttemptID, 0, len(m.attempts))
	for id := range m.attempts {
		out = append(out, id)
	}
	slices.SortFunc(out, messages.AttemptID.Compare)
	return out
}

// sortedAttempts are the job's attempts by machine, so that a run can be repeated.
func (j *job) sortedAttempts() []*attempt {
	out := slices.Collect(maps.Keys(j.attempts))
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.machine.id, b.machine.id), a.id.Compare(b.id))
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

func (p *partitionLeader) jobChanged(id string) {
	e := p.core.cache.Jobs[id]
	j := p.jobs[id]
	if e != nil && e.CancelledByDependency && e.Job.Phase == workload.Active && p.core.partitionOfJob(e.Job) == p.partition {
		p.dependencies.cancelled[id] = true
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
	j = &job{
		Job:            e.Job,
		modRevision:    e.ModRevision,
		record:         e,
		pendingTasks:   workload.NewBitmap(e.Job.Tasks),
		activeAttempts: map[int]*attempt{},
		attempts:       map[*attempt]struct{}{},
		completion: completionState{
			unpersisted:   workload.NewBitmap(e.Job.Tasks),
			dirtySegments: map[int]bool{},
		},
		preemptedOnce: workload.NewBitmap(e.Job.Tasks),
	}
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
	p.plan.stale = true
	p.core.log(messages.LevelDebug, "job queued", "job", id, "class", j.Class, "tasks", j.Tasks, "cpu", j.Resources.CPU, "estimate_ms", j.Estimate/micros.Millisecond,
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
		case a.state == messages.Exited:
		case cancelled:
			p.kill(a)
		default:
			p.stopAttempt(a, 0)
		}
	}
	p.core.faults.ForgetJob(j.ID)
	p.plan.stale = true
}

// reserve and leave count what an attempt takes.
func (p *partitionLeader) reserve(a *attempt) {
	p.teamUsage[a.team] = p.teamUsage[a.team].Add(a.resources)
	a.machine.lifecycle.idleSince = 0
}

func (p *partitionLeader) release(a *attempt) {
	if a.state == messages.Exited {
		return
	}
	a.state = messages.Exited
	p.teamUsage[a.team] = p.teamUsage[a.team].Sub(a.resources)
	for _, o := range a.machine.attempts {
		if o.state != messages.Exited {
			return
		}
	}
	a.machine.lifecycle.idleSince = p.core.now
}

// requeue lets the task of an attempt that has ended wait again.
func (p *partitionLeader) requeue(a *attempt) {
	if a.job == nil || a.job.activeAttempts[a.id.Task] != a {
		return
	}
	delete(a.job.activeAttempts, a.id.Task)
	p.plan.stale = true
	for i, o := range a.job.duplicateAttempts {
		if o.id.Task == a.id.Task && o.state != messages.Exited {
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
	if a.state == messages.Exited || (a.stop.ordered && a.stop.gracePeriod <= grace) {
		return
	}
	if !a.start.sent {
		p.revoke(a)
		return
	}
	a.stop.ordered, a.stop.gracePeriod = true, grace
	if a.stop.orderedAt == 0 {
		a.stop.orderedAt = p.core.now
	}
	a.machine.commands.outbox = append(a.machine.commands.outbox, messages.Command{Operation: messages.Stop, AttemptID: a.id, GracePeriod: grace})
}

// revoke takes back an attempt whose start was not sent yet.
func (p *partitionLeader) revoke(a *attempt) {
	p.release(a)
	p.requeue(a)
	a.unindex()
	a.machine.commands.outbox = slices.DeleteFunc(a.machine.commands.outbox, func(c messages.Command) bool { return c.AttemptID == a.id })
}

// status is what the leader is told of the queue.
func (p *partitionLeader) status() messages.PartitionStatus {
	s := messages.PartitionStatus{Partition: p.partition, FencingToken: p.lease.fencingToken, CapacityRequests: p.plan.capacityRequests, UnreachableZones: p.detector.UnreachableZones()}
	if !p.core.term.Valid(p.core.now) {
		return s
	}
	s.Lags = p.flowLags()
	several := p.core.partitionCount() > 1
	idle := map[bool]int{} // of spot machines, and of the others
	for _, m := range p.machines {
		if m.drain.reason == drainUnresponsive && (p.detector.NetworkSuspected(p.core.now) || p.detector.ZoneVerdictPending(p.core.now, m.record.Zone)) && !m.agent.LeaseExpired() {
			continue
		}
		if m.drain.reason != notDraining && (m.drain.reason == drainUnresponsive || m.drain.reason == drainBootTimeout || m.drain.reason == drainUnresolvedStart || m.decommissioned() || p.terminable(m)) {
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
func (p *partitionLeader) jobProgress() []messages.JobProgress {
	from, _ := slices.BinarySearchFunc(p.sortedJobs, p.progressCursor, func(j *job, id string) int { return cmp.Compare(j.ID, id) })
	var out []messages.JobProgress
	for k := range p.sortedJobs {
		j := p.sortedJobs[(from+k)%len(p.sortedJobs)]
		if len(out) == maxProgressPerMessage {
			p.progressCursor = j.ID
			break
		}
		entry := messages.JobProgress{ID: j.ID, Done: j.completedCount()}
		for _, a := range j.activeAttempts {
			if a.state == messages.Running || a.state == messages.Checkpointing {
				entry.Running++
			}
		}
		if entry.Running > 0 || entry.Done > 0 || p.core.progress[j.ID] != (messages.JobProgress{}) {
			out = append(out, entry)
		}
	}
	return out
}

// transferMachine moves an empty machine to another queue: this holder has let go, and
// both queues get new tokens in the same transaction, so that the machine obeys
// the new holder only, and that one only after the machine acknowledged it.
func (c *Core) transferMachine(s messages.MachineTransfer) {
	b, ok := c.cache.Machines[s.Machine]
	h := c.partitions[b.Value.Partition]
	if !ok || h == nil || s.ToPartition == h.partition || !c.term.Valid(c.now) {
		return
	}
	to, ok := c.cache.Partitions[s.ToPartition]
	m := h.machine(s.Machine)
	if !ok || m == nil || m.drain.reason != notDraining || !h.transferable(m) {
		return
	}
	from := c.cache.Partitions[h.partition]
	rest := c.cache.Blocks[b.Value.Block]
	moved := storage.BlockRecord{Partition: s.ToPartition, InstanceType: b.Value.InstanceType, Zone: b.Value.Zone, Spot: b.Value.Spot}.With(m.id, b.Value.MachineRecord)
	key := c.keys.Block(fmt.Sprintf("m%d-%s", h.lease.fencingToken, m.id))
	h.startDrain(m, drainTransfer)
	r := &storage.Request{Kind: storage.Txn,
		Compares: []storage.Compare{{Key: c.keys.Partition(h.partition), ModRevision: h.lease.fencingToken}, {Key: c.keys.Partition(s.ToPartition), ModRevision: to.ModRevision},
			{Key: c.keys.Block(b.Value.Block), ModRevision: rest.ModRevision}, {Key: key}},
		Puts: []storage.Put{{Key: key, Value: storage.Encode(moved)},
			{Key: c.keys.Partition(h.partition), Value: storage.Encode(from.Value)}, {Key: c.keys.Partition(s.ToPartition), Value: storage.Encode(to.Value)}}}
	if c.putBlock(r, b.Value.Block, rest.Value.Without(m.id)); len(r.Puts) > c.config.Settings.StateLimits().TxnOps {
		m.drain.reason = notDraining // a record of an older version, too large: the next change splits it
		return
	}
	if !c.callStore(r, storage.Deferrable, storeTimeout, func(r *storage.Reply) {
		// Without a clear no, the move may still happen: the machine stays drained
		// here until the stream tells.
		if r.Outcome == storage.Conflict || r.Outcome == storage.Unavailable || r.Outcome == storage.Invalid {
			m.drain.reason = notDraining
		}
	}) {
		m.drain.reason = notDraining
	}
}

func bitmapHas(s *workload.Bitmap, t int) bool { return s != nil && s.Has(t) }
