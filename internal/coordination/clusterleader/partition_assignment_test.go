package clusterleader

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// n1 and n2 are the other members of the cluster.
var (
	n1 = storage.Process{Member: "n1", Incarnation: "1"}
	n2 = storage.Process{Member: "n2", Incarnation: "1"}
)

// status returns the status of a member. If there are unreachable zones, the member reports them for
// partition 0.
func status(from storage.Process, unreachableZones ...string) *messages.PeerStatus {
	s := &messages.PeerStatus{From: from, StoreReachable: true}
	if len(unreachableZones) > 0 {
		s.Partitions = []messages.PartitionStatus{{Partition: 0, UnreachableZones: unreachableZones}}
	}
	return s
}

// newTestAssignment returns the partitionAssignment of a cluster of three members. n1 leads the only
// partition, which has 40 machines in use; n1 reaches 10 of them and n2 reaches 20.
func newTestAssignment(t *testing.T) (*fakeView, *partitionAssignment) {
	t.Helper()
	v := newFakeView(t, nil)
	for _, member := range []storage.Process{testProcess, n1, n2} {
		v.put(t, testKeys.Member(member.Member), member)
	}
	v.put(t, testKeys.Partition(0), storage.PartitionRecord{Leader: n1})
	v.inUse = map[string]int{"a": 10, "b": 30}
	v.reachable = map[storage.Process]int{n1: 10, n2: 20}
	peers := newTestPeers(v.Time, status(testProcess), status(n1), status(n2))
	a := newPartitionAssignment(v, newTestConfig(t), testProcess, testKeys, peers, newTestTerm())
	a.startTerm()
	return v, a
}

var reassignmentCases = []struct {
	name   string
	change func(*fakeView, *partitionAssignment)
	leader storage.Process // the new leader; zero: the partition is not reassigned
}{
	{"a responsive leader that reaches its machines", func(*fakeView, *partitionAssignment) {}, storage.Process{}},
	{"a leader that is not registered",
		func(v *fakeView, _ *partitionAssignment) { delete(v.cache.Members, "n1") }, n2},
	{"a leader just before the time-out", func(v *fakeView, _ *partitionAssignment) { v.Time += unresponsiveTimeout - 1 },
		storage.Process{}},
	{"an unresponsive leader", func(v *fakeView, a *partitionAssignment) {
		v.Time += unresponsiveTimeout
		a.peers.Receive(v.Time, status(n2))
	}, n2},
	{"an unresponsive leader at the beginning of a term", func(v *fakeView, a *partitionAssignment) {
		v.Time += unresponsiveTimeout
		a.peers.Receive(v.Time, status(n2))
		a.term.acquiredAt = v.Time - unresponsiveTimeout
	}, storage.Process{}},
	{"a leader whose member sends statuses as another incarnation", func(v *fakeView, a *partitionAssignment) {
		a.peers.Receive(v.Time, status(storage.Process{Member: "n1", Incarnation: "0"}))
	}, n2},
	{"an isolated leader", func(v *fakeView, a *partitionAssignment) { a.peers.Receive(v.Time, status(n1, "b")) }, n2},
	{"an isolated leader whose status is outdated", func(v *fakeView, a *partitionAssignment) {
		a.peers.Receive(v.Time-statusLifetime-1, status(n1, "b"))
	}, storage.Process{}},
	{"a leader that reaches all zones, though another reaches more machines", func(v *fakeView, a *partitionAssignment) {
		s := status(n1, "b")
		s.Partitions[0].UnreachableZones = nil
		a.peers.Receive(v.Time, s)
	}, storage.Process{}},
	{"a leader isolated from machines of which another reaches too few", func(v *fakeView, a *partitionAssignment) {
		a.peers.Receive(v.Time, status(n1, "b"))
		v.reachable[n2] = 14 // 15 would be an eighth of the 40 machines more
	}, storage.Process{}},
	{"a leader isolated from an eighth of its machines", func(v *fakeView, a *partitionAssignment) {
		a.peers.Receive(v.Time, status(n1, "b"))
		v.reachable[n2] = 15
	}, n2},
	{"a leader isolated from two of twelve machines", func(v *fakeView, a *partitionAssignment) {
		a.peers.Receive(v.Time, status(n1, "b"))
		v.inUse, v.reachable[n2] = map[string]int{"a": 12}, 12
	}, storage.Process{}},
	{"a leader isolated from machines that one without the store reaches", func(v *fakeView, a *partitionAssignment) {
		a.peers.Receive(v.Time, status(n1, "b"))
		s := status(n2)
		s.StoreReachable = false
		a.peers.Receive(v.Time, s)
	}, storage.Process{}},
	{"a leader isolated from machines that an unregistered controller reaches", func(v *fakeView, a *partitionAssignment) {
		a.peers.Receive(v.Time, status(n1, "b"))
		delete(v.cache.Members, "n2")
	}, storage.Process{}},
	{"isolated from machines of a partition that it does not lead", func(v *fakeView, a *partitionAssignment) {
		s := status(n1, "b")
		s.Partitions[0].Partition = 1
		a.peers.Receive(v.Time, s)
	}, storage.Process{}},
}

func TestPartitionAssignmentReplaces(t *testing.T) {
	for _, test := range reassignmentCases {
		t.Run(test.name, func(t *testing.T) {
			v, a := newTestAssignment(t)
			test.change(v, a)
			a.tick()
			if test.leader == (storage.Process{}) {
				v.RequireNoCall(t)
				return
			}
			r := v.Take(t, storage.Txn).Request
			want := []storage.Compare{v.LeaderCompare(),
				{Key: testKeys.Partition(0), ModRevision: v.cache.Partitions[0].ModRevision},
				{Key: testKeys.Member("n2"), ModRevision: v.cache.Members["n2"].ModRevision}}
			if !slices.Equal(r.Compares, want) {
				t.Errorf("comparisons %+v, want %+v", r.Compares, want)
			}
			record := storage.PartitionRecord{Leader: test.leader, FormerLeaders: []storage.Process{n1}}
			if len(r.Puts) != 1 || string(r.Puts[0].Value) != string(storage.Encode(record)) {
				t.Errorf("puts %+v, want %+v", r.Puts, record)
			}
		})
	}
}

func TestPartitionAssignmentPenalizesIsolation(t *testing.T) {
	v, a := newTestAssignment(t)
	a.peers.Receive(v.Time, status(n1, "b"))
	if !a.isolated(n1) {
		t.Fatal("the leader is not isolated")
	}
	for _, step := range []struct {
		after micros.Time
		want  bool
	}{{isolationPenalty - 1, true}, {1, false}} {
		v.Time += step.after
		a.peers.Receive(v.Time, status(n1))
		if got := a.isolated(n1); got != step.want {
			t.Errorf("isolated: %v, want %v", got, step.want)
		}
	}
	a.peers.Receive(v.Time, status(n1, "b"))
	a.isolated(n1)
	a.startTerm()
	a.peers.Receive(v.Time, status(n1))
	if a.isolated(n1) {
		t.Error("the penalty outlasts the term")
	}
}

func TestPartitionAssignmentLimitsSizeAndRate(t *testing.T) {
	v, a := newTestAssignment(t)
	v.partitionCount = 40
	a.tick()
	call := v.Take(t, storage.Txn)
	if got, most := len(call.Request.Puts), a.config.Settings.StateLimits().TxnOps; got != most {
		t.Errorf("%d assignments at once, want %d", got, most)
	}
	v.Time += micros.Second
	a.tick()
	v.RequireNoCall(t) // the first is in flight
	call.Reply(storage.Reply{Outcome: storage.OK})
	v.Time += assignmentInterval - 1
	a.tick()
	v.RequireNoCall(t)
	v.Time++
	a.tick()
	v.Take(t, storage.Txn)
}
