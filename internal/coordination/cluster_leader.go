package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// tickLeader does the duties of the cluster leader, while this process is it.
func (c *Core) tickLeader() {
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
