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

// partitionLeader schedules the jobs of one partition and manages its machines while this process
// holds the partition's lease. It is created when the lease is acquired and discarded when the lease
// is lost. Its state is rebuilt from the cache and from heartbeats.
type partitionLeader struct {
	core      *Core
	partition int
	lease     partitionLease

	machines       []*machine // sorted by id
	sortedJobs     []*job     // sorted by id
	jobs           map[string]*job
	teamUsage      map[string]workload.Resources // by team
	attemptCounter uint64

	plan          planState
	fairShares    *fairShares // nil: disabled
	consolidation consolidationState
	detector      *failuredetector.Detector
	dependencies  dependencyState
	renewal       tokenRenewal

	lastTick      micros.Time
	sendRound     int                    // number of rounds of sending commands
	probeQueue    []*machine             // to be probed in this tick
	useWriteAfter map[string]micros.Time // by block: when the use of its machines may be written again
	pendingKills  []*attempt             // attempts of cancelled jobs not confirmed as gone yet

	progressCursor           string      // id of the first job in the next progress message
	ignoredHeartbeatLoggedAt micros.Time // when an ignored heartbeat was last logged
}

// partitionLease is the lease under which a process leads a partition.
type partitionLease struct {
	// acquiredToken is the mod revision at which leadership was acquired. Jobs older than that may
	// run on machines that are not reconciled yet.
	acquiredToken uint64
	fencingToken  uint64 // current mod revision of the partition's key
	formerLeaders []storage.Process
	acquiredAt    micros.Time
}

// newPartitionLeader returns the leader of a partition whose lease this process has just acquired.
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

// partitionOfJob returns the partition that schedules a job, which is that of its team.
func (c *Core) partitionOfJob(j *workload.Job) int {
	if team := c.teams[j.Team]; team != nil {
		return team.Partition
	}
	return 0
}

// renewToken sets a new fencing token under the same lease. Agents keep accepting commands under it: they
// have acknowledged a lower token of this lease. The cluster leader ignores statuses under an earlier token,
// so the next one is sent early.
func (p *partitionLeader) renewToken(token uint64) {
	if token != p.lease.fencingToken {
		p.core.log(messages.LevelInfo, "fencing token renewed",
			"partition", p.partition, "fencing_token", token, "previous_token", p.lease.fencingToken)
		p.core.metrics.TokenRenewals++
		p.lease.fencingToken = token
		p.core.status.soon = true
	}
}

// holdsLease reports whether a record of the partition shows that this leader has held its lease since it
// acquired it: the record is unchanged, or was only written again under the same lease.
func (p *partitionLeader) holdsLease(stored storage.Versioned[storage.PartitionRecord]) bool {
	return stored.Value.Leader == p.core.process &&
		(stored.ModRevision == p.lease.fencingToken || stored.Value.AcquiredRevision == p.lease.acquiredToken)
}

// reconcileSnapshot applies a new snapshot of the store to all jobs and machines, including those of
// the old cache that the snapshot no longer contains.
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

// tick runs the periodic work: first the health checks, then the writes to the store, then
// scheduling, and last the sending of the commands that these produced.
func (p *partitionLeader) tick() {
	now := p.core.now
	if now-p.lastTick > micros.Second {
		// This process was paused, so the silence of machines in that time does not count against them.
		p.detector.ResetSilence(now)
		for _, m := range p.machines {
			m.contact.AdvanceLastContact(now - p.suspicionTimeout()/2)
		}
	}
	for _, m := range p.machines {
		if m.record.Spot && m.agent.HasHeartbeat() && m.drain.reason == notDraining {
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
	p.requestTokenRenewal()
	for _, j := range p.sortedJobs {
		p.persistCompleted(j)
	}
	p.lookUpDependencies()
	p.persistDependencyCancellations()
	p.schedule()
	p.sendCommands()
}

// machineChanged updates a machine from its record in the cache. The record may have been deleted or
// have moved to another partition.
func (p *partitionLeader) machineChanged(id string) {
	stored, ok := p.core.cache.Machines[id]
	m := p.machine(id)
	switch {
	case !ok || stored.Value.Partition != p.partition:
		// The cluster leader removes a machine from its block only after the cloud confirmed that
		// it is gone, and a machine is transferred only after its partition leader has drained it.
		p.removeMachine(id)
	case m == nil:
		p.addMachine(id, stored)
	default:
		m.record, m.modRevision = stored.Value, stored.ModRevision
		p.plan.stale = true
	}
}

// addMachine adds a machine that is new in the partition.
func (p *partitionLeader) addMachine(id string, stored storage.Versioned[storage.Machine]) {
	m := &machine{
		id:          id,
		record:      stored.Value,
		modRevision: stored.ModRevision,
		address:     stored.Value.Address,
		// A transfer of the machine to this partition gave the partition a new token.
		requiredToken: max(p.lease.acquiredToken, p.core.cache.Partitions[p.partition].ModRevision),
		contact:       agents.NewContact(p.core.now),
		lifecycle:     machineLifecycle{addedAt: p.core.now, idleSince: p.core.now},
		attempts:      map[messages.AttemptID]*attempt{},
	}
	// The machine certainly has no tasks in these cases: tasks are started on a machine only after
	// its record says that it is used, and a block that is newer than the lease never belonged to a
	// former leader.
	if !stored.Value.Used || stored.ModRevision > p.lease.acquiredToken {
		m.agent.Reconcile()
	}
	i, _ := slices.BinarySearchFunc(p.machines, id, func(m *machine, id string) int {
		return cmp.Compare(m.id, id)
	})
	p.machines = slices.Insert(p.machines, i, m)
	p.plan.stale = true
}

// removeMachine removes a machine that certainly has no tasks of this partition any more, because it
// was terminated or moved to another partition.
func (p *partitionLeader) removeMachine(id string) {
	m := p.machine(id)
	if m == nil {
		return
	}
	if m.record.Spot && m.agent.HasHeartbeat() && (m.drain.reason == drainUnresponsive || m.lifecycle.preemptAt != 0) {
		p.core.spot.losses++
	}
	p.clearAttempts(m, messages.EndMachineRemoved)
	p.machines = slices.DeleteFunc(p.machines, func(other *machine) bool { return other == m })
	p.core.faults.ForgetMachine(id)
	p.plan.stale = true
	p.core.log(messages.LevelInfo, "machine terminated", "machine", id, "reason", m.drain.reason)
}

// clearAttempts ends all known attempts of a machine that certainly no longer runs any of them, as the evidence
// shows.
func (p *partitionLeader) clearAttempts(m *machine, evidence messages.EndEvidence) {
	var ended []messages.AttemptID
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state != messages.Exited {
			ended = append(ended, id)
			if p.isService(id.Job) {
				p.core.metrics.ReplicaWait += p.core.now - m.contact.LastContact()
			}
		}
		p.release(a)
		p.requeue(a)
		a.unindex()
	}
	p.logEnd(m, evidence, ended)
	m.commands.Clear()
	if m.lifecycle.idleSince == 0 {
		m.lifecycle.idleSince = p.core.now
	}
	p.plan.stale = true
}

// jobChanged updates a job from its record in the cache. A job that became active is queued, and one
// that is no longer active, or belongs to another partition, is removed.
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
		p.removeJob(j)
	case !active:
	case j != nil:
		j.record, j.modRevision = record, record.ModRevision
		p.updateDependencies(j)
	default:
		p.addJob(record)
	}
}

// addJob adds a job that became active to the queue.
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

// removeJob removes a job that is no longer active in this partition and stops its remaining attempts.
func (p *partitionLeader) removeJob(j *job) {
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
			p.stopAttempt(a, reasonJobInactive, 0)
		}
	}
	p.core.faults.ForgetJob(j.ID)
	p.plan.stale = true
}
