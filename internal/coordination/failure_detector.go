package coordination

import (
	"slices"
	"sort"

	"pipitlatch/internal/micros"
)

// suspicionTimeout is how long a machine may go without news.
func (p *partitionLeader) suspicionTimeout() micros.Time {
	return micros.Time(p.core.config.Operator.SilenceMs) * micros.Millisecond
}

// probeAfter is how long a machine may be quiet before it is asked: one that serves
// somebody earlier, since its replicas are missed from the moment that it dies.
func (p *partitionLeader) probeAfter(m *machine) micros.Time {
	ask := p.suspicionTimeout() * 2 / 3
	if replicasOn(m) > 0 {
		ask = min(ask, max(p.suspicionTimeout()/4, 2*micros.Second))
	}
	return ask
}

// sinceLastRenewal is for how long no report of the machine was answered. One that direct
// commands reach while it reaches no controller loses its tasks all the same when its
// lease ends: commands do not renew it.
func (p *partitionLeader) sinceLastRenewal(m *machine) micros.Time {
	return p.core.now - max(m.contact.LastRenewal(), p.lease.acquiredAt, m.lifecycle.addedAt, p.detector.silenceCountsFrom)
}

// cannotReport tells whether a machine that answers calls has reached no controller for a lease,
// while most others do: it is empty by now, and would stay so.
func (p *partitionLeader) cannotReport(m *machine) bool {
	if !m.agent.HeardFrom() || p.sinceLastRenewal(m) <= p.core.config.AgentLeaseExpiry() {
		return false
	}
	census := p.fleetHealth()
	return census.renewed*2 > census.inUse
}

// lastPossibleRenewal is when a worker of this machine can last have had an answer that
// renewed its lease: ours, or a predecessor's, whose answers end with its term,
// or with its process if that is known to be dead.
func (p *partitionLeader) lastPossibleRenewal(m *machine) micros.Time {
	last := p.lease.acquiredAt
	if m.record.Used {
		for _, predecessor := range p.lease.formerLeaders {
			end, dead := p.core.deathTimes[predecessor]
			if !dead {
				end = p.lease.acquiredAt + p.core.config.LeadershipTerm()
			}
			last = max(last, end)
		}
	}
	return max(last, m.contact.LastRenewal())
}

// mostReconciled tells whether most of the machines in use are known. A third of them may
// have been lost with the last holder, and all older jobs wait for these.
func (p *partitionLeader) mostReconciled() bool {
	census := p.fleetHealth()
	return census.reconciled*2 >= census.mayHaveTasks
}

// widespreadSilence tells whether so many machines are silent, or overdue, at once that
// the fault is more likely near this controller than at each of them: then none
// is deleted, and only the end of its lease writes one off. Overdue ones count
// because in a cut the machines fall silent one after the other. A fault near here
// hits all alike: while those of another zone, or the ordinary ones, are heard as
// ever, a zone was lost or spot machines were taken, however many, and what ran
// there need not wait.
func (p *partitionLeader) widespreadSilence() bool {
	type share struct {
		zone string
		spot bool
	}
	var silent, up int
	shares := map[share][2]int{}
	for _, m := range p.machines {
		if !m.agent.HeardFrom() && !m.record.Used {
			continue
		}
		k := share{m.record.Zone, m.record.Spot}
		n := shares[k]
		up++
		n[1]++
		if p.core.now-m.contact.LastContact() > p.suspicionTimeout()*7/10 {
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

// restOfFleetHeard tells whether a good part of the machines has been heard since the
// first of the calls in a row that this one did not answer was sent: then it is not
// this controller that nobody hears. A fault near here shows at once, long before
// many machines are overdue. Three machines are too few to tell.
func (p *partitionLeader) restOfFleetHeard(m *machine) bool {
	census := p.fleetHealth()
	heard := len(census.lastContacts) - sort.Search(len(census.lastContacts), func(i int) bool { return census.lastContacts[i] > m.contact.FirstFailedCallAt() })
	return heard*4 > census.inUse || census.inUse <= 3
}

// fleetHealth is what judging one machine's silence needs of all the others. It is taken once
// a tick: when a third of the fleet falls silent at once, every one of them is judged by
// the rest, and counting anew for each would take the square of the fleet's size.
type fleetHealth struct {
	takenAt      micros.Time
	inUse        int           // machines in use
	renewed      int           // of these, had an answer within half a lease
	mayHaveTasks int           // machines that may have tasks, by their records
	reconciled   int           // of these, their tasks are known
	lastContacts []micros.Time // when those in use were last seen, in order
}

// fleetHealth returns the census of this tick.
func (p *partitionLeader) fleetHealth() *fleetHealth {
	if p.detector.healthSummary != nil && p.detector.healthSummary.takenAt == p.core.now {
		return p.detector.healthSummary
	}
	n := &fleetHealth{takenAt: p.core.now}
	for _, m := range p.machines {
		if m.record.Used {
			n.mayHaveTasks++
			if m.agent.Reconciled() {
				n.reconciled++
			}
		}
		if !m.agent.HeardFrom() && !m.record.Used {
			continue
		}
		n.inUse++
		n.lastContacts = append(n.lastContacts, m.contact.LastContact())
		if p.sinceLastRenewal(m) < p.core.config.AgentLease()/2 {
			n.renewed++
		}
	}
	slices.Sort(n.lastContacts)
	p.detector.healthSummary = n
	return n
}
