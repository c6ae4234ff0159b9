package clusterleader

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// newTestPruning returns a blockPruning with a block a of two machines, b of one machine, and r of one
// machine and an open request. The given machines are terminated.
func newTestPruning(t *testing.T, terminated ...string) (*fakeView, *blockPruning) {
	t.Helper()
	open := block(0, "r1")
	open.Requested = 3
	v := newFakeView(t, map[string]storage.BlockRecord{"a": block(0, "a1", "a2"), "b": block(0, "b1"), "r": open})
	p := newBlockPruning(v, testKeys, provisioning.NewTerminatedInstances())
	p.startTerm()
	for _, machine := range terminated {
		p.terminated.Confirm(machine, v.Time)
	}
	return v, p
}

func TestBlockPruningWritesRemainingMachines(t *testing.T) {
	rest := block(0)
	rest.Requested = 3
	tests := []struct {
		name       string
		terminated string
		block      string
		put        any // nil: the block is deleted
		delete     bool
	}{
		{name: "a block with remaining machines", terminated: "a1", block: "a", put: block(0, "a2")},
		{name: "a block without machines", terminated: "b1", block: "b", delete: true},
		{name: "a block without machines, with an open request", terminated: "r1", block: "r", put: rest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, p := newTestPruning(t, test.terminated)
			p.tick()
			r := v.Take(t, storage.Txn).Request
			key := testKeys.Block(test.block)
			want := []storage.Compare{v.LeaderCompare(), {Key: key, ModRevision: v.cache.Blocks[test.block].ModRevision}}
			if !slices.Equal(r.Compares, want) {
				t.Errorf("comparisons %+v, want %+v", r.Compares, want)
			}
			if test.delete {
				if !slices.Equal(r.Deletes, []string{key}) || len(r.Puts) > 0 {
					t.Errorf("request %+v, want one that deletes %s", r, key)
				}
				return
			}
			if len(r.Puts) != 1 || string(r.Puts[0].Value) != string(storage.Encode(test.put)) || len(r.Deletes) > 0 {
				t.Errorf("request %+v, want one that writes %s", r, storage.Encode(test.put))
			}
		})
	}
}

func TestBlockPruningIgnoresUnrecordedMachines(t *testing.T) {
	v, p := newTestPruning(t, "unrecorded")
	p.tick()
	v.RequireNoCall(t)
}

func TestBlockPruningLimitsTheRatePerBlock(t *testing.T) {
	v, p := newTestPruning(t, "a1")
	p.tick()
	call := v.Take(t, storage.Txn)
	p.terminated.Confirm("b1", v.Time)
	p.tick()
	if got := v.Take(t, storage.Txn).Request.Deletes; !slices.Equal(got, []string{testKeys.Block("b")}) {
		t.Errorf("deleted %v, want the other block", got)
	}
	call.Reply(storage.Reply{Outcome: storage.Conflict})
	v.Time += pruneInterval - 1
	p.tick()
	v.RequireNoCall(t)
	v.Time++
	p.tick()
	v.Take(t, storage.Txn) // of a again; the write of b has not been answered
	v.Time += micros.Second + storeTimeout
	p.tick()
	if len(v.Calls) != 2 {
		t.Errorf("%d requests after the time-out of unanswered writes, want 2", len(v.Calls))
	}
}

func TestBlockPruningContinuesWhenTheRequestBudgetAllows(t *testing.T) {
	v, p := newTestPruning(t, "a1")
	v.OverBudget = true
	p.tick()
	v.OverBudget = false
	p.tick()
	v.Take(t, storage.Txn)
}
