package membership

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

const (
	// peerTimeout is how long after its last status a peer counts as reachable.
	peerTimeout = 2 * micros.Second
	// startupTime is how long a new process may take to load the key-value store.
	startupTime = micros.Second
	// isolationTimeout is how long a controller without key-value store and peers takes it
	// for an outage for all.
	isolationTimeout = 6 * micros.Second
)

// Health judges whether a controller should be sent users' requests, and whether it is cut
// off, by what it hears of the key-value store and of its peers.
type Health struct {
	peers        *Peers
	startedAt    micros.Time
	lastServedAt micros.Time // when the key-value store last answered in time
}

// NewHealth returns the health of a controller that has not started.
func NewHealth(peers *Peers) *Health { return &Health{peers: peers} }

// Start takes when the process started.
func (h *Health) Start(now micros.Time) { h.startedAt = now }

// StoreServed takes that the key-value store is reachable.
func (h *Health) StoreServed(now micros.Time) { h.lastServedAt = now }

// Isolated tells whether neither the key-value store, whose last confirmation is stale, nor
// any peer has been heard of late: then this controller's view may be outdated, whatever it
// says.
func (h *Health) Isolated(now micros.Time, storeStale bool) bool {
	return storeStale && now > h.startedAt+peerTimeout && !h.peers.AnyHeard(now, peerTimeout, anyStatus)
}

// Healthy tells whether the controller should be sent users' requests: it is not while a
// peer can serve them and this one cannot. In an outage for all, everybody stays and tells
// users when to come back: being taken out of the load balancer outlasts the outage. With its
// peers out of reach too, a controller cannot tell an outage from its own isolation. It leaves
// after a while: in an outage that costs users seconds after its end, while in a network
// partition those whose connections stay open here would not be answered for as long as it
// lasts.
func (h *Health) Healthy(now micros.Time, storeReachable bool) bool {
	switch {
	case storeReachable:
		return true
	case now < h.startedAt+startupTime:
		return false
	case h.peers.AnyHeard(now, peerTimeout, func(s *messages.PeerStatus) bool { return s.StoreReachable }):
		return false
	case len(h.peers.expected) == 0 || h.peers.AnyHeard(now, peerTimeout, anyStatus):
		return true
	}
	return now-max(h.lastServedAt, h.startedAt) < isolationTimeout
}

func anyStatus(*messages.PeerStatus) bool { return true }
