package coordination

import (
	"cmp"
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
	if !c.synced || r.callsInFlight > 0 || (r.sentAt != 0 && c.now-r.sentAt < probeInterval) {
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

// zoneHealth is how a holder hears the machines of one zone.
type zoneHealth struct {
	machines          int
	lastQuorumContact micros.Time // a quarter of them was heard since
	unreachableSince  micros.Time // since when it counts as lost; 0: it does not
}

const (
	// zoneCheckInterval is how often zones are looked at.
	zoneCheckInterval = 100 * micros.Millisecond
	// minZoneMachines are too few to tell a zone's silence from their own.
	minZoneMachines = 3
	// peerVerdictTimeout is how long a holder waits for its siblings to say whether they reach
	// a zone that it does not hear.
	peerVerdictTimeout = 2500 * micros.Millisecond
)

// checkZones looks at how the zones are heard. Machines of a zone that fall silent all
// at once may only be out of this controller's reach: its siblings are asked.
func (p *partitionLeader) checkZones() {
	now := p.core.now
	if now-p.detector.zonesCheckedAt < zoneCheckInterval {
		return
	}
	p.detector.zonesCheckedAt = now
	seen := map[string][]micros.Time{}
	for _, m := range p.machines {
		if m.agent.HeardFrom() || m.record.Used {
			seen[m.record.Zone] = append(seen[m.record.Zone], m.contact.LastContact())
		}
	}
	for zone, v := range p.detector.zones {
		if seen[zone] == nil {
			// All its machines were given up. A zone that was lost stays so until one
			// that was rented to try it is heard.
			v.machines = 0
		}
	}
	for _, zone := range sortedKeys(seen) {
		times, v := seen[zone], p.detector.zones[zone]
		if v == nil {
			v = &zoneHealth{}
			p.detector.zones[zone] = v
		}
		slices.SortFunc(times, func(a, b micros.Time) int { return cmp.Compare(b, a) })
		v.machines, v.lastQuorumContact = len(times), times[len(times)/4]
		quiet := p.zoneSilence(v)
		if quiet >= p.suspicionTimeout()*3/10 {
			// Workers that wait for the answer of a holder that was cut off do not report
			// for some seconds: only what does not answer either is not heard.
			for i, m := range p.machines {
				if i%2 == 0 && m.record.Zone == zone && (m.agent.HeardFrom() || m.record.Used) && !m.commands.callInFlight && m.address != "" && now-m.contact.LastProbe() > micros.Second {
					p.detector.probeQueue = append(p.detector.probeQueue, m)
				}
			}
		}
		switch {
		case quiet < p.suspicionTimeout()*3/5:
			v.unreachableSince = 0
		case v.unreachableSince == 0 && v.machines > minZoneMachines:
			v.unreachableSince = now
			p.core.status.soon = true
			p.core.log(messages.LevelInfo, "zone unreachable", "zone", zone, "machines", v.machines)
		}
	}
}

// inheritUnreachableZones takes the zones that the last holder, as far as it told, did not hear.
func (p *partitionLeader) inheritUnreachableZones() {
	for _, peer := range p.core.peers.All() {
		if p.core.now-peer.ReceivedAt > probeResultTTL {
			continue
		}
		for _, q := range peer.Status.Partitions {
			for _, zone := range q.UnreachableZones {
				if q.Partition == p.partition {
					p.detector.zones[zone] = &zoneHealth{unreachableSince: p.core.now}
				}
			}
		}
	}
}

// zoneUnreachable tells whether a zone is not heard: what boots there cannot be counted on.
func (p *partitionLeader) zoneUnreachable(zone string) bool {
	return p.detector.zones[zone] != nil && p.detector.zones[zone].unreachableSince != 0
}

// zoneSilence is how long a quarter of a zone's machines has not been heard.
func (p *partitionLeader) zoneSilence(v *zoneHealth) micros.Time {
	return p.core.now - max(v.lastQuorumContact, p.detector.silenceCountsFrom)
}

// unreachableZones are the zones that this holder does not hear.
func (p *partitionLeader) unreachableZones() []string {
	var out []string
	for _, zone := range sortedKeys(p.detector.zones) {
		if p.detector.zones[zone].unreachableSince != 0 {
			out = append(out, zone)
		}
	}
	return out
}

// zoneVerdictPending tells whether it is open if machines of a zone that fell silent together
// are gone, or out of this controller's reach only. None of them is given up until the
// siblings that can be heard have said that they do not reach them either; while one
// does, it is waited for a while longer that it takes the queue over.
func (p *partitionLeader) zoneVerdictPending(zone string) bool {
	v := p.detector.zones[zone]
	if v == nil || v.machines <= minZoneMachines || p.zoneSilence(v) < p.suspicionTimeout()*3/10 {
		return false
	}
	if v.unreachableSince == 0 {
		return true
	}
	asked, reached := 0, false
	for member, peer := range p.core.peers.All() {
		if member == p.core.process.Member || p.core.now-peer.ReceivedAt > 2*micros.Second {
			continue
		}
		i := slices.IndexFunc(peer.Status.Reachability, func(z messages.ZoneReachability) bool { return z.Partition == p.partition && z.Zone == zone })
		if i < 0 {
			asked++
		} else if z := peer.Status.Reachability[i]; z.Answered*2 >= z.Probed {
			reached = true
		}
	}
	wait := p.core.now - v.unreachableSince
	if reached {
		return wait < peerVerdictTimeout+p.suspicionTimeout()
	}
	return asked > 0 && wait < peerVerdictTimeout
}
