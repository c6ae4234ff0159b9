package agents

import "pipitlatch/internal/micros"

// maxUnacknowledgedReplies is the number of consecutive replies that may appear lost before the
// machine is considered unreachable.
const maxUnacknowledgedReplies = 2

// replyTimeoutMargin is subtracted from ReplyTimeout to decide whether a heartbeat acknowledges the
// previous reply: only one that comes at least this much before the agent would have given up
// waiting for that reply shows that the agent received it.
const replyTimeoutMargin = 1500 * micros.Millisecond

// Exponential backoff between failed calls.
const (
	firstCallBackoff        = 300 * micros.Millisecond
	maxCallBackoffDoublings = 3
)

// Contact tracks when messages last reached a machine and which replies and calls to it failed.
type Contact struct {
	// lastContact is the last time there was evidence that the leader's messages reach the machine.
	// A heartbeat alone is no such evidence: the path from the leader to the machine may be down.
	lastContact micros.Time
	lastRenewal micros.Time // last reply that may have renewed the agent lease
	// leaseRestartedAt is when the agent was found to have restarted, which began a new agent lease; 0: never.
	leaseRestartedAt micros.Time

	lastReply             micros.Time // last reply not yet matched with the next heartbeat; 0: none
	unacknowledgedReplies int         // consecutive replies that the next heartbeat showed to be lost

	lastProbe         micros.Time
	failedCalls       int         // consecutive calls without a reply
	firstFailedCallAt micros.Time // when the first of them was sent
}

// NewContact returns the state of a machine that is assumed to be reachable now.
func NewContact(now micros.Time) Contact { return Contact{lastContact: now} }

// LastContact returns the last time at which the machine was known to be reachable.
func (c *Contact) LastContact() micros.Time { return c.lastContact }

// LastRenewal returns the time of the last reply that may have renewed the agent lease.
func (c *Contact) LastRenewal() micros.Time { return c.lastRenewal }

// LastLeaseStart returns the last time at which the agent lease may have been renewed or begun.
func (c *Contact) LastLeaseStart() micros.Time { return max(c.lastRenewal, c.leaseRestartedAt) }

// LastProbe returns the time of the last probe, or 0 if the machine may be probed immediately.
func (c *Contact) LastProbe() micros.Time { return c.lastProbe }

// FailedCalls returns the number of consecutive calls without a reply.
func (c *Contact) FailedCalls() int { return c.failedCalls }

// FirstFailedCallAt returns when the first call of the latest run of failed calls was sent.
func (c *Contact) FirstFailedCallAt() micros.Time { return c.firstFailedCallAt }

// RepliesLost reports whether enough consecutive replies were lost to conclude that the machine's
// heartbeats reach the leader but the leader's replies do not reach the machine.
func (c *Contact) RepliesLost() bool { return c.unacknowledgedReplies > maxUnacknowledgedReplies }

// Reached records evidence that the machine receives the leader's messages.
func (c *Contact) Reached(now micros.Time) {
	c.lastContact, c.unacknowledgedReplies, c.failedCalls = now, 0, 0
}

// AdvanceLastContact moves the last contact forward to the given time if it is older. It is used when
// the leader itself was not running, so that the machine is not blamed for the gap.
func (c *Contact) AdvanceLastContact(to micros.Time) { c.lastContact = max(c.lastContact, to) }

// Replied records a reply to a heartbeat; it renews the agent lease if it arrives.
func (c *Contact) Replied(now micros.Time) { c.lastRenewal, c.lastReply = now, now }

// LeaseRestarted records that the agent restarted at this time or before, which began a new agent lease.
func (c *Contact) LeaseRestarted(now micros.Time) { c.leaseRestartedAt = now }

// ObserveNextHeartbeat uses a newer heartbeat to determine what became of the reply to the previous
// one, and reports whether that reply is known to have been received. The arrival of a heartbeat
// does not prove that replies get through: a machine that sends heartbeats but cannot be answered
// must not be considered healthy, nor its lease renewed by replies that never arrive.
//
// exchangeBroken indicates that the heartbeat shows the reply to be lost: either it does not carry
// a fencing token of this leadership lease, or the agent's epoch ended.
func (c *Contact) ObserveNextHeartbeat(exchangeBroken bool, now micros.Time) (received bool) {
	if c.lastReply == 0 {
		return false
	}
	switch {
	case exchangeBroken:
		c.unacknowledgedReplies++
	case now-c.lastReply < ReplyTimeout-replyTimeoutMargin:
		// The agent keeps its heartbeat interval and stays with this leader, so it received the
		// reply. Otherwise it would have waited for the reply and sent this heartbeat later.
		c.Reached(now)
		received = true
	}
	c.lastReply = 0
	return received
}

// CallFailed records a call that got no reply.
func (c *Contact) CallFailed(sentAt micros.Time) {
	c.failedCalls++
	if c.failedCalls == 1 {
		c.firstFailedCallAt = sentAt
	}
}

// Probed records that a probe, which asks the machine for a heartbeat, is being sent.
func (c *Contact) Probed(now micros.Time) { c.lastProbe = now }

// CallBackoff returns how long to wait after a failed call before the next one.
func (c *Contact) CallBackoff() micros.Time {
	return firstCallBackoff << min(c.failedCalls-1, maxCallBackoffDoublings)
}

// AllowProbe lets the machine be probed again immediately.
func (c *Contact) AllowProbe() { c.lastProbe = 0 }
