package coordination

import (
	"slices"
	"sort"

	"pipitlatch/internal/micros"
)

// silence is how long a machine may go without news.
func (h *holder) silence() micros.Time {
	return micros.Time(h.c.config.Operator.SilenceMs) * micros.Millisecond
}

// askAfter is how long a machine may be quiet before it is asked: one that serves
// somebody earlier, since its replicas are missed from the moment that it dies.
func (h *holder) askAfter(m *machine) micros.Time {
	ask := h.silence() * 2 / 3
	if replicasOn(m) > 0 {
		ask = min(ask, max(h.silence()/4, 2*micros.Second))
	}
	return ask
}

// unanswered is for how long no report of the machine was answered. One that direct
// commands reach while it reaches no controller loses its tasks all the same when its
// lease ends: commands do not renew it.
func (h *holder) unanswered(m *machine) micros.Time {
	return h.c.now - max(m.answered, h.taken, m.added, h.calmAt)
}

// mute tells whether a machine that answers calls has reached no controller for a lease,
// while most others do: it is empty by now, and would stay so.
func (h *holder) mute(m *machine) bool {
	if m.session == 0 || h.unanswered(m) <= h.c.config.AgentLeaseExpiry() {
		return false
	}
	census := h.census()
	return census.answered*2 > census.up
}

// lastAnswer is when a worker of this machine can last have had an answer that
// renewed its lease: ours, or a predecessor's, whose answers end with its term,
// or with its process if that is known to be dead.
func (h *holder) lastAnswer(m *machine) micros.Time {
	last := h.taken
	if m.block.Used {
		for _, p := range h.former {
			end, dead := h.c.deathTimes[p]
			if !dead {
				end = h.taken + h.c.config.LeadershipTerm()
			}
			last = max(last, end)
		}
	}
	return max(last, m.answered)
}

// mostKnown tells whether most of the machines in use are known. A third of them may
// have been lost with the last holder, and all older jobs wait for these.
func (h *holder) mostKnown() bool {
	census := h.census()
	return census.known*2 >= census.used
}

// manySilent tells whether so many machines are silent, or overdue, at once that
// the fault is more likely near this controller than at each of them: then none
// is deleted, and only the end of its lease writes one off. Overdue ones count
// because in a cut the machines fall silent one after the other. A fault near here
// hits all alike: while those of another zone, or the ordinary ones, are heard as
// ever, a zone was lost or spot machines were taken, however many, and what ran
// there need not wait.
func (h *holder) manySilent() bool {
	type share struct {
		zone string
		spot bool
	}
	var silent, up int
	shares := map[share][2]int{}
	for _, m := range h.machines {
		if m.session == 0 && !m.block.Used {
			continue
		}
		k := share{m.block.Zone, m.block.Spot}
		n := shares[k]
		up++
		n[1]++
		if h.c.now-m.seen > h.silence()*7/10 {
			silent++
			n[0]++
		}
		shares[k] = n
	}
	if silent <= 2 || silent*2 <= up {
		return false
	}
	for _, n := range shares {
		if n[1] >= 3 && n[0]*2 <= n[1] {
			return false
		}
	}
	return true
}

// othersHeard tells whether a good part of the machines has been heard since the
// first of the calls in a row that this one did not answer was sent: then it is not
// this controller that nobody hears. A fault near here shows at once, long before
// many machines are overdue. Three machines are too few to tell.
func (h *holder) othersHeard(m *machine) bool {
	census := h.census()
	heard := len(census.seen) - sort.Search(len(census.seen), func(i int) bool { return census.seen[i] > m.vainAt })
	return heard*4 > census.up || census.up <= 3
}

// census is what judging one machine's silence needs of all the others. It is taken once
// a tick: when a third of the fleet falls silent at once, every one of them is judged by
// the rest, and counting anew for each would take the square of the fleet's size.
type census struct {
	at       micros.Time
	up       int           // machines in use
	answered int           // of these, had an answer within half a lease
	used     int           // machines that may have tasks, by their records
	known    int           // of these, their tasks are known
	seen     []micros.Time // when those in use were last seen, in order
}

// census returns the census of this tick.
func (h *holder) census() *census {
	if h.counted != nil && h.counted.at == h.c.now {
		return h.counted
	}
	n := &census{at: h.c.now}
	for _, m := range h.machines {
		if m.block.Used {
			n.used++
			if m.known {
				n.known++
			}
		}
		if m.session == 0 && !m.block.Used {
			continue
		}
		n.up++
		n.seen = append(n.seen, m.seen)
		if h.unanswered(m) < h.c.config.AgentLease()/2 {
			n.answered++
		}
	}
	slices.Sort(n.seen)
	h.counted = n
	return n
}
