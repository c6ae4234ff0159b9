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

// missing is the status of a partition leader that does not hear zones of a partition.
func missing(partition int, zones ...string) *messages.PeerStatus {
	return &messages.PeerStatus{From: leader, Partitions: []messages.PartitionStatus{
		{Partition: 9, UnreachableZones: []string{"z"}}, {Partition: partition, UnreachableZones: zones},
	}}
}

// probed is the status of a peer with results.
func probed(results ...messages.ZoneReachability) *messages.PeerStatus {
	return &messages.PeerStatus{From: peer, Reachability: results}
}

func result(partition int, zone string, probed, answered int) messages.ZoneReachability {
	return messages.ZoneReachability{Partition: partition, Zone: zone, Probed: probed, Answered: answered}
}

func TestMissesZones(t *testing.T) {
	tests := []struct {
		name      string
		status    *messages.PeerStatus
		wantAny   bool
		wantZoneA bool
	}{
		{"this zone", missing(3, "b", "a"), true, true},
		{"another zone", missing(3, "b"), true, false},
		{"no zone", missing(3), false, false},
		{"a zone of another partition", missing(4, "a"), false, false},
		{"no partition at all", &messages.PeerStatus{}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := MissesZones(test.status, 3); got != test.wantAny {
				t.Errorf("misses zones: %v, want %v", got, test.wantAny)
			}
			if got := MissesZone(test.status, 3, "a"); got != test.wantZoneA {
				t.Errorf("misses zone a: %v, want %v", got, test.wantZoneA)
			}
		})
	}
}

func TestProbeResult(t *testing.T) {
	status := probed(result(4, "a", 8, 1), result(3, "b", 8, 2), result(3, "a", 8, 3))
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
			t.Errorf("%d of 8 answered: reached %v, want %v", answered, got, want)
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
		{"the leader hears all zones", missing(3), 14},
		{"the leader misses a zone", missing(3, "a"), 4},
		{"the leader misses zones of another partition", missing(4, "a", "b"), 14},
		{"a peer that probed nothing reaches nothing", probed(), 0},
		{"a peer reaches the zones of which half answered",
			probed(result(3, "a", 8, 4), result(3, "b", 4, 1)), 10},
		{"a peer's results for another partition do not count", probed(result(4, "a", 8, 8)), 0},
		{"a peer's misses as a leader of something else do not count",
			&messages.PeerStatus{From: peer, Partitions: missing(3, "b").Partitions}, 0},
		{"an earlier process of the leader's member is not the leader",
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
