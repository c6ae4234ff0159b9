package reachability

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
)

// MissesZones tells whether a partition leader's status says that it does not hear some zone of the
// partition.
func MissesZones(leader *messages.PeerStatus, partition int) bool {
	return slices.ContainsFunc(leader.Partitions, func(p messages.PartitionStatus) bool {
		return p.Partition == partition && len(p.UnreachableZones) > 0
	})
}

// MissesZone tells whether a partition leader's status says that it does not hear a zone of the
// partition.
func MissesZone(leader *messages.PeerStatus, partition int, zone string) bool {
	return slices.ContainsFunc(leader.Partitions, func(p messages.PartitionStatus) bool {
		return p.Partition == partition && slices.Contains(p.UnreachableZones, zone)
	})
}

// ProbeResult returns what a controller's status says of its probe of a zone, of which it has at most
// one result. It tells nothing of a zone that it did not probe of late.
func ProbeResult(
	status *messages.PeerStatus, partition int, zone string,
) (result messages.ZoneReachability, found bool) {
	i := slices.IndexFunc(status.Reachability, func(r messages.ZoneReachability) bool {
		return r.Partition == partition && r.Zone == zone
	})
	if i < 0 {
		return messages.ZoneReachability{}, false
	}
	return status.Reachability[i], true
}

// Reached tells whether a probe reached its zone: at least half of the machines answered.
func Reached(result messages.ZoneReachability) bool { return result.Answered*2 >= result.Probed }

// MachinesInUse is how many machines of a partition are in use, by zone.
func MachinesInUse(cache *storage.Cache, partition int) map[string]int {
	out := map[string]int{}
	for _, m := range cache.Machines {
		if m.Value.Partition == partition && m.Value.Used {
			out[m.Value.Zone]++
		}
	}
	return out
}

// ReachableMachines is how many of a partition's machines in use a controller reaches, as far as its
// status says: the partition leader all but those of zones that it does not hear, another controller
// those of zones that its probe reached.
func ReachableMachines(cache *storage.Cache, status *messages.PeerStatus, partition int) int {
	isLeader := cache.Partitions[partition].Value.Leader == status.From
	count := 0
	for zone, machines := range MachinesInUse(cache, partition) {
		reaches := false
		if isLeader {
			reaches = !MissesZone(status, partition, zone)
		} else if result, found := ProbeResult(status, partition, zone); found {
			reaches = Reached(result)
		}
		if reaches {
			count += machines
		}
	}
	return count
}
