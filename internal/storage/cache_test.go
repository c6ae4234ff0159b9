package storage

import (
	"testing"

	"pipitlatch/internal/workload"
)

// TestApplyIgnoresOlderItems guards against an older item replacing a newer record when snapshot
// pages and the change stream overlap.
func TestApplyIgnoresOlderItems(t *testing.T) {
	k := Keys{Prefix: "pl/"}
	c := NewCache(k)
	put(t, c, 5, k.Partition(0), PartitionRecord{Leader: Process{Member: "node-1"}})
	put(t, c, 4, k.Partition(0), PartitionRecord{Leader: Process{Member: "node-0"}})
	if got := c.Partitions[0]; got.Value.Leader.Member != "node-1" || got.ModRevision != 5 {
		t.Errorf("partition record %+v, want that of revision 5", got)
	}
}

// TestCompletedSegmentsBeforeTheirJob checks that completed segments, which precede their job in a
// snapshot, are applied once the job arrives, and that segments of a job that does not exist are
// dropped at the end of the snapshot.
func TestCompletedSegmentsBeforeTheirJob(t *testing.T) {
	k := Keys{Prefix: "pl/"}
	c := NewCache(k)
	put(t, c, 3, k.CompletedSegment("wk-1", 0), "0-1")
	put(t, c, 4, k.CompletedSegment("wk-2", 0), "0")
	put(t, c, 2, k.Job("wk-1"), &workload.Job{ID: "wk-1", Tasks: 4})
	c.SnapshotComplete()
	entry := c.Jobs["wk-1"]
	if entry.Completed == nil || entry.Completed.Len() != 2 || entry.CompletedRevisions[0] != 3 {
		t.Errorf("completed %+v at %v, want two tasks at revision 3", entry.Completed, entry.CompletedRevisions)
	}
	put(t, c, 5, k.Job("wk-2"), &workload.Job{ID: "wk-2", Tasks: 4})
	if c.Jobs["wk-2"].Completed != nil {
		t.Error("a completed segment without a job was kept after the end of the snapshot")
	}
}

// TestMachineMovesBetweenBlocks guards against losing a machine that moves between blocks when
// either block's record is applied first, and against losing its Used flag.
func TestMachineMovesBetweenBlocks(t *testing.T) {
	k := Keys{Prefix: "pl/"}
	used := BlockRecord{Partition: 0, Machines: map[string]MachineRecord{"vm-1": {Used: true}}}
	moved := BlockRecord{Partition: 1, Machines: map[string]MachineRecord{"vm-1": {}}}
	for name, newFirst := range map[string]bool{"new block first": true, "old block first": false} {
		t.Run(name, func(t *testing.T) {
			c := NewCache(k)
			put(t, c, 1, k.Block("a"), used)
			if newFirst {
				put(t, c, 2, k.Block("b"), moved)
				put(t, c, 2, k.Block("a"), BlockRecord{})
			} else {
				put(t, c, 2, k.Block("a"), BlockRecord{})
				put(t, c, 2, k.Block("b"), moved)
			}
			got := c.Machines["vm-1"].Value
			if got.Block != "b" || got.Partition != 1 {
				t.Errorf("machine %+v, want it in block b of partition 1", got)
			}
			if newFirst && !got.Used {
				t.Error("the machine may have tasks but is marked as unused")
			}
		})
	}
}

func TestDeadProcesses(t *testing.T) {
	k := Keys{Prefix: "pl/"}
	first, second := Process{Member: "node-1", Incarnation: "a"}, Process{Member: "node-1", Incarnation: "b"}
	c := NewCache(k)
	put(t, c, 1, k.Member("node-1"), Registration{Process: first, Format: Format})
	if !c.Live(first) || c.Dead(first) {
		t.Error("the registered process is not reported as live")
	}
	put(t, c, 2, k.Member("node-1"), nil)
	if c.Live(first) || c.Dead(first) {
		t.Error("a process without a registration is reported as live or dead")
	}
	put(t, c, 3, k.Member("node-1"), Registration{Process: second})
	if !c.Dead(first) || !c.Live(second) || c.MemberFormats["node-1"] != 0 {
		t.Error("after a newer process of the member registered: want the first one dead, the second one live, format 0")
	}
}
