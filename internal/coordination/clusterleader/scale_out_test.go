package clusterleader

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/coordination/storetest"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// newTestScaleOut returns the scaleOut of a cluster leader whose partition 0 lacks capacity for one
// task. The cloud has one kind of instance, with room for two tasks.
func newTestScaleOut(t *testing.T) (*fakeView, *scaleOut) {
	t.Helper()
	v := newFakeView(t, nil)
	v.catalog = workload.Catalog{"m": {Name: "m", Zones: []string{"a"}, Capacity: workload.Resources{CPU: 2}, Price: 1}}
	v.statuses = []messages.PartitionStatus{needing(0, 1)}
	s := newScaleOut(v, newTestConfig(t), testKeys, newTestPeers(v.Time, status(testProcess)), newTestTerm())
	s.startTerm()
	return v, s
}

// needing returns the status of a partition that lacks capacity for a number of tasks.
func needing(partition, count int) messages.PartitionStatus {
	return messages.PartitionStatus{Partition: partition, CapacityRequests: []provisioning.CapacityRequest{
		{Resources: workload.Resources{CPU: 1}, Count: count, Hold: micros.Second},
	}}
}

// openBlock returns the record of an instance request that has not been answered.
func openBlock(requested int) storage.BlockRecord {
	b := block(0)
	b.Requested, b.Machines = requested, nil
	return b
}

// writtenRecords returns the records that the calls write, by key.
func writtenRecords(calls []*storetest.Call) map[string]string {
	records := map[string]string{}
	for _, call := range calls {
		for _, put := range call.Request.Puts {
			records[put.Key] = string(put.Value)
		}
	}
	return records
}

var scaleOutCases = []struct {
	name   string
	change func(*testing.T, *fakeView, *scaleOut)
	want   []int // number of instances of each recorded request
}{
	{"for the lacking capacity", func(*testing.T, *fakeView, *scaleOut) {}, []int{1}},
	{"in blocks of the maximum size",
		func(_ *testing.T, v *fakeView, _ *scaleOut) { v.statuses[0] = needing(0, 10) }, []int{2, 2, 1}},
	{"as many as the cloud's rate limit allows", func(_ *testing.T, v *fakeView, _ *scaleOut) {
		v.statuses[0] = needing(0, 100)
	}, []int{2, 2, 2, 2}},
	{"up to the limit of a round, divided among the partitions", func(_ *testing.T, v *fakeView, s *scaleOut) {
		v.statuses = []messages.PartitionStatus{needing(1, 1000), needing(0, 1000)}
		s.config.Settings.Cloud.RPS = 1000
	}, slices.Repeat([]int{2}, 20)}, // a fifth of 200, as there is only one kind
	{"nothing before the catalog is known",
		func(_ *testing.T, v *fakeView, _ *scaleOut) { v.catalog = nil }, nil},
	{"nothing before the next round is due", func(_ *testing.T, v *fakeView, s *scaleOut) { s.nextAt = v.Time + 1 }, nil},
	{"nothing at the beginning of a term", func(_ *testing.T, v *fakeView, s *scaleOut) {
		s.term.acquiredAt = v.Time - minScaleOutTerm + 1
	}, nil},
	{"nothing while a request is open", func(t *testing.T, v *fakeView, s *scaleOut) {
		v.put(t, testKeys.Block("c1-1"), openBlock(1))
		s.pending.RetryAt("c1-1", v.Time+1)
	}, nil},
	{"nothing while a request is being written",
		func(_ *testing.T, _ *fakeView, s *scaleOut) { s.pending.Started("c1-1", testKind) }, nil},
	{"nothing on statuses from before the last round", func(_ *testing.T, v *fakeView, s *scaleOut) {
		s.advanceProvisionedRevision(7)
		s.peers.Receive(v.Time, status(n1, "z"))
	}, nil},
	{"regardless of the status of a peer that leads no partition", func(_ *testing.T, v *fakeView, s *scaleOut) {
		s.advanceProvisionedRevision(7)
		s.peers.Receive(v.Time, status(n1))
	}, []int{1}},
	{"regardless of an outdated status", func(_ *testing.T, v *fakeView, s *scaleOut) {
		s.advanceProvisionedRevision(7)
		s.peers.Receive(v.Time-statusLifetime-1, status(n1, "z"))
	}, []int{1}},
	{"nothing of an exhausted kind",
		func(_ *testing.T, v *fakeView, s *scaleOut) { s.capacity.Exhausted(testKind, v.Time) }, nil},
	{"one to probe an unreachable zone", func(_ *testing.T, v *fakeView, _ *scaleOut) {
		v.statuses[0] = needing(0, 10)
		v.statuses[0].UnreachableZones = []string{"a"}
	}, []int{1}},
	{"one to probe an unreachable zone where all machines are used", func(t *testing.T, v *fakeView, _ *scaleOut) {
		v.statuses[0].UnreachableZones = []string{"a"}
		used := block(0)
		used.Machines["used"] = storage.MachineRecord{Used: true}
		v.put(t, testKeys.Block("b"), used)
	}, []int{1}},
	{"none to probe an unreachable zone that has an unused machine", func(t *testing.T, v *fakeView, _ *scaleOut) {
		v.statuses[0].UnreachableZones = []string{"a"}
		v.put(t, testKeys.Block("b"), block(0, "unused"))
	}, nil},
	{"nothing more than the request budget allows",
		func(_ *testing.T, v *fakeView, _ *scaleOut) { v.OverBudget = true }, nil},
}

func TestScaleOutRecordsRequests(t *testing.T) {
	for _, test := range scaleOutCases {
		t.Run(test.name, func(t *testing.T) {
			v, s := newTestScaleOut(t)
			test.change(t, v, s)
			s.tick()
			v.requireNoCloudCall(t) // not before the record is written
			want := map[string]string{}
			for i, requested := range test.want {
				b := openBlock(requested)
				b.Partition = i / 10 // in the largest case ten each
				want[testKeys.Block(fmt.Sprintf("c%d-%d", leaderRevision, i+1))] = string(storage.Encode(b))
			}
			if got := writtenRecords(v.Calls); !maps.Equal(got, want) {
				t.Errorf("recorded %v, want %v", got, want)
			}
		})
	}
}

func TestScaleOutServesServicesFirst(t *testing.T) {
	requests := []provisioning.CapacityRequest{
		{Count: 1}, {Count: 2, Service: true}, {Count: 3}, {Count: 4, Service: true},
	}
	var counts []int
	for _, r := range servicesFirst(requests) {
		counts = append(counts, r.Count)
	}
	if want := []int{2, 4, 1, 3}; !slices.Equal(counts, want) {
		t.Errorf("order %v, want %v", counts, want)
	}
}

// sendFirstRequest runs a round until its request has been sent to the cloud, and returns that call.
func sendFirstRequest(t *testing.T, v *fakeView, s *scaleOut) cloudCall {
	t.Helper()
	s.tick()
	call := v.Take(t, storage.Txn)
	want := []storage.Compare{v.LeaderCompare(), {Key: testKeys.Block("c4-1")}}
	if !slices.Equal(call.Request.Compares, want) {
		t.Errorf("comparisons of the record %+v, want %+v", call.Request.Compares, want)
	}
	call.Reply(storage.Reply{Outcome: storage.OK, Revision: 20})
	request := v.takeCloudCall(t, messages.CloudRequestInstances)
	if request.InstanceRequestID != "c4-1" || request.InstanceRequest.Count != 1 {
		t.Errorf("request %+v, want one instance as c4-1", request.CloudCall)
	}
	return request
}

func TestScaleOutReplacesARequestWithABlock(t *testing.T) {
	tests := []struct {
		name      string
		granted   []string
		outcome   messages.CloudOutcome
		put       string // the record written; empty: the request is deleted
		exhausted bool
	}{
		{"of the instances granted", []string{"x"}, messages.CloudOK, string(storage.Encode(block(0, "x"))), false},
		{"without instances adopted before", []string{"adopted"}, messages.CloudOK, "", false},
		{"deleted if none was granted", nil, messages.CloudInsufficientCapacity, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, s := newTestScaleOut(t)
			request := sendFirstRequest(t, v, s)
			v.put(t, testKeys.Block("other"), block(0, "adopted"))
			request.reply(&messages.CloudReply{Outcome: test.outcome, Names: test.granted})
			call := v.Take(t, storage.Txn)
			want := []storage.Compare{v.LeaderCompare(), {Key: testKeys.Block("c4-1"), ModRevision: 20}}
			if !slices.Equal(call.Request.Compares, want) {
				t.Errorf("comparisons %+v, want %+v", call.Request.Compares, want)
			}
			if got := writtenRecords([]*storetest.Call{call})[testKeys.Block("c4-1")]; got != test.put {
				t.Errorf("written %q, want %q", got, test.put)
			}
			if got := len(call.Request.Deletes) == 1; got != (test.put == "") {
				t.Errorf("deleted: %v", call.Request.Deletes)
			}
			call.Reply(storage.Reply{Outcome: storage.OK, Revision: 30})
			if s.provisionedRevision != 30 || s.pending.InFlight() > 0 {
				t.Errorf("provisioned at %d, %d in flight, want 30 and none", s.provisionedRevision, s.pending.InFlight())
			}
			if got := s.capacity.Limit(testKind, v.Time) == 0; got != test.exhausted {
				t.Errorf("exhausted: %v, want %v", got, test.exhausted)
			}
			if got := s.nextAt == v.Time; got != test.exhausted {
				t.Errorf("the next round begins at once: %v, want %v", got, test.exhausted)
			}
		})
	}
}

func TestScaleOutRetriesRequests(t *testing.T) {
	t.Run("that the cloud did not answer", func(t *testing.T) {
		v, s := newTestScaleOut(t)
		request := sendFirstRequest(t, v, s)
		v.put(t, testKeys.Block("c4-1"), openBlock(1))
		s.tick()
		v.requireNoCloudCall(t) // it is in flight
		request.reply(&messages.CloudReply{Outcome: messages.CloudOutcomeUnknown})
		v.Time += instanceRequestRetryInterval - 1
		s.tick()
		v.requireNoCloudCall(t)
		v.Time++
		s.tick()
		v.takeCloudCall(t, messages.CloudRequestInstances)
	})
	t.Run("whose block was not written", func(t *testing.T) {
		v, s := newTestScaleOut(t)
		request := sendFirstRequest(t, v, s)
		v.put(t, testKeys.Block("c4-1"), openBlock(1))
		v.OverBudget = true
		request.reply(&messages.CloudReply{Outcome: messages.CloudOK, Names: []string{"x"}})
		v.Time += closeRetryInterval - 1
		s.tick()
		v.requireNoCloudCall(t)
		v.Time++
		s.tick()
		v.takeCloudCall(t, messages.CloudRequestInstances)
	})
	t.Run("not one whose record was not written", func(t *testing.T) {
		v, s := newTestScaleOut(t)
		s.tick()
		v.Take(t, storage.Txn).Reply(storage.Reply{Outcome: storage.Conflict})
		v.requireNoCloudCall(t)
		v.Time += scaleOutInterval - 1
		s.tick()
		v.RequireNoCall(t)
		v.Time++
		s.tick()
		v.Take(t, storage.Txn) // a new request
	})
}
