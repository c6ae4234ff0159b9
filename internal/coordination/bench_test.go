package coordination

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const benchSettings = `member = "n0"
listen = "10.0.0.1:1"
internal_addr = "10.0.0.1:2"
[services]
cloud = "10.2.0.2:1"
state = "10.2.0.1:1"
[settings]
nodes = 1
[[settings.teams]]
name = "alpha"
[settings.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 35.0
[settings.state]
rps = 100.0
write_rps = 25.0
value_kb = 16.0
txn_ops = 12
[settings.cloud]
rps = 8.0
[settings.machine_limits]
memory_mb = 125.0
max_connections = 1000
`

// fleetSizes are the numbers of machines that the benchmarks are run with.
var fleetSizes = []int{400, 1300, 4000}

// newLarge is a core that leads and holds a queue of a number of machines, each
// with eight running tasks, and has a tenth as many waiting jobs.
func newLarge(b testing.TB, size int) (*Core, []*messages.Heartbeat) {
	cfg, err := config.Parse([]byte(benchSettings), nil)
	if err != nil {
		b.Fatal(err)
	}
	c := New(cfg, "1")
	c.catalog.Adopt(workload.Catalog{"m": {Name: "m", Zones: []string{"a"}, Capacity: workload.Resources{CPU: 32_000, Mem: 256_000},
		Price: 2, SpotPrice: 1, FetchGBps: 0.5, Boot: 30 * micros.Second}})
	r := storage.NewCache(c.keys)
	version := uint64(0)
	put := func(key string, v any) {
		version++
		raw, err := json.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := r.Apply(storage.Item{Key: key, Value: raw, ModRevision: version}); err != nil {
			b.Fatal(err)
		}
	}
	job := func(n int) string { return fmt.Sprintf("wk-%06d", n) }
	for i := range size / 5 {
		put(c.keys.Job(job(i)), &workload.Job{ID: job(i), Class: "c", Team: "alpha", Tasks: 80, Resources: workload.Resources{CPU: 4000, Mem: 4000},
			Estimate: 60 * micros.Second, Deadline: 160 * micros.Second, Spot: true, Image: "i"})
	}
	var reports []*messages.Heartbeat
	for k := range size / 50 {
		machines := map[string]storage.MachineRecord{}
		for i := range 50 {
			m := fmt.Sprintf("vm-%06d", k*50+i)
			machines[m] = storage.MachineRecord{Address: "10.1.0.1:9000", Used: true}
			rep := &messages.Heartbeat{Machine: m, Address: "10.1.0.1:9000", InstanceType: "m", Zone: "a", AgentEpoch: 1, PreemptionNotice: -1}
			for t := range 8 {
				n := (k*50+i)*8 + t
				rep.Tasks = append(rep.Tasks, messages.TaskStatus{AttemptID: messages.AttemptID{Job: job(n / 80), Task: n % 80, Number: uint64(n + 1)}, State: messages.Running})
			}
			reports = append(reports, rep)
		}
		put(c.keys.Block(fmt.Sprint("b", k)), storage.BlockRecord{InstanceType: "m", Zone: "a", Machines: machines})
	}
	put(c.keys.Member("n0"), c.process)
	put(c.keys.ClusterLeader(), c.process)
	put(c.keys.Partition(0), storage.PartitionRecord{Leader: c.process})
	r.Revision = version
	c.now = micros.Second
	c.output = &messages.Output{}
	c.replica.Install(r, 0)
	c.term.Confirm(c.now)
	for _, rep := range reports {
		rep.FencingToken = version
	}
	return c, reports
}

// TestProgressOfAllJobs: more running jobs than one message to the siblings takes are
// all told within a few.
func TestProgressOfAllJobs(t *testing.T) {
	c, reports := newLarge(t, 8000)
	for _, r := range reports {
		r.Sequence++
		c.lastTick = 2 * micros.Second
		c.Step(2*micros.Second, 2*micros.Second, &messages.HeartbeatRequest{Request: 1, Heartbeat: r})
	}
	told := map[string]int{}
	for range 2 {
		for _, p := range c.partitions[0].jobProgress() {
			told[p.ID] += p.Running
		}
	}
	if len(told) != 800 {
		t.Errorf("%d jobs of 800 were told", len(told))
	}
}

// BenchmarkReport takes a report of each machine, the work that comes
// every report time.
func BenchmarkReport(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(strconv.Itoa(size), func(b *testing.B) { benchReport(b, size) })
	}
}

func benchReport(b *testing.B, size int) {
	c, reports := newLarge(b, size)
	b.ReportAllocs()
	now := 2 * micros.Second
	for b.Loop() {
		now += 1500 * micros.Millisecond
		c.term.Confirm(now)
		c.lastTick = now // reports alone, without the timers
		for _, r := range reports {
			r.Sequence++
			c.Step(now, now, &messages.HeartbeatRequest{Request: 1, Heartbeat: r})
		}
	}
	if n := len(c.partitions[0].machines[0].attempts); n != 8 {
		b.Fatal("attempts", n)
	}
}

// BenchmarkPlan plans the waiting jobs on the machines.
func BenchmarkPlan(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(strconv.Itoa(size), func(b *testing.B) { benchPlan(b, size) })
	}
}

func benchPlan(b *testing.B, size int) {
	c, reports := newLarge(b, size)
	b.ReportAllocs()
	now := 2 * micros.Second
	for _, r := range reports {
		r.Sequence++
		c.lastTick = now
		c.Step(now, now, &messages.HeartbeatRequest{Request: 1, Heartbeat: r})
	}
	h := c.partitions[0]
	for _, m := range h.machines {
		m.instanceType = c.catalog.Types()["m"]
	}
	for b.Loop() {
		now += minPlanInterval
		for _, m := range h.machines {
			m.contact.Reached(now)
		}
		c.now, c.wall, c.output = now, now, &messages.Output{}
		h.plan.stale = true
		h.schedule()
	}
	if len(h.buildTimelines()) != size || len(h.plan.capacityRequests) == 0 {
		b.Fatal("nothing to plan")
	}
}

// BenchmarkPoll answers a poll of a finished job, and of one that is active.
func BenchmarkPoll(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(strconv.Itoa(size), func(b *testing.B) { benchPoll(b, size) })
	}
}

func benchPoll(b *testing.B, size int) {
	c, _ := newLarge(b, size)
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
