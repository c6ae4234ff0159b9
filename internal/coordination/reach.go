package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// reachabilityProbe is what a controller finds out about machines that their holder does not
// hear: whether they answer here. Nobody else can tell whether the machines are gone
// or only out of that holder's reach.
type reachabilityProbe struct {
	results       []ZoneReachability
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
func (r *reachabilityProbe) report(now micros.Time) []ZoneReachability {
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
			r.results = append(r.results, ZoneReachability{Partition: n, Zone: zone, Probed: k})
			at := len(r.results) - 1
			for i := range k {
				id := ids[i*len(ids)/k]
				r.callsInFlight++
				c.callAgent(AgentCall{Machine: id, Address: c.cache.Machines[id].Value.Address, StatusOnly: true, Timeout: micros.Second}, func(reply *AgentReply) {
					if reply.Heartbeat != nil && reply.Heartbeat.Machine == id {
						r.results[at].Answered++
					}
					if r.callsInFlight--; r.callsInFlight == 0 {
						r.completedAt = c.now
						c.statusSoon = true
					}
				})
			}
		}
	}
}

// leaderMissesMachines tells whether a queue's holder said of late that it does not hear a zone, or
// is registered and not heard itself.
func (c *Core) leaderMissesMachines(queue int, h storage.Process) bool {
	p := c.peers[h.Member]
	if p == nil || p.status.From != h || c.now-p.receivedAt > 2*micros.Second {
		return c.now > c.startedAt+2*micros.Second
	}
	return slices.ContainsFunc(p.status.Partitions, func(q PartitionStatus) bool { return q.Partition == queue && len(q.UnreachableZones) > 0 })
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
	v := c.peers[p.Member]
	if v == nil || v.status.From != p || c.now-v.receivedAt > 3*micros.Second {
		return 0
	}
	n := 0
	for zone, machines := range c.machinesInUse(queue) {
		if c.cache.Partitions[queue].Value.Leader == p {
			if !slices.ContainsFunc(v.status.Partitions, func(q PartitionStatus) bool { return q.Partition == queue && slices.Contains(q.UnreachableZones, zone) }) {
				n += machines
			}
		} else if slices.ContainsFunc(v.status.Reachability, func(z ZoneReachability) bool {
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
func (c *Core) unreachableFromLeader(r *Heartbeat, m storage.Machine, q storage.Versioned[storage.PartitionRecord]) bool {
	p := c.peers[q.Value.Leader.Member]
	if p == nil || p.status.From != q.Value.Leader || c.now-p.receivedAt > 2*micros.Second {
		return r.FencingToken == q.ModRevision
	}
	return slices.ContainsFunc(p.status.Partitions, func(s PartitionStatus) bool {
		return s.Partition == m.Partition && slices.Contains(s.UnreachableZones, m.Zone)
	})
}

// zoneView is how a holder hears the machines of one zone.
type zoneView struct {
	up    int
	heard micros.Time // a quarter of them was heard since
	lost  micros.Time // since when it counts as lost; 0: it does not
}

const (
	// zonesPace is how often zones are looked at.
	zonesPace = 100 * micros.Millisecond
	// fewMachines are too few to tell a zone's silence from their own.
	fewMachines = 3
	// verdictFor is how long a holder waits for its siblings to say whether they reach
	// a zone that it does not hear.
	verdictFor = 2500 * micros.Millisecond
)

// viewZones looks at how the zones are heard. Machines of a zone that fall silent all
// at once may only be out of this controller's reach: its siblings are asked.
func (h *holder) viewZones() {
	now := h.c.now
	if now-h.zonesAt < zonesPace {
		return
	}
	h.zonesAt = now
	seen := map[string][]micros.Time{}
	for _, m := range h.machines {
		if m.session != 0 || m.block.Used {
			seen[m.block.Zone] = append(seen[m.block.Zone], m.seen)
		}
	}
	for zone, v := range h.zones {
		if seen[zone] == nil {
			// All its machines were given up. A zone that was lost stays so until one
			// that was rented to try it is heard.
			v.up = 0
		}
	}
	for _, zone := range sortedKeys(seen) {
		times, v := seen[zone], h.zones[zone]
		if v == nil {
			v = &zoneView{}
			h.zones[zone] = v
		}
		slices.SortFunc(times, func(a, b micros.Time) int { return cmp.Compare(b, a) })
		v.up, v.heard = len(times), times[len(times)/4]
		quiet := h.zoneQuiet(v)
		if quiet >= h.silence()*3/10 {
			// Workers that wait for the answer of a holder that was cut off do not report
			// for some seconds: only what does not answer either is not heard.
			for i, m := range h.machines {
				if i%2 == 0 && m.block.Zone == zone && (m.session != 0 || m.block.Used) && !m.calling && m.addr != "" && now-m.probed > micros.Second {
					h.toProbe = append(h.toProbe, m)
				}
			}
		}
		switch {
		case quiet < h.silence()*3/5:
			v.lost = 0
		case v.lost == 0 && v.up > fewMachines:
			v.lost = now
			h.c.statusSoon = true
			h.c.log(levelInfo, "zone is not heard", "zone", zone, "machines", v.up)
		}
	}
}

// lostBefore takes the zones that the last holder, as far as it told, did not hear.
func (h *holder) lostBefore() {
	for _, member := range sortedKeys(h.c.peers) {
		p := h.c.peers[member]
		if h.c.now-p.receivedAt > probeResultTTL {
			continue
		}
		for _, q := range p.status.Partitions {
			for _, zone := range q.UnreachableZones {
				if q.Partition == h.queue {
					h.zones[zone] = &zoneView{lost: h.c.now}
				}
			}
		}
	}
}

// zoneLost tells whether a zone is not heard: what boots there cannot be counted on.
func (h *holder) zoneLost(zone string) bool { return h.zones[zone] != nil && h.zones[zone].lost != 0 }

// zoneQuiet is how long a quarter of a zone's machines has not been heard.
func (h *holder) zoneQuiet(v *zoneView) micros.Time { return h.c.now - max(v.heard, h.calmAt) }

// lostZones are the zones that this holder does not hear.
func (h *holder) lostZones() []string {
	var out []string
	for _, zone := range sortedKeys(h.zones) {
		if h.zones[zone].lost != 0 {
			out = append(out, zone)
		}
	}
	return out
}

// zoneInDoubt tells whether it is open if machines of a zone that fell silent together
// are gone, or out of this controller's reach only. None of them is given up until the
// siblings that can be heard have said that they do not reach them either; while one
// does, it is waited for a while longer that it takes the queue over.
func (h *holder) zoneInDoubt(zone string) bool {
	v := h.zones[zone]
	if v == nil || v.up <= fewMachines || h.zoneQuiet(v) < h.silence()*3/10 {
		return false
	}
	if v.lost == 0 {
		return true
	}
	asked, reached := 0, false
	for member, p := range h.c.peers {
		if member == h.c.process.Member || h.c.now-p.receivedAt > 2*micros.Second {
			continue
		}
		i := slices.IndexFunc(p.status.Reachability, func(z ZoneReachability) bool { return z.Partition == h.queue && z.Zone == zone })
		if i < 0 {
			asked++
		} else if z := p.status.Reachability[i]; z.Answered*2 >= z.Probed {
			reached = true
		}
	}
	wait := h.c.now - v.lost
	if reached {
		return wait < verdictFor+h.silence()
	}
	return asked > 0 && wait < verdictFor
}
