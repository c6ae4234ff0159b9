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

// machine is the partition leader's state of one machine: its record in the store, what its agent
// reported, and the attempts that it runs or may run.
type machine struct {
	id           string
	record       storage.Machine
	modRevision  uint64 // of the machine's block in the store
	instanceType *workload.InstanceType
	address      string

	// requiredToken is the lowest fencing token whose acknowledgement shows that the agent executes commands
	// of this partition leader only.
	requiredToken uint64
	sentToken     uint64 // the fencing token that was last sent to the agent

	agent     agents.HeartbeatState
	contact   agents.Contact
	lifecycle machineLifecycle
	drain     drainState
	runtime   agents.RuntimeRatio

	attempts map[messages.AttemptID]*attempt
	images   agents.ImageCache
	commands agents.CommandQueue
}

// machineLifecycle holds the times at which a machine was added, last used and will be preempted.
type machineLifecycle struct {
	addedAt           micros.Time
	idleSince         micros.Time // 0: it has active attempts
	startsPausedUntil micros.Time
	preemptAt         micros.Time // when the cloud preempts the spot instance; 0: no preemption notice
	preemptionHandled bool        // tasks that will not end before preemptAt were stopped
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

// useImage records that a task with this image was started on the machine. The size of the machine's
// image cache is unknown until its instance type is known, so nothing is evicted before that.
func (m *machine) useImage(name string, gb float64) {
	if name == "" {
		return
	}
	m.images.Use(name, gb)
	if m.instanceType != nil {
		m.images.Evict(m.instanceType.CacheGB)
	}
}

// schedulable reports whether tasks may be started on the machine: its tasks are known, its agent
// accepts commands of this partition leader, it is neither draining nor about to be preempted, and
// messages have recently reached it and renewed its lease.
func (p *partitionLeader) schedulable(m *machine) bool {
	return m.agent.Usable(m.requiredToken) &&
		m.record.Used &&
		m.exitedAttempts() < maxExitedAttempts &&
		m.drain.reason == notDraining &&
		m.lifecycle.preemptAt == 0 &&
		m.address != "" &&
		m.contact.FailedCalls() == 0 &&
		p.core.now-m.contact.LastContact() < p.suspicionTimeout()*3/4 &&
		p.sinceLastRenewal(m) < p.core.config.AgentLease()/2
}

// terminable reports whether the machine can be terminated without loss: nothing runs there, and no
// result is kept only there. An unanswered start command may still arrive late, but not after the
// termination, and until then the agent remembers the attempt, so the command has no effect.
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

// maxExitedAttempts is the number of exited attempts on a machine from which no further ones are started until
// the agent was told to forget some: its heartbeats list them all, and must not exceed 64 KiB.
const maxExitedAttempts = 256

// exitedAttempts returns the number of exited attempts that the agent may not forget yet.
func (m *machine) exitedAttempts() int {
	if len(m.attempts) < maxExitedAttempts {
		return 0 // too few to matter, which avoids counting them
	}
	count := 0
	for _, a := range m.attempts {
		if a.state == messages.Exited {
			count++
		}
	}
	return count
}

// hasActiveAttempts reports whether any attempt on the machine has not exited.
func (m *machine) hasActiveAttempts() bool {
	for _, a := range m.attempts {
		if a.state != messages.Exited {
			return true
		}
	}
	return false
}

// transferable reports whether the machine can be moved to another partition: it is terminable, and no
// start command may still arrive late, since the leader of the other partition would not know of it.
func (p *partitionLeader) transferable(m *machine) bool {
	for _, a := range m.attempts {
		if a.start.unanswered > 0 {
			return false
		}
	}
	return p.terminable(m)
}
