package coordination

import (
	"fmt"
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// newLeadingCore returns a core that has led partition 0 since mod revision 30, without machines or jobs.
func newLeadingCore(t *testing.T) *Core {
	t.Helper()
	c := newServingCore(t)
	c.partitions[0] = newPartitionLeader(c, 0, storage.Versioned[storage.PartitionRecord]{
		Value:       storage.PartitionRecord{Leader: c.process},
		ModRevision: 30,
	})
	return c
}

func TestJobChanged(t *testing.T) {
	active := func() *storage.JobEntry { return &storage.JobEntry{Job: testJob(1), ModRevision: 40} }
	tests := []struct {
		name          string
		record        *storage.JobEntry
		wantManaged   bool
		wantCancelled bool // cancelled by a dependency, which is still to be stored
	}{
		{name: "active", record: active(), wantManaged: true},
		{name: "removed"},
		{name: "done", record: &storage.JobEntry{Job: testJob(1).Tombstone(workload.Done)}},
		{name: "cancelled", record: &storage.JobEntry{Job: testJob(1).Tombstone(workload.Cancelled)}},
		{name: "cancelled by a dependency", wantCancelled: true,
			record: &storage.JobEntry{Job: testJob(1), CancelledByDependency: true}},
	}
	for _, test := range tests {
		for _, managed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, managed before: %v", test.name, managed), func(t *testing.T) {
				c := newLeadingCore(t)
				p := c.partitions[0]
				if managed {
					replaceJobRecord(p, active())
				}
				replaceJobRecord(p, test.record)
				requireManaged(t, p, test.record, test.wantManaged)
				if got := p.dependencies.cancelled[testJob(1).ID]; got != test.wantCancelled {
					t.Errorf("cancelled by a dependency: %v, want %v", got, test.wantCancelled)
				}
			})
		}
	}
}

// replaceJobRecord replaces the record of the test job in the cache, or deletes it if record is nil.
func replaceJobRecord(p *partitionLeader, record *storage.JobEntry) {
	id := testJob(1).ID
	delete(p.core.cache.Jobs, id)
	if record != nil {
		p.core.cache.Jobs[id] = record
	}
	p.jobChanged(id)
}

// requireManaged fails the test unless the leader manages the test job with this record, or, if want is
// false, does not manage it.
func requireManaged(t *testing.T, p *partitionLeader, record *storage.JobEntry, want bool) {
	t.Helper()
	j := p.jobs[testJob(1).ID]
	if got := j != nil; got != want || got != (len(p.sortedJobs) == 1) {
		t.Fatalf("managed %v (%d sorted jobs), want %v", got, len(p.sortedJobs), want)
	}
	if want && j.record != record {
		t.Error("job does not have its newest record")
	}
}

func TestRemovedJobStopsItsAttempts(t *testing.T) {
	tests := []struct {
		name       string
		phase      workload.Phase
		wantKilled bool
	}{
		{name: "done", phase: workload.Done},
		{name: "cancelled", phase: workload.Cancelled, wantKilled: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newLeadingCore(t)
			p, id := c.partitions[0], testJob(1).ID
			c.cache.Jobs[id] = &storage.JobEntry{Job: testJob(1), ModRevision: 40}
			p.jobChanged(id)
			f := &attemptFixture{leader: p, job: p.jobs[id],
				machine: &machine{id: "m", attempts: map[messages.AttemptID]*attempt{}}}
			a := f.startActive(0, true)
			c.cache.Jobs[id] = &storage.JobEntry{Job: testJob(1).Tombstone(test.phase), ModRevision: 41}
			p.jobChanged(id)
			commands := f.takeCommands()
			if len(commands) != 1 || commands[0].Operation != messages.Stop || commands[0].AttemptID != a.id {
				t.Errorf("commands %+v, want one stop of %+v", commands, a.id)
			}
			if a.job != nil || !a.persisted {
				t.Error("attempt still belongs to the removed job")
			}
			if got := slices.Contains(p.pendingKills, a); got != test.wantKilled {
				t.Errorf("killed %v, want %v", got, test.wantKilled)
			}
		})
	}
}

func TestMachineChanged(t *testing.T) {
	tests := []struct {
		name           string
		used           bool
		modRevision    uint64
		wantReconciled bool
	}{
		{name: "not used yet", modRevision: 20, wantReconciled: true},
		{name: "of a block newer than the lease", used: true, modRevision: 31, wantReconciled: true},
		{name: "used under a former leader", used: true, modRevision: 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newLeadingCore(t)
			p := c.partitions[0]
			stored := storage.Versioned[storage.Machine]{ModRevision: test.modRevision}
			stored.Value.Used = test.used
			c.cache.Machines["m"] = stored
			p.machineChanged("m")
			m := p.machine("m")
			if m == nil {
				t.Fatal("machine is not in the partition")
			}
			if got := m.agent.Reconciled(); got != test.wantReconciled {
				t.Errorf("reconciled %v, want %v", got, test.wantReconciled)
			}
			stored.Value.Partition = 1
			c.cache.Machines["m"] = stored
			p.machineChanged("m")
			if p.machine("m") != nil {
				t.Error("machine is still in the partition after its transfer")
			}
		})
	}
}

func TestTickDiscountsSilenceAfterProcessPause(t *testing.T) {
	tests := []struct {
		name  string
		pause micros.Time
		want  bool
	}{
		{name: "late tick", pause: micros.Second},
		{name: "process was paused", pause: micros.Second + 1, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newLeadingCore(t)
			p := c.partitions[0]
			c.cache.Machines["m"] = storage.Versioned[storage.Machine]{ModRevision: 31}
			p.machineChanged("m")
			m := p.machine("m")
			p.lastTick = c.now + 100*micros.Second
			c.now = p.lastTick + test.pause
			c.output = &messages.Output{}
			before := m.contact.LastContact()
			p.tick()
			if got := m.contact.LastContact() > before; got != test.want {
				t.Errorf("silence discounted: %v, want %v", got, test.want)
			}
		})
	}
}
