package clusterleader

import (
	"maps"
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// newTestListing returns the instanceListing of a cluster leader with machines a1 and a2.
func newTestListing(t *testing.T) (*fakeView, *instanceListing) {
	t.Helper()
	v := newFakeView(t, map[string]storage.BlockRecord{"a": block(0, "a1", "a2")})
	v.contacts = map[string]micros.Time{}
	cfg, term, terminated := newTestConfig(t), newTestTerm(), provisioning.NewTerminatedInstances()
	cfg.Settings.Cloud.ListLagS = 1
	pruning := newBlockPruning(v, testKeys, terminated)
	termination := newInstanceTermination(v, term, terminated, provisioning.NewCapacityTracker(), pruning)
	scaling := newScaleOut(v, cfg, testKeys, newTestPeers(0), term)
	adoption := newOrphanAdoption(v, testKeys, term, terminated, scaling)
	listing := newInstanceListing(v, cfg, term, terminated, termination, adoption)
	termination.startTerm()
	adoption.startTerm()
	listing.startTerm()
	return v, listing
}

// list runs a listing whose only page has the given instances.
func list(t *testing.T, v *fakeView, l *instanceListing, instances ...messages.Instance) {
	t.Helper()
	l.tick()
	v.takeCloudCall(t, messages.CloudList).reply(&messages.CloudReply{Outcome: messages.CloudOK, Instances: instances})
}

// listed returns instances that have been running for a long time.
func listed(names ...string) []messages.Instance {
	var instances []messages.Instance
	for _, name := range names {
		instances = append(instances, messages.Instance{Machine: name, InstanceType: "m", Zone: "a",
			Address: name + ":1", Running: true, Age: micros.Max})
	}
	return instances
}

var observationCases = []struct {
	name      string
	change    func(*fakeView, *instanceListing, *messages.Instance) // applied before the listing
	instance  string                                                // name of the listed instance
	requested bool                                                  // whether its termination is requested
	orphan    bool                                                  // whether it is to be adopted
	address   string                                                // reported to its partition's leader
}{
	{name: "a recorded machine", instance: "a1", address: "a1:1"},
	{name: "a recorded machine that is not running yet", instance: "a1",
		change: func(_ *fakeView, _ *instanceListing, i *messages.Instance) { i.Running = false }},
	{name: "a recorded machine without an address", instance: "a1",
		change: func(_ *fakeView, _ *instanceListing, i *messages.Instance) { i.Address = "" }},
	{name: "a recorded machine that failed", instance: "a1", requested: true,
		change: func(_ *fakeView, _ *instanceListing, i *messages.Instance) { i.Failed = true }},
	{name: "an unmanaged instance", instance: "x", orphan: true},
	{name: "an unmanaged instance that failed", instance: "x", requested: true,
		change: func(_ *fakeView, _ *instanceListing, i *messages.Instance) { i.Failed = true }},
	{name: "an unmanaged instance that is too young", instance: "x",
		change: func(_ *fakeView, _ *instanceListing, i *messages.Instance) { i.Age = orphanMinAge }},
	{name: "an unmanaged instance at the beginning of a term", instance: "x",
		change: func(v *fakeView, l *instanceListing, _ *messages.Instance) {
			l.term.acquiredAt = v.Time - orphanMinTerm
		}},
	{name: "a terminated instance", instance: "x",
		change: func(_ *fakeView, l *instanceListing, i *messages.Instance) {
			i.Failed = true
			l.terminated.Confirm("x", 0)
		}},
}

func TestInstanceListingObserves(t *testing.T) {
	for _, test := range observationCases {
		t.Run(test.name, func(t *testing.T) {
			v, l := newTestListing(t)
			instances := listed(test.instance)
			if test.change != nil {
				test.change(v, l, &instances[0])
			}
			list(t, v, l, instances...)
			if got := l.termination.requested[test.instance]; got != test.requested {
				t.Errorf("termination requested: %v, want %v", got, test.requested)
			}
			if _, got := l.adoption.orphans[test.instance]; got != test.orphan {
				t.Errorf("to be adopted: %v, want %v", got, test.orphan)
			}
			got, known := v.addresses[test.instance]
			if got != test.address || known != (test.address != "") {
				t.Errorf("address %q, known: %v, want %q", got, known, test.address)
			}
		})
	}
}

func TestInstanceListingLogsAFailedInstanceOnce(t *testing.T) {
	v, l := newTestListing(t)
	failed := listed("a1")
	failed[0].Failed = true
	for range 2 {
		list(t, v, l, failed...)
		v.Time += 10 * micros.Second
	}
	if want := []string{"instance failed"}; !slices.Equal(v.Messages, want) {
		t.Errorf("log records %v, want %v", v.Messages, want)
	}
}

func TestInstanceListingTerminatesAbsentMachines(t *testing.T) {
	const timeout = absenceLags*micros.Second + absenceMargin
	tests := []struct {
		name     string
		elapsed  micros.Time // between two lists without a2
		contact  micros.Time // with a2, before the second list; 0: none
		listed   []string    // in the second list
		requests []string
	}{
		{name: "listed again", elapsed: timeout + 1, listed: []string{"a1", "a2"}},
		{name: "absent, but not for long", elapsed: timeout, listed: []string{"a1"}},
		{name: "absent for long", elapsed: timeout + 1, listed: []string{"a1"}, requests: []string{"a2"}},
		{name: "absent, with recent contact", elapsed: timeout + 1, contact: absentContactTimeout, listed: []string{"a1"}},
		{name: "absent, with contact long ago", elapsed: timeout + 1, contact: absentContactTimeout + 1,
			listed: []string{"a1"}, requests: []string{"a2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, l := newTestListing(t)
			list(t, v, l, listed("a1")...)
			v.Time += test.elapsed
			if test.contact != 0 {
				v.contacts["a2"] = v.Time - test.contact
			}
			list(t, v, l, listed(test.listed...)...)
			if got := slices.Sorted(maps.Keys(l.termination.requested)); !slices.Equal(got, test.requests) {
				t.Errorf("terminated %v, want %v", got, test.requests)
			}
		})
	}
}

func TestInstanceListingReadsAllPages(t *testing.T) {
	v, l := newTestListing(t)
	list(t, v, l)
	v.Time += 100 * micros.Second
	l.tick()
	first := v.takeCloudCall(t, messages.CloudList)
	first.reply(&messages.CloudReply{Outcome: messages.CloudOK, Instances: listed("a1"), More: true})
	second := v.takeCloudCall(t, messages.CloudList)
	if second.After != "a1" {
		t.Errorf("the second page starts after %q, want a1", second.After)
	}
	second.reply(&messages.CloudReply{Outcome: messages.CloudOK, Instances: listed("a2")})
	if len(l.termination.requested) > 0 {
		t.Errorf("terminated %v, want none: all are listed", l.termination.requested)
	}
}

func TestInstanceListingTerminatesNothingAfterAnIncompleteList(t *testing.T) {
	v, l := newTestListing(t)
	list(t, v, l)
	v.Time += 100 * micros.Second
	l.tick()
	v.takeCloudCall(t, messages.CloudList).reply(&messages.CloudReply{Outcome: messages.CloudOutcomeUnknown})
	if len(l.termination.requested) > 0 {
		t.Errorf("terminated %v, want none", l.termination.requested)
	}
	v.Time += minListInterval
	l.tick()
	v.takeCloudCall(t, messages.CloudList) // from the beginning
}

func TestInstanceListingKeepsItsInterval(t *testing.T) {
	v, l := newTestListing(t)
	l.config.Settings.Cloud.RPS = 1 // one page every four seconds
	list(t, v, l, listed("a1", "a2")...)
	v.Time += 4*micros.Second - 1
	l.tick()
	v.requireNoCloudCall(t)
	v.Time++
	l.tick()
	v.Time += 100 * micros.Second
	l.tick()
	v.takeCloudCall(t, messages.CloudList) // only one: it has not been answered
}

func TestInstanceListingOfAnEarlierTermIsIgnored(t *testing.T) {
	v, l := newTestListing(t)
	l.tick()
	call := v.takeCloudCall(t, messages.CloudList)
	l.term.revision++
	failed := listed("a1")
	failed[0].Failed = true
	call.reply(&messages.CloudReply{Outcome: messages.CloudOK, Instances: failed})
	if len(l.termination.requested) > 0 {
		t.Errorf("terminated %v, want none", l.termination.requested)
	}
}
