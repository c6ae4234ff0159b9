package reachability

import (
	"maps"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
)

var (
	leader = storage.Process{Member: "n1", Incarnation: "x"}
	peer   = storage.Process{Member: "n2", Incarnation: "x"}
)

// leaderStatus returns the status of a partition leader that cannot reach the given zones of a partition.
func leaderStatus(partition int, zones ...string) *messages.PeerStatus {
	return &messages.PeerStatus{From: leader, Partitions: []messages.PartitionStatus{
		{Partition: 9, UnreachableZones: []string{"z"}}, {Partition: partition, UnreachableZones: zones},
	}}
}

// peerStatus returns the status of a peer with the given probe results.
func peerStatus(results ...messages.ZoneReachability) *messages.PeerStatus {
	return &messages.PeerStatus{From: peer, Reachability: results}
}

func result(partition int, zone string, probed, answered int) messages.ZoneReachability {
	return messages.ZoneReachability{Partition: partition, Zone: zone, Probed: probed, Answered: answered}
}

func TestUnreachableZones(t *testing.T) {
	tests := []struct {
		name      string
		status    *messages.PeerStatus
		wantAny   bool
		wantZoneA bool
	}{
		{"the zone and another one", leaderStatus(3, "b", "a"), true, true},
		{"another zone", leaderStatus(3, "b"), true, false},
		{"no zone", leaderStatus(3), false, false},
		{"a zone of another partition", leaderStatus(4, "a"), false, false},
		{"no partitions", &messages.PeerStatus{}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := HasUnreachableZones(test.status, 3); got != test.wantAny {
				t.Errorf("HasUnreachableZones = %v, want %v", got, test.wantAny)
			}
			if got := IsZoneUnreachable(test.status, 3, "a"); got != test.wantZoneA {
				t.Errorf("IsZoneUnreachable = %v for zone a, want %v", got, test.wantZoneA)
			}
		})
	}
}

func TestProbeResult(t *testing.T) {
	status := peerStatus(result(4, "a", 8, 1), result(3, "b", 8, 2), result(3, "a", 8, 3))
	if got, found := ProbeResult(status, 3, "a"); !found || got != result(3, "a", 8, 3) {
		t.Errorf("result %v, %v, want that of zone a in partition 3", got, found)
	}
	if got, found := ProbeResult(status, 3, "c"); found {
		t.Errorf("result %v of a zone that was not probed", got)
	}
}

func TestReached(t *testing.T) {
	for answered, want := range map[int]bool{0: false, 3: false, 4: true, 8: true} {
		if got := Reached(result(3, "a", 8, answered)); got != want {
			t.Errorf("Reached = %v with %d of 8 answers, want %v", got, answered, want)
		}
	}
}

func TestMachinesInUse(t *testing.T) {
	cache := cacheWith(map[string]int{"a": 3, "b": 1})
	cache.Machines["unused"] = storage.Versioned[storage.Machine]{Value: machine(3, "a", "x", false)}
	cache.Machines["other"] = storage.Versioned[storage.Machine]{Value: machine(4, "a", "x", true)}
	if got, want := MachinesInUse(cache, 3), map[string]int{"a": 3, "b": 1}; !maps.Equal(got, want) {
		t.Errorf("machines in use %v, want %v", got, want)
	}
}

func TestReachableMachines(t *testing.T) {
	tests := []struct {
		name   string
		status *messages.PeerStatus
		want   int
	}{
		{"leader reaches all zones", leaderStatus(3), 14},
		{"leader cannot reach a zone", leaderStatus(3, "a"), 4},
		{"leader cannot reach zones of another partition", leaderStatus(4, "a", "b"), 14},
		{"peer without probe results", peerStatus(), 0},
		{"peer reaches zones in which half of the probed machines answered",
			peerStatus(result(3, "a", 8, 4), result(3, "b", 4, 1)), 10},
		{"peer's results for another partition", peerStatus(result(4, "a", 8, 8)), 0},
		{"unreachable zones reported by a peer that does not lead the partition",
			&messages.PeerStatus{From: peer, Partitions: leaderStatus(3, "b").Partitions}, 0},
		{"earlier process of the leader's member",
			&messages.PeerStatus{From: storage.Process{Member: "n1", Incarnation: "w"}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cache := cacheWith(map[string]int{"a": 10, "b": 4})
			cache.Partitions[3] = storage.Versioned[storage.PartitionRecord]{Value: storage.PartitionRecord{Leader: leader}}
			if got := ReachableMachines(cache, test.status, 3); got != test.want {
				t.Errorf("%d machines reachable, want %d", got, test.want)
			}
		})
	}
}
