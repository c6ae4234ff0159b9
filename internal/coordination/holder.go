package coordination

import (
	"cmp"
	"fmt"
	"slices"

	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/coordination/fleet"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// holder plans one queue and directs its machines, under one lease.
type holder struct {
	c      *Core
	queue  int
	since  uint64 // version at the change of holder: older jobs may be on silent machines
	token  uint64 // version now: the fencing token
	former []storage.Process
	taken  micros.Time

	machines []*machine // by name
	order    []*job     // by id
	jobs     map[string]*job
	usage    map[string]bookkeeping.Resources // by team
	counter  uint64

	dirty     bool
	planAt    micros.Time
	planPause micros.Time        // until the next plan
	replicas  int                // service tasks, running or not, as of planAt
	noRoom    map[roomShape]bool // of this plan
	needs     []fleet.Need
	lastTick  micros.Time
	calmAt    micros.Time // silence is judged from then on
	// Until then, silence is put down to the network near this controller.
	doubtUntil micros.Time
	oddAt      micros.Time // last report told as not believed
	knew       bool        // all machines are known, or were
	fleetAt    micros.Time
	mergedAt   micros.Time            // last look at surplus machines
	movedAt    micros.Time            // last move of a replica
	load       int64                  // CPU that arrays used of late
	toProbe    []*machine             // of this tick
	turn       int                    // counts rounds of sending
	marking    map[string]micros.Time // blocks whose record of use is being written, or was: not again before
}

// job is an active job of the queue.
type job struct {
	*bookkeeping.Job
	version uint64
	entry   *storage.JobEntry
	waiting *bookkeeping.TaskSet
	pending *bookkeeping.TaskSet // finished, not known to be stored
	live    map[int]*attempt
	chunks  map[int]bool // with pending tasks
	storing bool
	storeAt micros.Time
	pause   micros.Time // no starts before
	ran     micros.Time // run times of its completed tasks, added up
	ranN    int
	est     micros.Time // estimate of a task as of estAt
	estAt   micros.Time
	double  []*attempt // second attempts at a live task, being stopped
}

func (j *job) finished(task int) bool {
	return j.pending.Has(task) || (j.entry.Finished != nil && j.entry.Finished.Has(task))
}

func (j *job) finishedCount() int {
	n := j.pending.Len()
	if j.entry.Finished != nil {
		n += j.entry.Finished.Len()
		for t := j.pending.Next(0); t >= 0; t = j.pending.Next(t + 1) {
			if j.entry.Finished.Has(t) {
				n--
			}
		}
	}
	return n
}

// machine is a machine of the holder's blocks.
type machine struct {
	id      string
	block   storage.Machine
	version uint64 // of the block's key
	kind    *bookkeeping.MachineType
	addr    string
	session uint64
	seq     uint64
	ack     uint64 // highest token it reported
	known   bool   // its tasks are known, or it surely has none
	expired bool   // its lease ran out, or its session is over: empty until it reports

	added micros.Time
	// seen is when something last showed that our messages reach it: a report
	// alone does not, the way back may be cut.
	seen     micros.Time
	answered micros.Time // last answer that may have renewed its lease
	replied  micros.Time // last answer to a report, for seen
	vain     int         // answers in a row that its next report showed as not received
	top      uint64      // highest token it ever showed
	news     micros.Time // when its newest report or answer came
	floor    uint64      // a report up to this seq is surely not waiting for an answer
	floorNew uint64      // the next floor, known since floorAt
	floorAt  micros.Time
	notice   micros.Time // when the cloud takes it; 0: no notice
	idle     micros.Time // since when it has had no task; 0: it has
	draining string      // why it takes no more tasks
	drainAt  micros.Time // since when
	pause    micros.Time // no starts before

	ran  float64 // run times of completed tasks over their siblings', added up
	ranN int

	attempts   map[AttemptID]*attempt
	images     []image // most recently used last
	outbox     []Command
	calling    bool
	callAt     micros.Time
	probed     micros.Time
	failed     int  // calls without an answer, in a row
	lostStarts bool // a start got no answer
}

type image struct {
	name string
	gb   float64
}

// attempt is one attempt at a task, on its machine.
type attempt struct {
	id      AttemptID
	m       *machine
	j       *job // nil: the job is over or unknown
	team    string
	need    bookkeeping.Resources
	state   TaskState
	shown   bool // a report showed it
	stored  bool // nothing more is to be kept of it
	sent    bool // its start went out, or a report showed it
	open    int  // sends of its start without an answer yet
	lost    int  // sends of its start that got no answer: they may come late
	made    micros.Time
	running micros.Time // since when
	length  micros.Time // planned
	stop    bool
	grace   micros.Time
	stopped micros.Time // when the stop was first ordered
	own     bool        // started by this holder
}

func newHolder(c *Core, n int, v storage.Versioned[storage.QueueRecord]) *holder {
	h := &holder{c: c, queue: n, since: v.Version, token: v.Version, former: v.Value.Former, taken: c.now,
		jobs: map[string]*job{}, usage: map[string]bookkeeping.Resources{}, dirty: true, lastTick: c.now,
		calmAt: c.now, planPause: planPace, noRoom: map[roomShape]bool{}, marking: map[string]micros.Time{}}
	for _, id := range sortedKeys(c.replica.Machines) {
		h.blockChanged(id)
	}
	for _, id := range sortedKeys(c.replica.Jobs) {
		h.jobChanged(id)
	}
	return h
}

func (c *Core) queueOf(j *bookkeeping.Job) int {
	if t := c.teams[j.Team]; t != nil {
		return t.Queue
	}
	return 0
}

// newToken takes a new token under the same lease: every machine has to
// acknowledge it before it is given commands again.
func (h *holder) newToken(v uint64) {
	if v != h.token {
		h.token = v
		h.dirty = true
	}
}

// resync compares everything with a fresh copy of the state.
func (h *holder) resync(old *storage.Replica) {
	for _, id := range sortedKeys(old.Jobs) {
		h.jobChanged(id)
	}
	for _, id := range sortedKeys(h.c.replica.Jobs) {
		h.jobChanged(id)
	}
	for _, id := range sortedKeys(old.Machines) {
		h.blockChanged(id)
	}
	for _, id := range sortedKeys(h.c.replica.Machines) {
		h.blockChanged(id)
	}
}

func (h *holder) machine(id string) *machine {
	i, ok := slices.BinarySearchFunc(h.machines, id, func(m *machine, id string) int { return cmp.Compare(m.id, id) })
	if !ok {
		return nil
	}
	return h.machines[i]
}

func (h *holder) blockChanged(id string) {
	v, ok := h.c.replica.Machines[id]
	m := h.machine(id)
	switch {
	case !ok || v.Value.Queue != h.queue:
		// The leader removes a block only after the cloud confirmed that the
		// machine is gone, and a block moves only after its holder let go.
		h.machineGone(id)
	case m == nil:
		m = &machine{id: id, block: v.Value, version: v.Version, addr: v.Value.Address, added: h.c.now, seen: h.c.now,
			attempts: map[AttemptID]*attempt{}, idle: h.c.now}
		// Nobody starts tasks on a machine before the record says so, and a block
		// that came after the lease was never a predecessor's.
		m.known = !v.Value.Used || v.Version > h.since
		i, _ := slices.BinarySearchFunc(h.machines, id, func(m *machine, id string) int { return cmp.Compare(m.id, id) })
		h.machines = slices.Insert(h.machines, i, m)
		h.dirty = true
	default:
		m.block, m.version = v.Value, v.Version
		h.dirty = true
	}
}

func (h *holder) machineGone(id string) {
	m := h.machine(id)
	if m == nil {
		return
	}
	if m.block.Spot && m.session != 0 && (m.draining == "silent" || m.notice != 0) {
		h.c.spot.losses++
	}
	h.emptied(m)
	h.machines = slices.DeleteFunc(h.machines, func(o *machine) bool { return o == m })
	h.c.faults.ForgetMachine(id)
	h.dirty = true
	h.c.log(levelInfo, "machine gone", "machine", id, "why", m.draining)
}

// emptied notes that the machine surely has none of the tasks known so far.
func (h *holder) emptied(m *machine) {
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		h.leave(a)
		h.requeue(a)
		delete(m.attempts, id)
	}
	m.outbox = nil
	m.known = true
	m.ack = 0
	if m.idle == 0 {
		m.idle = h.c.now
	}
	h.dirty = true
}

func sortedAttempts(m *machine) []AttemptID {
	out := make([]AttemptID, 0, len(m.attempts))
	for id := range m.attempts {
		out = append(out, id)
	}
	slices.SortFunc(out, AttemptID.compare)
	return out
}

func (id AttemptID) compare(o AttemptID) int {
	return cmp.Or(cmp.Compare(id.Job, o.Job), cmp.Compare(id.Task, o.Task), cmp.Compare(id.Number, o.Number))
}

func (h *holder) jobChanged(id string) {
	e := h.c.replica.Jobs[id]
	j := h.jobs[id]
	if e == nil || e.Job.Phase != bookkeeping.Active || h.c.queueOf(e.Job) != h.queue {
		if j != nil {
			h.jobOver(j)
		}
		return
	}
	if j != nil {
		j.entry, j.version = e, e.Version
		return
	}
	j = &job{Job: e.Job, version: e.Version, entry: e, waiting: bookkeeping.NewTaskSet(e.Job.Tasks),
		pending: bookkeeping.NewTaskSet(e.Job.Tasks), live: map[int]*attempt{}, chunks: map[int]bool{}}
	for t := range e.Job.Tasks {
		if !j.finished(t) {
			j.waiting.Add(t)
		}
	}
	h.jobs[id] = j
	i, _ := slices.BinarySearchFunc(h.order, id, func(o *job, id string) int { return cmp.Compare(o.ID, id) })
	h.order = slices.Insert(h.order, i, j)
	h.dirty = true
	h.c.log(levelDebug, "job", "job", id, "class", j.Class, "tasks", j.Tasks, "cpu", j.Need.CPU, "estimate_ms", j.Estimate/micros.Millisecond,
		"due_ms", j.Deadline/micros.Millisecond)
}

// jobOver ends what is left of a job that is done or cancelled.
func (h *holder) jobOver(j *job) {
	delete(h.jobs, j.ID)
	h.order = slices.DeleteFunc(h.order, func(o *job) bool { return o == j })
	for _, m := range h.machines {
		for _, id := range sortedAttempts(m) {
			a := m.attempts[id]
			if a.j != j {
				continue
			}
			a.j, a.stored = nil, true
			if a.state != Exited {
				h.stop(a, 0)
			}
		}
	}
	h.c.faults.ForgetJob(j.ID)
	h.dirty = true
}

// enter and leave count what an attempt takes.
func (h *holder) enter(a *attempt) {
	h.usage[a.team] = h.usage[a.team].Add(a.need)
	a.m.idle = 0
}

func (h *holder) leave(a *attempt) {
	if a.state == Exited {
		return
	}
	a.state = Exited
	h.usage[a.team] = h.usage[a.team].Sub(a.need)
	for _, o := range a.m.attempts {
		if o.state != Exited {
			return
		}
	}
	a.m.idle = h.c.now
}

// requeue lets the task of an attempt that has ended wait again.
func (h *holder) requeue(a *attempt) {
	if a.j == nil || a.j.live[a.id.Task] != a {
		return
	}
	delete(a.j.live, a.id.Task)
	h.dirty = true
	for i, o := range a.j.double {
		if o.id.Task == a.id.Task && o.state != Exited {
			a.j.double = slices.Delete(a.j.double, i, i+1)
			a.j.live[a.id.Task] = o
			return
		}
	}
	if !a.j.finished(a.id.Task) {
		a.j.waiting.Add(a.id.Task)
	}
}

// report answers a worker.
func (c *Core) report(in *ReportIn) {
	r := in.Report
	if !c.synced {
		c.unavailable(in.Request, "starting")
		return
	}
	b, ok := c.replica.Machines[r.Machine]
	if !ok {
		switch l := c.replica.Leader; {
		case c.leading():
			c.leader.found(c, r)
			c.unavailable(in.Request, "unknown machine")
		case l.Version != 0 && l.Value.Member != c.proc.Member && !c.alone():
			c.answer(Answer{Request: in.Request, Kind: Elsewhere, Steward: l.Value.Member})
		default:
			c.unavailable(in.Request, "no leader")
		}
		return
	}
	h := c.holders[b.Value.Queue]
	if h == nil {
		c.strays[r.Machine] = stray{c.now, b.Value.Queue}
		q, ok := c.replica.Queues[b.Value.Queue]
		// A worker sent back to a holder that cannot hear it would lose the time in
		// which another could take over before its lease ends.
		if ok && q.Value.Holder.Member != c.proc.Member && c.replica.Live(q.Value.Holder) && !c.alone() && !c.saidDeaf(b.Value.Queue, q) {
			c.answer(Answer{Request: in.Request, Kind: Elsewhere, Steward: q.Value.Holder.Member})
		} else {
			c.unavailable(in.Request, "no holder")
		}
		return
	}
	h.report(in, h.machine(r.Machine))
}

// saidDeaf tells whether a queue's holder said of late that it does not hear its
// machines.
func (c *Core) saidDeaf(queue int, q storage.Versioned[storage.QueueRecord]) bool {
	p := c.peers[q.Value.Holder.Member]
	return p != nil && c.now-p.at < 2*micros.Second && p.status.From == q.Value.Holder &&
		slices.ContainsFunc(p.status.Queues, func(s QueueStatus) bool { return s.Queue == queue && s.Deaf })
}

func (h *holder) report(in *ReportIn, m *machine) {
	r := in.Report
	switch {
	case m == nil:
		h.c.unavailable(in.Request, "unknown machine")
		return
	case !h.c.term.Valid(h.c.now):
		// Silence past the term: a cancellation that is not seen here must end
		// these tasks when the workers' leases run out. Nobody is named: what is
		// known here of other holders is as old as the term.
		h.c.answer(Answer{Request: in.Request, Kind: Elsewhere})
		return
	case r.Token > h.token:
		// The worker would drop a 200 and stay here until its tasks die.
		h.outranked()
		h.c.answer(Answer{Request: in.Request, Kind: Elsewhere})
		return
	}
	newer := m.newer(r)
	if !newer && (r.Session < m.session || r.Seq <= m.floor || h.c.now-m.news > answerPatience || r.Token < m.top) {
		// A copy of an old report, whose answer reaches nobody, or a worker that
		// began anew: an answer must neither count nor renew a lease.
		h.odd("old report", m, r)
		h.c.unavailable(in.Request, "old report")
		return
	}
	if newer {
		h.reached(m, r)
		h.observe(m, r)
	}
	if m.lost() || m.vain > maxVain {
		// Given up, or out of reach of our answers: more of them would only push off
		// the time from which its lease has surely run out.
		h.c.unavailable(in.Request, "machine is given up")
		return
	}
	m.answered, m.replied = h.c.now, h.c.now
	var cmds []Command
	if newer {
		cmds = h.orders(m)
	}
	h.c.answer(Answer{Request: in.Request, Kind: Orders, Token: h.token, Commands: cmds})
}

// newer tells whether a report is newer than all that is known of the machine.
func (m *machine) newer(r *Report) bool {
	return r.Session > m.session || (r.Session == m.session && r.Seq > m.seq)
}

// lost tells whether the machine is given up for good: only its deletion, or the
// end of its lease, is waited for.
func (m *machine) lost() bool { return m.draining == "restarted" || m.draining == "unreachable" }

// maxVain is how many answers in a row may be shown as not received before a
// machine counts as out of reach.
const maxVain = 2

// answerPatience is how long a worker surely does not wait for an answer any more.
const answerPatience = 5 * micros.Second

// reached notes what a newer report says of our answer to the one before. A
// report proves nothing about the way back: a machine that reports but cannot be
// answered must neither count as sound nor have its lease renewed by answers that
// never arrive.
func (h *holder) reached(m *machine, r *Report) {
	if m.replied == 0 {
		return
	}
	if r.Token < h.since || r.Session > m.session {
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
func (h *holder) outranked() { h.c.term.Lapse() }

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
				out = append(out, Command{Op: Forget, AttemptID: id})
			}
		case a.stop:
			out = append(out, Command{Op: Stop, AttemptID: id, Grace: h.graceLeft(a)})
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
func (h *holder) observe(m *machine, r *Report) {
	if !m.newer(r) {
		return // older than what is known
	}
	if r.Session == m.session && r.Token < m.top && m.top >= h.since {
		// A worker never forgets a token: this one began anew under its old name.
		h.restarted(m)
		return
	}
	if r.Session > m.session {
		if m.session != 0 {
			// The lease ran out: it killed and forgot all its tasks. That does not make
			// it known: a predecessor may have started others since.
			known := m.known
			h.emptied(m)
			m.known = known
		}
		m.session = r.Session
		m.floor, m.floorNew, m.floorAt = 0, 0, h.c.now
		m.expired = false
		h.dirty = true
	}
	if h.c.now-m.floorAt > answerPatience {
		m.floor, m.floorNew, m.floorAt = m.floorNew, r.Seq, h.c.now
	}
	m.seq, m.news = r.Seq, h.c.now
	m.top = max(m.top, r.Token)
	if m.expired {
		h.odd("of an ended session", m, r)
		return // sent before its lease ran out, and late: what it shows is gone
	}
	if r.Address != "" {
		m.addr = r.Address
	}
	m.notice = 0
	if r.Notice >= 0 {
		m.notice = h.c.now + r.Notice
	}
	if r.Token > h.token {
		h.outranked()
		return
	}
	m.ack = r.Token
	if r.Token < h.since {
		// Not an exchange under this lease: perhaps a copy of an old report, perhaps
		// overtaken by what the predecessor still orders. It says nothing of tasks.
		return
	}
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
	if m.ack == h.token && !m.known {
		m.known = true
		h.dirty = true
	}
}

// oddEvery bounds what stale and contradictory reports make us log.
const oddEvery = 5 * micros.Second

// odd tells the operator of a report that is not believed.
func (h *holder) odd(why string, m *machine, r *Report) {
	if h.c.now-h.oddAt >= oddEvery || h.oddAt == 0 {
		h.oddAt = h.c.now
		h.c.log(levelInfo, "report not believed", "why", why, "machine", m.id, "session", r.Session, "seq", r.Seq, "known_session", m.session,
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
func (h *holder) adopt(m *machine, t *TaskReport) *attempt {
	a := &attempt{id: t.AttemptID, m: m, state: t.State, made: h.c.now, sent: true}
	m.attempts[a.id] = a
	a.j = h.jobs[t.Job]
	if e := h.c.replica.Jobs[t.Job]; e != nil {
		a.team, a.need = e.Job.Team, e.Job.Need
	}
	if a.j != nil && (t.Task < 0 || t.Task >= a.j.Tasks) {
		a.j = nil
	}
	if t.State == Exited {
		a.state = Fetching // so that update sees it exit
	}
	h.enter(a)
	if a.j == nil {
		a.stored = true
		if t.State != Exited {
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
	if a.j.finished(t.Task) {
		h.stop(a, 0)
	}
	h.dirty = true
	return a
}

func (h *holder) update(a *attempt, t *TaskReport) {
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
	switch t.Cause {
	case CauseDone:
		if a.own && a.running > 0 {
			if j.ranN >= 2 { // against its siblings: the owner's estimate says little
				a.m.ran += min(20, float64(h.c.now-a.running)*float64(j.ranN)/float64(max(1, j.ran)))
				a.m.ranN++
			}
			h.c.stats.Observe(j.Class, j.Estimate, h.c.now-a.running)
			j.ran += h.c.now - a.running
			j.ranN++
		}
		h.c.faults.Succeeded(a.m.id, j.ID)
		h.finish(a)
		return
	case CauseError:
		h.c.faults.Failed(a.m.id, j.ID)
		h.c.log(levelInfo, "task failed", "job", j.ID, "task", a.id.Task, "machine", a.m.id)
		if h.c.faults.Mistaken(j.ID) {
			// Failing everywhere: try less and less often, until its user cancels it.
			j.pause = h.c.now + min(60*micros.Second, micros.Second<<min(6, h.c.faults.Failures(j.ID)))
		}
	case CauseNoRoom, CauseBusy:
		a.m.pause = h.c.now + micros.Second
		h.c.log(levelInfo, "start refused", "job", j.ID, "task", a.id.Task, "machine", a.m.id, "cause", t.Cause)
	case CauseUnknown:
		j.pause = h.c.now + 2*micros.Second
	}
	a.stored = true
	h.requeue(a)
}

func (m *machine) hasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i image) bool { return i.name == name })
}

// useImage keeps the machine's most recently used images, as its cache does.
func (m *machine) useImage(name string, gb float64) {
	if name == "" {
		return
	}
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == name })
	m.images = append(m.images, image{name, gb})
	if m.kind == nil {
		return
	}
	for sum := 0.0; ; sum = 0 {
		for _, i := range m.images {
			sum += i.gb
		}
		if sum <= m.kind.CacheGB || len(m.images) <= 1 {
			return
		}
		m.images = m.images[1:]
	}
}

// finish notes a completed task; its attempt is forgotten once that is stored.
func (h *holder) finish(a *attempt) {
	j, t := a.j, a.id.Task
	if j.live[t] == a {
		delete(j.live, t)
	}
	j.waiting.Remove(t)
	if j.entry.Finished != nil && j.entry.Finished.Has(t) {
		a.stored = true
		return
	}
	j.pending.Add(t)
	j.chunks[t/bookkeeping.ChunkTasks] = true
}

// partialEvery is how often finished tasks of an unfinished job are stored.
// Until then their workers keep showing them, so a crash loses nothing.
const partialEvery = 1500 * micros.Millisecond

// store writes finished ranges, and that the job is done when all are.
func (h *holder) store(j *job) {
	if j.storing || len(j.chunks) == 0 || h.c.now < j.storeAt || !h.c.term.Valid(h.c.now) {
		return
	}
	whole := j.Kind == bookkeeping.Array && j.finishedCount() == j.Tasks
	if !whole && j.storeAt == 0 {
		j.storeAt = h.c.now + partialEvery
		return
	}
	maxOps := h.c.cfg.Settings.State.TxnOps
	r := &storage.Request{Kind: storage.Commit, Conditions: []storage.Condition{
		{Key: h.c.keys.Queue(h.queue), Version: h.token},
		{Key: h.c.keys.Job(j.ID), Version: j.version},
	}}
	written := map[int]*bookkeeping.TaskSet{}
	if whole {
		r.Puts = append(r.Puts, storage.Put{Key: h.c.keys.Job(j.ID), Value: storage.Encode(j.Final(bookkeeping.Done))})
		for _, chunk := range sortedKeys(j.entry.FinVersion) {
			if len(r.Deletes)+1 < maxOps {
				r.Deletes = append(r.Deletes, h.c.keys.Fin(j.ID, chunk))
			}
		}
	} else {
		all := bookkeeping.NewTaskSet(j.Tasks)
		for t := range j.Tasks {
			if j.finished(t) {
				all.Add(t)
			}
		}
		for _, chunk := range sortedKeys(j.chunks) {
			if len(r.Puts) >= maxOps {
				break
			}
			key := h.c.keys.Fin(j.ID, chunk)
			// The chunk's own version keeps a late copy of an older write from
			// taking finished tasks back.
			r.Conditions = append(r.Conditions, storage.Condition{Key: key, Version: j.entry.FinVersion[chunk]})
			r.Puts = append(r.Puts, storage.Put{Key: key, Value: storage.Encode(all.Ranges(chunk))})
			written[chunk] = all
		}
	}
	urgency := storage.Patient
	if whole {
		urgency = storage.Urgent
	}
	j.storing = h.c.callState(r, urgency, stateTimeout, func(reply *storage.Reply) {
		j.storing = false
		j.storeAt = h.c.now + 300*micros.Millisecond
		if reply.Outcome != storage.OK {
			return
		}
		// The stream brings the same to the replica; what is stored now may be
		// forgotten by the workers.
		j.storeAt = h.c.now + partialEvery
		for _, m := range h.machines {
			for _, a := range m.attempts {
				if a.j == j && a.state == Exited && (whole || has(written[a.id.Task/bookkeeping.ChunkTasks], a.id.Task)) {
					a.stored = true
				}
			}
		}
		for chunk, set := range written {
			left := false
			lo := chunk * bookkeeping.ChunkTasks
			for t := j.pending.Next(lo); t >= 0 && t < lo+bookkeeping.ChunkTasks; t = j.pending.Next(t + 1) {
				left = left || !set.Has(t)
			}
			if !left {
				delete(j.chunks, chunk)
			}
		}
		if whole {
			clear(j.chunks)
			took := h.c.wall - j.Submitted
			h.c.log(levelInfo, "job done", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "took_ms", took/micros.Millisecond,
				"late_ms", (took-j.Deadline)/micros.Millisecond)
		}
	})
}

// stop orders an attempt to end.
func (h *holder) stop(a *attempt, grace micros.Time) {
	if a.state == Exited || (a.stop && a.grace <= grace) {
		return
	}
	if !a.sent {
		h.withdraw(a)
		return
	}
	a.stop, a.grace = true, grace
	if a.stopped == 0 {
		a.stopped = h.c.now
	}
	a.m.outbox = append(a.m.outbox, Command{Op: Stop, AttemptID: a.id, Grace: grace})
}

// withdraw takes back an attempt whose start was not sent yet.
func (h *holder) withdraw(a *attempt) {
	h.leave(a)
	h.requeue(a)
	delete(a.m.attempts, a.id)
	a.m.outbox = slices.DeleteFunc(a.m.outbox, func(c Command) bool { return c.AttemptID == a.id })
}

// silence is how long a machine may go without news.
func (h *holder) silence() micros.Time {
	return micros.Time(h.c.cfg.Operator.SilenceMs) * micros.Millisecond
}

// askAfter is how long a machine may be quiet before it is asked: one that serves
// somebody earlier, since its replicas are missed from the moment that it dies.
func (h *holder) askAfter(m *machine) micros.Time {
	ask := h.silence() * 2 / 3
	if replicasOn(m) > 0 {
		ask = min(ask, max(h.silence()/4, 2*micros.Second))
	}
	return ask
}

// usable tells whether tasks may be started on the machine.
func (h *holder) usable(m *machine) bool {
	return m.known && !m.expired && m.ack == h.token && m.session != 0 && m.block.Used && m.draining == "" &&
		m.notice == 0 && m.addr != "" && m.failed == 0 && h.c.now-m.seen < h.silence()*3/4
}

// lastAnswer is when a worker of this machine can last have had an answer that
// renewed its lease: ours, or a predecessor's, whose answers end with its term,
// or with its process if that is known to be dead.
func (h *holder) lastAnswer(m *machine) micros.Time {
	last := h.taken
	if m.block.Used {
		for _, p := range h.former {
			end, dead := h.c.ends[p]
			if !dead {
				end = h.taken + h.c.cfg.Term()
			}
			last = max(last, end)
		}
	}
	return max(last, m.answered)
}

func (h *holder) tick() {
	now := h.c.now
	if now-h.lastTick > micros.Second {
		// This process did not run for a while: the silence was ours.
		h.calmAt = now
		for _, m := range h.machines {
			m.seen = max(m.seen, now-h.silence()/2)
		}
	}
	for _, m := range h.machines {
		if m.block.Spot && m.session != 0 && m.draining == "" {
			h.c.spot.time += now - h.lastTick
		}
	}
	h.lastTick = now
	if h.manySilent() {
		// The last of them to be heard again must not be taken for dead meanwhile.
		h.doubtUntil = now + h.silence()
	}
	if !h.c.term.Valid(now) {
		return
	}
	for _, m := range slices.Clone(h.machines) {
		h.tickMachine(m)
	}
	h.probeSome()
	h.markUsed()
	for _, j := range h.order {
		h.store(j)
	}
	h.schedule()
	h.sendSome()
}

// sendSome sends what waits for machines: what services and cancellations wait for
// first, what machines wait for that did not answer last, and of these another
// first every time.
func (h *holder) sendSome() {
	var rest, failing []*machine
	for _, m := range h.machines {
		switch {
		case len(m.outbox) == 0 || m.calling:
		case m.failed > 0:
			failing = append(failing, m)
		case !slices.ContainsFunc(m.outbox, func(c Command) bool { return c.Op == Stop || h.isService(c.Job) }):
			rest = append(rest, m)
		case h.c.roomForCalls(false) > 0:
			h.send(m)
		}
	}
	for _, m := range rest {
		if h.c.roomForCalls(false) <= 0 {
			break
		}
		h.send(m)
	}
	h.turn++
	for i := range failing {
		if h.c.roomForCalls(true) <= 0 {
			break
		}
		h.send(failing[(i+h.turn)%len(failing)])
	}
}

func (h *holder) isService(id string) bool {
	j := h.jobs[id]
	return j != nil && j.Kind == bookkeeping.Service
}

func (h *holder) tickMachine(m *machine) {
	now := h.c.now
	if m.kind == nil && h.c.catalog != nil {
		m.kind = h.c.catalog[m.block.Type]
	}
	up := m.session != 0 || m.block.Used
	quiet := now - max(m.seen, h.calmAt)
	if up && !m.expired && now > h.lastAnswer(m)+h.c.cfg.LeaseRunOut() && quiet > h.silence() {
		h.c.log(levelInfo, "machine's lease ran out", "machine", m.id)
		h.emptied(m)
		m.expired = true
	}
	if up && m.addr != "" && !m.calling && now-m.probed > micros.Second && (m.failed > 0 || m.ack != h.token || (quiet > h.silence()/4 && quiet > h.askAfter(m))) {
		h.toProbe = append(h.toProbe, m)
	}
	if m.draining == "" {
		switch {
		case up && quiet > h.silence() && (m.failed > 0 || m.addr == "") && now >= h.doubtUntil:
			h.drain(m, "silent")
		case up && m.failed > 1 && quiet > h.askAfter(m)+1500*micros.Millisecond && now >= h.doubtUntil && replicasOn(m) > 0:
			// Two calls in a row without an answer: its replicas do not wait for the
			// time that reports may take.
			h.drain(m, "silent")
		case up && m.expired && quiet > 3*h.c.cfg.LeaseRunOut():
			// Long empty; a fault near this controller would have shown by now.
			h.drain(m, "silent")
		case m.vain > maxVain && m.failed > 1:
			h.drain(m, "unreachable")
		case !m.known && m.failed > 1 && h.mostKnown():
			// Older jobs wait for the last machine that could have their tasks: after
			// a takeover one that does not answer, while the others do, is not waited
			// for any longer. Its reports may arrive: that says nothing of the way back.
			h.drain(m, "silent")
		case !up && m.kind != nil && now-m.added > 3*m.kind.Boot+10*micros.Second:
			h.drain(m, "never came up")
		case h.c.faults.Faulty(m.id):
			h.drain(m, "faulty")
		case m.ranN >= slowAfter && m.slowness() > tooSlow:
			h.drain(m, "slow")
		case h.unresolved(m):
			// A start that is no longer wanted may still arrive: only the end of the
			// machine, or of its session, settles that.
			h.drain(m, "unresolved")
		}
	}
	if m.draining == "silent" && quiet < micros.Second && h.usableBut(m) {
		m.draining = "" // it came back before it was deleted
		h.dirty = true
	}
}

// unresolved tells whether a start was sent in vain, is no longer wanted, and
// has not been settled for a good part of a worker's lease.
func (h *holder) unresolved(m *machine) bool {
	if !m.lostStarts {
		return false
	}
	for _, a := range m.attempts {
		if a.stop && !a.shown && a.lost > 0 && h.c.now-a.stopped > h.c.cfg.Lease()/2 {
			return true
		}
	}
	return false
}

// usableBut is usable apart from draining.
func (h *holder) usableBut(m *machine) bool {
	return m.known && !m.expired && m.ack == h.token && m.session != 0
}

func (h *holder) drain(m *machine, why string) {
	m.draining, m.drainAt = why, h.c.now
	h.c.statusUp = true
	h.dirty = true
	h.c.log(levelInfo, "machine drains", "machine", m.id, "why", why, "attempts", len(m.attempts))
}

const (
	// slowAfter is how many tasks must have completed before a machine is judged.
	slowAfter = 3
	// tooSlow is how much slower than its peers a machine may be: sound ones of a
	// type differ by a tenth, estimates by more.
	tooSlow = 2.5
)

// slowness is the machine's run times against those of the same jobs elsewhere;
// what lies within the spread of sound machines counts as none.
func (m *machine) slowness() float64 {
	if s := (2 + m.ran) / float64(2+m.ranN); s > 1.3 {
		return s
	}
	return 1
}

// mostKnown tells whether most of the machines in use are known.
func (h *holder) mostKnown() bool {
	known, used := 0, 0
	for _, m := range h.machines {
		if m.block.Used {
			used++
			if m.known {
				known++
			}
		}
	}
	return known*4 >= used*3
}

// manySilent tells whether so many machines are silent, or overdue, at once that
// the fault is more likely near this controller than at each of them: then none
// is deleted, and only the end of its lease writes one off. Overdue ones count
// because in a cut the machines fall silent one after the other. A fault near here
// hits all alike: while those of another zone, or the ordinary ones, are heard as
// ever, a zone was lost or spot machines were taken, however many, and what ran
// there need not wait. Nor is it near here, but not at the machines either, if
// they turn to other controllers.
func (h *holder) manySilent() bool {
	type share struct {
		zone string
		spot bool
	}
	var silent, up int
	shares := map[share][2]int{}
	for _, m := range h.machines {
		if m.session == 0 && !m.block.Used {
			continue
		}
		k := share{m.block.Zone, m.block.Spot}
		n := shares[k]
		up++
		n[1]++
		if h.c.now-m.seen > h.silence()*7/10 {
			silent++
			n[0]++
		}
		shares[k] = n
	}
	if silent <= 2 || silent*3 <= up {
		return false
	}
	if h.c.heardElsewhere(h.queue)*4 > silent {
		return true
	}
	for _, n := range shares {
		if n[1] >= 3 && n[0]*3 <= n[1] {
			return false
		}
	}
	return true
}

// countSilent counts the machines in use, and those of them that are silent.
func (h *holder) countSilent(is func(*machine) bool) (silent, up int) {
	for _, m := range h.machines {
		if m.session == 0 && !m.block.Used {
			continue
		}
		up++
		if is(m) {
			silent++
		}
	}
	return silent, up
}

// deaf tells whether most of the machines are silent.
func (h *holder) deaf() bool {
	silent, up := h.countSilent(func(m *machine) bool { return h.c.now-m.seen > h.silence() && m.failed > 0 })
	return silent > 2 && silent*3 > up*2
}

// markPace is how long machines that boot after others of their block wait to be
// marked together.
const markPace = 300 * micros.Millisecond

// markUsed writes which machines are in use, before their first task, a block's
// together.
func (h *holder) markUsed() {
	var marked map[string]storage.BlockRecord
	var order []string
	for _, m := range h.machines {
		if m.block.Used || m.session == 0 || m.ack != h.token || m.draining != "" || h.c.now < h.marking[m.block.Block] {
			continue
		}
		name := m.block.Block
		b, ok := marked[name]
		if !ok {
			if b, ok = h.c.replica.Blocks[name].Value, h.c.replica.Blocks[name].Version == m.version; !ok {
				continue
			}
			if marked == nil {
				marked = map[string]storage.BlockRecord{}
			}
			order = append(order, name)
		}
		marked[name] = b.With(m.id, storage.MachineRecord{Address: m.addr, Used: true})
	}
	for _, name := range order {
		h.marking[name] = h.c.now + stateTimeout + micros.Second
		if !h.c.callState(&storage.Request{Kind: storage.Commit,
			Conditions: []storage.Condition{{Key: h.c.keys.Queue(h.queue), Version: h.token},
				{Key: h.c.keys.Block(name), Version: h.c.replica.Blocks[name].Version}},
			Puts: []storage.Put{{Key: h.c.keys.Block(name), Value: storage.Encode(marked[name])}},
		}, storage.Urgent, stateTimeout, func(*storage.Reply) { h.marking[name] = h.c.now + markPace }) {
			h.marking[name] = h.c.now + markPace
			break
		}
	}
}

// probeSome asks machines for their reports: directly, under our token once its
// session is known, so that a machine acknowledges it. The one asked longest ago
// goes first: many that never answer must not keep the others from being asked.
func (h *holder) probeSome() {
	room := h.c.roomForCalls(true)
	if len(h.toProbe) > room {
		slices.SortStableFunc(h.toProbe, func(a, b *machine) int { return cmp.Compare(a.probed, b.probed) })
	}
	for i, m := range h.toProbe {
		if i >= room {
			break
		}
		m.probed = h.c.now
		h.callMachine(m, nil, m.session == 0)
	}
	clear(h.toProbe)
	h.toProbe = h.toProbe[:0]
}

// send sends what waits for a machine.
func (h *holder) send(m *machine) {
	if m.calling || len(m.outbox) == 0 || m.ack != h.token || m.session == 0 || m.addr == "" || h.c.now < m.callAt {
		return
	}
	n := min(len(m.outbox), maxOrders)
	batch := slices.Clone(m.outbox[:n])
	m.outbox = slices.Delete(m.outbox, 0, n)
	for i := range batch {
		a := m.attempts[batch[i].AttemptID]
		if a != nil && batch[i].Op == Start {
			a.open++
			a.sent = true
		}
	}
	h.callMachine(m, batch, false)
}

func (h *holder) callMachine(m *machine, batch []Command, show bool) {
	m.calling = true
	session, seq, token := m.session, m.seq, h.token
	h.c.callWorker(WorkerCall{Machine: m.id, Address: m.addr, Token: token, Session: session, Commands: batch, Show: show,
		Timeout: micros.Second}, func(r *WorkerReply) {
		m.calling = false
		if h.c.holders[h.queue] != h || h.machine(m.id) != m {
			return
		}
		if r.Report != nil && r.Report.Machine != m.id {
			r.Report = nil // an address that another machine has now
			m.addr = ""
		}
		for _, cmd := range batch {
			a := m.attempts[cmd.AttemptID]
			if a == nil || cmd.Op != Start {
				continue
			}
			a.open--
			if r.Report == nil && m.session == session {
				a.lost++ // it may still be executed, even minutes later
				m.lostStarts = true
			}
		}
		if r.Report == nil {
			m.failed++
			m.callAt = h.c.now + 300*micros.Millisecond<<min(m.failed-1, 3)
			if m.session == session {
				// The same attempts again: repeating them is safe.
				m.outbox = append(h.stillWanted(m, batch), m.outbox...)
			}
			return
		}
		if rep := r.Report; rep.Session < session || (rep.Session == session && rep.Seq <= seq) {
			// Its answer, given after the call, is older than what was known before it.
			h.restarted(m)
			return
		}
		m.seen, m.failed, m.vain = h.c.now, 0, 0
		h.observe(m, r.Report)
		if show {
			m.probed = 0 // its session is known now: it can be told our token
		}
	})
}

// stillWanted are the commands of a lost batch that are worth sending again.
func (h *holder) stillWanted(m *machine, batch []Command) []Command {
	var out []Command
	for _, cmd := range batch {
		a := m.attempts[cmd.AttemptID]
		if a == nil || a.state == Exited || (cmd.Op == Start && (a.stop || a.shown)) {
			continue
		}
		out = append(out, cmd)
	}
	return out
}

// status is what the leader is told of the queue.
func (h *holder) status() QueueStatus {
	s := QueueStatus{Queue: h.queue, Token: h.token, Needs: h.needs, Deaf: h.deaf()}
	if !h.c.term.Valid(h.c.now) {
		return s
	}
	for _, m := range h.machines {
		if m.draining == "silent" && h.c.now < h.doubtUntil && !m.expired {
			continue
		}
		if m.draining != "" && (m.draining == "silent" || m.draining == "never came up" || m.draining == "unresolved" || m.lost() || h.empty(m)) {
			s.Release = append(s.Release, m.id)
		} else if h.usable(m) && h.empty(m) {
			s.Idle = append(s.Idle, m.id)
		}
	}
	return s
}

// empty tells whether nothing on the machine matters any more.
func (h *holder) empty(m *machine) bool {
	if m.calling || len(m.outbox) > 0 {
		return false
	}
	for _, a := range m.attempts {
		if a.state != Exited || !a.stored || a.open+a.lost > 0 {
			return false
		}
	}
	return true
}

func (h *holder) progress() []JobProgress {
	var out []JobProgress
	for _, j := range h.order {
		id := j.ID
		p := JobProgress{ID: id, Done: j.finishedCount()}
		for _, a := range j.live {
			if a.state == Running || a.state == Saving {
				p.Running++
			}
		}
		if p.Running > 0 || p.Done > 0 || h.c.progress[id] != (JobProgress{}) {
			out = append(out, p)
		}
		if len(out) == 500 {
			break
		}
	}
	return out
}

// shift moves an empty machine to another queue: this holder has let go, and
// both queues get new tokens in the same transaction, so that the machine obeys
// the new holder only, and that one only after the machine acknowledged it.
func (c *Core) shift(s Shift) {
	b, ok := c.replica.Machines[s.Machine]
	h := c.holders[b.Value.Queue]
	if !ok || h == nil || s.To == h.queue || !c.term.Valid(c.now) {
		return
	}
	to, ok := c.replica.Queues[s.To]
	m := h.machine(s.Machine)
	if !ok || m == nil || m.draining != "" || !h.empty(m) {
		return
	}
	from := c.replica.Queues[h.queue]
	rest := c.replica.Blocks[b.Value.Block]
	moved := storage.BlockRecord{Queue: s.To, Type: b.Value.Type, Zone: b.Value.Zone, Spot: b.Value.Spot}.With(m.id, b.Value.MachineRecord)
	key := c.keys.Block(fmt.Sprintf("m%d-%s", h.token, m.id))
	h.drain(m, "moving")
	if !c.callState(&storage.Request{Kind: storage.Commit,
		Conditions: []storage.Condition{{Key: c.keys.Queue(h.queue), Version: h.token}, {Key: c.keys.Queue(s.To), Version: to.Version},
			{Key: c.keys.Block(b.Value.Block), Version: rest.Version}, {Key: key}},
		Puts: []storage.Put{{Key: key, Value: storage.Encode(moved)},
			{Key: c.keys.Block(b.Value.Block), Value: storage.Encode(rest.Value.Without(m.id))},
			{Key: c.keys.Queue(h.queue), Value: storage.Encode(from.Value)}, {Key: c.keys.Queue(s.To), Value: storage.Encode(to.Value)}},
	}, storage.Patient, stateTimeout, func(r *storage.Reply) {
		// Without a clear no, the move may still happen: the machine stays drained
		// here until the stream tells.
		if r.Outcome == storage.Conflict || r.Outcome == storage.Refused {
			m.draining = ""
		}
	}) {
		m.draining = ""
	}
}

func has(s *bookkeeping.TaskSet, t int) bool { return s != nil && s.Has(t) }
