package coordination

import (
	"cmp"
	"fmt"
	"maps"
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
	needs     []fleet.CapacityRequest
	// unknownUse is what machines whose tasks are not known may be running, in this plan.
	unknownUse bookkeeping.Resources
	lastTick   micros.Time
	calmAt     micros.Time // silence is judged from then on
	// Until then, silence is put down to the network near this controller.
	doubtUntil       micros.Time
	zones            map[string]*zoneView // of machines in use
	zonesAt          micros.Time          // last look at them
	oddAt            micros.Time          // last report told as not believed
	told             string               // the job with which the next message on progress begins
	allKnown         bool                 // all machines are known, or were
	fleetAt          micros.Time
	mergedAt         micros.Time            // last look at surplus machines
	movedAt          micros.Time            // last move of a replica
	load             int64                  // CPU that arrays used of late
	toProbe          []*machine             // of this tick
	counted          *census                // of this tick
	turn             int                    // counts rounds of sending
	marking          map[string]micros.Time // blocks whose record of use is being written, or was: not again before
	kills            []*attempt             // of cancelled jobs, not shown gone
	unknown          map[string]micros.Time // needed jobs that are not in memory: not looked up before
	resolving        int                    // look-ups that are out
	cancelledBefore  map[string]bool        // cancelled with a job before them, which is to be written down
	writingCancelled bool
	writeCancelledAt micros.Time
	inherited        map[string]inheritance // of this plan
	shares           *fairShares            // nil: off
}

// job is an active job of the queue.
type job struct {
	*bookkeeping.Job
	version         uint64
	entry           *storage.JobEntry
	waiting         *bookkeeping.Bitmap
	pending         *bookkeeping.Bitmap // finished, not known to be stored
	live            map[int]*attempt
	attempts        map[*attempt]struct{} // all that machines may still show, ended ones included
	chunks          map[int]bool          // with pending tasks
	storing         bool
	storeAt         micros.Time
	pause           micros.Time // no starts before
	ran             micros.Time // run times of its completed tasks, added up
	ranN            int
	est             micros.Time // estimate of a task as of estAt
	estAt           micros.Time
	wasGuaranteed   bool                // it was within its team's guarantee when it was planned
	spared          *bookkeeping.Bitmap // stopped once for another job, and not again
	double          []*attempt          // second attempts at a live task, being stopped
	cancelRequested bool                // a sibling knows it to be cancelled: it starts nothing any more
	blocked         bool                // it waits on others
	ready           micros.Time         // time of day since which it may start
}

func (j *job) finished(task int) bool {
	return j.pending.Has(task) || (j.entry.Completed != nil && j.entry.Completed.Has(task))
}

func (j *job) finishedCount() int {
	n := j.pending.Len()
	if j.entry.Completed != nil {
		n += j.entry.Completed.Len()
		for t := j.pending.Next(0); t >= 0; t = j.pending.Next(t + 1) {
			if j.entry.Completed.Has(t) {
				n--
			}
		}
	}
	return n
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
	killBy  micros.Time // of a cancelled job: when it must be shown gone; 0: it is not
}

func newHolder(c *Core, n int, v storage.Versioned[storage.PartitionRecord]) *holder {
	h := &holder{c: c, queue: n, since: v.ModRevision, token: v.ModRevision, former: v.Value.FormerLeaders, taken: c.now,
		jobs: map[string]*job{}, usage: map[string]bookkeeping.Resources{}, dirty: true, lastTick: c.now,
		calmAt: c.now, planPause: planPace, noRoom: map[roomShape]bool{}, zones: map[string]*zoneView{}, marking: map[string]micros.Time{},
		unknown: map[string]micros.Time{}, cancelledBefore: map[string]bool{}}
	for _, id := range sortedKeys(c.cache.Machines) {
		h.blockChanged(id)
	}
	for _, id := range sortedKeys(c.cache.Jobs) {
		h.jobChanged(id)
	}
	h.lostBefore()
	h.shares = c.newFairShares(n)
	return h
}

func (c *Core) partitionOfJob(j *bookkeeping.Job) int {
	if t := c.teams[j.Team]; t != nil {
		return t.Partition
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
func (h *holder) resync(old *storage.Cache) {
	for _, id := range sortedKeys(old.Jobs) {
		h.jobChanged(id)
	}
	for _, id := range sortedKeys(h.c.cache.Jobs) {
		h.jobChanged(id)
	}
	for _, id := range sortedKeys(old.Machines) {
		h.blockChanged(id)
	}
	for _, id := range sortedKeys(h.c.cache.Machines) {
		h.blockChanged(id)
	}
}

func (h *holder) blockChanged(id string) {
	v, ok := h.c.cache.Machines[id]
	m := h.machine(id)
	switch {
	case !ok || v.Value.Partition != h.queue:
		// The leader removes a block only after the cloud confirmed that the
		// machine is gone, and a block moves only after its holder let go.
		h.machineGone(id)
	case m == nil:
		m = &machine{id: id, block: v.Value, version: v.ModRevision, addr: v.Value.Address, added: h.c.now, seen: h.c.now,
			attempts: map[AttemptID]*attempt{}, idle: h.c.now}
		// Nobody starts tasks on a machine before the record says so, and a block
		// that came after the lease was never a predecessor's.
		m.known = !v.Value.Used || v.ModRevision > h.since
		i, _ := slices.BinarySearchFunc(h.machines, id, func(m *machine, id string) int { return cmp.Compare(m.id, id) })
		h.machines = slices.Insert(h.machines, i, m)
		h.dirty = true
	default:
		m.block, m.version = v.Value, v.ModRevision
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
		a.forget()
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

// sortedAttempts are the job's attempts by machine, so that a run can be repeated.
func (j *job) sortedAttempts() []*attempt {
	out := slices.Collect(maps.Keys(j.attempts))
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.m.id, b.m.id), a.id.compare(b.id))
	})
	return out
}

// remember notes an attempt under its machine and its job: what concerns a job must not
// look at every machine of the fleet.
func (a *attempt) remember() {
	a.m.attempts[a.id] = a
	if a.j != nil {
		a.j.attempts[a] = struct{}{}
	}
}

// forget is the opposite of remember.
func (a *attempt) forget() {
	delete(a.m.attempts, a.id)
	if a.j != nil {
		delete(a.j.attempts, a)
	}
}

func (id AttemptID) compare(o AttemptID) int {
	return cmp.Or(cmp.Compare(id.Job, o.Job), cmp.Compare(id.Task, o.Task), cmp.Compare(id.Number, o.Number))
}

func (h *holder) jobChanged(id string) {
	e := h.c.cache.Jobs[id]
	j := h.jobs[id]
	if e != nil && e.CancelledByDependency && e.Job.Phase == bookkeeping.Active && h.c.partitionOfJob(e.Job) == h.queue {
		h.cancelledBefore[id] = true
	}
	if e == nil || e.Job.Phase != bookkeeping.Active || e.CancelledByDependency || h.c.partitionOfJob(e.Job) != h.queue {
		if j != nil {
			h.jobOver(j)
		}
		return
	}
	if j != nil {
		j.entry, j.version = e, e.ModRevision
		h.wait(j)
		return
	}
	j = &job{Job: e.Job, version: e.ModRevision, entry: e, waiting: bookkeeping.NewBitmap(e.Job.Tasks),
		pending: bookkeeping.NewBitmap(e.Job.Tasks), live: map[int]*attempt{}, attempts: map[*attempt]struct{}{}, chunks: map[int]bool{},
		spared: bookkeeping.NewBitmap(e.Job.Tasks)}
	for t := range e.Job.Tasks {
		if !j.finished(t) {
			j.waiting.Add(t)
		}
	}
	j.ready = j.Submitted
	j.blocked = j.HasDependencies()
	h.jobs[id] = j
	i, _ := slices.BinarySearchFunc(h.order, id, func(o *job, id string) int { return cmp.Compare(o.ID, id) })
	h.order = slices.Insert(h.order, i, j)
	_, j.cancelRequested = h.c.cancellations.requested[id]
	j.cancelRequested = j.cancelRequested || h.c.cancellations.noticed[id]
	h.wait(j)
	h.dirty = true
	h.c.log(levelDebug, "job", "job", id, "class", j.Class, "tasks", j.Tasks, "cpu", j.Resources.CPU, "estimate_ms", j.Estimate/micros.Millisecond,
		"due_ms", j.Deadline/micros.Millisecond)
}

// jobOver ends what is left of a job that is done or cancelled.
func (h *holder) jobOver(j *job) {
	cancelled := h.c.isCancelled(j.ID)
	delete(h.jobs, j.ID)
	h.order = slices.DeleteFunc(h.order, func(o *job) bool { return o == j })
	for _, a := range j.sortedAttempts() {
		a.j, a.stored = nil, true
		switch {
		case a.state == Exited:
		case cancelled:
			h.kill(a)
		default:
			h.stop(a, 0)
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
	a.m.outbox = append(a.m.outbox, Command{Operation: Stop, AttemptID: a.id, GracePeriod: grace})
}

// withdraw takes back an attempt whose start was not sent yet.
func (h *holder) withdraw(a *attempt) {
	h.leave(a)
	h.requeue(a)
	a.forget()
	a.m.outbox = slices.DeleteFunc(a.m.outbox, func(c Command) bool { return c.AttemptID == a.id })
}

// status is what the leader is told of the queue.
func (h *holder) status() PartitionStatus {
	s := PartitionStatus{Partition: h.queue, FencingToken: h.token, CapacityRequests: h.needs, UnreachableZones: h.lostZones()}
	if !h.c.term.Valid(h.c.now) {
		return s
	}
	s.Lags = h.lags()
	several := h.c.partitionCount() > 1
	idle := map[bool]int{} // of spot machines, and of the others
	for _, m := range h.machines {
		if m.draining == "silent" && (h.c.now < h.doubtUntil || h.zoneInDoubt(m.block.Zone)) && !m.expired {
			continue
		}
		if m.draining != "" && (m.draining == "silent" || m.draining == "never came up" || m.draining == "unresolved" || m.lost() || h.vacant(m)) {
			if len(s.Terminate) < maxReleaseTold {
				s.Terminate = append(s.Terminate, m.id)
			}
		} else if several && idle[m.block.Spot] < maxIdleTold && h.usable(m) && h.empty(m) {
			idle[m.block.Spot]++
			s.Idle = append(s.Idle, m.id)
		}
	}
	return s
}

// What one message to the siblings has room for, with the longest names, whatever the size
// of the fleet. The next message tells of what is left then: the leader deletes a hundred
// machines at a time, and moves one idle machine at a time.
const (
	maxReleaseTold = 1000
	maxIdleTold    = 100 // of each kind
)

// maxProgress bounds the jobs in one message to the siblings.
const maxProgress = 500

// progress tells how far jobs are, for display elsewhere. With more jobs than one
// message takes, the next goes on where the last ended, so that none is left out.
func (h *holder) progress() []JobProgress {
	from, _ := slices.BinarySearchFunc(h.order, h.told, func(j *job, id string) int { return cmp.Compare(j.ID, id) })
	var out []JobProgress
	for k := range h.order {
		j := h.order[(from+k)%len(h.order)]
		if len(out) == maxProgress {
			h.told = j.ID
			break
		}
		p := JobProgress{ID: j.ID, Done: j.finishedCount()}
		for _, a := range j.live {
			if a.state == Running || a.state == Checkpointing {
				p.Running++
			}
		}
		if p.Running > 0 || p.Done > 0 || h.c.progress[j.ID] != (JobProgress{}) {
			out = append(out, p)
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
	if !ok || h == nil || s.ToPartition == h.queue || !c.term.Valid(c.now) {
		return
	}
	to, ok := c.cache.Partitions[s.ToPartition]
	m := h.machine(s.Machine)
	if !ok || m == nil || m.draining != "" || !h.empty(m) {
		return
	}
	from := c.cache.Partitions[h.queue]
	rest := c.cache.Blocks[b.Value.Block]
	moved := storage.BlockRecord{Partition: s.ToPartition, InstanceType: b.Value.InstanceType, Zone: b.Value.Zone, Spot: b.Value.Spot}.With(m.id, b.Value.MachineRecord)
	key := c.keys.Block(fmt.Sprintf("m%d-%s", h.token, m.id))
	h.drain(m, "moving")
	r := &storage.Request{Kind: storage.Txn,
		Compares: []storage.Compare{{Key: c.keys.Partition(h.queue), ModRevision: h.token}, {Key: c.keys.Partition(s.ToPartition), ModRevision: to.ModRevision},
			{Key: c.keys.Block(b.Value.Block), ModRevision: rest.ModRevision}, {Key: key}},
		Puts: []storage.Put{{Key: key, Value: storage.Encode(moved)},
			{Key: c.keys.Partition(h.queue), Value: storage.Encode(from.Value)}, {Key: c.keys.Partition(s.ToPartition), Value: storage.Encode(to.Value)}}}
	if c.putBlock(r, b.Value.Block, rest.Value.Without(m.id)); len(r.Puts) > c.config.Settings.StateLimits().TxnOps {
		m.draining = "" // a record of an older version, too large: the next change splits it
		return
	}
	if !c.callStore(r, storage.Deferrable, storeTimeout, func(r *storage.Reply) {
		// Without a clear no, the move may still happen: the machine stays drained
		// here until the stream tells.
		if r.Outcome == storage.Conflict || r.Outcome == storage.Unavailable || r.Outcome == storage.Invalid {
			m.draining = ""
		}
	}) {
		m.draining = ""
	}
}

func has(s *bookkeeping.Bitmap, t int) bool { return s != nil && s.Has(t) }
