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

// newLeading is a core that leads partition 0, since mod revision 30, with no machines and no jobs.
func newLeading(t *testing.T) *Core {
	t.Helper()
	c := newServingCore(t)
	c.partitions[0] = newPartitionLeader(c, 0, storage.Versioned[storage.PartitionRecord]{
		Value:       storage.PartitionRecord{Leader: c.process},
		ModRevision: 30,
	})
	return c
}

func TestJobsFollowTheirRecords(t *testing.T) {
	active := func() *storage.JobEntry { return &storage.JobEntry{Job: testJob(1), ModRevision: 40} }
	tests := []struct {
		name          string
		record        *storage.JobEntry
		wantLed       bool
		wantCancelled bool // with a dependency, which is to be written
	}{
		{name: "active", record: active(), wantLed: true},
		{name: "removed"},
		{name: "done", record: &storage.JobEntry{Job: testJob(1).Tombstone(workload.Done)}},
		{name: "cancelled", record: &storage.JobEntry{Job: testJob(1).Tombstone(workload.Cancelled)}},
		{name: "cancelled with a dependency", wantCancelled: true,
			record: &storage.JobEntry{Job: testJob(1), CancelledByDependency: true}},
	}
	for _, test := range tests {
		for _, led := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, led before: %v", test.name, led), func(t *testing.T) {
				c := newLeading(t)
				p := c.partitions[0]
				if led {
					changeJob(p, active())
				}
				changeJob(p, test.record)
				checkLed(t, p, test.record, test.wantLed)
				if got := p.dependencies.cancelled[testJob(1).ID]; got != test.wantCancelled {
					t.Errorf("cancelled with a dependency: %v, want %v", got, test.wantCancelled)
				}
			})
		}
	}
}

// changeJob makes the cache have another record of the test job, or none.
func changeJob(p *partitionLeader, record *storage.JobEntry) {
	id := testJob(1).ID
	delete(p.core.cache.Jobs, id)
	if record != nil {
		p.core.cache.Jobs[id] = record
	}
	p.jobChanged(id)
}

// checkLed fails the test unless the test job is led by this record, or is not led.
func checkLed(t *testing.T, p *partitionLeader, record *storage.JobEntry, want bool) {
	t.Helper()
	j := p.jobs[testJob(1).ID]
	if got := j != nil; got != want || got != (len(p.sortedJobs) == 1) {
		t.Fatalf("led %v (%d), want %v", got, len(p.sortedJobs), want)
	}
	if want && j.record != record {
		t.Error("not by its newest record")
	}
}

func TestEndOfAJobStopsItsAttempts(t *testing.T) {
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
			c := newLeading(t)
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
				t.Errorf("%+v", commands)
			}
			if a.job != nil || !a.persisted {
				t.Error("the attempt still belongs to the job")
			}
			if got := slices.Contains(p.pendingKills, a); got != test.wantKilled {
				t.Errorf("killed %v, want %v", got, test.wantKilled)
			}
		})
	}
}

func TestMachinesFollowTheirRecords(t *testing.T) {
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
			c := newLeading(t)
			p := c.partitions[0]
			stored := storage.Versioned[storage.Machine]{ModRevision: test.modRevision}
			stored.Value.Used = test.used
			c.cache.Machines["m"] = stored
			p.machineChanged("m")
			m := p.machine("m")
			if m == nil {
				t.Fatal("not in the partition")
			}
			if got := m.agent.Reconciled(); got != test.wantReconciled {
				t.Errorf("reconciled %v, want %v", got, test.wantReconciled)
			}
			stored.Value.Partition = 1
			c.cache.Machines["m"] = stored
			p.machineChanged("m")
			if p.machine("m") != nil {
				t.Error("still in the partition after its transfer")
			}
		})
	}
}

func TestSilenceWhileTheProcessDidNotRunIsItsOwn(t *testing.T) {
	tests := []struct {
		name  string
		pause micros.Time
		want  bool
	}{
		{name: "a late tick", pause: micros.Second},
		{name: "a standstill", pause: micros.Second + 1, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newLeading(t)
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
