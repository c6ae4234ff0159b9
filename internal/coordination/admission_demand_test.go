package coordination

import (
	"testing"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// TestDemandOfPeersCountsForAWhile: refusals and demand of a peer count while they are recent, and
// this controller's own demand counts once, though its status comes back to it.
func TestDemandOfPeersCountsForAWhile(t *testing.T) {
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
			c := newFair(t)
			c.now = now - test.age
			c.receiveDemand(&messages.PeerStatus{
				From:   storage.Process{Member: test.member},
				Demand: &admission.Demand{Refused: 3},
			})
			if got := c.fair.refusedLately(now); got != test.wantRefused {
				t.Errorf("refused %v, want %v", got, test.wantRefused)
			}
			if got := c.fair.totalDemand(now, "n0").Refused; got != test.want {
				t.Errorf("%d refusals, want %d", got, test.want)
			}
		})
	}
}

// TestDemandIsSentOnceAnInterval: not with every status.
func TestDemandIsSentOnceAnInterval(t *testing.T) {
	c := newFair(t)
	c.now = 100 * micros.Second
	if c.demandForPeers() == nil {
		t.Fatal("not sent at first")
	}
	c.now += demandInterval - 1
	if c.demandForPeers() != nil {
		t.Error("sent again before the interval is over")
	}
	c.now++
	if c.demandForPeers() == nil {
		t.Error("not sent after the interval")
	}
}
