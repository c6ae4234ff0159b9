package transport

import (
	"sync"

	"pipitlatch/internal/coordination/messages"
)

// pendingRequests are the requests of users and agents that wait for the core's response.
type pendingRequests struct {
	mu        sync.Mutex
	last      messages.RequestID
	responses map[messages.RequestID]chan<- messages.Response
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{responses: map[messages.RequestID]chan<- messages.Response{}}
}

// add returns a new request's id and the channel that gets its response. Whoever adds a request removes
// it when it waits no more.
func (p *pendingRequests) add() (messages.RequestID, <-chan messages.Response) {
	response := make(chan messages.Response, 1) // room for the one that there is: complete never blocks
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

// complete passes a response on to whoever waits for it; for a request that is not waited for any more
// it does nothing.
func (p *pendingRequests) complete(r messages.Response) {
	p.mu.Lock()
	response := p.responses[r.Request]
	delete(p.responses, r.Request)
	p.mu.Unlock()
	if response != nil {
		response <- r
	}
}
