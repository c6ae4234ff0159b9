package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/agents"
	"pipitlatch/internal/coordination/failuredetector"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// partitionLeader plans the jobs of one partition and directs its machines, for as long as this
// process holds the partition's lease. It is made when the lease is acquired and dropped when the
// lease is lost; all that it knows is found out anew from the cache and from heartbeats.
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
	pendingKills  []*attempt             // attempts of cancelled jobs that are not shown as gone

	progressCursor           string      // the job with which the next message on progress begins
	ignoredHeartbeatLoggedAt micros.Time // when an ignored heartbeat was last logged
}

// partitionLease is the lease under which a process leads a partition.
type partitionLease struct {
	// acquiredToken is the mod revision at which leadership was acquired: jobs older than that
	// may run on machines that are not reconciled yet.
	acquiredToken uint64
	fencingToken  uint64 // mod revision of the partition's key now
	formerLeaders []storage.Process
	acquiredAt    micros.Time
}

// newPartitionLeader takes a partition over whose lease this process just acquired.
func newPartitionLeader(
	c *Core, partition int, stored storage.Versioned[storage.PartitionRecord],
) *partitionLeader {
	p := &partitionLeader{
		core:      c,
		partition: partition,
		lease: partitionLease{
			acquiredToken: stored.ModRevision,
			fencingToken:  stored.ModRevision,
			formerLeaders: stored.Value.FormerLeaders,
			acquiredAt:    c.now,
		},
		jobs:          map[string]*job{},
		teamUsage:     map[string]workload.Resources{},
		plan:          newPlanState(),
		dependencies:  newDependencyState(),
		lastTick:      c.now,
		useWriteAfter: map[string]micros.Time{},
	}
	p.detector = newFailureDetector(p)
	for _, id := range sortedKeys(c.cache.Machines) {
		p.machineChanged(id)
	}
	for _, id := range sortedKeys(c.cache.Jobs) {
		p.jobChanged(id)
	}
	p.inheritUnreachableZones()
	p.fairShares = c.newFairShares(partition)
	return p
}

// partitionOfJob is the partition that plans a job: its team's.
func (c *Core) partitionOfJob(j *workload.Job) int {
	if team := c.teams[j.Team]; team != nil {
		return team.Partition
	}
	return 0
}

// renewToken takes a new fencing token under the same lease: every agent has to acknowledge it
// before it is sent commands again.
func (p *partitionLeader) renewToken(token uint64) {
	if token != p.lease.fencingToken {
		p.lease.fencingToken = token
		p.plan.stale = true
	}
}

// reconcileSnapshot compares everything with a new snapshot of the store: also what the cache
// before it had, and the snapshot has no more.
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

// tick does what is due. Health comes first, then what is to be stored, then the plan, and last
// the commands that all of these produced.
func (p *partitionLeader) tick() {
	now := p.core.now
	if now-p.lastTick > micros.Second {
		// This process did not run for a while: that nothing was heard was its own fault.
		p.detector.RestartSilence(now)
		for _, m := range p.machines {
			m.contact.DiscountSilence(now - p.suspicionTimeout()/2)
		}
	}
	for _, m := range p.machines {
		if m.record.Spot && m.agent.HeardFrom() && m.drain.reason == notDraining {
			p.core.spot.machineTime += now - p.lastTick
		}
	}
	p.lastTick = now
	p.checkZones()
	p.detector.UpdateNetworkSuspicion(now)
	if !p.core.term.Valid(now) {
		return
	}
	for _, m := range slices.Clone(p.machines) {
		p.checkMachine(m)
	}
	p.drainOverdueKills()
	p.sendProbes()
	p.persistMachineUse()
	for _, j := range p.sortedJobs {
		p.persistCompleted(j)
	}
	p.lookUpDependencies()
	p.persistDependencyCancellations()
	p.schedule()
	p.sendCommands()
}

// machineChanged brings a machine up to its record in the cache, which may be gone or in another
// partition.
func (p *partitionLeader) machineChanged(id string) {
	stored, ok := p.core.cache.Machines[id]
	m := p.machine(id)
	switch {
	case !ok || stored.Value.Partition != p.partition:
		// The cluster leader removes a machine from its block only after the cloud confirmed that
		// it is gone, and a machine is transferred only after its partition leader let go of it.
		p.machineTerminated(id)
	case m == nil:
		p.addMachine(id, stored)
	default:
		m.record, m.modRevision = stored.Value, stored.ModRevision
		p.plan.stale = true
	}
}

// addMachine takes on a machine that came into the partition.
func (p *partitionLeader) addMachine(id string, stored storage.Versioned[storage.Machine]) {
	m := &machine{
		id:          id,
		record:      stored.Value,
		modRevision: stored.ModRevision,
		address:     stored.Value.Address,
		contact:     agents.NewContact(p.core.now),
		lifecycle:   machineLifecycle{addedAt: p.core.now, idleSince: p.core.now},
		attempts:    map[messages.AttemptID]*attempt{},
	}
	// Nobody starts tasks on a machine before its record says so, and a block that is newer than
	// the lease never belonged to a former leader.
	if !stored.Value.Used || stored.ModRevision > p.lease.acquiredToken {
		m.agent.Reconcile()
	}
	i, _ := slices.BinarySearchFunc(p.machines, id, func(m *machine, id string) int {
		return cmp.Compare(m.id, id)
	})
	p.machines = slices.Insert(p.machines, i, m)
	p.plan.stale = true
}

// machineTerminated forgets a machine that surely has no tasks any more: it is gone, or it is in
// another partition.
func (p *partitionLeader) machineTerminated(id string) {
	m := p.machine(id)
	if m == nil {
		return
	}
	if m.record.Spot && m.agent.HeardFrom() && (m.drain.reason == drainUnresponsive || m.lifecycle.preemptAt != 0) {
		p.core.spot.losses++
	}
	p.clearAttempts(m)
	p.machines = slices.DeleteFunc(p.machines, func(other *machine) bool { return other == m })
	p.core.faults.ForgetMachine(id)
	p.plan.stale = true
	p.core.log(messages.LevelInfo, "machine terminated", "machine", id, "reason", m.drain.reason)
}

// clearAttempts records that the machine surely has none of the tasks known so far: their attempts
// have ended.
func (p *partitionLeader) clearAttempts(m *machine) {
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		p.release(a)
		p.requeue(a)
		a.unindex()
	}
	m.commands.Clear()
	if m.lifecycle.idleSince == 0 {
		m.lifecycle.idleSince = p.core.now
	}
	p.plan.stale = true
}

// jobChanged brings a job up to its record in the cache: one that became active is queued, one
// that is active no more, or in another partition, ends.
func (p *partitionLeader) jobChanged(id string) {
	record := p.core.cache.Jobs[id]
	j := p.jobs[id]
	active := record != nil && record.Job.Phase == workload.Active && p.core.partitionOfJob(record.Job) == p.partition
	if active && record.CancelledByDependency {
		p.dependencies.addCancelled(id)
		active = false
	}
	switch {
	case !active && j != nil:
		p.jobTerminated(j)
	case !active:
	case j != nil:
		j.record, j.modRevision = record, record.ModRevision
		p.updateDependencies(j)
	default:
		p.addJob(record)
	}
}

// addJob queues a job that became active.
func (p *partitionLeader) addJob(record *storage.JobEntry) {
	j := newJob(record)
	p.jobs[j.ID] = j
	i, _ := slices.BinarySearchFunc(p.sortedJobs, j.ID, compareJobID)
	p.sortedJobs = slices.Insert(p.sortedJobs, i, j)
	j.cancelRequested = p.core.cancellations.Known(j.ID)
	p.updateDependencies(j)
	p.plan.stale = true
	p.core.log(messages.LevelDebug, "job queued",
		"job", j.ID, "class", j.Class, "tasks", j.Tasks, "cpu", j.Resources.CPU,
		"estimate_ms", j.Estimate/micros.Millisecond, "due_ms", j.Deadline/micros.Millisecond)
}

// jobTerminated stops what is left of a job that is done or cancelled.
func (p *partitionLeader) jobTerminated(j *job) {
	cancelled := p.core.isCancelled(j.ID)
	delete(p.jobs, j.ID)
	p.sortedJobs = slices.DeleteFunc(p.sortedJobs, func(other *job) bool { return other == j })
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
