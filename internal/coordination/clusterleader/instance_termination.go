package clusterleader

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// maxTerminations bounds the instances in one call.
	maxTerminations = 100
	// terminateCallTimeout is how long the cloud's answer is waited for.
	terminateCallTimeout = 3 * micros.Second
	// terminationInterval is how long the next call waits after one, terminationRetryInterval
	// after one that failed.
	terminationInterval      = 200 * micros.Millisecond
	terminationRetryInterval = micros.Second
)

// terminationView is what terminations need of the core.
type terminationView interface {
	cloudView
	partitionsView
	// Isolated tells whether neither the store nor any peer has been heard of late.
	Isolated() bool
	// MachineTerminated lets the partitions led here know that a machine is gone.
	MachineTerminated(machine string)
	// SendStatusSoon makes the next status message, which says what is gone, an early one.
	SendStatusSoon()
}

// instanceTermination terminates the instances that partition leaders let go.
type instanceTermination struct {
	view       terminationView
	term       *leaderTerm
	terminated *provisioning.TerminatedInstances
	capacity   *provisioning.CapacityTracker
	pruning    *blockPruning

	requested map[string]bool // instances to terminate besides those that partition leaders ask for
	inFlight  bool
	retryAt   micros.Time
}

func newInstanceTermination(view terminationView, term *leaderTerm, terminated *provisioning.TerminatedInstances,
	capacity *provisioning.CapacityTracker, pruning *blockPruning) *instanceTermination {
	return &instanceTermination{view: view, term: term, terminated: terminated, capacity: capacity, pruning: pruning}
}

func (t *instanceTermination) startTerm() { t.requested, t.inFlight = map[string]bool{}, false }

// request terminates an instance whatever its partition's leader says; it returns false if
// that was requested before.
func (t *instanceTermination) request(machine string) bool {
	if t.requested[machine] {
		return false
	}
	t.requested[machine] = true
	return true
}

// tick calls the cloud. Its success proves that the instances, and all on them, are gone.
func (t *instanceTermination) tick() {
	// One that is cut off hears nobody, and what it asks of the cloud may be carried
	// out when the cut ends: it would terminate machines that serve another by then.
	if t.inFlight || t.view.Now() < t.retryAt || t.view.Isolated() {
		return
	}
	names := t.nextBatch()
	if len(names) == 0 {
		return
	}
	t.inFlight = true
	revision := t.term.revision
	call := messages.CloudCall{Operation: messages.CloudTerminate, Names: names, Timeout: terminateCallTimeout}
	t.view.CallCloud(call, func(r *messages.CloudReply) { t.handleReply(names, revision, r) })
}

// nextBatch are the instances to terminate with one call.
func (t *instanceTermination) nextBatch() []string {
	var names []string
	add := func(name string) {
		if !t.terminated.Contains(name) && !slices.Contains(names, name) && len(names) < maxTerminations {
			names = append(names, name)
		}
	}
	machines := t.view.Cache().Machines
	for _, status := range t.view.PartitionStatuses() {
		for _, name := range status.Terminate {
			if machine, ok := machines[name]; ok && machine.Value.Partition == status.Partition {
				add(name)
			}
		}
	}
	for _, name := range sortedKeys(t.requested) {
		add(name)
	}
	return names
}

// handleReply takes the cloud's answer to a call that was sent in a term.
func (t *instanceTermination) handleReply(names []string, revision uint64, r *messages.CloudReply) {
	t.inFlight = false
	t.retryAt = t.view.Now() + terminationInterval
	if r.Outcome != messages.CloudOK {
		t.retryAt = t.view.Now() + terminationRetryInterval
		return
	}
	for _, name := range names {
		t.markTerminated(name)
	}
	if t.term.revision == revision {
		t.pruning.tick()
	}
	t.view.SendStatusSoon()
}

// markTerminated notes proof that an instance is gone.
func (t *instanceTermination) markTerminated(name string) {
	t.terminated.Confirm(name, t.view.Now())
	if machine, ok := t.view.Cache().Machines[name]; ok {
		t.capacity.Terminated(instanceKindOf(machine.Value))
	}
	delete(t.requested, name)
	t.view.MachineTerminated(name)
}

// instanceKindOf is the kind of a recorded machine.
func instanceKindOf(m storage.Machine) provisioning.InstanceKind {
	return provisioning.InstanceKind{InstanceType: m.InstanceType, Zone: m.Zone, Spot: m.Spot}
}
