package agents

import (
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// CommandQueue holds the commands that wait to be sent to a machine's agent. One call is in
// flight at a time, so that commands arrive in the order in which they were added.
type CommandQueue struct {
	waiting             []messages.Command
	callInFlight        bool
	nextCallAt          micros.Time // no commands are sent before
	hasUnansweredStarts bool        // some start command got no reply
}

// Add lets a command wait behind all others.
func (q *CommandQueue) Add(command messages.Command) { q.waiting = append(q.waiting, command) }

// RemoveAttempt removes what waits for an attempt.
func (q *CommandQueue) RemoveAttempt(id messages.AttemptID) {
	q.waiting = slices.DeleteFunc(q.waiting, func(c messages.Command) bool { return c.AttemptID == id })
}

// Clear removes all that waits.
func (q *CommandQueue) Clear() { q.waiting = nil }

// Empty tells whether no command waits.
func (q *CommandQueue) Empty() bool { return len(q.waiting) == 0 }

// ContainsFunc tells whether a command waits that matches.
func (q *CommandQueue) ContainsFunc(match func(messages.Command) bool) bool {
	return slices.ContainsFunc(q.waiting, match)
}

// Ready tells whether commands wait and may be sent now.
func (q *CommandQueue) Ready(now micros.Time) bool {
	return !q.callInFlight && !q.Empty() && now >= q.nextCallAt
}

// TakeBatch removes the commands that waited longest, at most so many, and returns them.
func (q *CommandQueue) TakeBatch(limit int) []messages.Command {
	n := min(len(q.waiting), limit)
	batch := slices.Clone(q.waiting[:n])
	q.waiting = slices.Delete(q.waiting, 0, n)
	return batch
}

// Retry puts the commands of a call without a reply before all others.
func (q *CommandQueue) Retry(commands []messages.Command) {
	q.waiting = append(commands, q.waiting...)
}

// CallInFlight tells whether a call to the agent has no reply yet.
func (q *CommandQueue) CallInFlight() bool { return q.callInFlight }

// CallStarted notes that a call to the agent is sent.
func (q *CommandQueue) CallStarted() { q.callInFlight = true }

// CallEnded notes that the call in flight got its reply, or gets none.
func (q *CommandQueue) CallEnded() { q.callInFlight = false }

// DelayUntil sends no commands before some time.
func (q *CommandQueue) DelayUntil(next micros.Time) { q.nextCallAt = next }

// EndDelay lets commands be sent again.
func (q *CommandQueue) EndDelay() { q.nextCallAt = 0 }

// StartUnanswered notes that a start command got no reply: it may still be carried out, even
// minutes later.
func (q *CommandQueue) StartUnanswered() { q.hasUnansweredStarts = true }

// HasUnansweredStarts tells whether any start command got no reply.
func (q *CommandQueue) HasUnansweredStarts() bool { return q.hasUnansweredStarts }
