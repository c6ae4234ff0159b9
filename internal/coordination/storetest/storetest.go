// Package storetest stands in for the core around a component that sends requests to the
// key-value store: a test sees each request, and replies to it when it likes.
package storetest

import (
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// Environment keeps the time, the calls and the log records of a component. The zero value is
// at time zero and allows every request.
type Environment struct {
	Time       micros.Time
	OverBudget bool // the request budget allows nothing
	Calls      []*Call
	Messages   []string // of log records
}

// Call is a request that the component sent.
type Call struct {
	Request *storage.Request
	Urgency storage.Urgency
	Timeout micros.Time
	done    func(*storage.Reply)
}

// Now is the time that the test set.
func (e *Environment) Now() micros.Time { return e.Time }

// Log keeps the message of a log record.
func (e *Environment) Log(_ int, message string, _ ...any) { e.Messages = append(e.Messages, message) }

// CallStore keeps a request for the test, unless that set OverBudget.
func (e *Environment) CallStore(
	r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply),
) bool {
	if e.OverBudget {
		return false
	}
	e.Calls = append(e.Calls, &Call{Request: r, Urgency: urgency, Timeout: timeout, done: done})
	return true
}

// Take returns the only call that has had no reply, which has to be of a kind.
func (e *Environment) Take(t *testing.T, kind storage.RequestKind) *Call {
	t.Helper()
	if len(e.Calls) != 1 {
		t.Fatalf("%d calls wait for a reply, want 1", len(e.Calls))
	}
	call := e.Calls[0]
	if call.Request.Kind != kind {
		t.Fatalf("a request of kind %d, want %d: %+v", call.Request.Kind, kind, call.Request)
	}
	e.Calls = nil
	return call
}

// RequireNoCall fails the test if a call waits for a reply.
func (e *Environment) RequireNoCall(t *testing.T) {
	t.Helper()
	if len(e.Calls) != 0 {
		t.Fatalf("a request was sent, want none: %+v", e.Calls[0].Request)
	}
}

// Reply completes the call.
func (c *Call) Reply(reply storage.Reply) { c.done(&reply) }
