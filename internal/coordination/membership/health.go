package membership

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

const (
	// peerTimeout is how long a peer is considered reachable after its last status.
	peerTimeout = 2 * micros.Second
	// startupTime is how long a new process may take to load the key-value store.
	startupTime = micros.Second
	// isolationTimeout is how long a controller that reaches neither the key-value store nor any
	// peer assumes an outage of the store rather than its own isolation.
	isolationTimeout = 6 * micros.Second
)

// Health determines whether a controller should receive users' requests, and whether it is
// isolated, from the reachability of the key-value store and of its peers.
type Health struct {
	peers           *Peers
	startedAt       micros.Time
	lastReachableAt micros.Time // when the key-value store was last reachable
}

// NewHealth returns the health of a controller that has not been started.
func NewHealth(peers *Peers) *Health { return &Health{peers: peers} }

// Start records when the process started.
func (h *Health) Start(now micros.Time) { h.startedAt = now }

// MarkStoreReachable records that the key-value store is reachable.
func (h *Health) MarkStoreReachable(now micros.Time) { h.lastReachableAt = now }

// Isolated reports whether the last confirmation by the key-value store is stale and no peer has
// sent a status recently. The view of an isolated controller may be outdated in every respect.
func (h *Health) Isolated(now micros.Time, storeStale bool) bool {
	return storeStale && now > h.startedAt+peerTimeout && !h.peers.AnyRecent(now, peerTimeout, anyStatus)
}

// Healthy reports whether the controller should receive users' requests. It should not while it
// cannot reach the key-value store and a peer can. In an outage of the store for all controllers,
// all of them stay in the load balancer and tell users when to retry, as returning to the load
// balancer would take longer than the outage. If its peers are unreachable too, a controller
// cannot distinguish an outage from its own isolation, and becomes unhealthy after
// isolationTimeout: in an outage this costs users a few seconds after its end, whereas in a network
// partition users with open connections to this controller would get no answer until it ends.
func (h *Health) Healthy(now micros.Time, storeReachable bool) bool {
	switch {
	case storeReachable:
		return true
	case now < h.startedAt+startupTime:
		return false
	case h.peers.AnyRecent(now, peerTimeout, func(s *messages.PeerStatus) bool { return s.StoreReachable }):
		return false
	case len(h.peers.expected) == 0 || h.peers.AnyRecent(now, peerTimeout, anyStatus):
		return true
	}
	return now-max(h.lastReachableAt, h.startedAt) < isolationTimeout
}

func anyStatus(*messages.PeerStatus) bool { return true }
