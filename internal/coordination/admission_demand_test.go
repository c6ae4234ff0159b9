package coordination

import (
	"testing"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// TestPeerDemandExpires: refusals and demand of a peer count for demandTTL. This controller's own
// demand is counted only once, although the controller also receives its own status.
func TestPeerDemandExpires(t *testing.T) {
	const now = 100 * micros.Second
	for name, test := range map[string]struct {
		member      string
		age         micros.Time
		wantRefused bool
		want        int64 // refusals in the total
	}{
		"recent":      {member: "n1", age: demandTTL - 1, wantRefused: true, want: 3},
		"old":         {member: "n1", age: demandTTL},
		"this member": {member: "n0", age: micros.Second, wantRefused: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFairAdmissionCore(t)
			c.now = now - test.age
			c.receiveDemand(&messages.PeerStatus{
				From:   storage.Process{Member: test.member},
				Demand: &admission.Demand{Refused: 3},
			})
			if got := c.fairAdmission.recentlyRefused(now); got != test.wantRefused {
				t.Errorf("recently refused: %v, want %v", got, test.wantRefused)
			}
			if got := c.fairAdmission.totalDemand(now, "n0").Refused; got != test.want {
				t.Errorf("%d refusals, want %d", got, test.want)
			}
		})
	}
}

// TestDemandIsSentOncePerInterval: demand is sent once per demandInterval, not with every status.
func TestDemandIsSentOncePerInterval(t *testing.T) {
	c := newFairAdmissionCore(t)
	c.now = 100 * micros.Second
	if c.demandForPeers() == nil {
		t.Fatal("demand was not sent with the first status")
	}
	c.now += demandInterval - 1
	if c.demandForPeers() != nil {
		t.Error("demand was sent again before the end of the interval")
	}
	c.now++
	if c.demandForPeers() == nil {
		t.Error("demand was not sent after the interval")
	}
}
