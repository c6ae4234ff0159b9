package coordination

import (
	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// storeTimeout is the timeout of a transaction.
const storeTimeout = 2 * micros.Second

// watchInterval returns the minimum interval between watches, at most a second. It limits watches to
// 40 % of this controller's share of the request budget unless the share is below 2.5 requests/s.
func watchInterval(cfg *config.Config) micros.Time {
	share := cfg.Settings.StateLimits().RPS / float64(cfg.Settings.Nodes)
	return micros.FromSeconds(min(1, 2.5/share))
}

// replicaObserver passes changes of this controller's copy of the key-value store to the components of
// the core. It is the only source from which a partition leader learns of jobs and of the loss of its
// leadership.
type replicaObserver struct{ core *Core }

// SnapshotInstalled makes all components process a new snapshot of the store. A partition whose record
// is not the same as before is led anew, or no longer.
func (o replicaObserver) SnapshotInstalled(previous *storage.Cache, sent micros.Time) {
	c := o.core
	c.cache = c.replica.Cache()
	for n, p := range c.partitions {
		if !p.holdsLease(c.cache.Partitions[n]) {
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

// Changed passes one change to the components that it concerns.
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
		// These are read from the cache when needed, or processed after all changes are applied.
	}
}

// jobChanged makes the partition leaders in this process re-evaluate a job.
func (c *Core) jobChanged(id string) {
	for _, n := range sortedKeys(c.partitions) {
		c.partitions[n].jobChanged(id)
	}
}

// AdmissionChanged processes a change of the admission epoch's record.
func (o replicaObserver) AdmissionChanged(sent micros.Time) { o.core.admissionChanged(sent) }

// ChangesApplied re-evaluates the jobs that depend on changed jobs.
func (o replicaObserver) ChangesApplied() { o.core.reevaluateAffected() }

// recordDeadProcesses records when each former partition leader was first known to be dead.
func (c *Core) recordDeadProcesses() {
	for _, partition := range c.cache.Partitions {
		for _, process := range partition.Value.FormerLeaders {
			if _, ok := c.deathTimes[process]; !ok && c.cache.Dead(process) {
				c.deathTimes[process] = c.now
			}
		}
	}
}

// partitionChanged processes a change of a partition's leader or fencing token.
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
		"revision", c.cache.Revision, "former_leaders", len(v.Value.FormerLeaders),
		"machines", len(p.machines), "jobs", len(p.jobs))
}
