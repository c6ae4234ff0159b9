package agents

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// HeartbeatState is what an agent's heartbeats showed: which of its epochs is running, how far its
// heartbeats came, and which fencing token it obeys. The zero value is an agent that has not
// been heard from.
//
// Heartbeats arrive out of order, twice, or minutes late. Epoch and sequence order them; the
// fencing token, which an agent never forgets while it runs, shows an agent that began anew
// under its old name.
type HeartbeatState struct {
	position Position
	// bootedAt is when the first epoch was heard of; nothing can have reached the agent before.
	bootedAt        micros.Time
	lastHeartbeatAt micros.Time // when the newest heartbeat or call reply came
	ackedToken      uint64      // fencing token of the newest heartbeat
	highestToken    uint64      // highest fencing token of any heartbeat

	// A heartbeat up to settledSequence surely does not wait for a reply any more.
	// nextSettledSequence takes its place once it has been known for ReplyTimeout.
	settledSequence     uint64
	nextSettledSequence uint64
	settledSequenceAt   micros.Time

	reconciled   bool // its tasks are known, or it surely has none
	leaseExpired bool // the agent lease expired or its epoch ended: no tasks until the next epoch
}

// Position is the place of a heartbeat in the order of an agent's heartbeats.
type Position struct {
	Epoch    uint64 // 0: before the first heartbeat
	Sequence uint64
}

// Before tells whether a heartbeat was sent after the one at this position.
func (p Position) Before(h *messages.Heartbeat) bool {
	return h.AgentEpoch > p.Epoch || (h.AgentEpoch == p.Epoch && h.Sequence > p.Sequence)
}

// Position returns the position of the newest heartbeat.
func (p *HeartbeatState) Position() Position { return p.position }

// Epoch returns the agent epoch that is running, 0 if the agent has not been heard from.
func (p *HeartbeatState) Epoch() uint64 { return p.position.Epoch }

// HasHeartbeat tells whether any heartbeat of the agent came.
func (p *HeartbeatState) HasHeartbeat() bool { return p.position.Epoch != 0 }

// BootedWithin tells whether the first heartbeat of the agent came less than a while ago.
func (p *HeartbeatState) BootedWithin(while, now micros.Time) bool {
	return p.bootedAt != 0 && now-p.bootedAt < while
}

// Acknowledged tells whether the newest heartbeat carried this fencing token: commands under
// it are obeyed, and those under any lower token no more.
func (p *HeartbeatState) Acknowledged(token uint64) bool { return p.ackedToken == token }

// Reconciled tells whether the agent's tasks are known, or it surely has none.
func (p *HeartbeatState) Reconciled() bool { return p.reconciled }

// LeaseExpired tells whether the agent lease expired, so that the agent has no tasks until its
// next epoch.
func (p *HeartbeatState) LeaseExpired() bool { return p.leaseExpired }

// Usable tells whether the agent's tasks are known and it obeys commands under this token.
func (p *HeartbeatState) Usable(token uint64) bool {
	return p.reconciled && !p.leaseExpired && p.ackedToken == token && p.HasHeartbeat()
}

// IsNewer tells whether a heartbeat is newer than all that is known of the agent.
func (p *HeartbeatState) IsNewer(h *messages.Heartbeat) bool { return p.position.Before(h) }

// IsStaleCopy tells whether a heartbeat must not be answered: it is a late copy of one that no
// longer waits for its reply, or comes from an agent that began anew. A reply to it would
// reach nobody, and must neither count nor renew a lease. A copy of the newest heartbeat that
// may still wait is answered again: the first reply may have been lost.
func (p *HeartbeatState) IsStaleCopy(h *messages.Heartbeat, now micros.Time) bool {
	if p.IsNewer(h) {
		return false
	}
	return h.AgentEpoch < p.position.Epoch ||
		h.Sequence <= p.settledSequence ||
		now-p.lastHeartbeatAt > ReplyTimeout ||
		h.FencingToken < p.highestToken
}

// ShowsRestart tells whether a heartbeat is of an agent that began anew within its epoch: an
// agent never forgets a token, and this one is lower than one that it had. Tokens from before
// leadership was acquired don't count: heartbeats under these may have been reordered.
func (p *HeartbeatState) ShowsRestart(h *messages.Heartbeat, acquiredToken uint64) bool {
	return h.AgentEpoch == p.position.Epoch &&
		h.FencingToken < p.highestToken &&
		p.highestToken >= acquiredToken
}

// BeginEpoch notes that a new epoch began: the agent's lease ended, and it killed and forgot
// all tasks of the epoch before. That does not make it reconciled: a former leader may have
// started others since.
func (p *HeartbeatState) BeginEpoch(epoch uint64, now micros.Time) {
	if p.HasHeartbeat() {
		p.ackedToken = 0
	} else {
		p.bootedAt = now
	}
	p.position.Epoch = epoch
	p.settledSequence, p.nextSettledSequence, p.settledSequenceAt = 0, 0, now
	p.leaseExpired = false
}

// Observe notes a heartbeat of the running epoch that is newer than all before.
func (p *HeartbeatState) Observe(h *messages.Heartbeat, now micros.Time) {
	if now-p.settledSequenceAt > ReplyTimeout {
		p.settledSequence, p.nextSettledSequence, p.settledSequenceAt = p.nextSettledSequence, h.Sequence, now
	}
	p.position.Sequence, p.lastHeartbeatAt = h.Sequence, now
	p.highestToken = max(p.highestToken, h.FencingToken)
}

// Acknowledge notes the fencing token of the newest heartbeat.
func (p *HeartbeatState) Acknowledge(token uint64) { p.ackedToken = token }

// Reconcile notes that the agent's tasks are known.
func (p *HeartbeatState) Reconcile() { p.reconciled = true }

// ExpireLease notes that nobody can have renewed the agent lease any more: the agent has ended
// all its tasks, and obeys no command before its next heartbeat.
func (p *HeartbeatState) ExpireLease() {
	p.reconciled = true
	p.ackedToken = 0
	p.leaseExpired = true
}
