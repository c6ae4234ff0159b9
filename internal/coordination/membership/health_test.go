package membership

import (
	"testing"

	"pipitlatch/internal/micros"
)

// TestHealthy checks a controller that started long ago, for different times since the key-value
// store was last reachable and since the last status of a peer.
func TestHealthy(t *testing.T) {
	const never = -1
	for name, test := range map[string]struct {
		reachable        bool
		sinceReachable   micros.Time
		sincePeer        micros.Time
		peerReachesStore bool
		alone, healthy   bool
	}{
		"the store is reachable": {
			reachable: true, sincePeer: never, healthy: true,
		},
		"a peer can serve users": {
			sincePeer: peerTimeout - 1, peerReachesStore: true,
		},
		"an outage of the store for all controllers": {
			sinceReachable: 10 * isolationTimeout, sincePeer: peerTimeout - 1, healthy: true,
		},
		"no peers are configured": {
			sinceReachable: 10 * isolationTimeout, sincePeer: never, alone: true, healthy: true,
		},
		"isolated for a short time": {
			sinceReachable: isolationTimeout - 1, sincePeer: peerTimeout, peerReachesStore: true, healthy: true,
		},
		"isolated for long": {
			sinceReachable: isolationTimeout, sincePeer: peerTimeout, peerReachesStore: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			peers := threeMembers()
			if test.alone {
				peers = NewPeers("n1", nil)
			}
			if test.sincePeer != never {
				peers.Receive(start-test.sincePeer, status("n2", test.peerReachesStore))
			}
			h := NewHealth(peers)
			h.Start(start - 90*micros.Second)
			h.MarkStoreReachable(start - test.sinceReachable)
			if got := h.Healthy(start, test.reachable); got != test.healthy {
				t.Errorf("healthy %v, want %v", got, test.healthy)
			}
		})
	}
}

func TestHealthAfterStart(t *testing.T) {
	for name, test := range map[string]struct {
		since   micros.Time
		healthy bool
	}{
		"it may still be starting":              {startupTime - 1, false},
		"without store and peers after startup": {startupTime, true},
		"without store and peers for a while":   {isolationTimeout - 1, true},
		"without store and peers for too long":  {isolationTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHealth(threeMembers())
			h.Start(start)
			if got := h.Healthy(start+test.since, false); got != test.healthy {
				t.Errorf("healthy %v, want %v", got, test.healthy)
			}
		})
	}
}

func TestIsolated(t *testing.T) {
	for name, test := range map[string]struct {
		sinceStart micros.Time
		sincePeer  micros.Time
		storeStale bool
		isolated   bool
	}{
		"neither store nor peers":    {10 * micros.Second, peerTimeout, true, true},
		"the store is reachable":     {10 * micros.Second, peerTimeout, false, false},
		"a peer is reachable":        {10 * micros.Second, peerTimeout - 1, true, false},
		"it has only just started":   {peerTimeout, 5 * micros.Second, true, false},
		"it started long enough ago": {peerTimeout + 1, 5 * micros.Second, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			peers := threeMembers()
			peers.Receive(start-test.sincePeer, status("n2", false))
			h := NewHealth(peers)
			h.Start(start - test.sinceStart)
			if got := h.Isolated(start, test.storeStale); got != test.isolated {
				t.Errorf("isolated %v, want %v", got, test.isolated)
			}
		})
	}
}
