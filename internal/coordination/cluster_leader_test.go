package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

func TestLeaderTermNamesAreUnique(t *testing.T) {
	term := &leaderTerm{revision: 7}
	seen := map[string]bool{}
	for range 3 {
		for _, prefix := range []string{"a", "c"} {
			name := term.uniqueName(prefix)
			if seen[name] {
				t.Errorf("name %s is used twice", name)
			}
			seen[name] = true
		}
	}
	if !seen["a7-1"] || !seen["c7-6"] {
		t.Errorf("names %v, want them to have the prefix, the term's revision and a number", seen)
	}
}

func TestClusterLeaderForgetsAnEarlierTerm(t *testing.T) {
	c := New(dutyConfig(t), "1")
	c.output = &messages.Output{}
	c.now = 5
	c.cache.ClusterLeader.ModRevision, c.cache.Revision = 7, 8
	l := &c.leader
	l.nameCounter = 3
	l.terminated.Confirm("m", 0)
	l.assignment.inFlight, l.termination.inFlight, l.listing.inFlight = true, true, true
	l.archiver.inFlight, l.formatUpgrade.inFlight = true, true
	l.scaling.pending.Started("c1-1", dutyKind)
	l.adoption.name = "a1-1"
	l.acquire(c)
	if l.revision != 7 || l.acquiredAt != 5 || l.nameCounter != 0 || l.scaling.provisionedRevision != 8 {
		t.Errorf("term %+v, provisioned at %d", *l.leaderTerm, l.scaling.provisionedRevision)
	}
	if l.terminated.Contains("m") || l.scaling.pending.InFlight() > 0 || l.adoption.name != "" {
		t.Error("something of an earlier term is left")
	}
	if l.assignment.inFlight || l.termination.inFlight || l.listing.inFlight || l.archiver.inFlight ||
		l.formatUpgrade.inFlight {
		t.Error("a call of an earlier term is waited for")
	}
}

func TestPartitionStatusesAreThoseOfThePresentLeaders(t *testing.T) {
	tests := []struct {
		name  string
		age   micros.Time
		from  storage.Process
		token uint64 // fencing token in the status
		want  int
	}{
		{"the leader's", 0, n1, 5, 1},
		{"the leader's, as old as may be", statusLifetime, n1, 5, 1},
		{"the leader's, but old", statusLifetime + 1, n1, 5, 0},
		{"of another", 0, n2, 5, 0},
		{"of an earlier run of the leader", 0, storage.Process{Member: "n1", Incarnation: "0"}, 5, 0},
		{"under an earlier fencing token", 0, n1, 4, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := New(dutyConfig(t), "1")
			c.now = 1000 * micros.Second
			c.cache.Partitions[0] = storage.Versioned[storage.PartitionRecord]{
				Value: storage.PartitionRecord{Leader: n1}, ModRevision: 5,
			}
			c.peers.Receive(c.now-test.age, &messages.PeerStatus{From: test.from, Partitions: []messages.PartitionStatus{
				{Partition: 0, FencingToken: test.token},
			}})
			if got := len(c.partitionStatuses()); got != test.want {
				t.Errorf("%d statuses, want %d", got, test.want)
			}
		})
	}
}
