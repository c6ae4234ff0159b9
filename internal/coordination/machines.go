package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// machine is a machine of the holder's blocks.
type machine struct {
	id           string
	record       storage.Machine
	modRevision  uint64 // of the block's key
	instanceType *workload.InstanceType
	address      string
	epoch        uint64
	// bootedAt is when its first session was heard of; nothing may have reached it by then.
	bootedAt     micros.Time
	sequence     uint64
	ackedToken   uint64 // highest token it reported
	reconciled   bool   // its tasks are known, or it surely has none
	leaseExpired bool   // its lease ran out, or its session is over: empty until it reports

	addedAt micros.Time
	// lastContact is when something last showed that our messages reach it: a report
	// alone does not, the way back may be cut.
	lastContact         micros.Time
	lastRenewal         micros.Time // last answer that may have renewed its lease
	lastReply           micros.Time // last answer to a report, for seen
	unackedReplies      int         // answers in a row that its next report showed as not received
	highestToken        uint64      // highest token it ever showed
	lastHeartbeatAt     micros.Time // when its newest report or answer came
	settledSequence     uint64      // a report up to this seq is surely not waiting for an answer
	nextSettledSequence uint64      // the next floor, known since settledSequenceAt
	settledSequenceAt   micros.Time
	preemptAt           micros.Time // when the cloud takes it; 0: no notice
	idleSince           micros.Time // since when it has had no task; 0: it has
	drainReason         string      // why it takes no more tasks
	drainSince          micros.Time // since when
	startsPausedUntil   micros.Time // no starts before

	runtimeRatioTotal   float64 // run times of completed tasks over their siblings', added up
	runtimeRatioSamples int

	attempts            map[AttemptID]*attempt
	images              []image // most recently used last
	outbox              []Command
	callInFlight        bool
	nextCallAt          micros.Time
	lastProbe           micros.Time
	failedCalls         int         // calls without an answer, in a row
	firstFailedCallAt   micros.Time // when the first of them was sent
	hasUnansweredStarts bool        // a start got no answer
	preemptionHandled   bool        // what will not end before it is taken was stopped
}

type image struct {
	name string
	gb   float64
}

func (p *partitionLeader) machine(id string) *machine {
	i, ok := slices.BinarySearchFunc(p.machines, id, func(m *machine, id string) int { return cmp.Compare(m.id, id) })
	if !ok {
		return nil
	}
	return p.machines[i]
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
	if m.instanceType == nil {
		return
	}
	for sum := 0.0; ; sum = 0 {
		for _, i := range m.images {
			sum += i.gb
		}
		if sum <= m.instanceType.CacheGB || len(m.images) <= 1 {
			return
		}
		m.images = m.images[1:]
	}
}

// schedulable tells whether tasks may be started on the machine.
func (p *partitionLeader) schedulable(m *machine) bool {
	return m.reconciled && !m.leaseExpired && m.ackedToken == p.fencingToken && m.epoch != 0 && m.record.Used && m.drainReason == "" &&
		m.preemptAt == 0 && m.address != "" && m.failedCalls == 0 && p.core.now-m.lastContact < p.suspicionTimeout()*3/4 && p.sinceLastRenewal(m) < p.core.config.AgentLease()/2
}

func (p *partitionLeader) tick() {
	now := p.core.now
	if now-p.lastTick > micros.Second {
		// This process did not run for a while: the silence was ours.
		p.silenceCountsFrom = now
		for _, m := range p.machines {
			m.lastContact = max(m.lastContact, now-p.suspicionTimeout()/2)
		}
	}
	for _, m := range p.machines {
		if m.record.Spot && m.epoch != 0 && m.drainReason == "" {
			p.core.spot.time += now - p.lastTick
		}
	}
	p.lastTick = now
	p.checkZones()
	if p.widespreadSilence() {
		// The last of them to be heard again must not be taken for dead meanwhile.
		p.networkSuspectUntil = now + p.suspicionTimeout()
	}
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

func (p *partitionLeader) checkMachine(m *machine) {
	now := p.core.now
	if m.instanceType == nil && p.core.catalog != nil {
		m.instanceType = p.core.catalog[m.record.InstanceType]
	}
	up := m.epoch != 0 || m.record.Used
	quiet := now - max(m.lastContact, p.silenceCountsFrom)
	// A holder that is cut off may have been replaced long before its term ends, and its
	// successor may answer a machine that is silent here: only news from after the lease's end,
	// that this is still the holder, show that nobody renewed it.
	if up && !m.leaseExpired && p.core.term.ConfirmedSince(p.lastPossibleRenewal(m)+p.core.config.AgentLeaseExpiry()) && quiet > p.suspicionTimeout() {
		p.core.log(levelInfo, "machine's lease ran out", "machine", m.id)
		p.clearAttempts(m)
		m.leaseExpired = true
	}
	if up && m.address != "" && !m.callInFlight && now-m.lastProbe > micros.Second && (m.failedCalls > 0 || m.ackedToken != p.fencingToken || (m.preemptAt != 0 && now > m.preemptAt) || (quiet > p.suspicionTimeout()/4 && quiet > p.probeAfter(m))) {
		p.probeQueue = append(p.probeQueue, m)
	}
	if m.drainReason == "" {
		switch {
		case up && quiet > p.suspicionTimeout() && (m.failedCalls > 0 || m.address == "") && now >= p.networkSuspectUntil && p.restOfFleetHeard(m) && !p.zoneVerdictPending(m.record.Zone):
			p.drain(m, "silent")
		case up && m.failedCalls > 1 && quiet > p.probeAfter(m)+1500*micros.Millisecond && now >= p.networkSuspectUntil &&
			replicasOn(m) > 0 && p.restOfFleetHeard(m) && !p.zoneVerdictPending(m.record.Zone):
			// Two calls in a row without an answer: its replicas do not wait for the
			// time that reports may take.
			p.drain(m, "silent")
		case up && m.leaseExpired && quiet > 3*p.core.config.AgentLeaseExpiry():
			// Long empty; a fault near this controller would have shown by now.
			p.drain(m, "silent")
		case up && m.preemptAt != 0 && now > m.preemptAt+micros.Second && m.failedCalls > 0:
			// It was to be taken by now, and does not answer.
			p.drain(m, "silent")
		case m.unackedReplies > maxUnackedReplies && m.failedCalls > 1:
			p.drain(m, "unreachable")
		case !m.reconciled && m.failedCalls > 1 && p.mostReconciled():
			// Older jobs wait for the last machine that could have their tasks: after
			// a takeover one that does not answer, while the others do, is not waited
			// for any longer. Its reports may arrive: that says nothing of the way back.
			p.drain(m, "silent")
		case !up && m.instanceType != nil && now-m.addedAt > 3*m.instanceType.Boot+10*micros.Second:
			p.drain(m, "never came up")
		case p.cannotReport(m):
			p.drain(m, "mute")
		case p.core.faults.MachineAtFault(m.id):
			p.drain(m, "faulty")
		case m.runtimeRatioSamples >= minRuntimeSamples && m.slowness() > maxSlowness:
			p.drain(m, "slow")
		case p.hasUnresolvedStart(m):
			// A start that is no longer wanted may still arrive: only the end of the
			// machine, or of its session, settles that.
			p.drain(m, "unresolved")
		}
	}
	if m.drainReason == "silent" && quiet < micros.Second && p.reconciledHere(m) {
		m.drainReason = "" // it came back before it was deleted
		p.planStale = true
	}
}

// handlePreemptionNotice stops what will not have ended when the cloud takes the machine: it would
// be lost then, and begins elsewhere by the time of the notice sooner; what can save
// its progress does so.
func (p *partitionLeader) handlePreemptionNotice(m *machine) {
	if m.preemptAt == 0 || m.preemptionHandled || m.ackedToken != p.fencingToken || !m.reconciled {
		return
	}
	m.preemptionHandled = true
	left := m.preemptAt - p.core.now
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state == Exited || a.stopping || a.job == nil || a.job.Kind == workload.Service || p.remaining(a) <= left {
			continue
		}
		grace := micros.Time(0)
		if a.job.CheckpointInterval > 0 && a.job.CheckpointDuration < left {
			grace = a.job.CheckpointDuration
		}
		p.stopAttempt(a, grace)
	}
}

// hasUnresolvedStart tells whether a start was sent in vain, is no longer wanted, and
// has not been settled for a good part of a worker's lease.
func (p *partitionLeader) hasUnresolvedStart(m *machine) bool {
	if !m.hasUnansweredStarts {
		return false
	}
	for _, a := range m.attempts {
		if a.stopping && !a.reported && a.startsUnanswered > 0 && p.core.now-a.stoppedAt > p.core.config.AgentLease()/2 {
			return true
		}
	}
	return false
}

// reconciledHere is usable apart from draining.
func (p *partitionLeader) reconciledHere(m *machine) bool {
	return m.reconciled && !m.leaseExpired && m.ackedToken == p.fencingToken && m.epoch != 0
}

func (p *partitionLeader) drain(m *machine, why string) {
	m.drainReason, m.drainSince = why, p.core.now
	p.core.statusSoon = true
	p.planStale = true
	p.core.log(levelInfo, "machine drains", "machine", m.id, "why", why, "attempts", len(m.attempts))
}

const (
	// minRuntimeSamples is how many tasks must have completed before a machine is judged.
	minRuntimeSamples = 3
	// maxSlowness is how much slower than its peers a machine may be: sound ones of a
	// type differ by a tenth, estimates by more.
	maxSlowness = 2.5
)

// slowness is the machine's run times against those of the same jobs elsewhere;
// what lies within the spread of sound machines counts as none.
func (m *machine) slowness() float64 {
	if s := (2 + m.runtimeRatioTotal) / float64(2+m.runtimeRatioSamples); s > 1.3 {
		return s
	}
	return 1
}

// useWriteInterval is how long machines that boot after others of their block wait to be
// marked together.
const useWriteInterval = 300 * micros.Millisecond

// persistMachineUse writes which machines are in use, before their first task, a block's
// together.
func (p *partitionLeader) persistMachineUse() {
	var marked map[string]storage.BlockRecord
	var order []string
	for _, m := range p.machines {
		if m.record.Used || m.epoch == 0 || m.ackedToken != p.fencingToken || m.drainReason != "" || p.core.now < p.useWriteAfter[m.record.Block] {
			continue
		}
		name := m.record.Block
		b, ok := marked[name]
		if !ok {
			if b, ok = p.core.cache.Blocks[name].Value, p.core.cache.Blocks[name].ModRevision == m.modRevision; !ok {
				continue
			}
			if marked == nil {
				marked = map[string]storage.BlockRecord{}
			}
			order = append(order, name)
		}
		marked[name] = b.With(m.id, storage.MachineRecord{Address: m.address, Used: true})
	}
	for _, name := range order {
		p.useWriteAfter[name] = p.core.now + storeTimeout + micros.Second
		r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{{Key: p.core.keys.Partition(p.partition), ModRevision: p.fencingToken},
			{Key: p.core.keys.Block(name), ModRevision: p.core.cache.Blocks[name].ModRevision}}}
		p.core.putBlock(r, name, marked[name])
		if !p.core.callStore(r, storage.Urgent, storeTimeout, func(*storage.Reply) { p.useWriteAfter[name] = p.core.now + useWriteInterval }) {
			p.useWriteAfter[name] = p.core.now + useWriteInterval
			break
		}
	}
}

// terminable tells whether a machine can be given back: nothing runs there, and no result is
// kept there alone. A start without an answer may still be carried out late, but not after
// the deletion, and before it the worker knows the attempt, so that it has no effect.
func (p *partitionLeader) terminable(m *machine) bool {
	if m.callInFlight || len(m.outbox) > 0 {
		return false
	}
	for _, a := range m.attempts {
		if a.state != Exited || !a.persisted || a.startsInFlight > 0 {
			return false
		}
	}
	return true
}

// transferable tells whether nothing on the machine matters any more: it could serve another
// queue, where nobody would know of a start that is carried out late.
func (p *partitionLeader) transferable(m *machine) bool {
	for _, a := range m.attempts {
		if a.startsUnanswered > 0 {
			return false
		}
	}
	return p.terminable(m)
}

// decommissioned tells whether the machine is given up for good: only its deletion, or the
// end of its lease, is waited for.
func (m *machine) decommissioned() bool {
	return m.drainReason == "restarted" || m.drainReason == "unreachable" || m.drainReason == drainKillTimeout
}
