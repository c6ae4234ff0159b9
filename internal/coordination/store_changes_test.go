package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

var otherProcess = storage.Process{Member: "n1", Incarnation: "1"}

// applyItem applies one change of the store to a core.
func applyItem(t *testing.T, c *Core, key string, value any, revision uint64) {
	t.Helper()
	item := storage.Item{Key: key, Value: storage.Encode(value), ModRevision: revision}
	change, changed, err := c.cache.Apply(item)
	if err != nil || !changed {
		t.Fatalf("change of %s: changed %v, error %v", key, changed, err)
	}
	replicaObserver{c}.Changed(change, item)
}

// logMessages returns the messages of the log records of the current step.
func logMessages(c *Core) (out []string) {
	for _, record := range c.output.LogRecords {
		out = append(out, record.Message)
	}
	return out
}

// newCoreInStep returns a core in the middle of a step at 10 s.
func newCoreInStep(t *testing.T) *Core {
	t.Helper()
	c := newTestCore(t)
	c.now, c.output = 10*micros.Second, &messages.Output{}
	return c
}

func TestPartitionLeadershipFollowsChangeStream(t *testing.T) {
	c := newCoreInStep(t)
	key := c.keys.Partition(0)
	applyItem(t, c, key, storage.PartitionRecord{Leader: otherProcess}, 5)
	if len(c.partitions) != 0 || len(logMessages(c)) != 0 {
		t.Fatalf("%d partitions led, log %q", len(c.partitions), logMessages(c))
	}
	applyItem(t, c, key, storage.PartitionRecord{Leader: c.process}, 6)
	acquired := c.partitions[0]
	if acquired == nil || acquired.lease.fencingToken != 6 {
		t.Fatalf("partition %+v, want one with fencing token 6", acquired)
	}
	applyItem(t, c, key, storage.PartitionRecord{Leader: c.process}, 7)
	if c.partitions[0] != acquired || acquired.lease.fencingToken != 7 {
		t.Errorf("a new fencing token replaced the partition leader or was not adopted")
	}
	applyItem(t, c, key, storage.PartitionRecord{Leader: otherProcess}, 8)
	if len(c.partitions) != 0 {
		t.Error("partition is still led after another process became its leader")
	}
	want := []string{"partition leadership acquired", "fencing token renewed", "partition leadership lost"}
	if got := logMessages(c); !slices.Equal(got, want) {
		t.Errorf("log %q, want %q", got, want)
	}
}

// TestSnapshotAndPartitionLeadership: what happened between two snapshots is unknown, so a leadership
// continues only if its record is unchanged, or shows that it was written again under the same lease.
func TestSnapshotAndPartitionLeadership(t *testing.T) {
	for name, test := range map[string]struct {
		leader   *storage.Process // in the snapshot; nil: no record
		revision uint64
		acquired uint64 // in the record
		kept     bool
		leads    bool
	}{
		"same record: continues":                    {&storage.Process{Member: "n0", Incarnation: "1"}, 6, 0, true, true},
		"later record of this process: starts anew": {&storage.Process{Member: "n0", Incarnation: "1"}, 9, 0, false, true},
		"token renewed: continues":                  {&storage.Process{Member: "n0", Incarnation: "1"}, 9, 6, true, true},
		"renewed under another lease: starts anew":  {&storage.Process{Member: "n0", Incarnation: "1"}, 9, 8, false, true},
		"another leader: ends":                      {&otherProcess, 9, 6, false, false},
		"no record: ends":                           {nil, 0, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCoreInStep(t)
			applyItem(t, c, c.keys.Partition(0), storage.PartitionRecord{Leader: c.process}, 6)
			before := c.partitions[0]
			snapshot := storage.NewCache(c.keys)
			if test.leader != nil {
				record := storage.Versioned[storage.PartitionRecord]{ModRevision: test.revision}
				record.Value.Leader, record.Value.AcquiredRevision = *test.leader, test.acquired
				snapshot.Partitions[0] = record
			}
			c.replica.Install(snapshot, c.now)
			after := c.partitions[0]
			if c.cache != snapshot {
				t.Error("the core's cache is not the installed snapshot")
			}
			if (after != nil) != test.leads || (after != nil && after == before) != test.kept {
				t.Errorf("leads: %v, want %v; same leader as before: %v, want %v",
					after != nil, test.leads, after == before, test.kept)
			}
			if after != nil && after.lease.fencingToken != test.revision {
				t.Errorf("fencing token %d, want %d", after.lease.fencingToken, test.revision)
			}
		})
	}
}

// TestDeathTimeOfFormerLeader: a former leader is known to be dead once a newer process of its member
// is registered. The time when this was first known is kept.
func TestDeathTimeOfFormerLeader(t *testing.T) {
	c := newCoreInStep(t)
	record := storage.PartitionRecord{Leader: c.process, FormerLeaders: []storage.Process{otherProcess}}
	applyItem(t, c, c.keys.Partition(0), record, 6)
	if len(c.deathTimes) != 0 {
		t.Fatalf("death times %v, want none before any registration", c.deathTimes)
	}
	register := func(incarnation string, revision uint64) {
		process := storage.Process{Member: "n1", Incarnation: incarnation}
		applyItem(t, c, c.keys.Member("n1"), storage.Registration{Process: process, Format: storage.Format}, revision)
	}
	register("1", 7)
	if len(c.deathTimes) != 0 {
		t.Fatalf("death times %v, want none while the process is registered", c.deathTimes)
	}
	register("2", 8)
	died := c.now
	c.now += micros.Second
	register("3", 9)
	if got := c.deathTimes[otherProcess]; got != died {
		t.Errorf("death time %d, want %d, when it was first known", got, died)
	}
}
