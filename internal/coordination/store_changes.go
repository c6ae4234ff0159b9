package coordination

import (
	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// storeTimeout is how long the reply to a transaction is waited for.
const storeTimeout = 2 * micros.Second

// watchInterval keeps watches within a share of the request budget.
func watchInterval(cfg *config.Config) micros.Time {
	share := cfg.Settings.StateLimits().RPS / float64(cfg.Settings.Nodes)
	return micros.FromSeconds(min(1, 2.5/share))
}

// replicaObserver passes on to the parts of the core what its copy of the key-value store
// learns. Nothing else tells a partition leader of jobs and of the loss of its lease.
type replicaObserver struct{ core *Core }

// SnapshotInstalled lets everything look at a fresh copy of the store.
func (o replicaObserver) SnapshotInstalled(previous *storage.Cache, sent micros.Time) {
	c := o.core
	c.cache = c.replica.Cache()
	for n, p := range c.partitions {
		if v := c.cache.Partitions[n]; v.ModRevision != p.lease.fencingToken || v.Value.Leader != c.process {
			delete(c.partitions, n)
			continue
		}
		p.reconcileSnapshot(previous)
	}
	for n := range c.cache.Partitions {
		c.partitionChanged(n)
	}
	c.recordDeadProcesses()
	c.admissionChanged(sent)
}

// Changed hands one change to the parts that it concerns.
func (o replicaObserver) Changed(change storage.Change, item storage.Item) {
	c := o.core
	switch change.Kind {
	case storage.MemberRecord:
		c.recordDeadProcesses()
	case storage.PartitionLeaderRecord:
		for n := range c.cache.Partitions {
			if c.keys.Partition(n) == item.Key {
				c.partitionChanged(n)
			}
		}
	case storage.MachineBlockRecord:
		for _, n := range sortedKeys(c.partitions) {
			for _, m := range change.Machines {
				c.partitions[n].machineChanged(m)
			}
		}
	case storage.JobRecord:
		if c.isCancelled(change.ID) {
			c.cancellations.RecordCommitted(c.now, change.ID, item.ModRevision)
		}
		c.jobChanged(change.ID)
	case storage.CompletedRecord:
		c.jobChanged(change.ID)
	case storage.ClusterLeaderRecord, storage.ArchivedJobRecord, storage.DependencyPartRecord,
		storage.CatalogRecord, storage.CatalogPartRecord, storage.AdmissionRecord, storage.FormatRecord:
		// Looked up in the cache where they matter, or taken when all changes are applied.
	}
}

// jobChanged lets the partitions led here look at a job again.
func (c *Core) jobChanged(id string) {
	for _, n := range sortedKeys(c.partitions) {
		c.partitions[n].jobChanged(id)
	}
}

// AdmissionChanged takes the record of the admission epoch.
func (o replicaObserver) AdmissionChanged(sent micros.Time) { o.core.admissionChanged(sent) }

// ChangesApplied looks again at jobs that depend on those that changed.
func (o replicaObserver) ChangesApplied() { o.core.reevaluateAffected() }

// recordDeadProcesses dates the end of former partition leaders.
func (c *Core) recordDeadProcesses() {
	for _, q := range c.cache.Partitions {
		for _, p := range q.Value.FormerLeaders {
			if _, ok := c.deathTimes[p]; !ok && c.cache.Dead(p) {
				c.deathTimes[p] = c.now
			}
		}
	}
}

// partitionChanged takes a change of a partition's leader or fencing token.
func (c *Core) partitionChanged(n int) {
	v, ok := c.cache.Partitions[n]
	p := c.partitions[n]
	if !ok || v.Value.Leader != c.process {
		if p != nil {
			c.log(messages.LevelWarn, "partition leadership lost", "partition", n, "leader", v.Value.Leader.Member)
			delete(c.partitions, n)
		}
		return
	}
	c.recordDeadProcesses()
	if p != nil {
		p.renewToken(v.ModRevision)
		return
	}
	p = newPartitionLeader(c, n, v)
	c.partitions[n] = p
	c.log(messages.LevelInfo, "partition leadership acquired", "partition", n, "fencing_token", v.ModRevision,
		"machines", len(p.machines), "jobs", len(p.jobs))
}
