package coordination

import (
	"runtime"
	"strconv"
	"testing"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// BenchmarkTakeover is what a new holder does from its lease on: it reads the records it
// holds, hears of every machine once, and plans.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			c, reports := newLarge(b, size)
			b.ReportAllocs()
			now := 2 * micros.Second
			for b.Loop() {
				now += 10 * micros.Second
				c.now, c.output = now, &messages.Output{}
				c.term.Confirm(now)
				c.partitions[0] = newPartitionLeader(c, 0, storage.Versioned[storage.PartitionRecord]{ModRevision: c.cache.Partitions[0].ModRevision})
				for _, r := range reports {
					r.Sequence++
					c.lastTick = now
					c.Step(now, now, &messages.HeartbeatRequest{Request: 1, Heartbeat: r})
				}
				c.output = &messages.Output{}
				c.partitions[0].schedule()
			}
			if h := c.partitions[0]; len(h.machines) != size || !h.machines[size-1].agent.Reconciled() {
				b.Fatal("not taken over")
			}
		})
	}
}

// BenchmarkThirdSilent is one look at the timers while a third of the fleet is silent.
func BenchmarkThirdSilent(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			c, reports := newLarge(b, size)
			now := 2 * micros.Second
			for _, r := range reports {
				r.Sequence++
				c.lastTick = now
				c.Step(now, now, &messages.HeartbeatRequest{Request: 1, Heartbeat: r})
			}
			h := c.partitions[0]
			c.now, c.output = now+h.suspicionTimeout()+micros.Second, &messages.Output{}
			b.ReportAllocs()
			for b.Loop() {
				c.now += 50 * micros.Millisecond
				for i, m := range h.machines {
					m.commands.CallStarted()
					if i%3 != 0 {
						m.contact.Reached(c.now)
						m.contact.Replied(c.now)
					} else if m.contact.FailedCalls() == 0 {
						m.contact.CallFailed(c.now - micros.Second)
					}
				}
				for _, m := range h.machines {
					h.checkMachine(m)
					m.drain.reason = notDraining
				}
				c.output = &messages.Output{}
			}
		})
	}
}

// BenchmarkAllIdle decides which machines are given back when all are idle at once.
func BenchmarkAllIdle(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			c, reports := newLarge(b, size)
			now := 2 * micros.Second
			for _, r := range reports {
				r.Sequence++
				r.Tasks = nil
				c.lastTick = now
				c.Step(now, now, &messages.HeartbeatRequest{Request: 1, Heartbeat: r})
			}
			h := c.partitions[0]
			c.now = now + 100*micros.Second
			b.ReportAllocs()
			for b.Loop() {
				c.now += micros.Second
				c.term.Confirm(c.now)
				c.output = &messages.Output{}
				h.plan.capacityRequests = nil
				for _, m := range h.machines {
					m.contact.Reached(c.now)
					m.contact.Replied(c.now)
					m.instanceType, m.drain.reason = c.catalog.Types()["m"], notDraining
				}
				h.scaleIn()
			}
		})
	}
}

// TestMemoryByFleet reports what a holder's state takes, and that it grows as the fleet does.
func TestMemoryByFleet(t *testing.T) {
	perMachine := map[int]uint64{}
	for _, size := range fleetSizes {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, reports := newLarge(t, size)
		for _, r := range reports {
			r.Sequence++
			c.lastTick = 2 * micros.Second
			c.Step(2*micros.Second, 2*micros.Second, &messages.HeartbeatRequest{Request: 1, Heartbeat: r})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		perMachine[size] = (after.HeapAlloc - before.HeapAlloc) / uint64(size)
		t.Logf("%d machines, eight tasks each: %d KB, %d bytes a machine", size, (after.HeapAlloc-before.HeapAlloc)/1024, perMachine[size])
		runtime.KeepAlive(c)
		runtime.KeepAlive(reports)
	}
	if perMachine[4000] > 2*perMachine[400] {
		t.Errorf("memory grows faster than the fleet: %v", perMachine)
	}
}
