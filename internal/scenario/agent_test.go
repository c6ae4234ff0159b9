package scenario

import (
	"pipitlatch/internal/micros"
)

// machine is a rented machine with its worker agent.
type machine struct {
	w            *World
	name         string
	address      string
	instanceType *instanceType
	zone         string
	spot         bool
	createdAt    micros.Time
	speed        float64

	booted           bool
	gone             bool
	goneAt           micros.Time
	terminated       bool
	hung             bool
	whenResumed      []func()
	faulty           bool
	commandDelay     micros.Time // commands sent straight to it are delayed by up to this
	preemptedAt      micros.Time // when it is taken; 0: no notice
	agentDown        bool        // between two runs of the worker
	agentIncarnation int         // counts them

	outboundPartitioned bool        // its reports reach nobody
	ignoresKills        bool        // stops have no effect
	replayUntil         micros.Time // reports are kept until then, for the next holder
	duplicates          int         // of every report
	duplicateDelay      micros.Time // copies of its reports come up to this late
	duplicateUntil      micros.Time // reports are copied until then

	agentEpoch       uint64
	sequence         uint64
	fencingToken     uint64
	acknowledgedAt   micros.Time // when the last answered report was sent
	controller       string      // node it reports to
	inFlight         bool
	heartbeatTimer   int // counts report timers
	lastHeartbeatAt  micros.Time
	tokenAnnouncedAt micros.Time // last time a higher token counted as a change
	tasks            map[string]*agentTask
	images           []cachedImage          // most recently used last
	imageArrivals    map[string]micros.Time // images being fetched: when they will be there
}

func (m *machine) boot() {
	if m.gone || m.booted {
		return
	}
	m.booted = true
	m.agentEpoch = 1
	m.acknowledgedAt = m.w.now
	m.controller = m.w.nodes[m.w.random.IntN(len(m.w.nodes))].name
	m.watchLease()
	m.sendHeartbeat()
}

// restart ends the agent and begins it anew under its old name: agent epoch, sequence and
// fencing token start again.
func (m *machine) restart(back micros.Time) {
	if m.gone || !m.booted {
		return
	}
	m.agentDown = true
	m.agentIncarnation++
	m.heartbeatTimer++
	m.tasks, m.images, m.imageArrivals = map[string]*agentTask{}, nil, map[string]micros.Time{}
	m.w.after(back, func() {
		m.agentDown, m.inFlight, m.hung, m.whenResumed = false, false, false, nil
		m.agentEpoch, m.sequence, m.fencingToken, m.tokenAnnouncedAt = 1, 0, 0, 0
		m.acknowledgedAt = m.w.now
		m.controller = m.w.nodes[m.w.random.IntN(len(m.w.nodes))].name
		m.run(m.sendHeartbeat)
	})
}

func (m *machine) vanish() {
	m.gone = true
	m.goneAt = m.w.now
	m.tasks = map[string]*agentTask{}
}

// run runs something on the machine: later, if it hangs.
func (m *machine) run(run func()) {
	if m.gone || m.agentDown {
		return
	}
	if m.hung {
		m.whenResumed = append(m.whenResumed, run)
		return
	}
	m.expireLease()
	run()
}

func (m *machine) hang(length micros.Time) {
	m.hung = true
	m.w.after(length, func() {
		m.hung = false
		late := m.whenResumed
		m.whenResumed = nil
		for _, run := range late {
			m.run(run)
		}
	})
}

// expireLease ends the session if its lease has run out.
func (m *machine) expireLease() {
	if m.w.now-m.acknowledgedAt <= micros.FromSeconds(m.w.config.Settings.Workers.LeaseS) {
		return
	}
	m.tasks = map[string]*agentTask{}
	m.agentEpoch++
	m.sequence = 0
	m.acknowledgedAt = m.w.now
}

func (m *machine) watchLease() {
	m.w.after(100*micros.Millisecond, func() {
		if m.gone {
			return
		}
		if m.agentDown {
			m.watchLease()
			return
		}
		m.expireLease() // a hanging machine can only go on within its lease
		m.watchLease()
	})
}
