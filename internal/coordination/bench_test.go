package coordination

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"

	"pipitlatch/internal/config/configtest"
	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// fleetSizes are the numbers of machines that the benchmarks run with.
var fleetSizes = []int{400, 1300, 4000}

// forFleetSizes runs a benchmark as a sub-benchmark for each fleet size.
func forFleetSizes(b *testing.B, run func(b *testing.B, size int)) {
	for _, size := range fleetSizes {
		b.Run(strconv.Itoa(size), func(b *testing.B) { run(b, size) })
	}
}

const (
	machinesPerBlock = 50
	tasksPerMachine  = 8
	tasksPerJob      = 80
)

// newLargeCore returns a core that leads the cluster and a partition with size machines, and a heartbeat of
// each machine. Each machine runs tasksPerMachine tasks, and a tenth as many jobs as machines wait.
func newLargeCore(b testing.TB, size int) (*Core, []*messages.Heartbeat) {
	b.Helper()
	cfg, err := config.Parse(configtest.Default().Platform(), nil)
	if err != nil {
		b.Fatal(err)
	}
	c := New(cfg, "1")
	c.catalog.Adopt(workload.Catalog{"m": {
		Name:      "m",
		Zones:     []string{"a"},
		Capacity:  workload.Resources{CPU: 32_000, Mem: 256_000},
		Price:     2,
		SpotPrice: 1,
		FetchGBps: 0.5,
		Boot:      30 * micros.Second,
	}})
	cache, heartbeats := largeCache(b, c, size)
	c.now = micros.Second
	c.output = &messages.Output{}
	c.replica.Install(cache, 0)
	c.term.Confirm(c.now)
	for _, h := range heartbeats {
		h.FencingToken = cache.Revision
	}
	return c, heartbeats
}

// largeCache returns a copy of the key-value store with the jobs, machines and leaders of newLargeCore, and
// a heartbeat of each machine.
func largeCache(b testing.TB, c *Core, size int) (*storage.Cache, []*messages.Heartbeat) {
	b.Helper()
	cache := storage.NewCache(c.keys)
	put := func(key string, v any) {
		b.Helper()
		cache.Revision++
		raw, err := json.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := cache.Apply(storage.Item{Key: key, Value: raw, ModRevision: cache.Revision}); err != nil {
			b.Fatal(err)
		}
	}
	for i := range size / 5 {
		j := largeJob(i)
		put(c.keys.Job(j.ID), j)
	}
	var heartbeats []*messages.Heartbeat
	for block := range size / machinesPerBlock {
		machines := map[string]storage.MachineRecord{}
		for i := range machinesPerBlock {
			h := largeHeartbeat(block*machinesPerBlock + i)
			machines[h.Machine] = storage.MachineRecord{Address: h.Address, Used: true}
			heartbeats = append(heartbeats, h)
		}
		record := storage.BlockRecord{InstanceType: "m", Zone: "a", Machines: machines}
		put(c.keys.Block(fmt.Sprint("b", block)), record)
	}
	put(c.keys.Member("n0"), c.process)
	put(c.keys.ClusterLeader(), c.process)
	put(c.keys.Partition(0), storage.PartitionRecord{Leader: c.process})
	return cache, heartbeats
}

// largeJobID returns the id of a job of newLargeCore.
func largeJobID(i int) string { return fmt.Sprintf("wk-%06d", i) }

// largeJob returns a job of newLargeCore. The first half of the jobs run.
func largeJob(i int) *workload.Job {
	return &workload.Job{
		ID:        largeJobID(i),
		Class:     "c",
		Team:      "alpha",
		Tasks:     tasksPerJob,
		Resources: workload.Resources{CPU: 4000, Mem: 4000},
		Estimate:  60 * micros.Second,
		Deadline:  160 * micros.Second,
		Spot:      true,
		Image:     "i",
	}
}

// largeHeartbeat returns the heartbeat of a machine of newLargeCore.
func largeHeartbeat(machine int) *messages.Heartbeat {
	h := &messages.Heartbeat{
		Machine:          fmt.Sprintf("vm-%06d", machine),
		Address:          "10.1.0.1:9000",
		InstanceType:     "m",
		Zone:             "a",
		AgentEpoch:       1,
		PreemptionNotice: -1,
	}
	for i := range tasksPerMachine {
		n := machine*tasksPerMachine + i
		id := messages.AttemptID{Job: largeJobID(n / tasksPerJob), Task: n % tasksPerJob, Number: uint64(n + 1)}
		h.Tasks = append(h.Tasks, messages.TaskStatus{AttemptID: id, State: messages.Running})
	}
	return h
}

// receiveHeartbeats processes the next heartbeat of each machine without running the timers.
func receiveHeartbeats(c *Core, now micros.Time, heartbeats []*messages.Heartbeat) {
	for _, h := range heartbeats {
		h.Sequence++
		c.lastTick = now
		c.Step(now, now, &messages.HeartbeatRequest{Request: 1, Heartbeat: h})
	}
}

// TestProgressOfAllJobs: if there are more running jobs than fit into one status message, successive
// messages together contain the progress of all of them.
func TestProgressOfAllJobs(t *testing.T) {
	c, heartbeats := newLargeCore(t, 8000)
	receiveHeartbeats(c, 2*micros.Second, heartbeats)
	running := map[string]int{}
	for range 2 {
		for _, p := range c.partitions[0].jobProgress() {
			running[p.ID] += p.Running
		}
	}
	if len(running) != 800 {
		t.Errorf("progress of %d jobs of 800", len(running))
	}
}

// BenchmarkHeartbeats measures the processing of one heartbeat of each machine, which is the work of
// one heartbeat interval.
func BenchmarkHeartbeats(b *testing.B) { forFleetSizes(b, benchHeartbeats) }

func benchHeartbeats(b *testing.B, size int) {
	c, heartbeats := newLargeCore(b, size)
	b.ReportAllocs()
	now := 2 * micros.Second
	for b.Loop() {
		now += 1500 * micros.Millisecond
		c.term.Confirm(now)
		receiveHeartbeats(c, now, heartbeats)
	}
	if n := len(c.partitions[0].machines[0].attempts); n != tasksPerMachine {
		b.Fatalf("%d attempts on the first machine, want %d", n, tasksPerMachine)
	}
}

// BenchmarkPlan measures one plan of the waiting jobs on the machines.
func BenchmarkPlan(b *testing.B) { forFleetSizes(b, benchPlan) }

func benchPlan(b *testing.B, size int) {
	c, heartbeats := newLargeCore(b, size)
	b.ReportAllocs()
	now := 2 * micros.Second
	receiveHeartbeats(c, now, heartbeats)
	p := c.partitions[0]
	for _, m := range p.machines {
		m.instanceType = c.catalog.Types()["m"]
	}
	planInLoop(b, c, now)
	if len(p.buildTimelines()) != size || len(p.plan.capacityRequests) == 0 {
		b.Fatal("not all machines have a timeline, or no capacity was requested")
	}
}

// planInLoop measures successive planning passes from the given time on. All machines are in contact.
func planInLoop(b *testing.B, c *Core, now micros.Time) {
	p := c.partitions[0]
	for b.Loop() {
		now += minPlanInterval
		for _, m := range p.machines {
			m.contact.Reached(now)
		}
		c.now, c.wall, c.output = now, now, &messages.Output{}
		p.plan.stale = true
		p.schedule()
	}
}

// BenchmarkPoll measures the lookup of an active job, including its linearizable read.
func BenchmarkPoll(b *testing.B) { forFleetSizes(b, benchPoll) }

func benchPoll(b *testing.B, size int) {
	c, _ := newLargeCore(b, size)
	b.ReportAllocs()
	now := 2 * micros.Second
	polls, found := 0, 0
	for b.Loop() {
		now += micros.Millisecond
		c.term.Confirm(now)
		c.lastTick = now
		polls++
		out := c.Step(now, now, &messages.Lookup{Request: 1, ID: "wk-000001"})
		found += countFound(out)
		for _, call := range out.StoreCalls { // of the linearizable read
			reply := &storage.Reply{Outcome: storage.NotFound, Revision: c.cache.Revision}
			found += countFound(c.Step(now, now, &messages.StoreCompletion{Call: call.Call, Reply: reply}))
		}
	}
	if found < polls/2 {
		b.Fatalf("%d of %d polls were answered", found, polls)
	}
}

func countFound(out *messages.Output) (n int) {
	for _, r := range out.Responses {
		if r.Kind == messages.JobFound {
			n++
		}
	}
	return n
}
