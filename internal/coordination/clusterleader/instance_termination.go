package clusterleader

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// maxTerminations is the maximum number of instances in one call.
	maxTerminations = 100
	// terminateCallTimeout is how long to wait for the cloud's reply.
	terminateCallTimeout = 3 * micros.Second
	// terminationInterval is the delay between a successful call and the next one,
	// terminationRetryInterval the delay after a failed call.
	terminationInterval      = 200 * micros.Millisecond
	terminationRetryInterval = micros.Second
)

// terminationView is the part of the core that instance termination uses.
type terminationView interface {
	cloudView
	partitionsView
	// Isolated reports whether there was no recent contact with the store or any peer.
	Isolated() bool
	// MachineTerminated informs the partitions led by this process that a machine is terminated.
	MachineTerminated(machine string)
	// SendStatusSoon makes the next status message early; it reports the terminated machines.
	SendStatusSoon()
}

// instanceTermination terminates the instances that partition leaders release.
type instanceTermination struct {
	view       terminationView
	term       *leaderTerm
	terminated *provisioning.TerminatedInstances
	capacity   *provisioning.CapacityTracker
	pruning    *blockPruning

	requested map[string]bool // instances to terminate besides those that partition leaders release
	inFlight  bool
	retryAt   micros.Time
}

func newInstanceTermination(view terminationView, term *leaderTerm, terminated *provisioning.TerminatedInstances,
	capacity *provisioning.CapacityTracker, pruning *blockPruning) *instanceTermination {
	return &instanceTermination{view: view, term: term, terminated: terminated, capacity: capacity, pruning: pruning}
}

func (t *instanceTermination) startTerm() { t.requested, t.inFlight = map[string]bool{}, false }

// request schedules the termination of an instance, regardless of its partition's leader. It returns
// false if that was already requested.
func (t *instanceTermination) request(machine string) bool {
	if t.requested[machine] {
		return false
	}
	t.requested[machine] = true
	return true
}

// tick terminates the next batch of instances. A successful call proves that the instances, and
// everything that ran on them, are gone.
func (t *instanceTermination) tick() {
	// An isolated leader receives no statuses, and its calls to the cloud may be executed only when
	// the network partition ends. They would terminate machines that another leader uses by then.
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

// nextBatch returns the instances to terminate with one call.
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

// handleReply handles the cloud's reply to a call that was sent in the term with the given revision.
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

// markTerminated records that an instance is proven to be gone.
func (t *instanceTermination) markTerminated(name string) {
	t.terminated.Confirm(name, t.view.Now())
	if machine, ok := t.view.Cache().Machines[name]; ok {
		t.capacity.Terminated(instanceKindOf(machine.Value))
	}
	delete(t.requested, name)
	t.view.MachineTerminated(name)
}

// instanceKindOf returns the kind of a recorded machine.
func instanceKindOf(m storage.Machine) provisioning.InstanceKind {
	return provisioning.InstanceKind{InstanceType: m.InstanceType, Zone: m.Zone, Spot: m.Spot}
}
