// Package clusterleader implements what the elected cluster leader does besides leading partitions:
// it assigns partitions and their machines, and it is the only process that requests and terminates
// cloud instances. Each control loop is a type in its own file, and discards the operations in
// progress at the start of each leadership term.
package clusterleader

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/membership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// Leader runs the control loops of the cluster leader.
type Leader struct {
	view View
	*leaderTerm
	terminated    *provisioning.TerminatedInstances
	assignment    *partitionAssignment
	transfer      *machineTransfers
	scaling       *scaleOut
	termination   *instanceTermination
	pruning       *blockPruning
	listing       *instanceListing
	adoption      *orphanAdoption
	archiver      *archiver
	formatUpgrade *formatUpgrade
}

// leaderTerm is one term of cluster leadership.
type leaderTerm struct {
	revision    uint64 // mod revision of the cluster leader's key; identifies the term
	acquiredAt  micros.Time
	nameCounter int // makes the names of instance requests and adopted blocks unique
}

// uniqueName returns a name that has not been used before, neither in this term nor in an earlier one.
func (t *leaderTerm) uniqueName(prefix string) string {
	t.nameCounter++
	return fmt.Sprintf("%s%d-%d", prefix, t.revision, t.nameCounter)
}

// New returns the control loops of a process that has not become cluster leader yet.
func New(view View, cfg *config.Config, process storage.Process, keys storage.Keys, peers *membership.Peers) *Leader {
	term, terminated := &leaderTerm{}, provisioning.NewTerminatedInstances()
	scaling := newScaleOut(view, cfg, keys, peers, term)
	pruning := newBlockPruning(view, keys, terminated)
	termination := newInstanceTermination(view, term, terminated, scaling.capacity, pruning)
	adoption := newOrphanAdoption(view, keys, term, terminated, scaling)
	return &Leader{
		view:          view,
		leaderTerm:    term,
		terminated:    terminated,
		assignment:    newPartitionAssignment(view, cfg, process, keys, peers, term),
		transfer:      &machineTransfers{view: view},
		scaling:       scaling,
		termination:   termination,
		pruning:       pruning,
		listing:       newInstanceListing(view, cfg, term, terminated, termination, adoption),
		adoption:      adoption,
		archiver:      newArchiver(view, cfg, keys),
		formatUpgrade: newFormatUpgrade(view, cfg, process, keys),
	}
}

// StartTerm starts the term identified by a mod revision of the cluster leader's key, unless it has
// already started. All control loops discard the operations that were in progress in an earlier
// term. The pacing of calls to the cloud, and what is known about its capacity, are kept.
func (l *Leader) StartTerm(revision uint64) {
	if l.revision == revision {
		return
	}
	l.revision, l.acquiredAt, l.nameCounter = revision, l.view.Now(), 0
	l.terminated.Reset()
	l.assignment.startTerm()
	l.scaling.startTerm()
	l.termination.startTerm()
	l.pruning.startTerm()
	l.listing.startTerm()
	l.adoption.startTerm()
	l.archiver.startTerm()
	l.formatUpgrade.startTerm()
	l.view.Log(messages.LevelInfo, "cluster leadership acquired", "fencing_token", l.revision)
}

// Revision returns the mod revision of the cluster leader's key in the current or most recent term,
// or 0 if this process has not been cluster leader.
func (l *Leader) Revision() uint64 { return l.revision }

// AssignPartitions assigns a live leader to each partition that lacks one.
func (l *Leader) AssignPartitions() { l.assignment.tick() }

// Tick runs all control loops except partition assignment.
func (l *Leader) Tick() {
	l.termination.tick()
	l.listing.tick()
	l.scaling.tick()
	l.pruning.tick()
	l.adoption.tick()
	l.transfer.tick()
	l.archiver.tick()
	l.formatUpgrade.tick()
}

// RecentlyTerminated returns the terminated instances that status messages to peers report.
func (l *Leader) RecentlyTerminated(now micros.Time) []string { return l.terminated.Recent(now) }

// HandleUnmanagedHeartbeat schedules the adoption of a machine that sent a heartbeat and belongs to no
// block. The heartbeat may be a delayed copy from a machine that was terminated under an earlier
// cluster leader. Adopting that one is harmless: it is recorded as never having had a task, so
// planning does not wait for it, and since it does not respond it is soon terminated again.
func (l *Leader) HandleUnmanagedHeartbeat(r *messages.Heartbeat) {
	kind := provisioning.InstanceKind{InstanceType: r.InstanceType, Zone: r.Zone, Spot: r.Spot}
	l.adoption.add(r.Machine, r.Address, kind)
}

// PendingTransfers returns the machine transfers to request from a member with the next status message.
func (l *Leader) PendingTransfers(member string) []messages.MachineTransfer {
	return l.transfer.pending[member]
}

// ClearPendingTransfers clears the pending transfers after the status message was sent to all members.
func (l *Leader) ClearPendingTransfers() { l.transfer.pending = nil }

const (
	// storeTimeout is how long to wait for the store's reply to a request.
	storeTimeout = 2 * micros.Second
	// statusLifetime is the maximum age at which a peer's partition statuses are still acted on.
	statusLifetime = 3 * micros.Second
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
