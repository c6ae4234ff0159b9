package coordination

import (
	"fmt"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/membership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// clusterLeader is what the cluster leader does besides leading partitions: it assigns these
// and their machines, and it alone requests and terminates instances. Each duty is a type in a
// file of its own, which begins anew with each term of leadership.
type clusterLeader struct {
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

// newClusterLeader returns the duties of a process that does not lead the cluster yet.
func newClusterLeader(
	view clusterView, cfg *config.Config, process storage.Process, keys storage.Keys, peers *membership.Peers,
) clusterLeader {
	term, terminated := &leaderTerm{}, provisioning.NewTerminatedInstances()
	scaling := newScaleOut(view, cfg, keys, peers, term)
	pruning := newBlockPruning(view, keys, terminated)
	termination := newInstanceTermination(view, term, terminated, scaling.capacity, pruning)
	adoption := newOrphanAdoption(view, keys, term, terminated, scaling)
	return clusterLeader{
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

// acquire begins a term of leadership: all duties forget what was under way in an earlier one.
// What paces them, and what is known of the cloud's capacity, they keep.
func (l *clusterLeader) acquire(c *Core) {
	l.revision, l.acquiredAt, l.nameCounter = c.cache.ClusterLeader.ModRevision, c.now, 0
	l.terminated.Reset()
	l.assignment.begin()
	l.scaling.begin()
	l.termination.begin()
	l.pruning.begin()
	l.listing.begin()
	l.adoption.begin()
	l.archiver.begin()
	l.formatUpgrade.begin()
	c.log(messages.LevelInfo, "cluster leadership acquired", "fencing_token", l.revision)
}

// recentlyTerminated are the instances that peers are to be sent as gone.
func (l *clusterLeader) recentlyTerminated(now micros.Time) []string { return l.terminated.Recent(now) }

// tickLeader does the duties of the cluster leader, while this process is it.
func (c *Core) tickLeader() {
	if !c.isClusterLeader() {
		return
	}
	l := &c.leader
	if l.revision != c.cache.ClusterLeader.ModRevision {
		l.acquire(c)
	}
	if c.member.LeaseID() == 0 || !c.term.Valid(c.now) {
		return
	}
	l.assignment.tick()
	c.tickAdmission()
	l.termination.tick()
	l.listing.tick()
	l.scaling.tick()
	l.pruning.tick()
	l.adoption.tick()
	l.transfer.tick()
	l.archiver.tick()
	l.formatUpgrade.tick()
}

// partitionCount is how many partitions there are.
func (c *Core) partitionCount() int {
	count := 1
	for _, team := range c.teams {
		count = max(count, team.Partition+1)
	}
	return count
}

// statusLifetime is how old what a peer said of its partitions may be to be acted on.
const statusLifetime = 3 * micros.Second

// partitionStatuses are what the present partition leaders last said of their partitions.
func (c *Core) partitionStatuses() []messages.PartitionStatus {
	var statuses []messages.PartitionStatus
	for _, peer := range c.peers.All() {
		if c.now-peer.ReceivedAt > statusLifetime {
			continue
		}
		for _, status := range peer.Status.Partitions {
			present := c.cache.Partitions[status.Partition]
			if present.Value.Leader == peer.Status.From && present.ModRevision == status.FencingToken {
				statuses = append(statuses, status)
			}
		}
	}
	return statuses
}
