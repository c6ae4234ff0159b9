package transport

import (
	"sync"

	"pipitlatch/internal/coordination/messages"
)

// pendingRequests tracks requests of users and agents that wait for a response from the core.
type pendingRequests struct {
	mu        sync.Mutex
	last      messages.RequestID
	responses map[messages.RequestID]chan<- messages.Response
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{responses: map[messages.RequestID]chan<- messages.Response{}}
}

// add registers a request and returns its id and the channel for its response. The caller must remove the
// request when it stops waiting.
func (p *pendingRequests) add() (messages.RequestID, <-chan messages.Response) {
	response := make(chan messages.Response, 1) // at most one response is sent, so complete never blocks
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	p.responses[p.last] = response
	return p.last, response
}

func (p *pendingRequests) remove(id messages.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.responses, id)
}

// complete delivers a response to the waiting request. It does nothing if the request was removed or
// already completed.
func (p *pendingRequests) complete(r messages.Response) {
	p.mu.Lock()
	response := p.responses[r.Request]
	delete(p.responses, r.Request)
	p.mu.Unlock()
	if response != nil {
		response <- r
	}
}
