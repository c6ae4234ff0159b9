package protocol

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"reflect"
	"strings"
	"testing"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// fullPeerStatus returns a message between controllers in which every field except the demand is set
// and every list has more than one entry.
func fullPeerStatus() *messages.PeerStatus {
	return &messages.PeerStatus{
		From:           storage.Process{Member: "a", Incarnation: "x"},
		Revision:       77,
		StoreReachable: true,
		Partitions: []messages.PartitionStatus{
			{Partition: 1, FencingToken: 9, UnreachableZones: []string{"a", "b"}, Terminate: []string{"vm-1"}},
			{Partition: 2, FencingToken: 8, Idle: []string{"vm-2", "vm-3"},
				CapacityRequests: []provisioning.CapacityRequest{
					{Resources: workload.Resources{CPU: 1, GPU: 2, Mem: 3}, Count: 4, Spot: true, InstanceTypes: []string{"t"},
						Zone: "z", Service: true, Replicas: 5, Urgent: true, Hold: 6},
					{Count: 1},
				},
				Lags: []admission.FlowLag{
					{Flow: admission.Flow{Team: "alpha", Class: "short"}, Lag: admission.Lag{Team: 5, Class: -7}},
					{Flow: admission.Flow{Team: "beta"}},
				}},
		},
		TerminatedMachines: []string{"vm-9", "vm-8"},
		Transfers:          []messages.MachineTransfer{{Machine: "vm-4", ToPartition: 1}, {Machine: "vm-5"}},
		Progress:           []messages.JobProgress{{ID: "wk-1", Done: 2, Running: 3}, {ID: "wk-2"}},
		Usage:              storage.Usage{Requests: 1500, Writes: 2500},
		Reachability: []messages.ZoneReachability{
			{Partition: 1, Zone: "a", Probed: 8, Answered: 5}, {Partition: 2, Zone: "b"},
		},
		Cancelled:     []string{"wk-7", "wk-8"},
		CancelledUpTo: 12,
		CancellationAcks: []messages.CancellationAck{
			{From: storage.Process{Member: "b", Incarnation: "y"}, UpTo: 3}, {From: storage.Process{Member: "c"}},
		},
	}
}

// TestPeerStatusBytes guards against changes of the encoding: two versions run side by side during a
// rolling upgrade, and the digests also depend on the order in which the objects are written.
func TestPeerStatusBytes(t *testing.T) {
	const want = "c204792dc98556d559b5942e40c74a1c0f66ea48670f0c5ab97b162538080113"
	sum := sha256.Sum256(EncodePeerStatus(fullPeerStatus()))
	if got := hex.EncodeToString(sum[:]); got != want {
		t.Errorf("digest of a full message: got %s, want %s", got, want)
	}
}

func TestStatusRoundTrip(t *testing.T) {
	want := fullPeerStatus()
	got, err := DecodePeerStatus(EncodePeerStatus(want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
}

// TestDemandAndLags checks that demand and lags survive a round trip, and that a corrupt sketch
// discards the demand but not the rest of the message.
func TestDemandAndLags(t *testing.T) {
	tracker := admission.NewTracker(2)
	flow := admission.Flow{Team: "alpha", Class: "short"}
	for i := range 50 {
		tracker.Asked(1, flow, strings.Repeat("x", i))
	}
	tracker.Accepted(1, flow)
	tracker.Admitted(1, flow)
	tracker.Refused(1)
	demand := tracker.Demand(2)
	s := &messages.PeerStatus{From: storage.Process{Member: "a", Incarnation: "x"}, Demand: &demand,
		Partitions: []messages.PartitionStatus{{Partition: 1, FencingToken: 9,
			Lags: []admission.FlowLag{{Flow: flow, Lag: admission.Lag{Team: 5, Class: -7}}}}}}
	raw := EncodePeerStatus(s)
	got, err := DecodePeerStatus(raw)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got.Partitions[0].Lags, s.Partitions[0].Lags) {
		t.Errorf("lags: %+v", got.Partitions[0].Lags)
	}
	d := got.Demand
	if d == nil || d.Refused != 1 || d.Admitted != 1 || d.AcceptRate != demand.AcceptRate || len(d.Flows) != 1 {
		t.Fatalf("demand: %+v", d)
	}
	if f := d.Flows[0]; f.Flow != flow || f.Accepted != 1 || f.Admitted != 1 || f.Waiting() != demand.Flows[0].Waiting() {
		t.Errorf("flow: %+v", f)
	}
	sketch, err := admission.EncodeSketch(demand.Flows[0].Asked)
	if err != nil {
		t.Fatal(err)
	}
	at := bytes.Index(raw, sketch)
	if at < 0 {
		t.Fatal("the message does not contain the encoded sketch")
	}
	raw[at] = 99 // a sketch version that does not exist
	if got, err = DecodePeerStatus(raw); err != nil || got.Demand != nil || len(got.Partitions) != 1 {
		t.Errorf("message with a corrupt sketch: %+v, %v", got, err)
	}
}
