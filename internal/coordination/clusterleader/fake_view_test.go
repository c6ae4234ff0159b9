package clusterleader

import (
	"testing"

	"pipitlatch/internal/config"
	"pipitlatch/internal/config/configtest"
	"pipitlatch/internal/coordination/membership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/coordination/storetest"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// fakeView is a fake core for the test of a single control loop.
type fakeView struct {
	storetest.Environment
	cache          *storage.Cache
	revision       uint64 // of the latest record
	cloudCalls     []cloudCall
	catalog        workload.Catalog
	partitionCount int
	statuses       []messages.PartitionStatus
	reachable      map[storage.Process]int
	inUse          map[string]int
	isolated       bool
	follower       bool // the process is not the cluster leader
	unreachable    bool // the store is unreachable
	statusSoon     bool
	terminated     []string
	addresses      map[string]string
	contacts       map[string]micros.Time
}

// cloudCall is a call to the cloud that has not been answered yet.
type cloudCall struct {
	messages.CloudCall
	reply func(*messages.CloudReply)
}

var (
	testKeys    = storage.Keys{Prefix: "p/"}
	testProcess = storage.Process{Member: "n0", Incarnation: "1"}
)

// leaderRevision is the mod revision of the cluster leader's key.
const leaderRevision = 4

// testKind is the kind of the machines in the records that block returns.
var testKind = provisioning.InstanceKind{InstanceType: "m", Zone: "a"}

// newFakeView returns the view of a cluster leader whose cache has the given blocks, at time 1000 s.
func newFakeView(t *testing.T, blocks map[string]storage.BlockRecord) *fakeView {
	t.Helper()
	v := &fakeView{cache: storage.NewCache(testKeys), partitionCount: 1, addresses: map[string]string{}}
	v.Time = 1000 * micros.Second
	v.cache.ClusterLeader = storage.Versioned[storage.Process]{Value: testProcess, ModRevision: leaderRevision}
	for _, name := range sortedKeys(blocks) {
		v.put(t, testKeys.Block(name), blocks[name])
	}
	return v
}

// put writes a record to the cache, at the next revision.
func (v *fakeView) put(t *testing.T, key string, value any) {
	t.Helper()
	v.revision++
	item := storage.Item{Key: key, Value: storage.Encode(value), ModRevision: v.revision}
	if _, _, err := v.cache.Apply(item); err != nil {
		t.Fatal(err)
	}
}

// block returns the record of a block of testKind machines in a partition.
func block(partition int, machines ...string) storage.BlockRecord {
	b := storage.BlockRecord{Partition: partition, InstanceType: "m", Zone: "a"}
	b.Machines = map[string]storage.MachineRecord{}
	for _, machine := range machines {
		b.Machines[machine] = storage.MachineRecord{}
	}
	return b
}

// newTestTerm returns a leadership term that started long ago.
func newTestTerm() *leaderTerm { return &leaderTerm{revision: leaderRevision} }

// newTestConfig returns the default test configuration.
func newTestConfig(t *testing.T) *config.Config {
	t.Helper()
	cfg, err := config.Parse(configtest.Default().Platform(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// takeCloudCall removes and returns the only call to the cloud that has not been answered.
func (v *fakeView) takeCloudCall(t *testing.T, operation messages.CloudOperation) cloudCall {
	t.Helper()
	if len(v.cloudCalls) != 1 || v.cloudCalls[0].Operation != operation {
		t.Fatalf("calls to the cloud: %+v, want one of operation %d", v.cloudCalls, operation)
	}
	call := v.cloudCalls[0]
	v.cloudCalls = nil
	return call
}

// requireNoCloudCall fails the test if a call to the cloud has not been answered.
func (v *fakeView) requireNoCloudCall(t *testing.T) {
	t.Helper()
	if len(v.cloudCalls) > 0 {
		t.Fatalf("the cloud was called, want no call: %+v", v.cloudCalls[0].CloudCall)
	}
}

func (v *fakeView) CallCloud(call messages.CloudCall, done func(*messages.CloudReply)) {
	v.cloudCalls = append(v.cloudCalls, cloudCall{call, done})
}

func (v *fakeView) Cache() *storage.Cache { return v.cache }

func (v *fakeView) LeaderCompare() storage.Compare {
	return storage.Compare{Key: testKeys.ClusterLeader(), ModRevision: leaderRevision}
}

func (v *fakeView) IsClusterLeader() bool                                { return !v.follower }
func (v *fakeView) Isolated() bool                                       { return v.isolated }
func (v *fakeView) StoreReachable() bool                                 { return !v.unreachable }
func (v *fakeView) SendStatusSoon()                                      { v.statusSoon = true }
func (v *fakeView) Catalog() workload.Catalog                            { return v.catalog }
func (v *fakeView) PartitionCount() int                                  { return v.partitionCount }
func (v *fakeView) PartitionStatuses() []messages.PartitionStatus        { return v.statuses }
func (v *fakeView) MachinesInUse(int) map[string]int                     { return v.inUse }
func (v *fakeView) ReachableMachines(process storage.Process, _ int) int { return v.reachable[process] }
func (v *fakeView) MaxBlockMachines() int                                { return 2 }

func (v *fakeView) MachineTerminated(machine string) { v.terminated = append(v.terminated, machine) }

func (v *fakeView) PutBlock(r *storage.Request, name string, record storage.BlockRecord) {
	r.Puts = append(r.Puts, storage.Put{Key: testKeys.Block(name), Value: storage.Encode(record)})
}

func (v *fakeView) InstanceRunning(_ int, machine, address string) { v.addresses[machine] = address }

func (v *fakeView) LastContact(_ int, machine string) (micros.Time, bool) {
	at, ok := v.contacts[machine]
	return at, ok
}

// newTestPeers returns the peers of testProcess, which sent the given statuses at a time.
func newTestPeers(at micros.Time, statuses ...*messages.PeerStatus) *membership.Peers {
	peers := membership.NewPeers(testProcess.Member, nil)
	for _, status := range statuses {
		peers.Receive(at, status)
	}
	return peers
}
