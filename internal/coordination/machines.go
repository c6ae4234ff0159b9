package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

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
	failed     int         // calls without an answer, in a row
	vainAt     micros.Time // when the first of them was sent
	lostStarts bool        // a start got no answer
	evacuated  bool        // what will not end before it is taken was stopped
}

type image struct {
	name string
	gb   float64
}

func (h *holder) machine(id string) *machine {
	i, ok := slices.BinarySearchFunc(h.machines, id, func(m *machine, id string) int { return cmp.Compare(m.id, id) })
	if !ok {
		return nil
	}
	return h.machines[i]
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
		m.notice == 0 && m.addr != "" && m.failed == 0 && h.c.now-m.seen < h.silence()*3/4 && h.unanswered(m) < h.c.cfg.Lease()/2
}

// unanswered is for how long no report of the machine was answered. One that direct
// commands reach while it reaches no controller loses its tasks all the same when its
// lease ends: commands do not renew it.
func (h *holder) unanswered(m *machine) micros.Time {
	return h.c.now - max(m.answered, h.taken, m.added, h.calmAt)
}

// mute tells whether a machine that answers calls has reached no controller for a lease,
// while most others do: it is empty by now, and would stay so.
func (h *holder) mute(m *machine) bool {
	if m.session == 0 || h.unanswered(m) <= h.c.cfg.LeaseRunOut() {
		return false
	}
	heard, up := h.countUp(func(o *machine) bool { return h.unanswered(o) < h.c.cfg.Lease()/2 })
	return heard*2 > up
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
	h.viewZones()
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
	h.overdueKills()
	h.probeSome()
	h.markUsed()
	for _, j := range h.order {
		h.store(j)
	}
	h.resolve()
	h.writeDoomed()
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
	if up && m.addr != "" && !m.calling && now-m.probed > micros.Second && (m.failed > 0 || m.ack != h.token || (m.notice != 0 && now > m.notice) || (quiet > h.silence()/4 && quiet > h.askAfter(m))) {
		h.toProbe = append(h.toProbe, m)
	}
	if m.draining == "" {
		switch {
		case up && quiet > h.silence() && (m.failed > 0 || m.addr == "") && now >= h.doubtUntil && h.othersHeard(m) && !h.zoneInDoubt(m.block.Zone):
			h.drain(m, "silent")
		case up && m.failed > 1 && quiet > h.askAfter(m)+1500*micros.Millisecond && now >= h.doubtUntil &&
			replicasOn(m) > 0 && h.othersHeard(m) && !h.zoneInDoubt(m.block.Zone):
			// Two calls in a row without an answer: its replicas do not wait for the
			// time that reports may take.
			h.drain(m, "silent")
		case up && m.expired && quiet > 3*h.c.cfg.LeaseRunOut():
			// Long empty; a fault near this controller would have shown by now.
			h.drain(m, "silent")
		case up && m.notice != 0 && now > m.notice+micros.Second && m.failed > 0:
			// It was to be taken by now, and does not answer.
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
		case h.mute(m):
			h.drain(m, "mute")
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

// evacuate stops what will not have ended when the cloud takes the machine: it would
// be lost then, and begins elsewhere by the time of the notice sooner; what can save
// its progress does so.
func (h *holder) evacuate(m *machine) {
	if m.notice == 0 || m.evacuated || m.ack != h.token || !m.known {
		return
	}
	m.evacuated = true
	left := m.notice - h.c.now
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state == Exited || a.stop || a.j == nil || a.j.Kind == bookkeeping.Service || h.remaining(a) <= left {
			continue
		}
		grace := micros.Time(0)
		if a.j.CheckpointEvery > 0 && a.j.SaveTime < left {
			grace = a.j.SaveTime
		}
		h.stop(a, grace)
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

// mostKnown tells whether most of the machines in use are known. A third of them may
// have been lost with the last holder, and all older jobs wait for these.
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
	return known*2 >= used
}

// manySilent tells whether so many machines are silent, or overdue, at once that
// the fault is more likely near this controller than at each of them: then none
// is deleted, and only the end of its lease writes one off. Overdue ones count
// because in a cut the machines fall silent one after the other. A fault near here
// hits all alike: while those of another zone, or the ordinary ones, are heard as
// ever, a zone was lost or spot machines were taken, however many, and what ran
// there need not wait.
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
	if silent <= 2 || silent*2 <= up {
		return false
	}
	for _, n := range shares {
		if n[1] >= 3 && n[0]*2 <= n[1] {
			return false
		}
	}
	return true
}

// othersHeard tells whether a good part of the machines has been heard since the
// first of the calls in a row that this one did not answer was sent: then it is not
// this controller that nobody hears. A fault near here shows at once, long before
// many machines are overdue. Three machines are too few to tell.
func (h *holder) othersHeard(m *machine) bool {
	heard, up := h.countUp(func(o *machine) bool { return o.seen > m.vainAt })
	return heard*4 > up || up <= 3
}

// countUp counts the machines in use, and those of them that are as asked for.
func (h *holder) countUp(is func(*machine) bool) (found, up int) {
	for _, m := range h.machines {
		if m.session == 0 && !m.block.Used {
			continue
		}
		up++
		if is(m) {
			found++
		}
	}
	return found, up
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
		r := &storage.Request{Kind: storage.Commit, Conditions: []storage.Condition{{Key: h.c.keys.Queue(h.queue), Version: h.token},
			{Key: h.c.keys.Block(name), Version: h.c.replica.Blocks[name].Version}}}
		h.c.putBlock(r, name, marked[name])
		if !h.c.callState(r, storage.Urgent, stateTimeout, func(*storage.Reply) { h.marking[name] = h.c.now + markPace }) {
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
		if m.calling {
			continue
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
	session, seq, token, sent := m.session, m.seq, h.token, h.c.now
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
			if m.failed++; m.failed == 1 {
				m.vainAt = sent
			}
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

// lost tells whether the machine is given up for good: only its deletion, or the
// end of its lease, is waited for.
func (m *machine) lost() bool {
	return m.draining == "restarted" || m.draining == "unreachable" || m.draining == killNotShown
}
