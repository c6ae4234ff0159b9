package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/reachability"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// leaderStatusTTL is how long what a partition leader said of the zones that it hears counts;
	// a leader that has not been heard for as long may be out of reach itself.
	leaderStatusTTL = 2 * micros.Second
	// reachableMachinesTTL is how long what a controller said counts where controllers are compared
	// by the machines that they reach.
	reachableMachinesTTL = 3 * micros.Second
)

// lastStatus is the last status of a member, however old; nil: none was received.
func (c *Core) lastStatus(member string) *messages.PeerStatus {
	if peer := c.peers.Latest(member); peer != nil {
		return peer.Status
	}
	return nil
}

// recentStatus is the last status of a process, if it came within a duration; otherwise nil.
func (c *Core) recentStatus(process storage.Process, within micros.Time) *messages.PeerStatus {
	peer := c.peers.Latest(process.Member)
	if peer == nil || peer.Status.From != process || c.now-peer.ReceivedAt > within {
		return nil
	}
	return peer.Status
}

// probeReachability probes some machines of every zone of the partitions whose leaders do not hear
// all of them, or are not heard themselves.
func (c *Core) probeReachability() {
	if !c.replica.Synced() || !c.reachability.Due() {
		return
	}
	var partitions []int
	for n, partition := range c.cache.Partitions {
		leader := partition.Value.Leader
		if leader != c.process && c.cache.Live(leader) && c.leaderMissesMachines(n, leader) {
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
	c.reachability.Send(samples)
}

// leaderMissesMachines tells whether a partition's leader said of late that it does not hear a zone,
// or is registered and not heard itself.
func (c *Core) leaderMissesMachines(partition int, leader storage.Process) bool {
	status := c.recentStatus(leader, leaderStatusTTL)
	if status == nil {
		// Shortly after the start, no peer may have been heard yet.
		return c.now > c.startedAt+leaderStatusTTL
	}
	return reachability.MissesZones(status, partition)
}

// machinesInUse is how many machines of a partition are in use, by zone.
func (c *Core) machinesInUse(partition int) map[string]int {
	return reachability.MachinesInUse(c.cache, partition)
}

// reachableMachines is how many of a partition's machines a controller reaches, as far as it told.
func (c *Core) reachableMachines(process storage.Process, partition int) int {
	status := c.recentStatus(process, reachableMachinesTTL)
	if status == nil {
		return 0
	}
	return reachability.ReachableMachines(c.cache, status, partition)
}

// unreachableFromLeader tells whether a machine should not be redirected to its partition's leader,
// which does not hear it: it would lose the time in which another could take over before its agent
// lease expires. Either the leader said so, or it is not heard here and the agent, which shows the
// leader's fencing token, has left it.
func (c *Core) unreachableFromLeader(
	heartbeat *messages.Heartbeat, machine storage.Machine, partition storage.Versioned[storage.PartitionRecord],
) bool {
	status := c.recentStatus(partition.Value.Leader, leaderStatusTTL)
	if status == nil {
		return heartbeat.FencingToken == partition.ModRevision
	}
	return reachability.MissesZone(status, machine.Partition, machine.Zone)
}
