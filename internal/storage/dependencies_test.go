package storage

import (
	"fmt"
	"testing"

	"pipitlatch/internal/workload"
)

// put applies a record.
func put(t *testing.T, c *Cache, modRevision uint64, key string, v any) {
	t.Helper()
	item := Item{Key: key, ModRevision: modRevision, Deleted: v == nil}
	if v != nil {
		item.Value = Encode(v)
	}
	if _, _, err := c.Apply(item); err != nil {
		t.Fatal(err)
	}
}

func job(id string, phase workload.Phase, dependencies ...string) *workload.Job {
	return &workload.Job{ID: id, Tasks: 1, Phase: phase, DependsOn: dependencies}
}

// TestDependenciesInAnyOrder checks that the dependency state of a job does not depend on the order
// in which records arrive, because a snapshot orders them differently from the change stream. A
// dependency that was archived before the job's record arrived, for example because the submission's
// transaction was executed minutes late, is unresolved until its archived record is read.
func TestDependenciesInAnyOrder(t *testing.T) {
	k := Keys{"pl/"}
	for _, first := range []bool{true, false} {
		c := NewCache(k)
		putThird := func() { put(t, c, 9, k.Job("wk-3"), job("wk-3", workload.Active, "wk-2")) }
		if first {
			putThird()
		}
		put(t, c, 8, k.Job("wk-2"), job("wk-2", workload.Active, "wk-1", "wk-0"))
		put(t, c, 7, k.Job("wk-1"), job("wk-1", workload.Done))
		if !first {
			putThird()
		}
		entry := c.Jobs["wk-2"]
		if blocked, unknown := c.Blocked(entry); !blocked || unknown != "wk-0" {
			t.Fatalf("blocked %v by %q", blocked, unknown)
		}
		c.TakeAffected()
		c.ResolveDependency("wk-0", workload.Done)
		if blocked, _ := c.Blocked(entry); blocked || len(c.TakeAffected()) != 1 {
			t.Error("wk-2 is still blocked, or is not the only affected job")
		}
		// wk-3 waits for the record of wk-2 and is cancelled when wk-2 is.
		if blocked, _ := c.Blocked(c.Jobs["wk-3"]); !blocked || c.Jobs["wk-3"].Cancelled() {
			t.Error("wk-3 is not blocked by wk-2, or is already cancelled")
		}
		put(t, c, 10, k.Job("wk-2"), job("wk-2", workload.Cancelled))
		if !c.Jobs["wk-3"].Cancelled() {
			t.Error("wk-3 is not cancelled with wk-2")
		}
		put(t, c, 11, k.Job("wk-3"), job("wk-3", workload.Cancelled))
		if len(c.Dependents) != 0 || len(c.ArchivedPhases) != 0 {
			t.Errorf("entries left in the graph: dependents %v, archived phases %v", c.Dependents, c.ArchivedPhases)
		}
	}
	// wk-4 was archived as cancelled before the late transaction that accepted wk-5.
	c := NewCache(k)
	put(t, c, 5, k.Job("wk-5"), job("wk-5", workload.Active, "wk-4"))
	c.ResolveDependency("wk-4", workload.Cancelled)
	if !c.Jobs["wk-5"].Cancelled() {
		t.Error("wk-5 is not cancelled with its archived dependency wk-4")
	}
}

// TestCancellationReachesLongChains checks that a cancellation reaches the end of a long dependency
// chain.
func TestCancellationReachesLongChains(t *testing.T) {
	k, c := Keys{"pl/"}, NewCache(Keys{"pl/"})
	const n = 20_000
	id := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
	put(t, c, 1, k.Job(id(0)), job(id(0), workload.Active))
	for i := 1; i <= n; i++ {
		put(t, c, uint64(i+1), k.Job(id(i)), job(id(i), workload.Active, id(i-1)))
	}
	put(t, c, n+2, k.Job(id(0)), job(id(0), workload.Cancelled))
	for i := 1; i <= n; i++ {
		if !c.Jobs[id(i)].Cancelled() {
			t.Fatalf("the cancellation did not reach job %d of the chain", i)
		}
	}
}

// TestSplitBlock checks that every part fits, none is empty, and no machine is lost, duplicated or
// changed.
func TestSplitBlock(t *testing.T) {
	block := BlockRecord{InstanceType: "t", Zone: "z", Requested: 3, Machines: map[string]MachineRecord{}}
	for i := range MaxBlockMachines {
		record := MachineRecord{Address: fmt.Sprintf("10.100.100.%d:9000", i), Used: i%2 == 0}
		block.Machines[fmt.Sprintf("vm-%06d", i)] = record
	}
	seen, requested := map[string]bool{}, 0
	for _, part := range block.Split(1900) {
		if n := len(Encode(part)); n > 1900 || len(part.Machines) == 0 {
			t.Errorf("part of %d bytes with %d machines, want at most 1900 bytes and at least one machine",
				n, len(part.Machines))
		}
		requested += part.Requested
		for m, rec := range part.Machines {
			if seen[m] || rec != block.Machines[m] {
				t.Errorf("machine %s is duplicated or changed", m)
			}
			seen[m] = true
		}
	}
	if len(seen) != MaxBlockMachines || requested != 3 {
		t.Errorf("%d machines and %d requested, want %d and 3", len(seen), requested, MaxBlockMachines)
	}
}
