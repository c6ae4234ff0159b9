package failuredetector

import (
	"slices"
	"sort"

	"pipitlatch/internal/micros"
)

const (
	// maxIsolatedSilences is how many machines may be silent at once, whatever their share of the
	// fleet, without the network near this controller being suspected.
	maxIsolatedSilences = 2
	// minGroupMachines is how many machines a group must have to show that the others' silence is
	// not a fault near this controller.
	minGroupMachines = 3
	// smallFleet is how many machines in use are too few to tell from the others whether this
	// controller is heard.
	smallFleet = 3
)

// fleetHealth is what the verdict on one machine needs of all the others. It is taken once a tick:
// when a third of the fleet falls silent at once, every one of them is judged by the rest, and
// counting anew for each would take the square of the fleet's size.
type fleetHealth struct {
	takenAt      micros.Time
	inUse        int           // machines in use
	renewed      int           // of these, the agent lease was renewed within half a lease
	mayHaveTasks int           // machines that may have tasks, by their records
	reconciled   int           // of these, the tasks are known
	lastContacts []micros.Time // of the machines in use, in order
}

// fleetHealth returns the summary of this tick.
func (d *Detector) fleetHealth(now micros.Time) *fleetHealth {
	if d.health != nil && d.health.takenAt == now {
		return d.health
	}
	health := &fleetHealth{takenAt: now}
	for m := range d.fleet.Machines {
		if m.MayHaveTasks {
			health.mayHaveTasks++
			if m.Reconciled {
				health.reconciled++
			}
		}
		if !m.InUse {
			continue
		}
		health.inUse++
		health.lastContacts = append(health.lastContacts, m.LastContact)
		if d.SinceRenewal(now, m.RenewedAt) < d.timeouts.AgentLease/2 {
			health.renewed++
		}
	}
	slices.Sort(health.lastContacts)
	d.health = health
	return health
}

// MostReconciled tells whether at least half of the machines that may have tasks are reconciled. A
// third of them may have been lost with the last partition leader, and all older jobs wait for these.
func (d *Detector) MostReconciled(now micros.Time) bool {
	health := d.fleetHealth(now)
	return health.reconciled*2 >= health.mayHaveTasks
}

// RestOfFleetReachable tells whether a good part of the machines has been heard since a time: for a
// machine that does not answer, when the first of its failed calls in a row was sent. Then it is
// not this controller that nobody hears: a fault near it shows at once, long before many machines
// are overdue. A small fleet is too little to tell, and counts as heard.
func (d *Detector) RestOfFleetReachable(now, since micros.Time) bool {
	health := d.fleetHealth(now)
	silent := sort.Search(len(health.lastContacts), func(i int) bool { return health.lastContacts[i] > since })
	heard := len(health.lastContacts) - silent
	return heard*4 > health.inUse || health.inUse <= smallFleet
}

// silenceCount counts machines in use, and those of them that are silent or overdue.
type silenceCount struct{ inUse, silent int }

// widespreadSilence tells whether so many machines are silent, or overdue, at once that the fault
// is more likely near this controller than at each of them: then none is terminated, and only the
// expiry of its agent lease ends its tasks. Overdue ones count because in a network partition the
// machines fall silent one after the other. A fault near here affects all alike: while those of
// another zone, or the on-demand ones, are heard as ever, a zone was lost or spot instances were
// taken, however many, and what ran there need not wait.
func (d *Detector) widespreadSilence(now micros.Time) bool {
	type group struct {
		zone string
		spot bool
	}
	overdueAfter := d.timeouts.Suspicion * 7 / 10
	var all silenceCount
	groups := map[group]silenceCount{}
	for m := range d.fleet.Machines {
		if !m.InUse {
			continue
		}
		key := group{m.Zone, m.Spot}
		count := groups[key]
		all.inUse++
		count.inUse++
		if now-m.LastContact > overdueAfter {
			all.silent++
			count.silent++
		}
		groups[key] = count
	}
	if all.silent <= maxIsolatedSilences || all.silent*2 <= all.inUse {
		return false
	}
	for _, count := range groups {
		if count.inUse >= minGroupMachines && count.silent*2 <= count.inUse {
			return false
		}
	}
	return true
}
