package coordination

import (
	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

const (
	// demandInterval is how often the demand that this controller saw is sent to its peers.
	demandInterval = micros.Second
	// demandTTL is how long the demand that a peer sent counts.
	demandTTL = 5 * micros.Second
)

// peerDemand is the demand that a peer last sent.
type peerDemand struct {
	at     micros.Time
	demand *admission.Demand
}

// refusedLately tells whether any controller refused a submission for lack of capacity of late.
func (f *fairAdmission) refusedLately(now micros.Time) bool {
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

// totalDemand is the demand that all controllers saw of late; this one is the member self.
func (f *fairAdmission) totalDemand(now micros.Time, self string) admission.Demand {
	demands := []admission.Demand{f.tracker.Demand(now)}
	for _, member := range sortedKeys(f.peerDemands) {
		if peer := f.peerDemands[member]; member != self && now-peer.at < demandTTL {
			demands = append(demands, *peer.demand)
		}
	}
	return admission.Merge(demands)
}

// demandForPeers is the demand for the status message that is sent now; nil: it is not due yet.
func (c *Core) demandForPeers() *admission.Demand {
	f := c.fair
	if f == nil || c.now-f.demandSentAt < demandInterval {
		return nil
	}
	f.demandSentAt = c.now
	demand := f.tracker.Demand(c.now)
	return &demand
}

// receiveDemand takes the demand that a controller, this one included, sent with its status.
func (c *Core) receiveDemand(status *messages.PeerStatus) {
	if c.fair != nil && status.Demand != nil {
		c.fair.peerDemands[status.From.Member] = peerDemand{c.now, status.Demand}
	}
}
