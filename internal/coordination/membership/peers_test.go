package membership

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const start = 100 * micros.Second

// status returns a status message of a member.
func status(member string, storeReachable bool) *messages.PeerStatus {
	return &messages.PeerStatus{
		From:           storage.Process{Member: member, Incarnation: "x"},
		StoreReachable: storeReachable,
		Usage:          storage.Usage{Requests: 5, Writes: 3},
	}
}

func threeMembers() *Peers { return NewPeers("n1", []string{"n2", "n3"}) }

func TestLatestStatusReplacesTheOneBefore(t *testing.T) {
	p := threeMembers()
	if p.Latest("n2") != nil {
		t.Error("Latest returned a status before any was received")
	}
	second := status("n2", true)
	p.Receive(start, status("n3", false))
	p.Receive(start, status("n2", false))
	p.Receive(start+5, second)
	if got := p.Latest("n2"); got == nil || got.Status != second || got.ReceivedAt != start+5 {
		t.Errorf("latest status %+v, want the second", got)
	}
	var members []string
	for member := range p.All() {
		members = append(members, member)
	}
	if !slices.Equal(members, []string{"n2", "n3"}) {
		t.Errorf("members %v, want n2 and n3 in this order", members)
	}
	for member := range p.All() {
		if member != "n2" {
			t.Error("the iteration continued after break")
		}
		break
	}
}

func TestAnyRecent(t *testing.T) {
	for name, test := range map[string]struct {
		member    string
		reachable bool
		age       micros.Time
		want      bool
	}{
		"a peer that meets the condition":        {"n2", true, peerTimeout - 1, true},
		"a peer whose status is too old":         {"n2", true, peerTimeout, false},
		"a peer that fails the condition":        {"n2", false, 0, false},
		"this member itself does not count":      {"n1", true, 0, false},
		"a member that is not configured counts": {"n9", true, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := threeMembers()
			p.Receive(start, status(test.member, test.reachable))
			reachable := func(s *messages.PeerStatus) bool { return s.StoreReachable }
			if got := p.AnyRecent(start+test.age, peerTimeout, reachable); got != test.want {
				t.Errorf("AnyRecent = %v, want %v", got, test.want)
			}
		})
	}
}

// TestStoreUsageOfSilentPeersIsUnknown checks that the rest of the store's limits may be used only
// if every peer has recently reported its usage.
func TestStoreUsageOfSilentPeersIsUnknown(t *testing.T) {
	unknown := storage.Usage{Requests: 1 << 40, Writes: 1 << 40}
	for name, test := range map[string]struct {
		statusAges map[string]micros.Time // by member
		all        bool
		want       storage.Usage
	}{
		"none":       {nil, false, unknown},
		"one of two": {map[string]micros.Time{"n2": 0}, false, unknown},
		"one status too old": {
			map[string]micros.Time{"n2": 0, "n3": statusTimeout}, false, unknown,
		},
		"both": {
			map[string]micros.Time{"n2": 0, "n3": statusTimeout - 1}, true, storage.Usage{Requests: 10, Writes: 6},
		},
		"both and this member's own": {
			map[string]micros.Time{"n1": 0, "n2": 0, "n3": 0}, true, storage.Usage{Requests: 10, Writes: 6},
		},
		"both, and a former member": {
			map[string]micros.Time{"n2": 0, "n3": 0, "n9": statusTimeout}, true, storage.Usage{Requests: 10, Writes: 6},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := threeMembers()
			for member, age := range test.statusAges {
				p.Receive(start-age, status(member, true))
			}
			if got := p.AllRecent(start); got != test.all {
				t.Errorf("AllRecent = %v, want %v", got, test.all)
			}
			if got := p.StoreUsage(start); got != test.want {
				t.Errorf("usage %+v, want %+v", got, test.want)
			}
		})
	}
}
