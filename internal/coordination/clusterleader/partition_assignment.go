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
	// assignmentInterval is how long after an assignment the next may be written: until then
	// the change stream has brought it.
	assignmentInterval = 300 * micros.Millisecond
	// unresponsiveTimeout is how long a member that is registered, but that the cluster leader does
	// not hear, keeps its partitions.
	unresponsiveTimeout = 6 * micros.Second
	// isolationPenalty is how long a controller that could not hear its machines is given no
	// partition.
	isolationPenalty = 30 * micros.Second
	// minReachabilityGain is how many more machines another controller must reach at least, and
	// an eighth of all, for a partition to change hands: that costs a second or two.
	minReachabilityGain     = 3
	reachabilityGainDivisor = 8
)

// assignmentView is what the assignment of partitions needs of the core.
type assignmentView interface {
	leaderView
	PartitionCount() int
	ReachableMachines(process storage.Process, partition int) int
	MachinesInUse(partition int) map[string]int
}

// partitionAssignment gives each partition a live leader.
type partitionAssignment struct {
	view    assignmentView
	config  *config.Config
	process storage.Process
	keys    storage.Keys
	peers   *membership.Peers
	term    *leaderTerm

	nextAt     micros.Time
	inFlight   bool
	isolatedAt map[storage.Process]micros.Time // partition leaders that lost their machines: when
}

func newPartitionAssignment(view assignmentView, cfg *config.Config, process storage.Process, keys storage.Keys,
	peers *membership.Peers, term *leaderTerm) *partitionAssignment {
	return &partitionAssignment{view: view, config: cfg, process: process, keys: keys, peers: peers, term: term}
}

func (a *partitionAssignment) startTerm() {
	a.inFlight, a.isolatedAt = false, map[storage.Process]micros.Time{}
}

// tick writes the assignments that are missing. A partition leader that is registered but has
// not been heard from by the cluster leader for long cannot say what it needs; its partitions
// go to another.
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

// request writes as many assignments as one transaction takes. Each is guarded by the
// registration that it was decided on.
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

// currentPeer is what a process last said; nil if it said nothing, or another run of its member did since.
func (a *partitionAssignment) currentPeer(p storage.Process) *membership.Peer {
	if peer := a.peers.Latest(p.Member); peer != nil && peer.Status.From == p {
		return peer
	}
	return nil
}

// unresponsive tells whether the process has not been heard from for long. At the beginning of a
// term nobody counts as that yet.
func (a *partitionAssignment) unresponsive(p storage.Process) bool {
	now, peer := a.view.Now(), a.currentPeer(p)
	heard := peer != nil && now-peer.ReceivedAt < unresponsiveTimeout
	return !heard && now-a.term.acquiredAt > unresponsiveTimeout
}

// isolated tells whether a partition leader has lost machines, but not the store, while
// another controller reaches clearly more of them: the partition goes there, long before
// the agents' leases end. Two zones may not reach each other while a third reaches
// both. One that lost a partition gets none for a while, so it does not go back and forth.
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

// reachableByPeers is how many of the partition's machines the controller reaches that reaches
// most of them besides its leader.
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

// minReassignmentGain is how many more machines a controller has to reach to be given the partition.
func (a *partitionAssignment) minReassignmentGain(partition int) int {
	machines := 0
	for _, inZone := range a.view.MachinesInUse(partition) {
		machines += inZone
	}
	return max(minReachabilityGain, machines/reachabilityGainDivisor)
}
