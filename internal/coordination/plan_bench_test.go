package coordination

import (
	"fmt"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const (
	// hugeArrayTasks is the largest number of tasks of a job.
	hugeArrayTasks = 100_000
	// manyWaitingJobs is how many jobs wait in BenchmarkPlanManyJobs.
	manyWaitingJobs = 10_000
)

// submitWaiting adds a job to the store and to the leader's queue.
func submitWaiting(b *testing.B, c *Core, j *workload.Job) {
	b.Helper()
	c.cache.Revision++
	item := storage.Item{Key: c.keys.Job(j.ID), Value: storage.Encode(j), ModRevision: c.cache.Revision}
	if _, _, err := c.cache.Apply(item); err != nil {
		b.Fatal(err)
	}
	c.partitions[0].jobChanged(j.ID)
}

// hugeArray returns an array of the largest size that ranks before the jobs of newLargeCore.
func hugeArray(resources workload.Resources) *workload.Job {
	return &workload.Job{
		ID:        "wk-900000",
		Class:     "huge",
		Team:      "alpha",
		Tasks:     hugeArrayTasks,
		Resources: resources,
		Estimate:  10 * micros.Second,
		Spot:      true,
	}
}

// BenchmarkPlanHugeArray measures one plan in which an array of 100,000 tasks ranks before the other waiting
// jobs. It does not fit beside the tasks that run.
func BenchmarkPlanHugeArray(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, size int) {
		benchWaitingPlan(b, size, func(c *Core) {
			submitWaiting(b, c, hugeArray(workload.Resources{CPU: 8000, Mem: 100_000}))
		})
	})
}

// BenchmarkPlanManyJobs measures one plan of 10,000 waiting jobs of one task each, all of different sizes.
func BenchmarkPlanManyJobs(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, size int) {
		benchWaitingPlan(b, size, func(c *Core) {
			for i := range manyWaitingJobs {
				j := hugeArray(workload.Resources{CPU: 4000 + int64(i), Mem: 4000})
				j.ID, j.Tasks = fmt.Sprintf("wk-9%05d", i), 1
				submitWaiting(b, c, j)
			}
		})
	})
}

// benchWaitingPlan measures one plan of the jobs of newLargeCore and those that submit adds.
func benchWaitingPlan(b *testing.B, size int, submit func(*Core)) {
	c, heartbeats := newLargeCore(b, size)
	now := 2 * micros.Second
	receiveHeartbeats(c, now, heartbeats)
	c.now, c.wall, c.output = now, now, &messages.Output{}
	submit(c)
	p := c.partitions[0]
	for _, m := range p.machines {
		m.instanceType = c.catalog.Types()["m"]
	}
	b.ReportAllocs()
	planInLoop(b, c, now)
	if len(p.plan.capacityRequests) == 0 {
		b.Fatal("no capacity was requested")
	}
}

// BenchmarkPlanHugeService measures one plan in which a service of 100,000 replicas, which are spread over zones,
// preempts work of lower priority.
func BenchmarkPlanHugeService(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, size int) {
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			c := coreWithHugeService(b, size)
			b.StartTimer()
			c.partitions[0].schedule()
		}
	})
}

// coreWithHugeService returns a core on whose machines only arrays of low priority run, and a service waits.
func coreWithHugeService(b *testing.B, size int) *Core {
	b.Helper()
	c, heartbeats := newLargeCore(b, size)
	now := 2 * micros.Second
	receiveHeartbeats(c, now, heartbeats)
	c.now, c.wall, c.output = now, now, &messages.Output{}
	j := hugeArray(workload.Resources{CPU: 250, Mem: 250})
	j.Kind, j.Priority, j.Spread = workload.Service, workload.Production, true
	submitWaiting(b, c, j)
	p := c.partitions[0]
	for _, m := range p.machines {
		m.instanceType = c.catalog.Types()["m"]
		m.contact.Reached(now)
	}
	p.plan.stale = true
	return c
}
