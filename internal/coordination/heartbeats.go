package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// handleHeartbeat answers a worker.
func (c *Core) handleHeartbeat(in *messages.HeartbeatRequest) {
	r := in.Heartbeat
	if !c.replica.Synced() {
		c.respondUnavailable(in.Request, starting)
		return
	}
	b, ok := c.cache.Machines[r.Machine]
	if !ok {
		switch l := c.cache.ClusterLeader; {
		case c.isClusterLeader():
			c.leader.heardFromUnmanaged(r)
			c.respondUnavailable(in.Request, unknownMachine)
		case l.ModRevision != 0 && l.Value.Member != c.process.Member && !c.isolated():
			c.respond(messages.Response{Request: in.Request, Kind: messages.HeartbeatRedirected, RedirectTo: l.Value.Member})
		default:
			c.respondUnavailable(in.Request, noClusterLeader)
		}
		return
	}
	h := c.partitions[b.Value.Partition]
	if h == nil {
		q, ok := c.cache.Partitions[b.Value.Partition]
		if ok && q.Value.Leader.Member != c.process.Member && c.cache.Live(q.Value.Leader) && !c.isolated() && !c.unreachableFromLeader(r, b.Value, q) {
			c.respond(messages.Response{Request: in.Request, Kind: messages.HeartbeatRedirected, RedirectTo: q.Value.Leader.Member})
		} else {
			c.respondUnavailable(in.Request, noPartitionLeader)
		}
		return
	}
	h.handleHeartbeat(in, h.machine(r.Machine))
}

func (p *partitionLeader) handleHeartbeat(in *messages.HeartbeatRequest, m *machine) {
	r := in.Heartbeat
	switch {
	case m == nil:
		p.core.respondUnavailable(in.Request, unknownMachine)
		return
	case !p.core.term.Valid(p.core.now):
		// Silence past the term: a cancellation that is not seen here must end
		// these tasks when the workers' leases run out. Nobody is named: what is
		// known here of other holders is as old as the term.
		p.core.respond(messages.Response{Request: in.Request, Kind: messages.HeartbeatRedirected})
		return
	case r.FencingToken > p.lease.fencingToken:
		// The worker would drop a 200 and stay here until its tasks die.
		p.supersededByToken()
		p.core.respond(messages.Response{Request: in.Request, Kind: messages.HeartbeatRedirected})
		return
	}
	newer := m.agent.IsNewer(r)
	if m.agent.IsStaleCopy(r, p.core.now) {
		// A copy of an old report, whose answer reaches nobody, or a worker that
		// began anew: an answer must neither count nor renew a lease.
		p.logIgnoredHeartbeat("old report", m, r)
		p.core.respondUnavailable(in.Request, staleHeartbeat)
		return
	}
	if newer {
		p.observeReplyReceipt(m, r)
		p.observeHeartbeat(m, r)
	}
	if m.decommissioned() || m.contact.RepliesLost() {
		// Given up, or out of reach of our answers: more of them would only push off
		// the time from which its lease has surely run out.
		p.core.respondUnavailable(in.Request, machineDecommissioned)
		return
	}
	m.contact.Replied(p.core.now)
	var cmds []messages.Command
	if newer {
		cmds = p.commandsFor(m)
	}
	p.core.respond(messages.Response{Request: in.Request, Kind: messages.HeartbeatAcknowledged, FencingToken: p.lease.fencingToken, Commands: cmds})
}

// observeReplyReceipt notes what a newer heartbeat says of the reply to the one before. The reply
// was lost if the heartbeat shows no exchange under this lease, or if the epoch ended.
func (p *partitionLeader) observeReplyReceipt(m *machine, h *messages.Heartbeat) {
	exchangeBroken := h.FencingToken < p.lease.acquiredToken || h.AgentEpoch > m.agent.Epoch()
	if m.contact.ObserveNextHeartbeat(exchangeBroken, p.core.now) {
		m.commands.EndDelay()
	}
}

// supersededByToken: somebody has a higher token, so this lease is over, or about to be
// renewed; nothing is done until the stream tells.
func (p *partitionLeader) supersededByToken() { p.core.term.Invalidate() }

// maxCommandsPerMessage bounds one answer to a worker.
const maxCommandsPerMessage = 200

// commandsFor are the commands in the answer to a report: they are not executed
// late, since the worker drops late answers.
func (p *partitionLeader) commandsFor(m *machine) []messages.Command {
	if !m.agent.Acknowledged(p.lease.fencingToken) {
		return nil
	}
	var out []messages.Command
	for id, a := range m.attempts {
		switch {
		case a.state == messages.Exited:
			// A start that may still arrive would begin a forgotten attempt anew.
			if a.start.reported && a.persisted && a.start.inFlight == 0 && a.start.unanswered == 0 {
				out = append(out, messages.Command{Operation: messages.Forget, AttemptID: id})
			}
		case a.stop.ordered:
			out = append(out, messages.Command{Operation: messages.Stop, AttemptID: id, GracePeriod: p.remainingGrace(a)})
		}
	}
	slices.SortFunc(out, func(a, b messages.Command) int { return a.Compare(b.AttemptID) })
	return out[:min(len(out), maxCommandsPerMessage)]
}

// remainingGrace ends an attempt at once when its time to save is over.
func (p *partitionLeader) remainingGrace(a *attempt) micros.Time {
	if a.stop.gracePeriod == 0 || p.core.now-a.stop.orderedAt > 2*a.stop.gracePeriod+2*micros.Second {
		return 0
	}
	return a.stop.gracePeriod
}

// observeHeartbeat takes a worker's report, from whichever way it came.
func (p *partitionLeader) observeHeartbeat(m *machine, r *messages.Heartbeat) {
	if !m.agent.IsNewer(r) {
		return // older than what is known
	}
	if m.agent.ShowsRestart(r, p.lease.acquiredToken) {
		// A worker never forgets a token: this one began anew under its old name.
		p.drainRestarted(m)
		return
	}
	if r.AgentEpoch > m.agent.Epoch() {
		p.beginEpoch(m, r.AgentEpoch)
	}
	m.agent.Observe(r, p.core.now)
	if m.agent.LeaseExpired() {
		p.logIgnoredHeartbeat("of an ended session", m, r)
		return // sent before its lease ran out, and late: what it shows is gone
	}
	if r.Address != "" {
		m.address = r.Address
	}
	m.lifecycle.preemptAt = 0
	if r.PreemptionNotice >= 0 {
		m.lifecycle.preemptAt = p.core.now + r.PreemptionNotice
	}
	if r.FencingToken > p.lease.fencingToken {
		p.supersededByToken()
		return
	}
	m.agent.Acknowledge(r.FencingToken)
	if r.FencingToken < p.lease.acquiredToken {
		// Not an exchange under this lease: perhaps a copy of an old report, perhaps
		// overtaken by what the predecessor still orders. It says nothing of tasks.
		return
	}
	p.reconcileTasks(m, r)
	if m.agent.Acknowledged(p.lease.fencingToken) && !m.agent.Reconciled() {
		m.agent.Reconcile()
		p.plan.stale = true
	}
	p.handlePreemptionNotice(m)
}

// beginEpoch notes that a machine's lease ran out: it killed and forgot all its tasks. That
// does not make it known: a predecessor may have started others since.
func (p *partitionLeader) beginEpoch(m *machine, epoch uint64) {
	if m.agent.HeardFrom() {
		p.clearAttempts(m)
	}
	m.agent.BeginEpoch(epoch, p.core.now)
	p.plan.stale = true
}

// reconcileTasks takes a report's tasks for the truth about its machine.
func (p *partitionLeader) reconcileTasks(m *machine, r *messages.Heartbeat) {
	shown := make(map[messages.AttemptID]bool, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		shown[t.AttemptID] = true
		a := m.attempts[t.AttemptID]
		if a == nil {
			a = p.adoptAttempt(m, t)
		}
		a.start.reported = true
		p.updateAttempt(a, t)
	}
	if len(m.attempts) > len(shown) {
		for _, id := range sortedAttempts(m) {
			a := m.attempts[id]
			// A start that still waits in the outbox, or that got no answer, says nothing
			// by its absence: taking it for not started would run the task twice.
			if shown[id] || !a.start.sent || (!a.start.reported && a.start.inFlight+a.start.unanswered > 0) {
				continue
			}
			// Forgotten as ordered, or, if it was never shown, surely not started.
			delete(m.attempts, id)
			p.release(a)
			p.requeue(a)
		}
	}
}

// ignoredLogInterval bounds what stale and contradictory reports make us log.
const ignoredLogInterval = 5 * micros.Second

// logIgnoredHeartbeat tells the operator of a report that is not believed.
func (p *partitionLeader) logIgnoredHeartbeat(why string, m *machine, r *messages.Heartbeat) {
	if p.core.now-p.ignoredHeartbeatLoggedAt >= ignoredLogInterval || p.ignoredHeartbeatLoggedAt == 0 {
		p.ignoredHeartbeatLoggedAt = p.core.now
		p.core.log(messages.LevelInfo, "heartbeat ignored", "reason", why, "machine", m.id, "agent_epoch", r.AgentEpoch, "sequence", r.Sequence, "known_agent_epoch", m.agent.Epoch(),
			"known_sequence", m.agent.Position().Sequence)
	}
}

// drainRestarted gives up a machine whose worker began anew within its lease: its
// session and seq may be below what was seen, so no order of its reports can be
// told any more. Its deletion settles what ran there.
func (p *partitionLeader) drainRestarted(m *machine) {
	if !m.decommissioned() {
		p.startDrain(m, drainAgentRestarted)
	}
}

// adoptAttempt takes an attempt that this holder did not start.
func (p *partitionLeader) adoptAttempt(m *machine, t *messages.TaskStatus) *attempt {
	a := &attempt{
		id:        t.AttemptID,
		machine:   m,
		state:     t.State,
		createdAt: p.core.now,
		start:     startState{sent: true},
	}
	a.job = p.jobs[t.Job]
	if e := p.core.cache.Jobs[t.Job]; e != nil {
		a.team, a.resources = e.Job.Team, e.Job.Resources
	}
	if a.job != nil && (t.Task < 0 || t.Task >= a.job.Tasks) {
		a.job = nil
	}
	a.index()
	if t.State == messages.Exited {
		a.state = messages.Fetching // so that update sees it exit
	}
	p.reserve(a)
	if a.job == nil {
		a.persisted = true
		switch {
		case t.State == messages.Exited:
		case p.core.isCancelled(t.Job):
			p.killAdopted(a)
		default:
			p.stopAttempt(a, 0)
		}
		return a
	}
	if t.State == messages.Exited {
		return a
	}
	if o := a.job.activeAttempts[t.Task]; o != nil {
		// Must never happen. The task does not wait again before both have ended.
		p.core.log(messages.LevelWarn, "duplicate task attempt", "job", t.Job, "task", t.Task, "machine", m.id, "other_machine", o.machine.id)
		a.job.duplicateAttempts = append(a.job.duplicateAttempts, a)
		a.persisted = true
		p.stopAttempt(a, 0)
		return a
	}
	a.job.activeAttempts[t.Task] = a
	a.job.pendingTasks.Remove(t.Task)
	if t.State == messages.Running {
		// The image is there, and the run is at least as old as this lease: without
		// that, every takeover forgot where images are and when machines will be free.
		a.runningSince = p.core.now
		m.useImage(a.job.Image, a.job.ImageGB)
	}
	switch {
	case a.job.cancelRequested:
		p.killAdopted(a)
	case a.job.taskCompleted(t.Task):
		p.stopAttempt(a, 0)
	}
	p.plan.stale = true
	return a
}

func (p *partitionLeader) updateAttempt(a *attempt, t *messages.TaskStatus) {
	if a.state == messages.Exited {
		return
	}
	if t.State != messages.Exited {
		if t.State == messages.Running && a.state != messages.Running {
			a.runningSince = p.core.now
			if a.job != nil {
				a.machine.useImage(a.job.Image, a.job.ImageGB)
				if a.job.Kind == workload.Service && a.startedHere {
					p.core.log(messages.LevelDebug, "service replica running", "job", a.job.ID, "task", a.id.Task, "machine", a.machine.id,
						"since_submitted_ms", (p.core.wall-a.job.Submitted)/micros.Millisecond, "since_start_ms", (p.core.now-a.createdAt)/micros.Millisecond)
				}
			}
		}
		a.state = t.State
		return
	}
	p.release(a)
	p.plan.stale = true
	if a.job == nil {
		a.persisted = true
		return
	}
	j := a.job
	switch t.ExitReason {
	case messages.ExitCompleted:
		if a.startedHere && a.runningSince > 0 {
			if j.runtime.samples >= 2 { // against its siblings: the owner's estimate says little
				a.machine.runtime.Observe(float64(p.core.now-a.runningSince) * float64(j.runtime.samples) / float64(max(1, j.runtime.total)))
			}
			p.core.runtimes.Observe(j.Class, j.Estimate, p.core.now-a.runningSince)
			j.runtime.total += p.core.now - a.runningSince
			j.runtime.samples++
		}
		p.core.faults.Succeeded(a.machine.id, j.ID)
		p.completeTask(a)
		return
	case messages.ExitFailed:
		p.core.faults.Failed(a.machine.id, j.ID)
		p.core.log(messages.LevelInfo, "task failed", "job", j.ID, "task", a.id.Task, "machine", a.machine.id)
		if p.core.faults.JobAtFault(j.ID) {
			// Failing everywhere: try less and less often, until its user cancels it.
			j.startsPausedUntil = p.core.now + min(60*micros.Second, micros.Second<<min(6, p.core.faults.Failures(j.ID)))
		}
	case messages.ExitInsufficientResources, messages.ExitDuplicateTask:
		a.machine.lifecycle.startsPausedUntil = p.core.now + micros.Second
		p.core.log(messages.LevelInfo, "task start refused", "job", j.ID, "task", a.id.Task, "machine", a.machine.id, "reason", t.ExitReason)
	case messages.ExitUnknownTask:
		j.startsPausedUntil = p.core.now + 2*micros.Second
	}
	a.persisted = true
	p.requeue(a)
}
