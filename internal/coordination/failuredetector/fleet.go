package failuredetector

import (
	"slices"
	"sort"

	"pipitlatch/internal/micros"
)

const (
	// maxIsolatedSilences is the number of machines that may be silent at the same time, regardless
	// of their share of the fleet, without raising suspicion of the network near this controller.
	maxIsolatedSilences = 2
	// minGroupMachines is the number of machines that a group needs before contact with it can rule
	// out a fault near this controller.
	minGroupMachines = 3
	// smallFleetMachines is the largest number of machines in use that is too small to judge from
	// the other machines whether this controller is reachable.
	smallFleetMachines = 3
)

// fleetHealth is the summary of all machines that the verdict on a single machine depends on. It is
// computed once per tick: when a third of the fleet falls silent at once, each silent machine is
// compared with the rest, and a separate count for each would be quadratic in the size of the fleet.
type fleetHealth struct {
	computedAt   micros.Time
	inUse        int           // machines in use
	renewed      int           // those whose agent lease was renewed within half a lease
	mayHaveTasks int           // machines that may have tasks, according to their records
	reconciled   int           // those of them whose tasks are known
	lastContacts []micros.Time // of the machines in use, sorted
}

// fleetHealth returns the summary for the current tick, computing it on first use.
func (d *Detector) fleetHealth(now micros.Time) *fleetHealth {
	if d.health != nil && d.health.computedAt == now {
		return d.health
	}
	health := &fleetHealth{computedAt: now}
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

// MostReconciled reports whether at least half of the machines that may have tasks are reconciled. Up
// to a third of them may have been lost along with the previous partition leader, and all older jobs
// wait for those.
func (d *Detector) MostReconciled(now micros.Time) bool {
	health := d.fleetHealth(now)
	return health.reconciled*2 >= health.mayHaveTasks
}

// RestOfFleetReachable reports whether more than a quarter of the machines in use have been in contact
// since the given time. For a machine that does not answer, this is when the first of its consecutive
// failed calls was sent. If so, this controller itself is reachable: a fault near it shows
// immediately, long before many machines are overdue. A small fleet does not allow this conclusion
// and always counts as reachable.
func (d *Detector) RestOfFleetReachable(now, since micros.Time) bool {
	health := d.fleetHealth(now)
	silent := sort.Search(len(health.lastContacts), func(i int) bool { return health.lastContacts[i] > since })
	reachable := len(health.lastContacts) - silent
	return reachable*4 > health.inUse || health.inUse <= smallFleetMachines
}

// silenceCount holds the number of machines in use and of those among them that are silent or overdue.
type silenceCount struct{ inUse, silent int }

// widespreadSilence reports whether so many machines are silent or overdue at the same time that a
// fault near this controller is more likely than a fault of each machine. In that case no machine is
// terminated, and the tasks of a machine end only when its agent lease expires. Overdue machines count
// because machines fall silent one after another in a network partition.
//
// A fault near this controller affects all machines alike. If another zone, or the on-demand
// instances, remain in contact, then a zone was lost or spot instances were preempted, no matter how
// many, and the tasks that ran there need not wait.
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
