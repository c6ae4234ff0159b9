package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// remoteLeader leads a partition elsewhere; its earlier process led it before.
var (
	remoteLeader  = storage.Process{Member: "n2", Incarnation: "x"}
	earlierLeader = storage.Process{Member: "n2", Incarnation: "w"}
)

// newFollower returns a core that heard a status of a process some time ago.
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

func TestLeaderMissesMachines(t *testing.T) {
	tests := []struct {
		name  string
		from  storage.Process
		age   micros.Time
		zones []string
		want  bool
	}{
		{"it hears all zones", remoteLeader, leaderStatusTTL, nil, false},
		{"it misses a zone", remoteLeader, 0, []string{"a"}, true},
		{"it is not heard any more", remoteLeader, leaderStatusTTL + 1, nil, true},
		{"only its earlier process was heard", earlierLeader, 0, nil, true},
		{"only another member was heard", storage.Process{Member: "n3", Incarnation: "x"}, 0, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newFollower(t, test.from, test.age, test.zones...)
			if got := c.leaderMissesMachines(0, remoteLeader); got != test.want {
				t.Errorf("misses machines: %v, want %v", got, test.want)
			}
		})
	}
}

func TestLeaderNotHeardYetAfterStart(t *testing.T) {
	c := newFollower(t, earlierLeader, 0)
	c.startedAt = c.now - leaderStatusTTL
	if c.leaderMissesMachines(0, remoteLeader) {
		t.Error("taken as out of reach before it could be heard")
	}
}

func TestUnreachableFromLeader(t *testing.T) {
	const token = 7
	tests := []struct {
		name   string
		from   storage.Process
		age    micros.Time
		zones  []string
		shown  uint64 // fencing token in the heartbeat
		wanted bool
	}{
		{"the leader hears the zone", remoteLeader, 0, []string{"b"}, token, false},
		{"the leader misses the zone", remoteLeader, 0, []string{"a"}, 0, true},
		{"the leader is not heard, and the agent left it", remoteLeader, leaderStatusTTL + 1, nil, token, true},
		{"the leader is not heard, and the agent does not know it", remoteLeader, leaderStatusTTL + 1, nil, token - 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newFollower(t, test.from, test.age, test.zones...)
			partition := storage.Versioned[storage.PartitionRecord]{
				Value: storage.PartitionRecord{Leader: remoteLeader}, ModRevision: token,
			}
			heartbeat := &messages.Heartbeat{FencingToken: test.shown}
			if got := c.unreachableFromLeader(heartbeat, storage.Machine{Zone: "a"}, partition); got != test.wanted {
				t.Errorf("unreachable: %v, want %v", got, test.wanted)
			}
		})
	}
}

func TestReachableMachinesNeedARecentStatus(t *testing.T) {
	for name, test := range map[string]struct {
		from storage.Process
		age  micros.Time
		want int
	}{
		"recent":                {remoteLeader, reachableMachinesTTL, 50},
		"too old":               {remoteLeader, reachableMachinesTTL + 1, 0},
		"of an earlier process": {earlierLeader, 0, 0},
		"of another member":     {storage.Process{Member: "n3"}, 0, 0},
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

// TestProbeReachability: machines of a partition are probed whose live leader misses some of them.
func TestProbeReachability(t *testing.T) {
	tests := []struct {
		name      string
		leader    storage.Process
		live      bool
		zones     []string
		wantCalls int
	}{
		{"its leader misses a zone", remoteLeader, true, []string{"a"}, 8},
		{"its leader hears all zones", remoteLeader, true, nil, 0},
		{"its leader is not registered", remoteLeader, false, []string{"a"}, 0},
		{"it is led here", storage.Process{Member: "n0", Incarnation: "1"}, true, []string{"a"}, 0},
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
			c.probeReachability() // a round is in flight
			if got := len(c.output.AgentCalls); got != test.wantCalls {
				t.Errorf("%d machines are probed, want %d", got, test.wantCalls)
			}
		})
	}
}
