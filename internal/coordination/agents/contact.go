package agents

import "pipitlatch/internal/micros"

// maxUnacknowledgedReplies is how many replies in a row may be shown as not received before a
// machine counts as out of reach.
const maxUnacknowledgedReplies = 2

// replyTimeoutMargin is by how much a heartbeat must come sooner than an agent gives up
// waiting for the reply to the one before, so that it shows that this reply was received.
const replyTimeoutMargin = 1500 * micros.Millisecond

// What is waited for after a call without a reply: twice as long after each further one, up to a
// few times.
const (
	firstCallBackoff        = 300 * micros.Millisecond
	maxCallBackoffDoublings = 3
)

// Contact is when messages last went to a machine and came from it.
type Contact struct {
	// lastContact is when something last showed that the leader's messages reach the machine.
	// A heartbeat alone does not: the way back may be cut.
	lastContact micros.Time
	lastRenewal micros.Time // last reply that may have renewed the agent lease

	lastReply             micros.Time // reply that the next heartbeat has not acknowledged yet; 0: none
	unacknowledgedReplies int         // replies in a row that the next heartbeat showed as not received

	lastProbe         micros.Time
	failedCalls       int         // calls in a row without a reply
	firstFailedCallAt micros.Time // when the first of them was sent
}

// NewContact returns the contact to a machine that is taken as reached now.
func NewContact(now micros.Time) Contact { return Contact{lastContact: now} }

// LastContact returns when the machine was last known to be reached.
func (c *Contact) LastContact() micros.Time { return c.lastContact }

// LastRenewal returns when a reply that may have renewed the agent lease was last sent.
func (c *Contact) LastRenewal() micros.Time { return c.lastRenewal }

// LastProbe returns when the machine was last asked for its heartbeat, 0 if it can be asked at
// once.
func (c *Contact) LastProbe() micros.Time { return c.lastProbe }

// FailedCalls returns how many calls in a row got no reply.
func (c *Contact) FailedCalls() int { return c.failedCalls }

// FirstFailedCallAt returns when the first of the last calls in a row without a reply was
// sent.
func (c *Contact) FirstFailedCallAt() micros.Time { return c.firstFailedCallAt }

// RepliesLost tells whether so many replies in a row were not received that heartbeats reach
// the leader, but its replies do not reach the machine.
func (c *Contact) RepliesLost() bool { return c.unacknowledgedReplies > maxUnacknowledgedReplies }

// Reached notes that the machine was shown to receive the leader's messages.
func (c *Contact) Reached(now micros.Time) {
	c.lastContact, c.unacknowledgedReplies, c.failedCalls = now, 0, 0
}

// AdvanceLastContact takes the machine as reached at some time, if it was not reached since:
// silence before that was the leader's own.
func (c *Contact) AdvanceLastContact(before micros.Time) { c.lastContact = max(c.lastContact, before) }

// Replied notes a reply to a heartbeat, which renews the agent lease if it arrives.
func (c *Contact) Replied(now micros.Time) { c.lastRenewal, c.lastReply = now, now }

// ObserveNextHeartbeat notes what a newer heartbeat says of the reply to the one before, and
// tells whether it shows that the reply was received. A heartbeat proves nothing about the way
// back: a machine that sends heartbeats but cannot be answered must neither count as sound nor
// have its lease renewed by replies that never arrive.
//
// exchangeBroken says that the heartbeat shows the reply as lost: it does not carry a fencing
// token of this lease, or the agent's epoch ended.
func (c *Contact) ObserveNextHeartbeat(exchangeBroken bool, now micros.Time) (received bool) {
	if c.lastReply == 0 {
		return false
	}
	switch {
	case exchangeBroken:
		c.unacknowledgedReplies++
	case now-c.lastReply < ReplyTimeout-replyTimeoutMargin:
		// The agent keeps its interval and stays with this leader: it had the reply. One
		// that got none would have waited for it, and come later.
		c.Reached(now)
		received = true
	}
	c.lastReply = 0
	return received
}

// CallFailed notes that a call got no reply.
func (c *Contact) CallFailed(sentAt micros.Time) {
	c.failedCalls++
	if c.failedCalls == 1 {
		c.firstFailedCallAt = sentAt
	}
}

// Probed notes that the machine is asked for its heartbeat.
func (c *Contact) Probed(now micros.Time) { c.lastProbe = now }

// CallBackoff returns how long to wait after a failed call before the next one.
func (c *Contact) CallBackoff() micros.Time {
	return firstCallBackoff << min(c.failedCalls-1, maxCallBackoffDoublings)
}

// AllowProbe lets the machine be asked again at once.
func (c *Contact) AllowProbe() { c.lastProbe = 0 }
