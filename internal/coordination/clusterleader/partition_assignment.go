package clusterleader

import (
	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/leadership"
	"pipitlatch/internal/coordination/membership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// assignmentInterval is the minimum interval between assignments: by then the change stream has
	// delivered the previous one.
	assignmentInterval = 300 * micros.Millisecond
	// unresponsiveTimeout is how long a registered member keeps its partitions while the cluster
	// leader receives no status from it.
	unresponsiveTimeout = 6 * micros.Second
	// isolationPenalty is how long a controller that was isolated from its machines is assigned no
	// partition.
	isolationPenalty = 30 * micros.Second
	// A partition is reassigned only to a controller that reaches at least minReachabilityGain more
	// of its machines than its leader, and at least an eighth of them more (reachabilityGainDivisor):
	// each reassignment costs one or two seconds.
	minReachabilityGain     = 3
	reachabilityGainDivisor = 8
)

// assignmentView is the part of the core that partition assignment uses.
type assignmentView interface {
	leaderView
	PartitionCount() int
	ReachableMachines(process storage.Process, partition int) int
	MachinesInUse(partition int) map[string]int
}

// partitionAssignment assigns a live leader to each partition.
type partitionAssignment struct {
	view    assignmentView
	config  *config.Config
	process storage.Process
	keys    storage.Keys
	peers   *membership.Peers
	term    *leaderTerm

	nextAt     micros.Time
	inFlight   bool
	isolatedAt map[storage.Process]micros.Time // when partition leaders were found isolated from machines
}

func newPartitionAssignment(view assignmentView, cfg *config.Config, process storage.Process, keys storage.Keys,
	peers *membership.Peers, term *leaderTerm) *partitionAssignment {
	return &partitionAssignment{view: view, config: cfg, process: process, keys: keys, peers: peers, term: term}
}

func (a *partitionAssignment) startTerm() {
	a.inFlight, a.isolatedAt = false, map[storage.Process]micros.Time{}
}

// tick writes the missing assignments. It also reassigns the partitions of a leader that is registered
// but from which the cluster leader has received no status for long, since such a leader cannot
// report what its partitions need.
func (a *partitionAssignment) tick() {
	if a.inFlight || a.view.Now() < a.nextAt {
		return
	}
	ineligible := func(p storage.Process) bool { return a.unresponsive(p) || a.isolated(p) }
	assignments := leadership.Assign(
		a.view.Cache(), a.view.PartitionCount(), a.process, ineligible, a.view.ReachableMachines)
	if len(assignments) == 0 {
		return
	}
	a.inFlight = a.view.CallStore(a.request(assignments), storage.Urgent, storeTimeout, func(*storage.Reply) {
		a.inFlight = false
		a.nextAt = a.view.Now() + assignmentInterval
	})
}

// request returns a transaction with as many of the assignments as fit. Each is guarded by the
// partition record and the registration that the decision was based on.
func (a *partitionAssignment) request(assignments []leadership.Assignment) *storage.Request {
	cache := a.view.Cache()
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{a.view.LeaderCompare()}}
	for _, assignment := range assignments {
		if len(r.Puts) >= a.config.Settings.StateLimits().TxnOps {
			break
		}
		key, member := a.keys.Partition(assignment.Partition), assignment.Record.Leader.Member
		r.Compares = append(r.Compares,
			storage.Compare{Key: key, ModRevision: cache.Partitions[assignment.Partition].ModRevision},
			storage.Compare{Key: a.keys.Member(member), ModRevision: cache.Members[member].ModRevision})
		r.Puts = append(r.Puts, storage.Put{Key: key, Value: storage.Encode(assignment.Record)})
	}
	return r
}

// currentPeer returns the latest status of a process, or nil if there is none or if a different
// incarnation of its member has sent one since.
func (a *partitionAssignment) currentPeer(p storage.Process) *membership.Peer {
	if peer := a.peers.Latest(p.Member); peer != nil && peer.Status.From == p {
		return peer
	}
	return nil
}

// unresponsive reports whether no status has been received from the process for long. At the beginning
// of a term, no process counts as unresponsive.
func (a *partitionAssignment) unresponsive(p storage.Process) bool {
	now, peer := a.view.Now(), a.currentPeer(p)
	responsive := peer != nil && now-peer.ReceivedAt < unresponsiveTimeout
	return !responsive && now-a.term.acquiredAt > unresponsiveTimeout
}

// isolated reports whether a partition leader has lost contact with machines, but not with the store,
// while another controller reaches significantly more of them. The partition is then reassigned long
// before the agents' leases expire. This happens when two zones cannot reach each other but a third
// reaches both. A process that lost a partition this way gets none for a while, so that partitions do
// not move back and forth.
func (a *partitionAssignment) isolated(p storage.Process) bool {
	now := a.view.Now()
	if at, ok := a.isolatedAt[p]; ok && now-at < isolationPenalty {
		return true
	}
	peer := a.currentPeer(p)
	if peer == nil || now-peer.ReceivedAt > statusLifetime {
		return false
	}
	for _, status := range peer.Status.Partitions {
		if len(status.UnreachableZones) == 0 || a.view.Cache().Partitions[status.Partition].Value.Leader != p {
			continue
		}
		reachable, byPeer := a.view.ReachableMachines(p, status.Partition), a.reachableByPeers(p, status.Partition)
		if byPeer < reachable+a.minReassignmentGain(status.Partition) {
			continue
		}
		a.view.Log(messages.LevelInfo, "partition leader isolated from machines", "leader", p.Member,
			"partition", status.Partition, "zones", status.UnreachableZones,
			"reachable", reachable, "reachable_by_peer", byPeer)
		a.isolatedAt[p] = now
		return true
	}
	return false
}

// reachableByPeers returns the largest number of the partition's machines that any single controller
// other than its leader reaches.
func (a *partitionAssignment) reachableByPeers(leader storage.Process, partition int) int {
	most := 0
	for _, peer := range a.peers.All() {
		from := peer.Status.From
		if from != leader && peer.Status.StoreReachable && a.view.Cache().Live(from) {
			most = max(most, a.view.ReachableMachines(from, partition))
		}
	}
	return most
}

// minReassignmentGain returns how many more machines than its leader another controller has to reach
// for the partition to be reassigned to it.
func (a *partitionAssignment) minReassignmentGain(partition int) int {
	machines := 0
	for _, inZone := range a.view.MachinesInUse(partition) {
		machines += inZone
	}
	return max(minReachabilityGain, machines/reachabilityGainDivisor)
}
