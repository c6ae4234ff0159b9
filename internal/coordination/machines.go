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
	kind    *bookkeeping.InstanceType
	addr    string
	session uint64
	// booted is when its first session was heard of; nothing may have reached it by then.
	booted  micros.Time
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

// usable tells whether tasks may be started on the machine.
func (h *holder) usable(m *machine) bool {
	return m.known && !m.expired && m.ack == h.token && m.session != 0 && m.block.Used && m.draining == "" &&
		m.notice == 0 && m.addr != "" && m.failed == 0 && h.c.now-m.seen < h.silence()*3/4 && h.unanswered(m) < h.c.config.AgentLease()/2
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
	h.writeCancelledBefore()
	h.schedule()
	h.sendSome()
}

func (h *holder) tickMachine(m *machine) {
	now := h.c.now
	if m.kind == nil && h.c.catalog != nil {
		m.kind = h.c.catalog[m.block.InstanceType]
	}
	up := m.session != 0 || m.block.Used
	quiet := now - max(m.seen, h.calmAt)
	// A holder that is cut off may have been replaced long before its term ends, and its
	// successor may answer a machine that is silent here: only news from after the lease's end,
	// that this is still the holder, show that nobody renewed it.
	if up && !m.expired && h.c.term.ConfirmedSince(h.lastAnswer(m)+h.c.config.AgentLeaseExpiry()) && quiet > h.silence() {
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
		case up && m.expired && quiet > 3*h.c.config.AgentLeaseExpiry():
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
		case h.c.faults.MachineAtFault(m.id):
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
		if a.j.CheckpointInterval > 0 && a.j.CheckpointDuration < left {
			grace = a.j.CheckpointDuration
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
		if a.stop && !a.shown && a.lost > 0 && h.c.now-a.stopped > h.c.config.AgentLease()/2 {
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
	h.c.statusSoon = true
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
			if b, ok = h.c.cache.Blocks[name].Value, h.c.cache.Blocks[name].ModRevision == m.version; !ok {
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
		h.marking[name] = h.c.now + storeTimeout + micros.Second
		r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{{Key: h.c.keys.Partition(h.queue), ModRevision: h.token},
			{Key: h.c.keys.Block(name), ModRevision: h.c.cache.Blocks[name].ModRevision}}}
		h.c.putBlock(r, name, marked[name])
		if !h.c.callStore(r, storage.Urgent, storeTimeout, func(*storage.Reply) { h.marking[name] = h.c.now + markPace }) {
			h.marking[name] = h.c.now + markPace
			break
		}
	}
}

// vacant tells whether a machine can be given back: nothing runs there, and no result is
// kept there alone. A start without an answer may still be carried out late, but not after
// the deletion, and before it the worker knows the attempt, so that it has no effect.
func (h *holder) vacant(m *machine) bool {
	if m.calling || len(m.outbox) > 0 {
		return false
	}
	for _, a := range m.attempts {
		if a.state != Exited || !a.stored || a.open > 0 {
			return false
		}
	}
	return true
}

// empty tells whether nothing on the machine matters any more: it could serve another
// queue, where nobody would know of a start that is carried out late.
func (h *holder) empty(m *machine) bool {
	for _, a := range m.attempts {
		if a.lost > 0 {
			return false
		}
	}
	return h.vacant(m)
}

// lost tells whether the machine is given up for good: only its deletion, or the
// end of its lease, is waited for.
func (m *machine) lost() bool {
	return m.draining == "restarted" || m.draining == "unreachable" || m.draining == killNotShown
}
