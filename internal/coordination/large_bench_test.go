package coordination

import (
	"runtime"
	"testing"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// BenchmarkFailover measures the takeover by a new partition leader: it reads the records of its
// partition, receives one heartbeat from every machine, and runs one planning pass.
func BenchmarkFailover(b *testing.B) { forFleetSizes(b, benchFailover) }

func benchFailover(b *testing.B, size int) {
	c, heartbeats := newLargeCore(b, size)
	b.ReportAllocs()
	now := 2 * micros.Second
	for b.Loop() {
		now += 10 * micros.Second
		c.now, c.output = now, &messages.Output{}
		c.term.Confirm(now)
		stored := storage.Versioned[storage.PartitionRecord]{ModRevision: c.cache.Partitions[0].ModRevision}
		c.partitions[0] = newPartitionLeader(c, 0, stored)
		receiveHeartbeats(c, now, heartbeats)
		c.output = &messages.Output{}
		c.partitions[0].schedule()
	}
	if p := c.partitions[0]; len(p.machines) != size || !p.machines[size-1].agent.Reconciled() {
		b.Fatal("the new leader does not have all machines reconciled")
	}
}

// BenchmarkThirdSuspected measures one check of all machines while a third of them is suspected.
func BenchmarkThirdSuspected(b *testing.B) { forFleetSizes(b, benchThirdSuspected) }

func benchThirdSuspected(b *testing.B, size int) {
	c, heartbeats := newLargeCore(b, size)
	now := 2 * micros.Second
	receiveHeartbeats(c, now, heartbeats)
	p := c.partitions[0]
	c.now, c.output = now+p.suspicionTimeout()+micros.Second, &messages.Output{}
	b.ReportAllocs()
	for b.Loop() {
		c.now += 50 * micros.Millisecond
		for i, m := range p.machines {
			m.commands.CallStarted()
			if i%3 != 0 {
				m.contact.Reached(c.now)
				m.contact.Replied(c.now)
			} else if m.contact.FailedCalls() == 0 {
				m.contact.CallFailed(c.now - micros.Second)
			}
		}
		for _, m := range p.machines {
			p.checkMachine(m)
			m.drain.reason = notDraining
		}
		c.output = &messages.Output{}
	}
}

// BenchmarkAllIdle measures the decision which machines to terminate when all are idle at once.
func BenchmarkAllIdle(b *testing.B) { forFleetSizes(b, benchAllIdle) }

func benchAllIdle(b *testing.B, size int) {
	c, heartbeats := newLargeCore(b, size)
	now := 2 * micros.Second
	for _, h := range heartbeats {
		h.Tasks = nil
	}
	receiveHeartbeats(c, now, heartbeats)
	p := c.partitions[0]
	c.now = now + 100*micros.Second
	b.ReportAllocs()
	for b.Loop() {
		c.now += micros.Second
		c.term.Confirm(c.now)
		c.output = &messages.Output{}
		p.plan.capacityRequests = nil
		for _, m := range p.machines {
			m.contact.Reached(c.now)
			m.contact.Replied(c.now)
			m.instanceType, m.drain.reason = c.catalog.Types()["m"], notDraining
		}
		p.scaleIn()
	}
}

// TestMemoryByFleet logs the memory that the state of a partition leader takes, and checks that it
// grows at most in proportion to the fleet, within a factor of two.
func TestMemoryByFleet(t *testing.T) {
	perMachine := map[int]uint64{}
	for _, size := range fleetSizes {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, heartbeats := newLargeCore(t, size)
		receiveHeartbeats(c, 2*micros.Second, heartbeats)
		runtime.GC()
		runtime.ReadMemStats(&after)
		taken := after.HeapAlloc - before.HeapAlloc
		perMachine[size] = taken / uint64(size)
		t.Logf("%d machines with eight tasks each: %d KB, %d bytes per machine", size, taken/1024, perMachine[size])
		runtime.KeepAlive(c)
		runtime.KeepAlive(heartbeats)
	}
	if perMachine[4000] > 2*perMachine[400] {
		t.Errorf("memory grows faster than the fleet, bytes per machine by fleet size: %v", perMachine)
	}
}
