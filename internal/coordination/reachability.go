package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/reachability"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// leaderStatusTTL is how long a partition leader's report of unreachable zones is valid. A leader
	// that has sent no status for longer may be unreachable itself.
	leaderStatusTTL = 2 * micros.Second
	// reachableMachinesTTL is how long a controller's status is valid for comparing controllers by the
	// number of machines they reach.
	reachableMachinesTTL = 3 * micros.Second
)

// lastStatus returns the last status received from a member regardless of its age, or nil if there is
// none.
func (c *Core) lastStatus(member string) *messages.PeerStatus {
	if peer := c.peers.Latest(member); peer != nil {
		return peer.Status
	}
	return nil
}

// recentStatus returns the last status of a process if it was received within the given duration, or
// nil otherwise.
func (c *Core) recentStatus(process storage.Process, within micros.Time) *messages.PeerStatus {
	peer := c.peers.Latest(process.Member)
	if peer == nil || peer.Status.From != process || c.now-peer.ReceivedAt > within {
		return nil
	}
	return peer.Status
}

// probeReachability probes a sample of machines in every zone of each partition whose leader cannot
// reach all zones, or has sent no recent status itself.
func (c *Core) probeReachability() {
	if !c.replica.Synced() || !c.reachability.Due() {
		return
	}
	var partitions []int
	for n, partition := range c.cache.Partitions {
		leader := partition.Value.Leader
		if leader != c.process && c.cache.Live(leader) && c.needsReachabilityProbe(n, leader) {
			partitions = append(partitions, n)
		}
	}
	if len(partitions) == 0 {
		return
	}
	slices.Sort(partitions)
	var samples []reachability.ZoneSample
	for _, n := range partitions {
		samples = append(samples, reachability.Samples(c.cache, n)...)
	}
	c.reachability.StartRound(samples)
}

// needsReachabilityProbe reports whether the machines of a partition should be probed because its
// leader, which is registered, recently reported an unreachable zone or has sent no recent status.
func (c *Core) needsReachabilityProbe(partition int, leader storage.Process) bool {
	status := c.recentStatus(leader, leaderStatusTTL)
	if status == nil {
		// Shortly after the start, the absence of a status is not conclusive.
		return c.now > c.startedAt+leaderStatusTTL
	}
	return reachability.HasUnreachableZones(status, partition)
}

// machinesInUse returns the number of machines in use of a partition by zone.
func (c *Core) machinesInUse(partition int) map[string]int {
	return reachability.MachinesInUse(c.cache, partition)
}

// reachableMachines returns how many of a partition's machines a controller reaches according to its
// last status, or 0 if it has sent none recently.
func (c *Core) reachableMachines(process storage.Process, partition int) int {
	status := c.recentStatus(process, reachableMachinesTTL)
	if status == nil {
		return 0
	}
	return reachability.ReachableMachines(c.cache, status, partition)
}

// unreachableFromLeader reports whether a machine should not be redirected to its partition's leader
// because the two cannot communicate. A redirect would waste time in which another controller could
// take over before the agent lease expires. The conclusion is drawn from the leader's own recent
// status. Without one, the leader is unreachable from here, and a heartbeat that carries a
// fencing token of its lease shows that the agent has already turned away from it.
func (c *Core) unreachableFromLeader(
	heartbeat *messages.Heartbeat, machine storage.Machine, partition storage.Versioned[storage.PartitionRecord],
) bool {
	status := c.recentStatus(partition.Value.Leader, leaderStatusTTL)
	if status == nil {
		acquired := partition.ModRevision
		if partition.Value.AcquiredRevision != 0 {
			acquired = partition.Value.AcquiredRevision
		}
		return heartbeat.FencingToken >= acquired && heartbeat.FencingToken <= partition.ModRevision
	}
	return reachability.IsZoneUnreachable(status, machine.Partition, machine.Zone)
}
