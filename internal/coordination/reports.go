package coordination

import (
	"slices"

	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/micros"
)

// handleHeartbeat answers a worker.
func (c *Core) handleHeartbeat(in *HeartbeatRequest) {
	r := in.Heartbeat
	if !c.synced {
		c.respondUnavailable(in.Request, "starting")
		return
	}
	b, ok := c.cache.Machines[r.Machine]
	if !ok {
		switch l := c.cache.ClusterLeader; {
		case c.isClusterLeader():
			c.leader.heardFromUnmanaged(c, r)
			c.respondUnavailable(in.Request, "unknown machine")
		case l.ModRevision != 0 && l.Value.Member != c.process.Member && !c.isolated():
			c.respond(Response{Request: in.Request, Kind: HeartbeatRedirected, RedirectTo: l.Value.Member})
		default:
			c.respondUnavailable(in.Request, "no leader")
		}
		return
	}
	h := c.partitions[b.Value.Partition]
	if h == nil {
		q, ok := c.cache.Partitions[b.Value.Partition]
		if ok && q.Value.Leader.Member != c.process.Member && c.cache.Live(q.Value.Leader) && !c.isolated() && !c.unreachableFromLeader(r, b.Value, q) {
			c.respond(Response{Request: in.Request, Kind: HeartbeatRedirected, RedirectTo: q.Value.Leader.Member})
		} else {
			c.respondUnavailable(in.Request, "no holder")
		}
		return
	}
	h.report(in, h.machine(r.Machine))
}

func (h *holder) report(in *HeartbeatRequest, m *machine) {
	r := in.Heartbeat
	switch {
	case m == nil:
		h.c.respondUnavailable(in.Request, "unknown machine")
		return
	case !h.c.term.Valid(h.c.now):
		// Silence past the term: a cancellation that is not seen here must end
		// these tasks when the workers' leases run out. Nobody is named: what is
		// known here of other holders is as old as the term.
		h.c.respond(Response{Request: in.Request, Kind: HeartbeatRedirected})
		return
	case r.FencingToken > h.token:
		// The worker would drop a 200 and stay here until its tasks die.
		h.outranked()
		h.c.respond(Response{Request: in.Request, Kind: HeartbeatRedirected})
		return
	}
	newer := m.newer(r)
	if !newer && (r.AgentEpoch < m.session || r.Sequence <= m.floor || h.c.now-m.news > answerPatience || r.FencingToken < m.top) {
		// A copy of an old report, whose answer reaches nobody, or a worker that
		// began anew: an answer must neither count nor renew a lease.
		h.odd("old report", m, r)
		h.c.respondUnavailable(in.Request, "old report")
		return
	}
	if newer {
		h.reached(m, r)
		h.observe(m, r)
	}
	if m.lost() || m.vain > maxVain {
		// Given up, or out of reach of our answers: more of them would only push off
		// the time from which its lease has surely run out.
		h.c.respondUnavailable(in.Request, "machine is given up")
		return
	}
	m.answered, m.replied = h.c.now, h.c.now
	var cmds []Command
	if newer {
		cmds = h.orders(m)
	}
	h.c.respond(Response{Request: in.Request, Kind: HeartbeatAcknowledged, FencingToken: h.token, Commands: cmds})
}

// newer tells whether a report is newer than all that is known of the machine.
func (m *machine) newer(r *Heartbeat) bool {
	return r.AgentEpoch > m.session || (r.AgentEpoch == m.session && r.Sequence > m.seq)
}

// maxVain is how many answers in a row may be shown as not received before a
// machine counts as out of reach.
const maxVain = 2

// answerPatience is how long a worker surely does not wait for an answer any more.
const answerPatience = 5 * micros.Second

// reached notes what a newer report says of our answer to the one before. A
// report proves nothing about the way back: a machine that reports but cannot be
// answered must neither count as sound nor have its lease renewed by answers that
// never arrive.
func (h *holder) reached(m *machine, r *Heartbeat) {
	if m.replied == 0 {
		return
	}
	if r.FencingToken < h.since || r.AgentEpoch > m.session {
		// Our answers under this lease, or in its last session, did not arrive.
		m.vain++
	} else if h.c.now-m.replied < answerPatience-1500*micros.Millisecond {
		// It goes on at its pace and stays with us: it had our answer.
		m.seen, m.vain, m.failed = h.c.now, 0, 0
		m.callAt = 0
	}
	m.replied = 0
}

// outranked: somebody has a higher token, so this lease is over, or about to be
// renewed; nothing is done until the stream tells.
func (h *holder) outranked() { h.c.term.Invalidate() }

// maxOrders bounds one answer to a worker.
const maxOrders = 200

// orders are the commands in the answer to a report: they are not executed
// late, since the worker drops late answers.
func (h *holder) orders(m *machine) []Command {
	if m.ack != h.token {
		return nil
	}
	var out []Command
	for id, a := range m.attempts {
		switch {
		case a.state == Exited:
			// A start that may still arrive would begin a forgotten attempt anew.
			if a.shown && a.stored && a.open == 0 && a.lost == 0 {
				out = append(out, Command{Operation: Forget, AttemptID: id})
			}
		case a.stop:
			out = append(out, Command{Operation: Stop, AttemptID: id, GracePeriod: h.graceLeft(a)})
		}
	}
	slices.SortFunc(out, func(a, b Command) int { return a.compare(b.AttemptID) })
	return out[:min(len(out), maxOrders)]
}

// graceLeft ends an attempt at once when its time to save is over.
func (h *holder) graceLeft(a *attempt) micros.Time {
	if a.grace == 0 || h.c.now-a.stopped > 2*a.grace+2*micros.Second {
		return 0
	}
	return a.grace
}

// observe takes a worker's report, from whichever way it came.
func (h *holder) observe(m *machine, r *Heartbeat) {
	if !m.newer(r) {
		return // older than what is known
	}
	if r.AgentEpoch == m.session && r.FencingToken < m.top && m.top >= h.since {
		// A worker never forgets a token: this one began anew under its old name.
		h.restarted(m)
		return
	}
	if r.AgentEpoch > m.session {
		h.newSession(m, r.AgentEpoch)
	}
	if h.c.now-m.floorAt > answerPatience {
		m.floor, m.floorNew, m.floorAt = m.floorNew, r.Sequence, h.c.now
	}
	m.seq, m.news = r.Sequence, h.c.now
	m.top = max(m.top, r.FencingToken)
	if m.expired {
		h.odd("of an ended session", m, r)
		return // sent before its lease ran out, and late: what it shows is gone
	}
	if r.Address != "" {
		m.addr = r.Address
	}
	m.notice = 0
	if r.PreemptionNotice >= 0 {
		m.notice = h.c.now + r.PreemptionNotice
	}
	if r.FencingToken > h.token {
		h.outranked()
		return
	}
	m.ack = r.FencingToken
	if r.FencingToken < h.since {
		// Not an exchange under this lease: perhaps a copy of an old report, perhaps
		// overtaken by what the predecessor still orders. It says nothing of tasks.
		return
	}
	h.takeTasks(m, r)
	if m.ack == h.token && !m.known {
		m.known = true
		h.dirty = true
	}
	h.evacuate(m)
}

// newSession notes that a machine's lease ran out: it killed and forgot all its tasks. That
// does not make it known: a predecessor may have started others since.
func (h *holder) newSession(m *machine, session uint64) {
	if m.session != 0 {
		known := m.known
		h.emptied(m)
		m.known = known
	} else {
		m.booted = h.c.now
	}
	m.session = session
	m.floor, m.floorNew, m.floorAt = 0, 0, h.c.now
	m.expired = false
	h.dirty = true
}

// takeTasks takes a report's tasks for the truth about its machine.
func (h *holder) takeTasks(m *machine, r *Heartbeat) {
	shown := make(map[AttemptID]bool, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		shown[t.AttemptID] = true
		a := m.attempts[t.AttemptID]
		if a == nil {
			a = h.adopt(m, t)
		}
		a.shown = true
		h.update(a, t)
	}
	if len(m.attempts) > len(shown) {
		for _, id := range sortedAttempts(m) {
			a := m.attempts[id]
			// A start that still waits in the outbox, or that got no answer, says nothing
			// by its absence: taking it for not started would run the task twice.
			if shown[id] || !a.sent || (!a.shown && a.open+a.lost > 0) {
				continue
			}
			// Forgotten as ordered, or, if it was never shown, surely not started.
			delete(m.attempts, id)
			h.leave(a)
			h.requeue(a)
		}
	}
}

// oddEvery bounds what stale and contradictory reports make us log.
const oddEvery = 5 * micros.Second

// odd tells the operator of a report that is not believed.
func (h *holder) odd(why string, m *machine, r *Heartbeat) {
	if h.c.now-h.oddAt >= oddEvery || h.oddAt == 0 {
		h.oddAt = h.c.now
		h.c.log(levelInfo, "report not believed", "why", why, "machine", m.id, "session", r.AgentEpoch, "seq", r.Sequence, "known_session", m.session,
			"known_seq", m.seq)
	}
}

// restarted gives up a machine whose worker began anew within its lease: its
// session and seq may be below what was seen, so no order of its reports can be
// told any more. Its deletion settles what ran there.
func (h *holder) restarted(m *machine) {
	if !m.lost() {
		h.drain(m, "restarted")
	}
}

// adopt takes an attempt that this holder did not start.
func (h *holder) adopt(m *machine, t *TaskStatus) *attempt {
	a := &attempt{id: t.AttemptID, m: m, state: t.State, made: h.c.now, sent: true}
	a.j = h.jobs[t.Job]
	if e := h.c.cache.Jobs[t.Job]; e != nil {
		a.team, a.need = e.Job.Team, e.Job.Resources
	}
	if a.j != nil && (t.Task < 0 || t.Task >= a.j.Tasks) {
		a.j = nil
	}
	a.remember()
	if t.State == Exited {
		a.state = Fetching // so that update sees it exit
	}
	h.enter(a)
	if a.j == nil {
		a.stored = true
		switch {
		case t.State == Exited:
		case h.c.isCancelled(t.Job):
			h.killAdopted(a)
		default:
			h.stop(a, 0)
		}
		return a
	}
	if t.State == Exited {
		return a
	}
	if o := a.j.live[t.Task]; o != nil {
		// Must never happen. The task does not wait again before both have ended.
		h.c.log(levelWarn, "task on two machines", "job", t.Job, "task", t.Task, "machine", m.id, "other", o.m.id)
		a.j.double = append(a.j.double, a)
		a.stored = true
		h.stop(a, 0)
		return a
	}
	a.j.live[t.Task] = a
	a.j.waiting.Remove(t.Task)
	if t.State == Running {
		// The image is there, and the run is at least as old as this lease: without
		// that, every takeover forgot where images are and when machines will be free.
		a.running = h.c.now
		m.useImage(a.j.Image, a.j.ImageGB)
	}
	switch {
	case a.j.cancelRequested:
		h.killAdopted(a)
	case a.j.finished(t.Task):
		h.stop(a, 0)
	}
	h.dirty = true
	return a
}

func (h *holder) update(a *attempt, t *TaskStatus) {
	if a.state == Exited {
		return
	}
	if t.State != Exited {
		if t.State == Running && a.state != Running {
			a.running = h.c.now
			if a.j != nil {
				a.m.useImage(a.j.Image, a.j.ImageGB)
				if a.j.Kind == bookkeeping.Service && a.own {
					h.c.log(levelDebug, "replica runs", "job", a.j.ID, "task", a.id.Task, "machine", a.m.id,
						"since_submitted_ms", (h.c.wall-a.j.Submitted)/micros.Millisecond, "since_start_ms", (h.c.now-a.made)/micros.Millisecond)
				}
			}
		}
		a.state = t.State
		return
	}
	h.leave(a)
	h.dirty = true
	if a.j == nil {
		a.stored = true
		return
	}
	j := a.j
	switch t.ExitReason {
	case ExitCompleted:
		if a.own && a.running > 0 {
			if j.ranN >= 2 { // against its siblings: the owner's estimate says little
				a.m.ran += min(20, float64(h.c.now-a.running)*float64(j.ranN)/float64(max(1, j.ran)))
				a.m.ranN++
			}
			h.c.runtimes.Observe(j.Class, j.Estimate, h.c.now-a.running)
			j.ran += h.c.now - a.running
			j.ranN++
		}
		h.c.faults.Succeeded(a.m.id, j.ID)
		h.finish(a)
		return
	case ExitFailed:
		h.c.faults.Failed(a.m.id, j.ID)
		h.c.log(levelInfo, "task failed", "job", j.ID, "task", a.id.Task, "machine", a.m.id)
		if h.c.faults.JobAtFault(j.ID) {
			// Failing everywhere: try less and less often, until its user cancels it.
			j.pause = h.c.now + min(60*micros.Second, micros.Second<<min(6, h.c.faults.Failures(j.ID)))
		}
	case ExitInsufficientResources, ExitDuplicateTask:
		a.m.pause = h.c.now + micros.Second
		h.c.log(levelInfo, "start refused", "job", j.ID, "task", a.id.Task, "machine", a.m.id, "cause", t.ExitReason)
	case ExitUnknownTask:
		j.pause = h.c.now + 2*micros.Second
	}
	a.stored = true
	h.requeue(a)
}
