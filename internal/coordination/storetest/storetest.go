// Package storetest provides a fake of the core for testing components that send requests to the
// key-value store: a test can inspect each request and choose when to reply.
package storetest

import (
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// Environment provides the time to a component, and records its calls and log messages. The zero
// value is at time zero and allows every request.
type Environment struct {
	Time       micros.Time
	OverBudget bool     // the request budget allows no request
	Calls      []*Call  // awaiting a reply
	Messages   []string // of log records
}

// Call is a request that the component sent.
type Call struct {
	Request *storage.Request
	Urgency storage.Urgency
	Timeout micros.Time
	done    func(*storage.Reply)
}

// Now returns the time set by the test.
func (e *Environment) Now() micros.Time { return e.Time }

// Log records the message of a log record.
func (e *Environment) Log(_ int, message string, _ ...any) { e.Messages = append(e.Messages, message) }

// CallStore records a request, unless the test has set OverBudget.
func (e *Environment) CallStore(
	r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply),
) bool {
	if e.OverBudget {
		return false
	}
	e.Calls = append(e.Calls, &Call{Request: r, Urgency: urgency, Timeout: timeout, done: done})
	return true
}

// Take removes and returns the only recorded call, which must be of the given kind.
func (e *Environment) Take(t *testing.T, kind storage.RequestKind) *Call {
	t.Helper()
	if len(e.Calls) != 1 {
		t.Fatalf("%d calls are waiting for a reply, want 1", len(e.Calls))
	}
	call := e.Calls[0]
	if call.Request.Kind != kind {
		t.Fatalf("request of kind %d, want %d: %+v", call.Request.Kind, kind, call.Request)
	}
	e.Calls = nil
	return call
}

// RequireNoCall fails the test if there is a recorded call.
func (e *Environment) RequireNoCall(t *testing.T) {
	t.Helper()
	if len(e.Calls) != 0 {
		t.Fatalf("a request was sent, want none: %+v", e.Calls[0].Request)
	}
}

// Reply completes the call with a reply.
func (c *Call) Reply(reply storage.Reply) { c.done(&reply) }
