package agents

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// start is the command to start attempt n of a job's only task.
func start(n uint64) messages.Command {
	return messages.Command{Operation: messages.Start, AttemptID: messages.AttemptID{Job: "j", Number: n}}
}

// queued is a queue with the starts of some attempts.
func queued(attempts ...uint64) *CommandQueue {
	q := &CommandQueue{}
	for _, n := range attempts {
		q.Add(start(n))
	}
	return q
}

// numbers are the attempts of some commands, in their order.
func numbers(commands []messages.Command) []uint64 {
	var out []uint64
	for _, c := range commands {
		out = append(out, c.Number)
	}
	return out
}

func TestCommandQueueOrder(t *testing.T) {
	tests := []struct {
		name  string
		play  func(*CommandQueue)
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
		{"withdrawn attempt", func(q *CommandQueue) {
			q.Add(messages.Command{Operation: messages.Stop, AttemptID: start(2).AttemptID})
			q.RemoveAttempt(start(2).AttemptID)
		}, 9, []uint64{1, 3}, nil},
		{"cleared", func(q *CommandQueue) { q.Clear() }, 9, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := queued(1, 2, 3)
			test.play(q)
			if got := numbers(q.TakeBatch(test.limit)); !slices.Equal(got, test.want) {
				t.Errorf("first batch %v, want %v", got, test.want)
			}
			if got := numbers(q.TakeBatch(9)); !slices.Equal(got, test.rest) {
				t.Errorf("rest %v, want %v", got, test.rest)
			}
			if !q.Empty() {
				t.Error("queue is not empty in the end")
			}
		})
	}
}

func TestTakeBatchIsACopy(t *testing.T) {
	q := queued(1, 2)
	batch := q.TakeBatch(2)
	q.Add(start(3))
	if got := numbers(batch); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("a command added later changed a batch in flight: %v", got)
	}
}

func TestReady(t *testing.T) {
	tests := []struct {
		name string
		play func(*CommandQueue)
		want bool
	}{
		{"commands wait", func(*CommandQueue) {}, true},
		{"nothing waits", func(q *CommandQueue) { q.Clear() }, false},
		{"call in flight", func(q *CommandQueue) { q.CallStarted() }, false},
		{"call ended", func(q *CommandQueue) { q.CallStarted(); q.CallEnded() }, true},
		{"delayed", func(q *CommandQueue) { q.DelayUntil(10*micros.Second + 1) }, false},
		{"delay is over", func(q *CommandQueue) { q.DelayUntil(10 * micros.Second) }, true},
		{"delay was ended", func(q *CommandQueue) { q.DelayUntil(20 * micros.Second); q.EndDelay() }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := queued(1)
			test.play(q)
			if got := q.Ready(10 * micros.Second); got != test.want {
				t.Errorf("Ready = %v, want %v", got, test.want)
			}
		})
	}
}

func TestContainsFunc(t *testing.T) {
	q := queued(1)
	isStop := func(c messages.Command) bool { return c.Operation == messages.Stop }
	if q.ContainsFunc(isStop) {
		t.Error("a stop is found in a queue of starts")
	}
	q.Add(messages.Command{Operation: messages.Stop})
	if !q.ContainsFunc(isStop) {
		t.Error("a stop that waits is not found")
	}
}

func TestUnansweredStartsStay(t *testing.T) {
	q := queued(1)
	if q.HasUnansweredStarts() {
		t.Error("a start that waits counts as unanswered")
	}
	q.StartUnanswered()
	q.Clear()
	if !q.HasUnansweredStarts() {
		t.Error("a start without a reply is forgotten: it may still be carried out")
	}
}
