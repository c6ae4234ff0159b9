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
	// listPageSize is the number of instances per page of the cloud's list.
	listPageSize = 500
	// listTimeout is how long to wait for a page.
	listTimeout = 3 * micros.Second
	// minListInterval is the interval between listings of a fleet that fits on a few pages.
	minListInterval = 2 * micros.Second
	// listRateShare is the fraction of the cloud's rate limit that listings may use: those of a
	// large fleet have many pages, and instance requests and terminations need the rest.
	listRateShare = 0.25
	// orphanMinTerm and orphanMinAge are the minimum age of the leadership term and of an instance
	// for an instance without a record to count as unmanaged: its record may still be in flight.
	orphanMinTerm = micros.Second
	orphanMinAge  = 2 * micros.Second
	// absenceMargin and absenceLags define how long a machine has to be absent from the list before
	// it is terminated: the margin plus this multiple of the list's lag.
	absenceMargin = 20 * micros.Second
	absenceLags   = 4
	// absentContactTimeout is how long ago the last contact with an absent machine has to be before
	// it is terminated.
	absentContactTimeout = 10 * micros.Second
)

// listingView is the part of the core that instance listing uses.
type listingView interface {
	cloudView
	// InstanceRunning informs the partition's leader, if it is in this process, of the address of a
	// running machine.
	InstanceRunning(partition int, machine, address string)
	// LastContact returns the time of the last contact with the machine, or false if its partition's
	// leader is not in this process.
	LastContact(partition int, machine string) (micros.Time, bool)
}

// instanceListing compares the cloud's list of instances with the block records. Failed instances
// are terminated and unmanaged ones adopted. Absence from a list does not prove that an instance is
// gone.
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

// tick starts reading the list when the next listing is due.
func (l *instanceListing) tick() {
	if l.inFlight || l.view.Now() < l.nextAt {
		return
	}
	l.inFlight = true
	l.readPage("", map[string]bool{})
}

// interval returns the time to wait before the next listing.
func (l *instanceListing) interval() micros.Time {
	pages := 1 + len(l.view.Cache().Machines)/listPageSize
	return max(minListInterval, micros.FromSeconds(float64(pages)/(l.config.Settings.Cloud.RPS*listRateShare)))
}

// readPage reads the page that starts after an instance, and then all that follow. It adds the names
// of the instances to listed.
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

// observe compares a listed instance with its record.
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

// terminateAbsent terminates the machines that have been absent from the list for long and have not
// been in contact recently. A successful termination is the proof that they are gone; the cloud may
// no longer know their names.
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
