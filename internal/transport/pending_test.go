package transport

import (
	"testing"

	"pipitlatch/internal/coordination/messages"
)

func TestPendingRequestsGetTheirOwnResponse(t *testing.T) {
	p := newPendingRequests()
	first, firstResponse := p.add()
	second, secondResponse := p.add()
	p.complete(messages.Response{Request: second, Reason: "second"})
	p.complete(messages.Response{Request: first, Reason: "first"})
	if r := <-firstResponse; r.Reason != "first" {
		t.Errorf("first request: %+v", r)
	}
	if r := <-secondResponse; r.Reason != "second" {
		t.Errorf("second request: %+v", r)
	}
}

func TestPendingRequestsDropUnclaimedResponses(t *testing.T) {
	p := newPendingRequests()
	removed, response := p.add()
	p.remove(removed)
	p.complete(messages.Response{Request: removed})
	if len(response) != 0 {
		t.Error("a removed request got a response")
	}
	completed, response := p.add()
	p.complete(messages.Response{Request: completed})
	p.complete(messages.Response{Request: completed}) // a duplicate response must not block
	if len(response) != 1 {
		t.Errorf("%d responses, want 1", len(response))
	}
	if len(p.responses) != 0 {
		t.Errorf("%d requests still pending, want 0", len(p.responses))
	}
}
