package clusterleader

import (
	"maps"
	"slices"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
)

const (
	// listPageSize is how many instances one page of the cloud's list has.
	listPageSize = 500
	// listTimeout is how long a page is waited for.
	listTimeout = 3 * micros.Second
	// minListInterval is how often the list is read where it has few pages.
	minListInterval = 2 * micros.Second
	// listRateShare is the part of the cloud's limit that lists may take: those of a large
	// fleet have many pages, and instance requests and terminations need the rest.
	listRateShare = 0.25
	// orphanMinTerm and orphanMinAge are how long the cluster leader has to lead, and an
	// instance to exist, before one without a record is taken for unmanaged: the record may be
	// on its way.
	orphanMinTerm = micros.Second
	orphanMinAge  = 2 * micros.Second
	// absenceMargin and absenceLags are how long a machine has to be absent from the list to be
	// terminated: that margin, and so many times what the list lags.
	absenceMargin = 20 * micros.Second
	absenceLags   = 4
	// absentContactTimeout is how long an absent machine must not have been heard from.
	absentContactTimeout = 10 * micros.Second
)

// listingView is what the listing needs of the core.
type listingView interface {
	cloudView
	// InstanceRunning lets the partition's leader know the address of a machine.
	InstanceRunning(partition int, machine, address string)
	// LastContact is when the machine was last heard from, if its partition's leader is here.
	LastContact(partition int, machine string) (micros.Time, bool)
}

// instanceListing compares the cloud's list of instances with the blocks' records. Absence from
// a list proves nothing; a failed instance is terminated, and an unmanaged one is adopted.
type instanceListing struct {
	view        listingView
	config      *config.Config
	term        *leaderTerm
	terminated  *provisioning.TerminatedInstances
	termination *instanceTermination
	adoption    *orphanAdoption

	inFlight bool
	nextAt   micros.Time
	absent   *provisioning.AbsentInstances
}

func newInstanceListing(view listingView, cfg *config.Config, term *leaderTerm,
	terminated *provisioning.TerminatedInstances, termination *instanceTermination, adoption *orphanAdoption,
) *instanceListing {
	return &instanceListing{view: view, config: cfg, term: term, terminated: terminated, termination: termination,
		adoption: adoption, absent: provisioning.NewAbsentInstances()}
}

func (l *instanceListing) startTerm() {
	l.inFlight = false
	l.absent.Reset()
}

// tick begins to read the list when it is time.
func (l *instanceListing) tick() {
	if l.inFlight || l.view.Now() < l.nextAt {
		return
	}
	l.inFlight = true
	l.readPage("", map[string]bool{})
}

// interval is how long the next reading of the list waits.
func (l *instanceListing) interval() micros.Time {
	pages := 1 + len(l.view.Cache().Machines)/listPageSize
	return max(minListInterval, micros.FromSeconds(float64(pages)/(l.config.Settings.Cloud.RPS*listRateShare)))
}

// readPage reads the page after an instance, and then the following; listed gets the instances.
func (l *instanceListing) readPage(after string, listed map[string]bool) {
	revision := l.term.revision
	call := messages.CloudCall{Operation: messages.CloudList, After: after, Limit: listPageSize, Timeout: listTimeout}
	l.view.CallCloud(call, func(r *messages.CloudReply) {
		if revision != l.term.revision {
			return
		}
		l.nextAt = l.view.Now() + l.interval()
		if r.Outcome != messages.CloudOK {
			l.inFlight = false
			return
		}
		for i := range r.Instances {
			listed[r.Instances[i].Machine] = true
			l.observe(&r.Instances[i])
		}
		if r.More && len(r.Instances) > 0 {
			l.readPage(r.Instances[len(r.Instances)-1].Machine, listed)
			return
		}
		l.inFlight = false
		l.terminateAbsent(listed)
	})
}

// observe compares an instance of the list with its record.
func (l *instanceListing) observe(instance *messages.Instance) {
	if l.terminated.Contains(instance.Machine) {
		return
	}
	machine, recorded := l.view.Cache().Machines[instance.Machine]
	switch {
	case instance.Failed:
		if l.termination.request(instance.Machine) {
			l.view.Log(messages.LevelInfo, "instance failed", "machine", instance.Machine)
		}
	case recorded:
		if instance.Address != "" && instance.Running {
			l.view.InstanceRunning(machine.Value.Partition, instance.Machine, instance.Address)
		}
	case l.view.Now()-l.term.acquiredAt > orphanMinTerm && instance.Age > orphanMinAge:
		l.adoption.add(instance.Machine, instance.Address, provisioning.InstanceKind{
			InstanceType: instance.InstanceType, Zone: instance.Zone, Spot: instance.Spot,
		})
	}
}

// terminateAbsent terminates the machines that have been absent from the list for long and that
// nobody hears from. Termination is what proves that they are gone; the cloud may not know their
// names by now.
func (l *instanceListing) terminateAbsent(listed map[string]bool) {
	now, machines := l.view.Now(), l.view.Cache().Machines
	timeout := absenceLags*micros.FromSeconds(l.config.Settings.Cloud.ListLagS) + absenceMargin
	for _, name := range l.absent.Observe(now, timeout, listed, slices.Collect(maps.Keys(machines))) {
		contact, ok := l.view.LastContact(machines[name].Value.Partition, name)
		if !ok || now-contact > absentContactTimeout {
			l.termination.request(name)
		}
	}
}
