package agents

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// CommandQueue is the FIFO queue of commands for the agent of one machine. At most one call to the
// agent is in flight at a time, so that commands arrive in the order in which they were added.
type CommandQueue struct {
	pending             []messages.Command
	callInFlight        bool
	nextCallAt          micros.Time // earliest time of the next call
	hasUnansweredStarts bool        // at least one start command got no reply
}

// Add appends a command to the queue.
func (q *CommandQueue) Add(command messages.Command) { q.pending = append(q.pending, command) }

// RemoveAttempt removes all queued commands for an attempt.
func (q *CommandQueue) RemoveAttempt(id messages.AttemptID) {
	q.pending = slices.DeleteFunc(q.pending, func(c messages.Command) bool { return c.AttemptID == id })
}

// RemoveStarts removes all queued start commands.
func (q *CommandQueue) RemoveStarts() {
	q.pending = slices.DeleteFunc(q.pending, func(c messages.Command) bool { return c.Operation == messages.Start })
}

// Clear removes all queued commands.
func (q *CommandQueue) Clear() { q.pending = nil }

// Empty reports whether no commands are queued.
func (q *CommandQueue) Empty() bool { return len(q.pending) == 0 }

// ContainsFunc reports whether any queued command satisfies match.
func (q *CommandQueue) ContainsFunc(match func(messages.Command) bool) bool {
	return slices.ContainsFunc(q.pending, match)
}

// Ready reports whether commands are queued and may be sent now.
func (q *CommandQueue) Ready(now micros.Time) bool {
	return !q.callInFlight && !q.Empty() && now >= q.nextCallAt
}

// TakeBatch removes up to limit commands from the front of the queue and returns them.
func (q *CommandQueue) TakeBatch(limit int) []messages.Command {
	n := min(len(q.pending), limit)
	batch := slices.Clone(q.pending[:n])
	q.pending = slices.Delete(q.pending, 0, n)
	return batch
}

// Retry puts the commands of a call that got no reply back at the front of the queue.
func (q *CommandQueue) Retry(commands []messages.Command) {
	q.pending = append(commands, q.pending...)
}

// CallInFlight reports whether a call to the agent is in flight.
func (q *CommandQueue) CallInFlight() bool { return q.callInFlight }

// CallStarted records that a call to the agent was sent.
func (q *CommandQueue) CallStarted() { q.callInFlight = true }

// CallEnded records that the call in flight got its reply or failed.
func (q *CommandQueue) CallEnded() { q.callInFlight = false }

// DelayUntil holds back all commands until the given time.
func (q *CommandQueue) DelayUntil(next micros.Time) { q.nextCallAt = next }

// EndDelay cancels the delay set by DelayUntil.
func (q *CommandQueue) EndDelay() { q.nextCallAt = 0 }

// StartUnanswered records that a start command got no reply: the agent may still execute it, even
// minutes later.
func (q *CommandQueue) StartUnanswered() { q.hasUnansweredStarts = true }

// HasUnansweredStarts reports whether any start command got no reply.
func (q *CommandQueue) HasUnansweredStarts() bool { return q.hasUnansweredStarts }
