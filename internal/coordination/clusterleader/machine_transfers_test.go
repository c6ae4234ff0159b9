package clusterleader

import (
	"reflect"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// lacking returns the status of a partition that lacks capacity; spot tells whether spot instances
// are acceptable.
func lacking(partition int, spot bool) messages.PartitionStatus {
	requests := []provisioning.CapacityRequest{{Count: 1, Spot: spot}}
	return messages.PartitionStatus{Partition: partition, CapacityRequests: requests}
}

// idle returns the status of a partition with idle machines.
func idle(partition int, machines ...string) messages.PartitionStatus {
	return messages.PartitionStatus{Partition: partition, Idle: machines}
}

var transferCases = []struct {
	name     string
	statuses []messages.PartitionStatus
	want     map[string][]messages.MachineTransfer
}{
	{"none if no machine is idle", []messages.PartitionStatus{lacking(0, false), idle(1)}, nil},
	{"none if no partition lacks capacity", []messages.PartitionStatus{idle(0, "m0"), idle(1, "m1")}, nil},
	{"one idle machine, to the partition that lacks capacity",
		[]messages.PartitionStatus{lacking(0, false), idle(1, "m1", "m1b")},
		map[string][]messages.MachineTransfer{"n1": {{Machine: "m1", ToPartition: 0}}}},
	{"to the first partition that lacks capacity, from the first with an idle machine",
		[]messages.PartitionStatus{idle(0, "m0"), idle(1, "m1"), lacking(2, false), lacking(3, false)},
		map[string][]messages.MachineTransfer{"n0": {{Machine: "m0", ToPartition: 2}}}},
	{"no machine without a record", []messages.PartitionStatus{lacking(0, false), idle(1, "unrecorded", "m1")},
		map[string][]messages.MachineTransfer{"n1": {{Machine: "m1", ToPartition: 0}}}},
	{"no spot instance if it is not acceptable", []messages.PartitionStatus{lacking(0, false), idle(1, "spot1", "m1")},
		map[string][]messages.MachineTransfer{"n1": {{Machine: "m1", ToPartition: 0}}}},
	{"a spot instance if it is acceptable", []messages.PartitionStatus{lacking(0, true), idle(1, "spot1", "m1")},
		map[string][]messages.MachineTransfer{"n1": {{Machine: "spot1", ToPartition: 0}}}},
	{"none from a partition that lacks capacity itself", []messages.PartitionStatus{lacking(0, false),
		{Partition: 1, Idle: []string{"m1"}, CapacityRequests: []provisioning.CapacityRequest{{Count: 1}}}}, nil},
}

func newTransferView(t *testing.T) *fakeView {
	t.Helper()
	spot := block(1, "spot1")
	spot.Spot = true
	v := newFakeView(t, map[string]storage.BlockRecord{"b0": block(0, "m0"), "b1": block(1, "m1", "m1b"), "b2": spot})
	v.partitionCount = 4
	for partition, member := range []string{"n0", "n1", "n0", "n1"} {
		leader := storage.Process{Member: member, Incarnation: "1"}
		v.put(t, testKeys.Partition(partition), storage.PartitionRecord{Leader: leader})
	}
	return v
}

func TestMachineTransfers(t *testing.T) {
	for _, test := range transferCases {
		t.Run(test.name, func(t *testing.T) {
			v := newTransferView(t)
			v.statuses = test.statuses
			transfers := machineTransfers{view: v}
			transfers.tick()
			if !reflect.DeepEqual(transfers.pending, test.want) {
				t.Errorf("transfers %v, want %v", transfers.pending, test.want)
			}
			if v.statusSoon != (test.want != nil) {
				t.Errorf("status soon: %v", v.statusSoon)
			}
		})
	}
}

func TestMachineTransfersKeepTheirInterval(t *testing.T) {
	v := newTransferView(t)
	v.statuses = []messages.PartitionStatus{lacking(0, false), idle(1, "m1")}
	transfers := machineTransfers{view: v}
	for _, step := range []struct {
		after micros.Time
		total int
	}{{0, 1}, {transferInterval - 1, 1}, {1, 2}} {
		v.Time += step.after
		transfers.tick()
		if got := len(transfers.pending["n1"]); got != step.total {
			t.Errorf("%d transfers after another %d µs, want %d", got, step.after, step.total)
		}
	}
	v.partitionCount = 1
	v.Time += transferInterval
	transfers.tick()
	if got := len(transfers.pending["n1"]); got != 2 {
		t.Errorf("%d transfers, want no further one in a cluster with a single partition", got)
	}
}
