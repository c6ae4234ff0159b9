package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/agents"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// machine is one machine of a partition as its leader knows it: its record in the store, what its
// agent showed, and the attempts at tasks that it has or may have.
type machine struct {
	id           string
	record       storage.Machine
	modRevision  uint64 // of the key of the machine's block
	instanceType *workload.InstanceType
	address      string

	agent     agents.HeartbeatState
	contact   agents.Contact
	lifecycle machineLifecycle
	drain     drainState
	runtime   agents.RuntimeRatio

	attempts map[messages.AttemptID]*attempt
	images   agents.ImageCache
	commands agents.CommandQueue
}

// machineLifecycle is when the machine came, was last used, and will be taken.
type machineLifecycle struct {
	addedAt           micros.Time
	idleSince         micros.Time // 0: it has tasks
	startsPausedUntil micros.Time
	preemptAt         micros.Time // when the cloud takes the spot instance; 0: no preemption notice
	preemptionHandled bool        // the tasks that will not end before preemptAt were stopped
}

// machine returns the machine with this id, or nil.
func (p *partitionLeader) machine(id string) *machine {
	i, ok := slices.BinarySearchFunc(p.machines, id, func(m *machine, id string) int {
		return cmp.Compare(m.id, id)
	})
	if !ok {
		return nil
	}
	return p.machines[i]
}

// useImage notes that a task with this image was started on the machine. What its cache holds
// is not known before its instance type is.
func (m *machine) useImage(name string, gb float64) {
	if name == "" {
		return
	}
	m.images.Use(name, gb)
	if m.instanceType != nil {
		m.images.Evict(m.instanceType.CacheGB)
	}
}

// schedulable tells whether tasks may be started on the machine: its tasks are known, it obeys this
// partition leader, it stays, and messages have reached it and renewed its lease lately.
func (p *partitionLeader) schedulable(m *machine) bool {
	return m.agent.Usable(p.lease.fencingToken) &&
		m.record.Used &&
		m.drain.reason == notDraining &&
		m.lifecycle.preemptAt == 0 &&
		m.address != "" &&
		m.contact.FailedCalls() == 0 &&
		p.core.now-m.contact.LastContact() < p.suspicionTimeout()*3/4 &&
		p.sinceLastRenewal(m) < p.core.config.AgentLease()/2
}

// terminable tells whether the machine can be terminated without loss: nothing runs there, and no
// result is kept there alone. A start command without a reply may still be carried out late, but
// not after the termination; and until then the agent knows the attempt, so that the command has no
// effect.
func (p *partitionLeader) terminable(m *machine) bool {
	if m.commands.CallInFlight() || !m.commands.Empty() {
		return false
	}
	for _, a := range m.attempts {
		if a.state != messages.Exited || !a.persisted || a.start.inFlight > 0 {
			return false
		}
	}
	return true
}

// transferable tells whether the machine could serve another partition: nothing on it matters any
// more, and no start command may be carried out late, of which nobody would know there.
func (p *partitionLeader) transferable(m *machine) bool {
	for _, a := range m.attempts {
		if a.start.unanswered > 0 {
			return false
		}
	}
	return p.terminable(m)
}
