// Package clusterleader is what the cluster leader does besides leading partitions: it assigns
// these and their machines, and it alone requests and terminates instances. Each duty is a type
// in a file of its own, which begins anew with each term of leadership.
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

// Leader does the duties of the cluster leader.
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
	revision    uint64 // mod revision of the cluster leader's key under which it began
	acquiredAt  micros.Time
	nameCounter int // makes the names of instance requests and adopted blocks unique
}

// uniqueName is a name that no earlier term, and nothing else in this one, has used.
func (t *leaderTerm) uniqueName(prefix string) string {
	t.nameCounter++
	return fmt.Sprintf("%s%d-%d", prefix, t.revision, t.nameCounter)
}

// New returns the duties of a process that does not lead the cluster yet.
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

// Begin begins the term of leadership in which the cluster leader's key has a mod revision, unless
// that has begun: all duties forget what was under way in an earlier one. What paces them, and
// what is known of the cloud's capacity, they keep.
func (l *Leader) Begin(revision uint64) {
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

// Revision is the mod revision of the cluster leader's key in the present or last term; 0: there
// was none.
func (l *Leader) Revision() uint64 { return l.revision }

// AssignPartitions gives each partition a live leader.
func (l *Leader) AssignPartitions() { l.assignment.tick() }

// Tick does the duties besides the assignment of partitions.
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

// RecentlyTerminated are the instances that peers are to be sent as gone.
func (l *Leader) RecentlyTerminated(now micros.Time) []string { return l.terminated.Recent(now) }

// HeardFromUnmanaged takes a machine that sent a heartbeat and has no block. The heartbeat may be
// a late copy from a machine that was terminated under an earlier cluster leader: as a machine
// that had no task it holds up no planning, and as one that does not answer it is soon
// terminated again.
func (l *Leader) HeardFromUnmanaged(r *messages.Heartbeat) {
	kind := provisioning.InstanceKind{InstanceType: r.InstanceType, Zone: r.Zone, Spot: r.Spot}
	l.adoption.add(r.Machine, r.Address, kind)
}

// Transfers are what a member is to be asked for with the next status message.
func (l *Leader) Transfers(member string) []messages.MachineTransfer {
	return l.transfer.pending[member]
}

// TransfersSent notes that the status message was sent to all members.
func (l *Leader) TransfersSent() { l.transfer.pending = nil }

const (
	// storeTimeout is how long the store's reply to a request is waited for.
	storeTimeout = 2 * micros.Second
	// statusLifetime is how old what a peer said of its partitions may be to be acted on.
	statusLifetime = 3 * micros.Second
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
