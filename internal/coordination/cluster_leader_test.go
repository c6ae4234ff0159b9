package coordination

import (
	"testing"

	"pipitlatch/internal/config"
	"pipitlatch/internal/config/configtest"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// testConfig returns a valid configuration of a core.
func testConfig(t *testing.T) *config.Config {
	t.Helper()
	cfg, err := config.Parse(configtest.Default().Platform(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func TestPartitionStatusesAreFromCurrentLeaders(t *testing.T) {
	n1, n2 := storage.Process{Member: "n1", Incarnation: "1"}, storage.Process{Member: "n2", Incarnation: "1"}
	tests := []struct {
		name  string
		age   micros.Time
		from  storage.Process
		token uint64 // fencing token in the status
		want  int
	}{
		{"from the leader", 0, n1, 5, 1},
		{"from the leader, at the maximum age", statusLifetime, n1, 5, 1},
		{"from the leader, too old", statusLifetime + 1, n1, 5, 0},
		{"from another member", 0, n2, 5, 0},
		{"from an earlier incarnation of the leader", 0, storage.Process{Member: "n1", Incarnation: "0"}, 5, 0},
		{"under an earlier fencing token", 0, n1, 4, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := New(testConfig(t), "1")
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

// newClusterLeaderCore returns a core that is the cluster leader, with a member lease and a valid
// leadership term.
func newClusterLeaderCore(t *testing.T) *Core {
	t.Helper()
	c := New(testConfig(t), "1")
	c.now, c.output = 1000*micros.Second, &messages.Output{}
	cache := storage.NewCache(c.keys)
	cache.ClusterLeader = storage.Versioned[storage.Process]{Value: c.process, ModRevision: 7}
	cache.Members["n0"] = storage.Versioned[storage.Process]{Value: c.process, ModRevision: 6}
	c.replica.Install(cache, c.now)
	c.term.Confirm(c.now)
	c.member.RenewLease()
	call := c.output.StoreCalls[0]
	c.calls.CompleteStore(c.now, call.Call, &storage.Reply{Outcome: storage.OK, Lease: 3})
	c.output = &messages.Output{}
	return c
}

func TestLeaderTimersRunOnClusterLeaderOnly(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Core)
		begun  bool // whether the leadership term has begun
		calls  bool // whether the store and the cloud are called
	}{
		{"as cluster leader", func(*Core) {}, true, true},
		{"as a follower", func(c *Core) { c.cache.ClusterLeader.Value.Incarnation = "0" }, false, false},
		{"without a member lease", func(c *Core) { c.member.LeaseNotFound() }, true, false},
		{"after the end of the leadership term", func(c *Core) { c.term.Invalidate() }, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newClusterLeaderCore(t)
			test.change(c)
			c.tickClusterLeader()
			if got := c.leader.Revision() == 7; got != test.begun {
				t.Errorf("term begun: %v, want %v", got, test.begun)
			}
			store, cloud := len(c.output.StoreCalls) > 0, len(c.output.CloudCalls) > 0
			if store != test.calls || cloud != test.calls {
				t.Errorf("store called: %v, cloud called: %v, want %v", store, cloud, test.calls)
			}
		})
	}
}
