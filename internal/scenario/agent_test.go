package scenario

import (
	"pipitlatch/internal/micros"
)

// machine is a machine of the cloud with its agent agent.
type machine struct {
	w            *World
	name         string
	address      string
	instanceType *instanceType
	zone         string
	spot         bool
	createdAt    micros.Time
	speed        float64 // its tasks' run times are multiplied by it

	lifecycle  machineLifecycle
	faults     machineFaults
	agent      agentState
	heartbeats heartbeatState
	tasks      map[string]*agentTask
	cache      imageCache
}

// machineLifecycle is how far a machine got.
type machineLifecycle struct {
	booted     bool
	gone       bool // it runs no more, whether the cloud knows it or not
	goneAt     micros.Time
	terminated bool // the cloud has ended it
}

// machineFaults are the faults of a machine and its agent.
type machineFaults struct {
	hung                bool
	whenResumed         []func()    // what came while it hung
	faulty              bool        // it fails every task
	commandDelay        micros.Time // commands sent straight to it are delayed by up to this
	repeatDelay         micros.Time // calls that were answered arrive again up to this late
	repeatUntil         micros.Time // calls are repeated until then
	preemptedAt         micros.Time // when the cloud takes it; 0: no notice
	outboundPartitioned bool        // its heartbeats reach nobody
	ignoresKills        bool        // stops have no effect
	replayUntil         micros.Time // heartbeats are kept until then, for the next partition leader
	duplicates          int         // of every heartbeat
	duplicateDelay      micros.Time // duplicates come up to this late
	duplicateUntil      micros.Time // heartbeats are duplicated until then
}

// agentState is what an agent knows of itself and of those that command it.
type agentState struct {
	down             bool // between two runs of the agent
	incarnation      int  // counts them
	epoch            uint64
	sequence         uint64
	fencingToken     uint64
	acknowledgedAt   micros.Time // when the last answered heartbeat was sent
	tokenAnnouncedAt micros.Time // last time a higher token counted as a change
}

// heartbeatState is about an agent's heartbeats.
type heartbeatState struct {
	controller string // node that they are sent to
	inFlight   bool
	timer      int // counts timers: only the newest has an effect
	lastAt     micros.Time
}

// imageCache has the images on a machine.
type imageCache struct {
	images   []cachedImage          // most recently used last
	arrivals map[string]micros.Time // images being fetched: when they will be there
}

func (m *machine) boot() {
	if m.lifecycle.gone || m.lifecycle.booted {
		return
	}
	m.lifecycle.booted = true
	m.agent.epoch = 1
	m.agent.acknowledgedAt = m.w.now
	m.heartbeats.controller = m.w.nodes[m.w.random.IntN(len(m.w.nodes))].name
	m.watchLease()
	m.sendHeartbeat()
}

// restart ends the agent and begins it anew under its old name: agent epoch, sequence and
// fencing token start again.
func (m *machine) restart(back micros.Time) {
	if m.lifecycle.gone || !m.lifecycle.booted {
		return
	}
	m.agent.down = true
	m.agent.incarnation++
	m.heartbeats.timer++
	m.tasks, m.cache.images, m.cache.arrivals = map[string]*agentTask{}, nil, map[string]micros.Time{}
	m.w.after(back, func() {
		m.agent.down, m.heartbeats.inFlight, m.faults.hung, m.faults.whenResumed = false, false, false, nil
		m.agent.epoch, m.agent.sequence, m.agent.fencingToken, m.agent.tokenAnnouncedAt = 1, 0, 0, 0
		m.agent.acknowledgedAt = m.w.now
		m.heartbeats.controller = m.w.nodes[m.w.random.IntN(len(m.w.nodes))].name
		m.run(m.sendHeartbeat)
	})
}

func (m *machine) vanish() {
	m.lifecycle.gone = true
	m.lifecycle.goneAt = m.w.now
	m.tasks = map[string]*agentTask{}
}

// run runs something on the machine: later, if it hangs.
func (m *machine) run(run func()) {
	if m.lifecycle.gone || m.agent.down {
		return
	}
	if m.faults.hung {
		m.faults.whenResumed = append(m.faults.whenResumed, run)
		return
	}
	m.expireLease()
	run()
}

func (m *machine) hang(length micros.Time) {
	m.faults.hung = true
	m.w.after(length, func() {
		m.faults.hung = false
		late := m.faults.whenResumed
		m.faults.whenResumed = nil
		for _, run := range late {
			m.run(run)
		}
	})
}

// expireLease ends the agent epoch if its lease has run out.
func (m *machine) expireLease() {
	if m.w.now-m.agent.acknowledgedAt <= micros.FromSeconds(m.w.config.Settings.Workers.LeaseS) {
		return
	}
	m.tasks = map[string]*agentTask{}
	m.agent.epoch++
	m.agent.sequence = 0
	m.agent.acknowledgedAt = m.w.now
}

func (m *machine) watchLease() {
	m.w.after(100*micros.Millisecond, func() {
		if m.lifecycle.gone {
			return
		}
		if m.agent.down {
			m.watchLease()
			return
		}
		m.expireLease() // a hanging machine can only go on within its lease
		m.watchLease()
	})
}
