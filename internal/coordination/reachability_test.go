package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// remoteLeader is another controller that leads the partition; earlierLeader is a previous process of
// the same member.
var (
	remoteLeader  = storage.Process{Member: "n2", Incarnation: "x"}
	earlierLeader = storage.Process{Member: "n2", Incarnation: "w"}
)

// newFollower returns a core that received a status of another process the given time ago.
func newFollower(t *testing.T, from storage.Process, age micros.Time, unreachableZones ...string) *Core {
	t.Helper()
	c, _ := newLargeCore(t, 50)
	c.startedAt = micros.Second
	c.now = 100 * micros.Second
	c.peers.Receive(c.now-age, &messages.PeerStatus{
		From: from, Partitions: []messages.PartitionStatus{{Partition: 0, UnreachableZones: unreachableZones}},
	})
	return c
}

func TestNeedsReachabilityProbe(t *testing.T) {
	tests := []struct {
		name  string
		from  storage.Process
		age   micros.Time
		zones []string
		want  bool
	}{
		{"all zones reachable", remoteLeader, leaderStatusTTL, nil, false},
		{"a zone unreachable", remoteLeader, 0, []string{"a"}, true},
		{"status too old", remoteLeader, leaderStatusTTL + 1, nil, true},
		{"status only from an earlier process", earlierLeader, 0, nil, true},
		{"status only from another member", storage.Process{Member: "n3", Incarnation: "x"}, 0, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newFollower(t, test.from, test.age, test.zones...)
			if got := c.needsReachabilityProbe(0, remoteLeader); got != test.want {
				t.Errorf("needsReachabilityProbe = %v, want %v", got, test.want)
			}
		})
	}
}

func TestNeedsNoReachabilityProbeAfterStart(t *testing.T) {
	c := newFollower(t, earlierLeader, 0)
	c.startedAt = c.now - leaderStatusTTL
	if c.needsReachabilityProbe(0, remoteLeader) {
		t.Error("probe needed before the leader's first status is due")
	}
}

func TestUnreachableFromLeader(t *testing.T) {
	const token = 7
	tests := []struct {
		name     string
		from     storage.Process
		age      micros.Time
		zones    []string
		acquired uint64 // revision in the partition's record
		token    uint64 // fencing token in the heartbeat
		want     bool
	}{
		{"zone reachable from the leader", remoteLeader, 0, []string{"b"}, 0, token, false},
		{"zone unreachable from the leader", remoteLeader, 0, []string{"a"}, 0, 0, true},
		{"no recent status, agent has the leader's token", remoteLeader, leaderStatusTTL + 1, nil, 0, token, true},
		{"no recent status, agent has an older token", remoteLeader, leaderStatusTTL + 1, nil, 0, token - 1, false},
		{"no recent status, agent has a newer token", remoteLeader, leaderStatusTTL + 1, nil, 0, token + 1, false},
		{"no recent status, agent has an earlier token of the lease", remoteLeader, leaderStatusTTL + 1, nil, 5, 5, true},
		{"no recent status, agent has a token before the lease", remoteLeader, leaderStatusTTL + 1, nil, 5, 4, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newFollower(t, test.from, test.age, test.zones...)
			partition := storage.Versioned[storage.PartitionRecord]{
				Value:       storage.PartitionRecord{Leader: remoteLeader, AcquiredRevision: test.acquired},
				ModRevision: token,
			}
			heartbeat := &messages.Heartbeat{FencingToken: test.token}
			if got := c.unreachableFromLeader(heartbeat, storage.Machine{Zone: "a"}, partition); got != test.want {
				t.Errorf("unreachableFromLeader = %v, want %v", got, test.want)
			}
		})
	}
}

func TestReachableMachinesRequiresRecentStatus(t *testing.T) {
	for name, test := range map[string]struct {
		from storage.Process
		age  micros.Time
		want int
	}{
		"recent":                  {remoteLeader, reachableMachinesTTL, 50},
		"too old":                 {remoteLeader, reachableMachinesTTL + 1, 0},
		"from an earlier process": {earlierLeader, 0, 0},
		"from another member":     {storage.Process{Member: "n3"}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFollower(t, test.from, test.age)
			c.cache.Partitions[0] = storage.Versioned[storage.PartitionRecord]{
				Value: storage.PartitionRecord{Leader: remoteLeader},
			}
			if got := c.reachableMachines(remoteLeader, 0); got != test.want {
				t.Errorf("%d machines reachable, want %d", got, test.want)
			}
		})
	}
}

// TestProbeReachability checks that machines of a partition are probed if its leader is registered and
// reports an unreachable zone.
func TestProbeReachability(t *testing.T) {
	tests := []struct {
		name      string
		leader    storage.Process
		live      bool
		zones     []string
		wantCalls int
	}{
		{"leader cannot reach a zone", remoteLeader, true, []string{"a"}, 8},
		{"leader reaches all zones", remoteLeader, true, nil, 0},
		{"leader not registered", remoteLeader, false, []string{"a"}, 0},
		{"led by this controller", storage.Process{Member: "n0", Incarnation: "1"}, true, []string{"a"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newFollower(t, test.leader, 0, test.zones...)
			c.cache.Partitions[0] = storage.Versioned[storage.PartitionRecord]{
				Value: storage.PartitionRecord{Leader: test.leader},
			}
			if test.live {
				c.cache.Members[test.leader.Member] = storage.Versioned[storage.Process]{Value: test.leader}
			}
			c.output = &messages.Output{}
			c.probeReachability()
			c.probeReachability() // no effect while a round is in flight
			if got := len(c.output.AgentCalls); got != test.wantCalls {
				t.Errorf("%d machines probed, want %d", got, test.wantCalls)
			}
		})
	}
}
