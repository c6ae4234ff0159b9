package agents

import (
	"testing"

	"pipitlatch/internal/micros"
)

func TestObserveNextHeartbeat(t *testing.T) {
	const repliedAt = 20 * micros.Second
	tests := []struct {
		name            string
		replied         bool
		exchangeBroken  bool
		after           micros.Time // from the reply to the next heartbeat
		wantReceived    bool
		wantLastContact micros.Time
	}{
		{"next heartbeat in time shows receipt", true, false, 2 * micros.Second, true, 22 * micros.Second},
		{"latest heartbeat that shows receipt", true, false, 3500*micros.Millisecond - 1, true, 23500*micros.Millisecond - 1},
		{"late enough that the agent may have waited for the reply", true, false, 3500 * micros.Millisecond, false, 0},
		{"broken exchange shows no receipt, however soon", true, true, micros.Second, false, 0},
		{"no reply to acknowledge", false, false, 2 * micros.Second, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var contact Contact
			if test.replied {
				contact.Replied(repliedAt)
			}
			received := contact.ObserveNextHeartbeat(test.exchangeBroken, repliedAt+test.after)
			if received != test.wantReceived || contact.LastContact() != test.wantLastContact {
				t.Errorf("received %v, last contact %d, want %v, %d",
					received, contact.LastContact(), test.wantReceived, test.wantLastContact)
			}
			if contact.ObserveNextHeartbeat(false, repliedAt+test.after) {
				t.Error("two heartbeats acknowledge the same reply")
			}
		})
	}
}

// loseReplies simulates n consecutive replies that the next heartbeat shows to be lost.
func loseReplies(contact *Contact, n int) {
	for range n {
		contact.Replied(micros.Second)
		contact.ObserveNextHeartbeat(true, 2*micros.Second)
	}
}

func TestRepliesLost(t *testing.T) {
	tests := []struct {
		name  string
		setup func(*Contact)
		want  bool
	}{
		{"as many as are tolerated", func(c *Contact) { loseReplies(c, 2) }, false},
		{"one more", func(c *Contact) { loseReplies(c, 3) }, true},
		{"a received reply in between", func(c *Contact) {
			loseReplies(c, 2)
			c.Replied(micros.Second)
			c.ObserveNextHeartbeat(false, 2*micros.Second)
			loseReplies(c, 1)
		}, false},
		{"a late heartbeat in between neither adds nor resets", func(c *Contact) {
			loseReplies(c, 2)
			c.Replied(micros.Second)
			c.ObserveNextHeartbeat(false, 9*micros.Second)
			loseReplies(c, 1)
		}, true},
		{"an answered call resets it", func(c *Contact) {
			loseReplies(c, 3)
			c.Reached(3 * micros.Second)
		}, false},
		{"heartbeats that were not replied to do not count", func(c *Contact) {
			for range 5 {
				c.ObserveNextHeartbeat(true, 2*micros.Second)
			}
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var contact Contact
			test.setup(&contact)
			if got := contact.RepliesLost(); got != test.want {
				t.Errorf("RepliesLost = %v, want %v", got, test.want)
			}
		})
	}
}

func TestLostReplyCountsAsRenewal(t *testing.T) {
	var contact Contact
	contact.Replied(7 * micros.Second)
	contact.ObserveNextHeartbeat(true, 8*micros.Second)
	if got := contact.LastRenewal(); got != 7*micros.Second {
		t.Errorf("last renewal at %d, want 7 s: even a reply that appears lost may have renewed the lease", got)
	}
}

func TestFailedCalls(t *testing.T) {
	var contact Contact
	wantBackoff := []micros.Time{300, 600, 1200, 2400, 2400}
	for i, want := range wantBackoff {
		contact.CallFailed(micros.Time(i+1) * micros.Second)
		if got := contact.CallBackoff(); got != want*micros.Millisecond {
			t.Errorf("backoff of %d after failed call %d, want %d ms", got, i+1, want)
		}
	}
	if contact.FailedCalls() != len(wantBackoff) || contact.FirstFailedCallAt() != micros.Second {
		t.Errorf("%d failed calls, first at %d", contact.FailedCalls(), contact.FirstFailedCallAt())
	}
	contact.Reached(10 * micros.Second)
	if contact.FailedCalls() != 0 || contact.LastContact() != 10*micros.Second {
		t.Errorf("%d failed calls after an answered one, last contact %d", contact.FailedCalls(), contact.LastContact())
	}
	contact.CallFailed(11 * micros.Second)
	if contact.FirstFailedCallAt() != 11*micros.Second {
		t.Errorf("first failed call of the new run at %d, want 11 s", contact.FirstFailedCallAt())
	}
}

func TestAdvanceLastContact(t *testing.T) {
	contact := NewContact(5 * micros.Second)
	contact.AdvanceLastContact(3 * micros.Second)
	if contact.LastContact() != 5*micros.Second {
		t.Errorf("last contact moved back to %d, want 5 s", contact.LastContact())
	}
	contact.AdvanceLastContact(8 * micros.Second)
	if contact.LastContact() != 8*micros.Second {
		t.Errorf("last contact at %d, want 8 s", contact.LastContact())
	}
}

func TestAllowProbe(t *testing.T) {
	var contact Contact
	contact.Probed(5 * micros.Second)
	if contact.LastProbe() != 5*micros.Second {
		t.Errorf("last probe at %d, want 5 s", contact.LastProbe())
	}
	contact.AllowProbe()
	if contact.LastProbe() != 0 {
		t.Errorf("last probe at %d, want 0", contact.LastProbe())
	}
}

func TestLeaseStartOfRestartedAgent(t *testing.T) {
	contact := NewContact(0)
	contact.Replied(5 * micros.Second)
	contact.LeaseRestarted(9 * micros.Second)
	if renewed, start := contact.LastRenewal(), contact.LastLeaseStart(); renewed != 5*micros.Second ||
		start != 9*micros.Second {
		t.Errorf("last renewal %d, lease start %d, want 5 s and 9 s", renewed, start)
	}
}
