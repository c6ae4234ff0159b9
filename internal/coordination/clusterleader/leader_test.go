package clusterleader

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
)

func TestLeaderTermNamesAreUnique(t *testing.T) {
	term := &leaderTerm{revision: 7}
	seen := map[string]bool{}
	for range 3 {
		for _, prefix := range []string{"a", "c"} {
			name := term.uniqueName(prefix)
			if seen[name] {
				t.Errorf("name %s is used twice", name)
			}
			seen[name] = true
		}
	}
	if !seen["a7-1"] || !seen["c7-6"] {
		t.Errorf("names %v, want each to consist of prefix, term revision and counter", seen)
	}
}

func TestLeaderBeginsATermOnce(t *testing.T) {
	v := newFakeView(t, nil)
	v.cache.Revision = 8
	l := New(v, newTestConfig(t), testProcess, testKeys, newTestPeers(0))
	l.nameCounter = 3
	l.terminated.Confirm("m", 0)
	l.assignment.inFlight, l.termination.inFlight, l.listing.inFlight = true, true, true
	l.archiver.inFlight, l.formatUpgrade.inFlight = true, true
	l.scaling.pending.Started("c1-1", testKind)
	l.adoption.pendingBlock = "a1-1"
	l.StartTerm(7)
	if l.Revision() != 7 || l.acquiredAt != v.Time || l.nameCounter != 0 || l.scaling.provisionedRevision != 8 {
		t.Errorf("term %+v, provisioned at %d", *l.leaderTerm, l.scaling.provisionedRevision)
	}
	if l.terminated.Contains("m") || l.scaling.pending.InFlight() > 0 || l.adoption.pendingBlock != "" {
		t.Error("state of an earlier term is left")
	}
	if l.assignment.inFlight || l.termination.inFlight || l.listing.inFlight || l.archiver.inFlight ||
		l.formatUpgrade.inFlight {
		t.Error("a call of an earlier term still counts as in flight")
	}
	l.nameCounter = 3
	l.StartTerm(7)
	if l.nameCounter != 3 {
		t.Error("the term was started twice")
	}
	if want := []string{"cluster leadership acquired"}; !slices.Equal(v.Messages, want) {
		t.Errorf("log records %v, want %v", v.Messages, want)
	}
}

func TestLeaderKeepsTransfersUntilTheyAreSent(t *testing.T) {
	v := newTransferView(t)
	l := New(v, newTestConfig(t), testProcess, testKeys, newTestPeers(0))
	v.statuses = []messages.PartitionStatus{lacking(0, false), idle(1, "m1")}
	l.transfer.tick()
	if got := l.PendingTransfers("n1"); len(got) != 1 || len(l.PendingTransfers("n0")) > 0 {
		t.Errorf("transfers of n1 %v, of n0 %v, want one of n1", got, l.PendingTransfers("n0"))
	}
	l.ClearPendingTransfers()
	if got := l.PendingTransfers("n1"); len(got) > 0 {
		t.Errorf("transfers %v, want none once they are sent", got)
	}
}

func TestLeaderAdoptsUnmanagedMachinesThatSendHeartbeats(t *testing.T) {
	v := newFakeView(t, nil)
	l := New(v, newTestConfig(t), testProcess, testKeys, newTestPeers(0))
	heartbeat := &messages.Heartbeat{Machine: "x", Address: "x:1", InstanceType: "m", Zone: "a"}
	l.HandleUnmanagedHeartbeat(heartbeat)
	if len(l.adoption.orphans) > 0 {
		t.Error("adopted before the term has started")
	}
	l.StartTerm(leaderRevision)
	l.HandleUnmanagedHeartbeat(heartbeat)
	if got := l.adoption.orphans["x"]; got != (orphan{testKind, "x:1"}) {
		t.Errorf("orphan %+v, want the machine that sent the heartbeat", got)
	}
}
