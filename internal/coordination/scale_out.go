package coordination

import (
	"cmp"
	"fmt"
	"slices"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// statusLifetime is how old what a sibling said of its queues may be to be acted on.
const statusLifetime = 3 * micros.Second

// scaleOutInterval is how long a round waits after the last one, unless that was refused
// something.
const scaleOutInterval = 700 * micros.Millisecond

// minScaleOutRound and scaleOutDivisor bound the machines rented for one look at the needs: a part of
// those there are, so that a large fleet grows as quickly as a small one, and the needs
// are looked at again before it doubles.
const (
	minScaleOutRound = 200
	scaleOutDivisor  = 10
)

// maxScaleOutRound is how many machines are rented for one look at the needs.
func (c *Core) maxScaleOutRound() int {
	return max(minScaleOutRound, len(c.cache.Machines)/scaleOutDivisor)
}

// scaleOut rents for the queues' needs, one round at a time: the next round
// looks at what the last one brought.
func (c *Core) scaleOut() {
	l := &c.leader
	open := 0
	for _, name := range sortedKeys(c.cache.Blocks) {
		if b := c.cache.Blocks[name]; b.Value.Requested > 0 {
			open++
			if _, out := l.scaling.requestsInFlight[name]; !out && c.now >= l.scaling.requestRetryAt[name] {
				c.sendInstanceRequest(name, b.Value, b.ModRevision)
			}
		}
	}
	if open > 0 || len(l.scaling.requestsInFlight) > 0 || c.catalog == nil || c.now < l.scaling.nextScaleOutAt || c.now-l.acquiredAt < 500*micros.Millisecond {
		return
	}
	for _, p := range c.peers.All() {
		// Only of those whose needs are looked at: a former holder that is cut off says
		// nothing new for minutes, and nothing would be rented as long.
		if c.now-p.ReceivedAt <= statusLifetime && len(p.Status.Partitions) > 0 && p.Status.Revision < l.scaling.provisionedRevision {
			return // its needs are from before the last round
		}
	}
	statuses := c.partitionStatuses()
	slices.SortStableFunc(statuses, func(a, b messages.PartitionStatus) int { return cmp.Compare(a.Partition, b.Partition) })
	for _, q := range statuses {
		var needs []provisioning.CapacityRequest
		for _, service := range []bool{true, false} {
			for _, n := range q.CapacityRequests {
				if n.Service == service {
					needs = append(needs, n)
				}
			}
		}
		for _, n := range needs {
			c.log(messages.LevelDebug, "capacity request", "partition", q.Partition, "count", n.Count, "cpu", n.Resources.CPU, "service", n.Service, "urgent", n.Urgent)
		}
		most := func(o provisioning.InstanceKind) int {
			if slices.Contains(q.UnreachableZones, o.Zone) {
				return min(l.scaling.capacity.Limit(o, c.now), c.zoneProbeLimit(o.Zone))
			}
			return l.scaling.capacity.Limit(o, c.now)
		}
		for _, r := range provisioning.Choose(needs, c.catalog, most, c.maxScaleOutRound()/max(1, len(statuses))) {
			for r.Count > 0 && c.takeCloudToken() {
				part := r
				part.Count = min(r.Count, c.maxBlockMachines())
				c.recordInstanceRequest(q.Partition, part)
				r.Count -= part.Count
			}
		}
	}
	l.scaling.nextScaleOutAt = c.now + scaleOutInterval
}

// maxZoneProbes is how many machines of each offer are rented in a zone that is not heard,
// to find out when it is again. More would come up, and cost, without being heard.
const maxZoneProbes = 1

// zoneProbeLimit is how many machines may be rented in a zone that is not heard.
func (c *Core) zoneProbeLimit(zone string) int {
	for _, m := range c.cache.Machines {
		if m.Value.Zone == zone && !m.Value.Used {
			return 0
		}
	}
	return maxZoneProbes
}

// takeCloudToken keeps rentals within the greater part of the cloud's limit; lists,
// deletions and the siblings' calls have the rest.
func (c *Core) takeCloudToken() bool {
	l := &c.leader
	rate := c.config.Settings.Cloud.RPS * 0.6
	l.scaling.cloudTokens = min(rate, l.scaling.cloudTokens+rate*micros.Seconds(c.now-l.scaling.cloudTokensAt))
	l.scaling.cloudTokensAt = c.now
	if l.scaling.cloudTokens < 1 {
		return false
	}
	l.scaling.cloudTokens--
	return true
}

// recordInstanceRequest writes a rental down before it is sent, as a block without machines, so
// that a successor neither loses it nor rents the same need twice.
func (c *Core) recordInstanceRequest(queue int, r provisioning.InstanceRequest) {
	l := &c.leader
	l.nameCounter++
	name := fmt.Sprintf("c%d-%d", l.revision, l.nameCounter)
	rec := storage.BlockRecord{Partition: queue, InstanceType: r.InstanceType, Zone: r.Zone, Spot: r.Spot, Requested: r.Count}
	key := c.keys.Block(name)
	if c.callStore(&storage.Request{Kind: storage.Txn,
		Compares: []storage.Compare{c.leaderCompare(), {Key: key}},
		Puts:     []storage.Put{{Key: key, Value: storage.Encode(rec)}},
	}, storage.Urgent, storeTimeout, func(reply *storage.Reply) {
		delete(l.scaling.requestsInFlight, name)
		if reply.Outcome == storage.OK {
			l.scaling.provisionedRevision = max(l.scaling.provisionedRevision, reply.Revision)
			c.sendInstanceRequest(name, rec, reply.Revision)
		}
	}) {
		l.scaling.requestsInFlight[name] = r.InstanceKind
	}
}

// sendInstanceRequest sends a rental that was written down.
func (c *Core) sendInstanceRequest(name string, rec storage.BlockRecord, version uint64) {
	l := &c.leader
	offer := provisioning.InstanceKind{InstanceType: rec.InstanceType, Zone: rec.Zone, Spot: rec.Spot}
	l.scaling.requestsInFlight[name] = offer
	c.callCloud(messages.CloudCall{Operation: messages.CloudRequestInstances, InstanceRequestID: name, InstanceRequest: provisioning.InstanceRequest{InstanceKind: offer, Count: rec.Requested}, Timeout: 4 * micros.Second}, func(r *messages.CloudReply) {
		delete(l.scaling.requestsInFlight, name)
		switch r.Outcome {
		case messages.CloudOK, messages.CloudInsufficientCapacity:
			if len(r.Names) < rec.Requested {
				l.scaling.capacity.Exhausted(offer, c.now)
				l.scaling.nextScaleOutAt = c.now // what was missing may be had elsewhere
			} else {
				l.scaling.capacity.Granted(offer, rec.Requested)
			}
			c.log(messages.LevelInfo, "instances requested", "request_id", name, "instance_type", rec.InstanceType, "zone", rec.Zone, "spot", rec.Spot, "requested", rec.Requested, "granted", len(r.Names))
			c.closeInstanceRequest(name, rec, version, r.Names)
		default:
			l.scaling.requestRetryAt[name] = c.now + micros.Second
		}
	})
}

// closeInstanceRequest turns a rental into a block.
func (c *Core) closeInstanceRequest(name string, rec storage.BlockRecord, version uint64, machines []string) {
	l := &c.leader
	rec.Requested, rec.Machines = 0, map[string]storage.MachineRecord{}
	for _, m := range machines {
		// One that reported before the answer came was adopted already.
		if _, known := c.cache.Machines[m]; !known {
			rec.Machines[m] = storage.MachineRecord{}
		}
	}
	key := c.keys.Block(name)
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{c.leaderCompare(), {Key: key, ModRevision: version}}}
	if len(rec.Machines) == 0 {
		r.Deletes = []string{key}
	} else {
		c.putBlock(r, name, rec)
	}
	l.scaling.requestsInFlight[name] = provisioning.InstanceKind{InstanceType: rec.InstanceType, Zone: rec.Zone, Spot: rec.Spot}
	again := func() {
		delete(l.scaling.requestsInFlight, name)
		l.scaling.requestRetryAt[name] = c.now + 200*micros.Millisecond // the same name gives the same answer
	}
	if !c.callStore(r, storage.Urgent, storeTimeout, func(reply *storage.Reply) {
		again()
		if reply.Outcome == storage.OK {
			l.scaling.provisionedRevision = max(l.scaling.provisionedRevision, reply.Revision)
		}
	}) {
		again()
	}
}
