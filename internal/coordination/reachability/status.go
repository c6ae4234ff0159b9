package reachability

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
)

// HasUnreachableZones reports whether a partition leader's status lists any zone of the partition as
// unreachable.
func HasUnreachableZones(leader *messages.PeerStatus, partition int) bool {
	return slices.ContainsFunc(leader.Partitions, func(p messages.PartitionStatus) bool {
		return p.Partition == partition && len(p.UnreachableZones) > 0
	})
}

// IsZoneUnreachable reports whether a partition leader's status lists a zone of the partition as unreachable.
func IsZoneUnreachable(leader *messages.PeerStatus, partition int, zone string) bool {
	return slices.ContainsFunc(leader.Partitions, func(p messages.PartitionStatus) bool {
		return p.Partition == partition && slices.Contains(p.UnreachableZones, zone)
	})
}

// ProbeResult returns the result of a controller's probe of a zone from its status, which contains at
// most one per zone of a partition. There is no result if the controller has not probed the zone
// recently.
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

// Reached reports whether a probe reached its zone: at least half of the probed machines answered.
func Reached(result messages.ZoneReachability) bool { return result.Answered*2 >= result.Probed }

// MachinesInUse returns the number of machines in use of a partition by zone.
func MachinesInUse(cache *storage.Cache, partition int) map[string]int {
	out := map[string]int{}
	for _, m := range cache.Machines {
		if m.Value.Partition == partition && m.Value.Used {
			out[m.Value.Zone]++
		}
	}
	return out
}

// ReachableMachines returns how many of a partition's machines in use a controller reaches according
// to its status. The partition leader reaches all machines except those in zones that it reports as
// unreachable; another controller reaches those in zones that its probe reached.
func ReachableMachines(cache *storage.Cache, status *messages.PeerStatus, partition int) int {
	isLeader := cache.Partitions[partition].Value.Leader == status.From
	count := 0
	for zone, machines := range MachinesInUse(cache, partition) {
		reaches := false
		if isLeader {
			reaches = !IsZoneUnreachable(status, partition, zone)
		} else if result, found := ProbeResult(status, partition, zone); found {
			reaches = Reached(result)
		}
		if reaches {
			count += machines
		}
	}
	return count
}
