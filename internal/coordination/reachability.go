package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// reachabilityProbe is what a controller finds out about machines that their holder does not
// hear: whether they answer here. Nobody else can tell whether the machines are gone
// or only out of that holder's reach.
type reachabilityProbe struct {
	results       []messages.ZoneReachability
	callsInFlight int // still out
	sentAt        micros.Time
	completedAt   micros.Time
}

const (
	// probeSample is how many machines of a zone are asked; some may be dead.
	probeSample = 8
	// probeInterval is how often they are asked while their holder does not hear them.
	probeInterval = 2 * micros.Second
	// probeResultTTL is how long an answer counts.
	probeResultTTL = 4 * micros.Second
)

// report is what siblings are told.
func (r *reachabilityProbe) report(now micros.Time) []messages.ZoneReachability {
	if r.callsInFlight > 0 || r.completedAt == 0 || now-r.completedAt > probeResultTTL {
		return nil
	}
	return r.results
}

// probeReachability asks some machines of every zone of a queue whose holder does not hear
// all of them, or is not heard itself.
func (c *Core) probeReachability() {
	r := &c.reachability
	if !c.replica.Synced() || r.callsInFlight > 0 || (r.sentAt != 0 && c.now-r.sentAt < probeInterval) {
		return
	}
	var queues []int
	for n, q := range c.cache.Partitions {
		if h := q.Value.Leader; h != c.process && c.cache.Live(h) && c.leaderMissesMachines(n, h) {
			queues = append(queues, n)
		}
	}
	if len(queues) == 0 {
		return
	}
	slices.Sort(queues)
	r.results, r.sentAt = nil, c.now
	for _, n := range queues {
		byZone := map[string][]string{}
		for _, id := range sortedKeys(c.cache.Machines) {
			if m := c.cache.Machines[id].Value; m.Partition == n && m.Used && m.Address != "" {
				byZone[m.Zone] = append(byZone[m.Zone], id)
			}
		}
		for _, zone := range sortedKeys(byZone) {
			ids := byZone[zone]
			k := min(len(ids), probeSample)
			r.results = append(r.results, messages.ZoneReachability{Partition: n, Zone: zone, Probed: k})
			at := len(r.results) - 1
			for i := range k {
				id := ids[i*len(ids)/k]
				r.callsInFlight++
				c.callAgent(messages.AgentCall{Machine: id, Address: c.cache.Machines[id].Value.Address, StatusOnly: true, Timeout: micros.Second}, func(reply *messages.AgentReply) {
					if reply.Heartbeat != nil && reply.Heartbeat.Machine == id {
						r.results[at].Answered++
					}
					if r.callsInFlight--; r.callsInFlight == 0 {
						r.completedAt = c.now
						c.status.soon = true
					}
				})
			}
		}
	}
}

// leaderMissesMachines tells whether a queue's holder said of late that it does not hear a zone, or
// is registered and not heard itself.
func (c *Core) leaderMissesMachines(queue int, h storage.Process) bool {
	p := c.peers.Latest(h.Member)
	if p == nil || p.Status.From != h || c.now-p.ReceivedAt > 2*micros.Second {
		return c.now > c.startedAt+2*micros.Second
	}
	return slices.ContainsFunc(p.Status.Partitions, func(q messages.PartitionStatus) bool { return q.Partition == queue && len(q.UnreachableZones) > 0 })
}

// machinesInUse is how many machines of a queue are in use, by zone.
func (c *Core) machinesInUse(queue int) map[string]int {
	out := map[string]int{}
	for _, m := range c.cache.Machines {
		if m.Value.Partition == queue && m.Value.Used {
			out[m.Value.Zone]++
		}
	}
	return out
}

// reachableMachines is how many of a queue's machines a controller reaches, as far as it told:
// its holder all but those of zones it does not hear, another what answered it of late.
func (c *Core) reachableMachines(p storage.Process, queue int) int {
	v := c.peers.Latest(p.Member)
	if v == nil || v.Status.From != p || c.now-v.ReceivedAt > 3*micros.Second {
		return 0
	}
	n := 0
	for zone, machines := range c.machinesInUse(queue) {
		if c.cache.Partitions[queue].Value.Leader == p {
			if !slices.ContainsFunc(v.Status.Partitions, func(q messages.PartitionStatus) bool {
				return q.Partition == queue && slices.Contains(q.UnreachableZones, zone)
			}) {
				n += machines
			}
		} else if slices.ContainsFunc(v.Status.Reachability, func(z messages.ZoneReachability) bool {
			return z.Partition == queue && z.Zone == zone && z.Answered*2 >= z.Probed
		}) {
			n += machines
		}
	}
	return n
}

// unreachableFromLeader tells whether a machine should not be sent to its queue's holder, which
// does not hear it: it would lose the time in which another could take over before its
// lease ends. Either the holder said so, or it is not heard here and the worker, which
// shows the holder's token, has left it.
func (c *Core) unreachableFromLeader(r *messages.Heartbeat, m storage.Machine, q storage.Versioned[storage.PartitionRecord]) bool {
	p := c.peers.Latest(q.Value.Leader.Member)
	if p == nil || p.Status.From != q.Value.Leader || c.now-p.ReceivedAt > 2*micros.Second {
		return r.FencingToken == q.ModRevision
	}
	return slices.ContainsFunc(p.Status.Partitions, func(s messages.PartitionStatus) bool {
		return s.Partition == m.Partition && slices.Contains(s.UnreachableZones, m.Zone)
	})
}
