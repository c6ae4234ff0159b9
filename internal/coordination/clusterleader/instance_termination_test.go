package clusterleader

import (
	"fmt"
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// newTestTermination returns the instanceTermination of a cluster leader with machines a1 and a2 in
// partition 0 and b1 in partition 1.
func newTestTermination(t *testing.T) (*fakeView, *instanceTermination) {
	t.Helper()
	v := newFakeView(t, map[string]storage.BlockRecord{"a": block(0, "a1", "a2"), "b": block(1, "b1")})
	terminated := provisioning.NewTerminatedInstances()
	pruning := newBlockPruning(v, testKeys, terminated)
	termination := newInstanceTermination(v, newTestTerm(), terminated, provisioning.NewCapacityTracker(), pruning)
	pruning.startTerm()
	termination.startTerm()
	return v, termination
}

// terminating returns the status of a partition whose leader releases machines for termination.
func terminating(partition int, machines ...string) messages.PartitionStatus {
	return messages.PartitionStatus{Partition: partition, Terminate: machines}
}

func TestInstanceTerminationTerminatesReleasedMachines(t *testing.T) {
	tests := []struct {
		name   string
		change func(*fakeView, *instanceTermination)
		want   []string
	}{
		{"nothing", func(*fakeView, *instanceTermination) {}, nil},
		{"machines of the partition's own, each once", func(v *fakeView, _ *instanceTermination) {
			v.statuses = []messages.PartitionStatus{terminating(1, "b1", "b1", "a1", "unrecorded"), terminating(0, "a2")}
		}, []string{"b1", "a2"}},
		{"other requested instances, in order", func(v *fakeView, s *instanceTermination) {
			v.statuses = []messages.PartitionStatus{terminating(0, "a2")}
			s.request("z")
			s.request("unrecorded")
			s.request("a2")
		}, []string{"a2", "unrecorded", "z"}},
		{"no terminated instance", func(v *fakeView, s *instanceTermination) {
			v.statuses = []messages.PartitionStatus{terminating(0, "a1", "a2")}
			s.terminated.Confirm("a1", v.Time)
		}, []string{"a2"}},
		{"nothing while isolated", func(v *fakeView, s *instanceTermination) {
			s.request("z")
			v.isolated = true
		}, nil},
		{"nothing before a retry is due", func(v *fakeView, s *instanceTermination) {
			s.request("z")
			s.retryAt = v.Time + 1
		}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, termination := newTestTermination(t)
			test.change(v, termination)
			termination.tick()
			if test.want == nil {
				v.requireNoCloudCall(t)
				return
			}
			if got := v.takeCloudCall(t, messages.CloudTerminate).Names; !slices.Equal(got, test.want) {
				t.Errorf("terminated %v, want %v", got, test.want)
			}
		})
	}
}

func TestInstanceTerminationLimitsInstancesPerCall(t *testing.T) {
	v, termination := newTestTermination(t)
	for i := range maxTerminations + 1 {
		termination.request(fmt.Sprintf("m%03d", i))
	}
	termination.tick()
	if got := len(v.takeCloudCall(t, messages.CloudTerminate).Names); got != maxTerminations {
		t.Errorf("%d instances in one call, want %d", got, maxTerminations)
	}
}

func TestInstanceTerminationTakesSuccessAsProof(t *testing.T) {
	v, termination := newTestTermination(t)
	termination.capacity.Exhausted(testKind, v.Time)
	termination.request("a1")
	termination.request("unrecorded")
	termination.tick()
	v.takeCloudCall(t, messages.CloudTerminate).reply(&messages.CloudReply{Outcome: messages.CloudOK})
	if !termination.terminated.Contains("a1") || !termination.terminated.Contains("unrecorded") {
		t.Error("instances are not recorded as terminated")
	}
	if want := []string{"a1", "unrecorded"}; !slices.Equal(v.terminated, want) {
		t.Errorf("partitions were informed of %v, want %v", v.terminated, want)
	}
	if got := termination.capacity.Limit(testKind, v.Time); got != 1 {
		t.Errorf("%d instances of the exhausted kind may be requested, want 1", got)
	}
	if len(termination.requested) > 0 || !v.statusSoon {
		t.Errorf("still requested: %v; status soon: %v", termination.requested, v.statusSoon)
	}
	v.Take(t, storage.Txn) // prunes the block
}

func TestInstanceTerminationWaitsAfterACall(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome messages.CloudOutcome
		pause   micros.Time
		proven  bool // whether the instance is proven to be gone
	}{
		{"that succeeded", messages.CloudOK, terminationInterval, true},
		{"that failed", messages.CloudOutcomeUnknown, terminationRetryInterval, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			v, termination := newTestTermination(t)
			termination.request("x")
			termination.tick()
			call := v.takeCloudCall(t, messages.CloudTerminate)
			v.Time += 10 * micros.Second
			termination.request("y")
			termination.tick()
			v.requireNoCloudCall(t) // the first is in flight
			call.reply(&messages.CloudReply{Outcome: test.outcome})
			if got := termination.terminated.Contains("x"); got != test.proven {
				t.Errorf("recorded as terminated: %v, want %v", got, test.proven)
			}
			v.Time += test.pause - 1
			termination.tick()
			v.requireNoCloudCall(t)
			v.Time++
			termination.tick()
			v.takeCloudCall(t, messages.CloudTerminate)
		})
	}
}

func TestInstanceTerminationOfAnEarlierTermPrunesNothing(t *testing.T) {
	v, termination := newTestTermination(t)
	termination.request("a1")
	termination.tick()
	termination.term.revision++
	v.takeCloudCall(t, messages.CloudTerminate).reply(&messages.CloudReply{Outcome: messages.CloudOK})
	v.RequireNoCall(t)
	if !termination.terminated.Contains("a1") {
		t.Error("the instance is not recorded as terminated")
	}
}
