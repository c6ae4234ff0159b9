package agents

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// HeartbeatState is the state of an agent as derived from its heartbeats: its current epoch, the
// position of its newest heartbeat, and the fencing token it accepts. The zero value is an agent
// that has not sent a heartbeat yet.
//
// Heartbeats may be reordered, duplicated, or delayed by minutes. They are ordered by epoch and
// sequence. A running agent never forgets the highest fencing token it has seen, so a lower one
// reveals an agent that was restarted under the same name.
type HeartbeatState struct {
	position Position
	// bootedAt is when the first epoch was observed; no message can have reached the agent earlier.
	bootedAt        micros.Time
	lastHeartbeatAt micros.Time // arrival of the newest heartbeat or call reply
	ackedToken      uint64      // fencing token of the newest heartbeat
	highestToken    uint64      // highest fencing token of any heartbeat

	// Heartbeats up to timedOutSequence are certain to have timed out waiting for a reply.
	// nextTimedOutSequence replaces it once it has been known for longer than ReplyTimeout.
	timedOutSequence     uint64
	nextTimedOutSequence uint64
	timedOutSequenceAt   micros.Time // when the two were last updated

	// restarted is set once the agent was seen to have restarted within an epoch. Heartbeats of its former and
	// present processes cannot be told apart any more.
	restarted bool

	reconciled   bool // its tasks are known, or it is certain to have none
	leaseExpired bool // the agent lease expired or its epoch ended: no tasks until the next epoch
}

// Position identifies a heartbeat in the total order of an agent's heartbeats.
type Position struct {
	Epoch    uint64 // 0: before the first heartbeat
	Sequence uint64
}

// Before reports whether the position precedes that of a heartbeat.
func (p Position) Before(h *messages.Heartbeat) bool {
	return h.AgentEpoch > p.Epoch || (h.AgentEpoch == p.Epoch && h.Sequence > p.Sequence)
}

// Position returns the position of the newest heartbeat.
func (s *HeartbeatState) Position() Position { return s.position }

// Epoch returns the current agent epoch, or 0 if the agent has not sent a heartbeat yet.
func (s *HeartbeatState) Epoch() uint64 { return s.position.Epoch }

// HasHeartbeat reports whether any heartbeat of the agent has been received.
func (s *HeartbeatState) HasHeartbeat() bool { return s.position.Epoch != 0 }

// BootedWithin reports whether the agent's first heartbeat arrived less than the given duration ago.
func (s *HeartbeatState) BootedWithin(duration, now micros.Time) bool {
	return s.bootedAt != 0 && now-s.bootedAt < duration
}

// Acknowledged reports whether the newest heartbeat carried this fencing token or a higher one: the agent
// rejects commands with a lower one.
func (s *HeartbeatState) Acknowledged(token uint64) bool { return s.ackedToken >= token }

// AcknowledgedToken returns the fencing token of the newest heartbeat; 0 if there is none in this epoch.
func (s *HeartbeatState) AcknowledgedToken() uint64 { return s.ackedToken }

// Reconciled reports whether the agent's tasks are known, or it is certain to have none.
func (s *HeartbeatState) Reconciled() bool { return s.reconciled }

// LeaseExpired reports whether the agent lease expired, in which case the agent has no tasks until
// its next epoch.
func (s *HeartbeatState) LeaseExpired() bool { return s.leaseExpired }

// Usable reports whether the agent's tasks are known and it rejects commands with a token lower than this.
func (s *HeartbeatState) Usable(token uint64) bool {
	return s.reconciled && !s.leaseExpired && s.ackedToken >= token && s.HasHeartbeat()
}

// IsNewer reports whether a heartbeat is newer than all those observed so far.
func (s *HeartbeatState) IsNewer(h *messages.Heartbeat) bool { return s.position.Before(h) }

// IsStaleCopy reports whether a heartbeat must not be answered because it is a late duplicate whose
// sender has stopped waiting for the reply, or because it comes from a restarted agent. A reply would
// not be received, and must not be counted or taken as a renewal of the lease. A duplicate whose
// sender may still be waiting is answered again: the first reply may have been lost.
func (s *HeartbeatState) IsStaleCopy(h *messages.Heartbeat, now micros.Time) bool {
	if s.IsNewer(h) {
		return false
	}
	return h.AgentEpoch < s.position.Epoch ||
		h.Sequence <= s.timedOutSequence ||
		now-s.lastHeartbeatAt > ReplyTimeout ||
		h.FencingToken < s.highestToken
}

// ShowsRestart reports whether a heartbeat shows that the agent was restarted within its epoch. A
// running agent never returns to a lower fencing token, so a heartbeat with a lower one than before
// comes from a new agent process. This does not apply if the highest token seen predates this
// leader's acquisition of the lease, as heartbeats from that time may have been reordered.
func (s *HeartbeatState) ShowsRestart(h *messages.Heartbeat, acquiredToken uint64) bool {
	return h.AgentEpoch == s.position.Epoch &&
		h.FencingToken < s.highestToken &&
		s.highestToken >= acquiredToken
}

// Restart discards what is known of the agent's process, since it restarted within an epoch: nothing that the
// former process acknowledged holds for the present one. Only commands that are harmless to any process may be
// sent to it from now on, under the given epoch.
func (s *HeartbeatState) Restart(epoch uint64) {
	*s = HeartbeatState{
		position:        Position{Epoch: epoch},
		bootedAt:        s.bootedAt,
		lastHeartbeatAt: s.lastHeartbeatAt,
		reconciled:      s.reconciled,
		leaseExpired:    s.leaseExpired,
		restarted:       true,
	}
}

// Restarted reports whether the agent was seen to have restarted within an epoch.
func (s *HeartbeatState) Restarted() bool { return s.restarted }

// BeginEpoch records the start of a new epoch: the agent's lease ended, and the agent killed and
// discarded all tasks of the previous epoch. This does not make the agent reconciled, as a former
// leader may have started other tasks since.
func (s *HeartbeatState) BeginEpoch(epoch uint64, now micros.Time) {
	if s.HasHeartbeat() {
		s.ackedToken = 0
	} else {
		s.bootedAt = now
	}
	s.position.Epoch = epoch
	s.timedOutSequence, s.nextTimedOutSequence, s.timedOutSequenceAt = 0, 0, now
	s.leaseExpired = false
}

// Observe records a heartbeat of the current epoch that is newer than all previous ones.
func (s *HeartbeatState) Observe(h *messages.Heartbeat, now micros.Time) {
	if now-s.timedOutSequenceAt > ReplyTimeout {
		s.timedOutSequence, s.nextTimedOutSequence, s.timedOutSequenceAt = s.nextTimedOutSequence, h.Sequence, now
	}
	s.position.Sequence, s.lastHeartbeatAt = h.Sequence, now
	s.highestToken = max(s.highestToken, h.FencingToken)
}

// Acknowledge records the fencing token of the newest heartbeat.
func (s *HeartbeatState) Acknowledge(token uint64) { s.ackedToken = token }

// Reconcile records that the agent's tasks are known.
func (s *HeartbeatState) Reconcile() { s.reconciled = true }

// ExpireLease records that the agent lease expired and cannot have been renewed by anybody: the agent
// has ended all its tasks, and accepts no commands before its next heartbeat.
func (s *HeartbeatState) ExpireLease() {
	s.reconciled = true
	s.ackedToken = 0
	s.leaseExpired = true
}
