package clusterleader

import (
	"cmp"
	"slices"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/membership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const (
	// scaleOutInterval is the interval between rounds. The next round begins at once if the cloud
	// granted fewer instances than were requested.
	scaleOutInterval = 700 * micros.Millisecond
	// minScaleOutTerm is the minimum age of the leadership term for the first round.
	minScaleOutTerm = 500 * micros.Millisecond
	// minInstancesPerRound and instancesPerRoundDivisor limit the instances requested in one round to
	// a fraction of the existing machines, so that a large fleet grows as quickly as a small one and
	// the capacity requests are evaluated again before the fleet doubles.
	minInstancesPerRound     = 200
	instancesPerRoundDivisor = 10
	// maxZoneProbes is how many instances of each kind are requested in an unreachable zone, to
	// detect when it is reachable again. More would boot, and cost money, without being reachable.
	maxZoneProbes = 1
)

// scaleOutView is the part of the core that scaling out uses.
type scaleOutView interface {
	cloudView
	partitionsView
	blockView
	// Catalog returns the instance types, or nil if they are not known yet.
	Catalog() workload.Catalog
}

// scaleOut requests instances for the capacity that partitions lack. It works in rounds, of which each
// takes the result of the previous one into account.
type scaleOut struct {
	view   scaleOutView
	config *config.Config
	keys   storage.Keys
	peers  *membership.Peers
	term   *leaderTerm

	pending  *provisioning.PendingRequests
	limiter  provisioning.RequestLimiter
	capacity *provisioning.CapacityTracker
	nextAt   micros.Time
	// provisionedRevision is the revision at which the last instance request was recorded or
	// became a block.
	provisionedRevision uint64
}

func newScaleOut(view scaleOutView, cfg *config.Config, keys storage.Keys, peers *membership.Peers,
	term *leaderTerm) *scaleOut {
	return &scaleOut{view: view, config: cfg, keys: keys, peers: peers, term: term,
		pending: provisioning.NewPendingRequests(), capacity: provisioning.NewCapacityTracker()}
}

func (s *scaleOut) startTerm() {
	s.pending.Reset()
	s.provisionedRevision = s.view.Cache().Revision
}

// advanceProvisionedRevision records the revision at which blocks were written.
func (s *scaleOut) advanceProvisionedRevision(revision uint64) {
	s.provisionedRevision = max(s.provisionedRevision, revision)
}

// tick sends the recorded requests, and starts a round when none of them is open.
func (s *scaleOut) tick() {
	open := s.sendOpenRequests()
	now := s.view.Now()
	if open > 0 || s.pending.InFlight() > 0 || s.view.Catalog() == nil || now < s.nextAt ||
		now-s.term.acquiredAt < minScaleOutTerm || s.statusesOutdated() {
		return
	}
	statuses := s.view.PartitionStatuses()
	slices.SortStableFunc(statuses, func(a, b messages.PartitionStatus) int {
		return cmp.Compare(a.Partition, b.Partition)
	})
	maxInstances := s.maxInstancesPerRound() / max(1, len(statuses))
	for i := range statuses {
		s.requestInstances(&statuses[i], maxInstances)
	}
	s.nextAt = now + scaleOutInterval
}

// statusesOutdated reports whether a partition leader's capacity requests date from before the last
// round. Only statuses recent enough to be acted on count: a former partition leader that is isolated
// sends no new status for minutes, and would block all instance requests for as long.
func (s *scaleOut) statusesOutdated() bool {
	for _, peer := range s.peers.All() {
		if s.view.Now()-peer.ReceivedAt <= statusLifetime && len(peer.Status.Partitions) > 0 &&
			peer.Status.Revision < s.provisionedRevision {
			return true
		}
	}
	return false
}

// maxInstancesPerRound returns the maximum number of instances requested in one round.
func (s *scaleOut) maxInstancesPerRound() int {
	return max(minInstancesPerRound, len(s.view.Cache().Machines)/instancesPerRoundDivisor)
}

// requestInstances requests instances for the capacity that one partition lacks.
func (s *scaleOut) requestInstances(status *messages.PartitionStatus, maxInstances int) {
	requests := servicesFirst(status.CapacityRequests)
	for i := range requests {
		r := &requests[i]
		s.view.Log(messages.LevelDebug, "capacity request", "partition", status.Partition, "count", r.Count,
			"cpu", r.Resources.CPU, "service", r.Service, "urgent", r.Urgent)
	}
	limit := func(kind provisioning.InstanceKind) int { return s.limit(kind, status.UnreachableZones) }
	for _, r := range provisioning.Choose(requests, s.view.Catalog(), limit, maxInstances) {
		for r.Count > 0 && s.limiter.Allow(s.view.Now(), s.config.Settings.Cloud.RPS) {
			part := r
			part.Count = min(r.Count, s.view.MaxBlockMachines())
			s.persistRequest(status.Partition, part)
			r.Count -= part.Count
		}
	}
}

// servicesFirst returns the capacity requests with those of services first.
func servicesFirst(requests []provisioning.CapacityRequest) []provisioning.CapacityRequest {
	var ordered []provisioning.CapacityRequest
	for _, service := range []bool{true, false} {
		for _, r := range requests {
			if r.Service == service {
				ordered = append(ordered, r)
			}
		}
	}
	return ordered
}

// limit returns how many instances of a kind may be requested for a partition now.
func (s *scaleOut) limit(kind provisioning.InstanceKind, unreachableZones []string) int {
	limit := s.capacity.Limit(kind, s.view.Now())
	if slices.Contains(unreachableZones, kind.Zone) {
		return min(limit, s.zoneProbeLimit(kind.Zone))
	}
	return limit
}

// zoneProbeLimit returns how many instances of a kind may be requested in an unreachable zone: none
// while the zone has an unused machine that serves as the probe.
func (s *scaleOut) zoneProbeLimit(zone string) int {
	for _, machine := range s.view.Cache().Machines {
		if machine.Value.Zone == zone && !machine.Value.Used {
			return 0
		}
	}
	return maxZoneProbes
}
