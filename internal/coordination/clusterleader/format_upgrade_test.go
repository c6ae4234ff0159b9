package clusterleader

import (
	"slices"
	"testing"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// newTestFormatUpgrade returns the formatUpgrade of a cluster of two members, both registered with
// this version.
func newTestFormatUpgrade(t *testing.T) (*fakeView, *formatUpgrade) {
	t.Helper()
	v := newFakeView(t, nil)
	for _, member := range []string{"n0", "n1"} {
		register(t, v, member, storage.Format)
	}
	cfg := newTestConfig(t)
	cfg.Peers = []config.Peer{{Member: "n1"}}
	return v, newFormatUpgrade(v, cfg, testProcess, testKeys)
}

func register(t *testing.T, v *fakeView, member string, format int) {
	t.Helper()
	v.put(t, testKeys.Member(member),
		storage.Registration{Process: storage.Process{Member: member, Incarnation: "1"}, Format: format})
}

func TestFormatUpgradeWaitsForAllMembers(t *testing.T) {
	tests := []struct {
		name   string
		change func(*testing.T, *fakeView)
		want   bool
	}{
		{"all members of this version", func(*testing.T, *fakeView) {}, true},
		{"the store has the format already",
			func(t *testing.T, v *fakeView) { v.put(t, testKeys.Format(), map[string]int{"v": storage.Format}) }, false},
		{"a peer of an older version",
			func(t *testing.T, v *fakeView) { register(t, v, "n1", storage.Format-1) }, false},
		{"this member registered with an older version",
			func(t *testing.T, v *fakeView) { register(t, v, "n0", storage.Format-1) }, false},
		{"a peer that is not registered",
			func(_ *testing.T, v *fakeView) { delete(v.cache.Members, "n1") }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, u := newTestFormatUpgrade(t)
			test.change(t, v)
			u.tick()
			if !test.want {
				v.RequireNoCall(t)
				return
			}
			r := v.Take(t, storage.Txn).Request
			if want := []storage.Compare{v.LeaderCompare()}; !slices.Equal(r.Compares, want) {
				t.Errorf("comparisons %+v, want %+v", r.Compares, want)
			}
			if len(r.Puts) != 1 || r.Puts[0].Key != testKeys.Format() {
				t.Errorf("puts %+v, want the format", r.Puts)
			}
		})
	}
}

func TestFormatUpgradeRetriesAfterAnInterval(t *testing.T) {
	v, u := newTestFormatUpgrade(t)
	u.tick()
	call := v.Take(t, storage.Txn)
	v.Time += 10 * formatUpgradeInterval
	u.tick()
	v.RequireNoCall(t) // the first is in flight
	call.Reply(storage.Reply{Outcome: storage.OutcomeUnknown})
	u.tick()
	v.Take(t, storage.Txn).Reply(storage.Reply{Outcome: storage.OK})
	v.Time += formatUpgradeInterval - 1
	u.tick()
	v.RequireNoCall(t)
	v.Time += micros.Time(1)
	u.tick()
	v.Take(t, storage.Txn)
	if want := []string{"record format upgraded"}; !slices.Equal(v.Messages, want) {
		t.Errorf("log records %v, want %v", v.Messages, want)
	}
}
