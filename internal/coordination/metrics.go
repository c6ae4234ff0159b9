package coordination

import "pipitlatch/internal/coordination/messages"

// Metrics returns the counters and gauges of this controller.
func (c *Core) Metrics() messages.Metrics {
	metrics := c.metrics
	metrics.StoreRevision = c.cache.Revision
	metrics.ClusterLeader = c.isClusterLeader()
	for _, n := range sortedKeys(c.partitions) {
		p := c.partitions[n]
		metrics.Partitions = append(metrics.Partitions, messages.PartitionMetrics{
			Partition:    n,
			FencingToken: p.lease.fencingToken,
			Machines:     len(p.machines),
		})
	}
	return metrics
}
