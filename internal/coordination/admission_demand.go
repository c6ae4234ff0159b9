package coordination

import (
	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

const (
	// demandInterval is the interval at which the observed demand is sent to the peers.
	demandInterval = micros.Second
	// demandTTL is how long the demand that a peer sent is valid.
	demandTTL = 5 * micros.Second
)

// peerDemand is the latest demand received from a peer.
type peerDemand struct {
	at     micros.Time // time of receipt
	demand *admission.Demand
}

// recentlyRefused reports whether any controller recently refused a submission for lack of capacity.
func (f *fairAdmission) recentlyRefused(now micros.Time) bool {
	if f.tracker.RecentRefusals(now) > 0 {
		return true
	}
	for _, peer := range f.peerDemands {
		if now-peer.at < demandTTL && peer.demand.Refused > 0 {
			return true
		}
	}
	return false
}

// totalDemand returns the recent demand on all controllers. The member self is this controller: its
// demand is read from the tracker, and the status that it sent to itself is not counted again.
func (f *fairAdmission) totalDemand(now micros.Time, self string) admission.Demand {
	demands := []admission.Demand{f.tracker.Demand(now)}
	for _, member := range sortedKeys(f.peerDemands) {
		if peer := f.peerDemands[member]; member != self && now-peer.at < demandTTL {
			demands = append(demands, *peer.demand)
		}
	}
	return admission.Merge(demands)
}

// demandForPeers returns the demand to include in the current status message, or nil if it is not
// due yet.
func (c *Core) demandForPeers() *admission.Demand {
	f := c.fairAdmission
	if f == nil || c.now-f.demandSentAt < demandInterval {
		return nil
	}
	f.demandSentAt = c.now
	demand := f.tracker.Demand(c.now)
	return &demand
}

// receiveDemand stores the demand contained in a status received from a controller, which may be this
// one. A status without demand leaves the stored demand unchanged.
func (c *Core) receiveDemand(status *messages.PeerStatus) {
	if c.fairAdmission != nil && status.Demand != nil {
		c.fairAdmission.peerDemands[status.From.Member] = peerDemand{c.now, status.Demand}
	}
}
