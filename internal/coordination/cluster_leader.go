package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// tickClusterLeader runs the cluster leader's timers if this process is the cluster leader.
func (c *Core) tickClusterLeader() {
	if !c.isClusterLeader() {
		return
	}
	c.leader.StartTerm(c.cache.ClusterLeader.ModRevision)
	if c.member.LeaseID() == 0 || !c.term.Valid(c.now) {
		return
	}
	c.leader.AssignPartitions()
	c.tickAdmission()
	c.leader.Tick()
}

// partitionCount returns the number of partitions.
func (c *Core) partitionCount() int {
	count := 1
	for _, team := range c.teams {
		count = max(count, team.Partition+1)
	}
	return count
}

// statusLifetime is the maximum age of a peer's status of its partitions that is acted on.
const statusLifetime = 3 * micros.Second

// partitionStatuses returns the last statuses of partitions that their current leaders sent, except
// those older than statusLifetime. Statuses under an earlier fencing token are ignored.
func (c *Core) partitionStatuses() []messages.PartitionStatus {
	var statuses []messages.PartitionStatus
	for _, peer := range c.peers.All() {
		if c.now-peer.ReceivedAt > statusLifetime {
			continue
		}
		for _, status := range peer.Status.Partitions {
			current := c.cache.Partitions[status.Partition]
			if current.Value.Leader == peer.Status.From && current.ModRevision == status.FencingToken {
				statuses = append(statuses, status)
			}
		}
	}
	return statuses
}
