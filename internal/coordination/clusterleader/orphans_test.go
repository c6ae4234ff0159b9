package clusterleader

import (
	"maps"
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// newTestAdoption returns the orphanAdoption of a cluster leader with a machine a1.
func newTestAdoption(t *testing.T) (*fakeView, *orphanAdoption) {
	t.Helper()
	v := newFakeView(t, map[string]storage.BlockRecord{"a": block(0, "a1")})
	term := newTestTerm()
	scaling := newScaleOut(v, newTestConfig(t), testKeys, newTestPeers(0), term)
	a := newOrphanAdoption(v, testKeys, term, provisioning.NewTerminatedInstances(), scaling)
	a.startTerm()
	return v, a
}

// adopted returns the record of a block of orphans, each with its name as its address.
func adopted(partition int, machines ...string) storage.BlockRecord {
	b := block(partition)
	for _, machine := range machines {
		b.Machines[machine] = storage.MachineRecord{Address: machine}
	}
	return b
}

func TestOrphanAdoptionAdd(t *testing.T) {
	tests := []struct {
		name   string
		change func(*fakeView, *orphanAdoption)
		orphan string
		want   bool
	}{
		{"an unmanaged instance", func(*fakeView, *orphanAdoption) {}, "x", true},
		{"no recorded machine", func(*fakeView, *orphanAdoption) {}, "a1", false},
		{"no terminated instance", func(_ *fakeView, a *orphanAdoption) { a.terminated.Confirm("x", 0) }, "x", false},
		{"none as a follower", func(v *fakeView, _ *orphanAdoption) { v.follower = true }, "x", false},
		{"none before the term has started", func(_ *fakeView, a *orphanAdoption) { a.term.revision-- }, "x", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, a := newTestAdoption(t)
			test.change(v, a)
			a.add(test.orphan, test.orphan, testKind)
			if _, got := a.orphans[test.orphan]; got != test.want {
				t.Errorf("added: %v, want %v", got, test.want)
			}
		})
	}
}

var adoptionCases = []struct {
	name   string
	change func(*testing.T, *fakeView, *orphanAdoption) // with orphans x and y
	want   any                                          // the record written, or nil
	left   []string                                     // remaining orphans
}{
	{"in one block", func(*testing.T, *fakeView, *orphanAdoption) {}, adopted(0, "x", "y"), []string{"x", "y"}},
	{"as many machines as a block may have",
		func(_ *testing.T, _ *fakeView, a *orphanAdoption) { a.add("z", "z", testKind) },
		adopted(0, "x", "y"), []string{"x", "y", "z"}},
	{"in the partition that lacks capacity for the most tasks", func(_ *testing.T, v *fakeView, _ *orphanAdoption) {
		v.statuses = []messages.PartitionStatus{needing(0, 1), needing(2, 3), needing(1, 2)}
	}, adopted(2, "x", "y"), []string{"x", "y"}},
	{"only the first kind", func(_ *testing.T, _ *fakeView, a *orphanAdoption) {
		a.add("b", "b", provisioning.InstanceKind{InstanceType: "n", Zone: "a"})
	}, adopted(0, "x", "y"), []string{"b", "x", "y"}},
	{"without orphans recorded since", func(t *testing.T, v *fakeView, _ *orphanAdoption) {
		v.put(t, testKeys.Block("b"), block(0, "x"))
	}, adopted(0, "y"), []string{"y"}},
	{"without orphans terminated since",
		func(_ *testing.T, _ *fakeView, a *orphanAdoption) { a.terminated.Confirm("y", 0) },
		adopted(0, "x"), []string{"x"}},
	{"none while a request for the kind is in flight",
		func(_ *testing.T, _ *fakeView, a *orphanAdoption) { a.scaling.pending.Started("c1-1", testKind) },
		nil, []string{"x", "y"}},
	{"none while a request for the kind is recorded",
		func(t *testing.T, v *fakeView, _ *orphanAdoption) { v.put(t, testKeys.Block("c1-1"), openBlock(1)) },
		nil, []string{"x", "y"}},
	{"though a request for another kind is recorded", func(t *testing.T, v *fakeView, _ *orphanAdoption) {
		other := openBlock(1)
		other.Spot = true
		v.put(t, testKeys.Block("c1-1"), other)
	}, adopted(0, "x", "y"), []string{"x", "y"}},
	{"none while a request may have become a block that is not cached yet",
		func(_ *testing.T, v *fakeView, a *orphanAdoption) {
			a.scaling.advanceProvisionedRevision(v.cache.Revision + 1)
		},
		nil, []string{"x", "y"}},
	{"none before the next adoption is due", func(_ *testing.T, v *fakeView, a *orphanAdoption) { a.nextAt = v.Time + 1 },
		nil, []string{"x", "y"}},
}

// TestOrphanAdoptionWritesABlock checks that a tick writes one new block with orphans of one kind, up to
// the maximum size of a block, in the partition that lacks capacity for the most tasks. Orphans that were
// recorded or terminated meanwhile are left out. Nothing is written before the next adoption is due,
// or while an instance request for the kind is in flight, is recorded, or may have become a block that is
// not cached yet.
func TestOrphanAdoptionWritesABlock(t *testing.T) {
	for _, test := range adoptionCases {
		t.Run(test.name, func(t *testing.T) {
			v, a := newTestAdoption(t)
			a.add("x", "x", testKind)
			a.add("y", "y", testKind)
			test.change(t, v, a)
			a.tick()
			if got := slices.Sorted(maps.Keys(a.orphans)); !slices.Equal(got, test.left) {
				t.Errorf("orphans %v, want %v", got, test.left)
			}
			if test.want == nil {
				v.RequireNoCall(t)
				return
			}
			r := v.Take(t, storage.Txn).Request
			key := testKeys.Block("a4-1")
			if want := []storage.Compare{v.LeaderCompare(), {Key: key}}; !slices.Equal(r.Compares, want) {
				t.Errorf("comparisons %+v, want %+v", r.Compares, want)
			}
			if len(r.Puts) != 1 || r.Puts[0].Key != key || string(r.Puts[0].Value) != string(storage.Encode(test.want)) {
				t.Errorf("puts %+v, want %s", r.Puts, storage.Encode(test.want))
			}
		})
	}
}

func TestOrphanAdoptionKeepsTheNameUntilItIsTaken(t *testing.T) {
	for _, test := range []struct {
		outcome storage.Outcome
		name    string // of the block that is written next
	}{{storage.OK, "a4-2"}, {storage.Conflict, "a4-2"}, {storage.OutcomeUnknown, "a4-1"}} {
		t.Run(test.name, func(t *testing.T) {
			v, a := newTestAdoption(t)
			a.add("x", "x", testKind)
			a.tick()
			v.Take(t, storage.Txn).Reply(storage.Reply{Outcome: test.outcome})
			v.Time += adoptionInterval - 1
			a.tick()
			v.RequireNoCall(t)
			v.Time++
			a.tick()
			if got := v.Take(t, storage.Txn).Request.Puts[0].Key; got != testKeys.Block(test.name) {
				t.Errorf("written to %s, want block %s", got, test.name)
			}
		})
	}
}

func TestOrphanAdoptionWaitsForAnAnswer(t *testing.T) {
	v, a := newTestAdoption(t)
	a.add("x", "x", testKind)
	v.OverBudget = true
	a.tick()
	v.OverBudget = false
	v.Time += adoptionInterval
	a.tick()
	v.Take(t, storage.Txn)
	v.Time += adoptionTimeout - micros.Time(1)
	a.tick()
	v.RequireNoCall(t)
	v.Time++
	a.tick()
	v.Take(t, storage.Txn)
}
