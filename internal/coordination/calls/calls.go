// Package calls tracks the core's pending calls to the key-value store, to the cloud and to agents.
package calls

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/txnbackoff"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// Table assigns numbers to the calls of one process and holds their completion callbacks. Duplicate
// completions and completions of unknown calls are ignored.
type Table struct {
	lastID  uint64 // numbers are unique across all kinds of calls
	store   map[uint64]storeCall
	cloud   map[uint64]func(*messages.CloudReply)
	agents  map[uint64]func(*messages.AgentReply)
	limiter *storage.RateLimiter
	backoff *txnbackoff.Backoff
	// maxAgentCalls is the number of sockets available for calls to agents.
	maxAgentCalls int
}

type storeCall struct {
	request *storage.Request
	done    func(*storage.Reply)
}

// NewTable returns an empty table.
func NewTable(limiter *storage.RateLimiter, maxAgentCalls int) *Table {
	return &Table{
		store:         map[uint64]storeCall{},
		cloud:         map[uint64]func(*messages.CloudReply){},
		agents:        map[uint64]func(*messages.AgentReply){},
		limiter:       limiter,
		backoff:       txnbackoff.New(),
		maxAgentCalls: maxAgentCalls,
	}
}

// Store registers a request to the key-value store and returns the call to make. If the rate limit or
// the backoff of rejected transactions does not allow the request now, it returns false and done is
// never called.
func (t *Table) Store(
	now micros.Time, r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply),
) (messages.StoreCall, bool) {
	if t.backoff.Blocked(r, now) || !t.limiter.Allow(now, r.Writes(), urgency) {
		return messages.StoreCall{}, false
	}
	id := t.nextID()
	t.store[id] = storeCall{request: r, done: done}
	return messages.StoreCall{Call: id, Request: r, Timeout: timeout}, true
}

// Cloud registers a request to the cloud and returns the call to make.
func (t *Table) Cloud(call messages.CloudCall, done func(*messages.CloudReply)) messages.CloudCall {
	call.Call = t.nextID()
	t.cloud[call.Call] = done
	return call
}

// Agent registers a request to an agent and returns the call to make. It does not enforce the limit
// that AvailableAgentCalls reports.
func (t *Table) Agent(call messages.AgentCall, done func(*messages.AgentReply)) messages.AgentCall {
	call.Call = t.nextID()
	t.agents[call.Call] = done
	return call
}

// AvailableAgentCalls returns how many calls to agents may be made now. Each call occupies a socket,
// so calling a whole fleet at once would leave none for the agents' heartbeats. A third of the calls
// is reserved for commands, since probed machines often do not answer.
func (t *Table) AvailableAgentCalls(probe bool) int {
	most := t.maxAgentCalls
	if probe {
		most -= most / 3
	}
	return most - len(t.agents)
}

// CompleteStore handles the reply to a request to the key-value store.
func (t *Table) CompleteStore(now micros.Time, id uint64, reply *storage.Reply) {
	call, ok := t.store[id]
	if !ok {
		return
	}
	delete(t.store, id)
	t.backoff.Observe(call.request, reply.Outcome, now)
	call.done(reply)
}

// CompleteCloud handles the reply to a request to the cloud.
func (t *Table) CompleteCloud(id uint64, reply *messages.CloudReply) { complete(t.cloud, id, reply) }

// CompleteAgent handles the reply to a request to an agent.
func (t *Table) CompleteAgent(id uint64, reply *messages.AgentReply) { complete(t.agents, id, reply) }

func complete[Reply any](pending map[uint64]func(Reply), id uint64, reply Reply) {
	if done, ok := pending[id]; ok {
		delete(pending, id)
		done(reply)
	}
}

func (t *Table) nextID() uint64 {
	t.lastID++
	return t.lastID
}
