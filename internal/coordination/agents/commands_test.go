package agents

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// start returns the command to start attempt n of a job's only task.
func start(n uint64) messages.Command {
	return messages.Command{Operation: messages.Start, AttemptID: messages.AttemptID{Job: "j", Number: n}}
}

// newQueue returns a queue with start commands for the given attempts.
func newQueue(attempts ...uint64) *CommandQueue {
	q := &CommandQueue{}
	for _, n := range attempts {
		q.Add(start(n))
	}
	return q
}

// attemptNumbers returns the attempt numbers of commands in order.
func attemptNumbers(commands []messages.Command) []uint64 {
	var out []uint64
	for _, c := range commands {
		out = append(out, c.Number)
	}
	return out
}

func TestCommandQueueOrder(t *testing.T) {
	tests := []struct {
		name  string
		setup func(*CommandQueue)
		limit int
		want  []uint64
		rest  []uint64
	}{
		{"oldest first", func(*CommandQueue) {}, 2, []uint64{1, 2}, []uint64{3}},
		{"fewer than the limit", func(*CommandQueue) {}, 9, []uint64{1, 2, 3}, nil},
		{"retried commands before all others", func(q *CommandQueue) {
			q.Retry([]messages.Command{start(8), start(9)})
		}, 3, []uint64{8, 9, 1}, []uint64{2, 3}},
		{"nothing to retry", func(q *CommandQueue) { q.Retry(nil) }, 1, []uint64{1}, []uint64{2, 3}},
		{"removed attempt", func(q *CommandQueue) {
			q.Add(messages.Command{Operation: messages.Stop, AttemptID: start(2).AttemptID})
			q.RemoveAttempt(start(2).AttemptID)
		}, 9, []uint64{1, 3}, nil},
		{"cleared", func(q *CommandQueue) { q.Clear() }, 9, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := newQueue(1, 2, 3)
			test.setup(q)
			if got := attemptNumbers(q.TakeBatch(test.limit)); !slices.Equal(got, test.want) {
				t.Errorf("first batch %v, want %v", got, test.want)
			}
			if got := attemptNumbers(q.TakeBatch(9)); !slices.Equal(got, test.rest) {
				t.Errorf("rest %v, want %v", got, test.rest)
			}
			if !q.Empty() {
				t.Error("queue is not empty after all commands were taken")
			}
		})
	}
}

func TestTakeBatchReturnsCopy(t *testing.T) {
	q := newQueue(1, 2)
	batch := q.TakeBatch(2)
	q.Add(start(3))
	if got := attemptNumbers(batch); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("adding a command changed a batch already taken: %v", got)
	}
}

func TestReady(t *testing.T) {
	tests := []struct {
		name  string
		setup func(*CommandQueue)
		want  bool
	}{
		{"commands queued", func(*CommandQueue) {}, true},
		{"empty queue", func(q *CommandQueue) { q.Clear() }, false},
		{"call in flight", func(q *CommandQueue) { q.CallStarted() }, false},
		{"call ended", func(q *CommandQueue) { q.CallStarted(); q.CallEnded() }, true},
		{"delayed", func(q *CommandQueue) { q.DelayUntil(10*micros.Second + 1) }, false},
		{"delay has passed", func(q *CommandQueue) { q.DelayUntil(10 * micros.Second) }, true},
		{"delay was cancelled", func(q *CommandQueue) { q.DelayUntil(20 * micros.Second); q.EndDelay() }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := newQueue(1)
			test.setup(q)
			if got := q.Ready(10 * micros.Second); got != test.want {
				t.Errorf("Ready = %v, want %v", got, test.want)
			}
		})
	}
}

func TestContainsFunc(t *testing.T) {
	q := newQueue(1)
	isStop := func(c messages.Command) bool { return c.Operation == messages.Stop }
	if q.ContainsFunc(isStop) {
		t.Error("found a stop command in a queue of start commands")
	}
	q.Add(messages.Command{Operation: messages.Stop})
	if !q.ContainsFunc(isStop) {
		t.Error("queued stop command not found")
	}
}

func TestClearKeepsUnansweredStarts(t *testing.T) {
	q := newQueue(1)
	if q.HasUnansweredStarts() {
		t.Error("a queued start command counts as unanswered")
	}
	q.StartUnanswered()
	q.Clear()
	if !q.HasUnansweredStarts() {
		t.Error("Clear reset HasUnansweredStarts, although the agent may still execute the start command")
	}
}
