package calls

import (
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const start = 10 * micros.Second

// newTable returns a table that allows ten requests and ten writes per second, and has nine sockets
// for calls to agents.
func newTable() *Table { return NewTable(storage.NewRateLimiter(10/0.95, 10/0.95, 1), 9) }

func transaction(key string) *storage.Request {
	return &storage.Request{Kind: storage.Txn, Puts: []storage.Put{{Key: key}}}
}

// mustCall registers a request to the store and fails the test if it is not allowed.
func mustCall(
	t *testing.T, table *Table, now micros.Time, r *storage.Request, done func(*storage.Reply),
) messages.StoreCall {
	t.Helper()
	call, ok := table.Store(now, r, storage.Urgent, micros.Second, done)
	if !ok {
		t.Fatalf("request %+v is not allowed", r)
	}
	return call
}

// TestCallsCompleteOnce checks that numbers are unique across the kinds of calls, that a completion of
// one kind has no effect on calls of another, and that repeated completions are ignored.
func TestCallsCompleteOnce(t *testing.T) {
	table := newTable()
	var store, cloud, agent int
	r := &storage.Request{Kind: storage.Get, Key: "k"}
	storeCall := mustCall(t, table, start, r, func(*storage.Reply) { store++ })
	cloudCall := table.Cloud(messages.CloudCall{After: "a"}, func(*messages.CloudReply) { cloud++ })
	agentCall := table.Agent(messages.AgentCall{Machine: "m"}, func(*messages.AgentReply) { agent++ })
	if storeCall.Request != r || storeCall.Timeout != micros.Second || cloudCall.After != "a" || agentCall.Machine != "m" {
		t.Errorf("calls %+v, %+v and %+v", storeCall, cloudCall, agentCall)
	}
	if storeCall.Call != 1 || cloudCall.Call != 2 || agentCall.Call != 3 {
		t.Errorf("numbers %d, %d and %d, want 1, 2 and 3", storeCall.Call, cloudCall.Call, agentCall.Call)
	}
	for range 2 {
		for id := range uint64(5) {
			if id != storeCall.Call {
				table.CompleteStore(start, id, &storage.Reply{})
			}
			if id != cloudCall.Call {
				table.CompleteCloud(id, &messages.CloudReply{})
			}
			if id != agentCall.Call {
				table.CompleteAgent(id, &messages.AgentReply{})
			}
		}
	}
	if store+cloud+agent != 0 {
		t.Fatalf("completed by numbers of other calls: %d, %d and %d times", store, cloud, agent)
	}
	for range 2 {
		table.CompleteStore(start, storeCall.Call, &storage.Reply{})
		table.CompleteCloud(cloudCall.Call, &messages.CloudReply{})
		table.CompleteAgent(agentCall.Call, &messages.AgentReply{})
	}
	if store != 1 || cloud != 1 || agent != 1 {
		t.Errorf("completed %d, %d and %d times, want once each", store, cloud, agent)
	}
}

func TestCompletionPassesReply(t *testing.T) {
	table := newTable()
	storeReply, cloudReply, agentReply := &storage.Reply{}, &messages.CloudReply{}, &messages.AgentReply{}
	replies := 0
	call := mustCall(t, table, start, transaction("k"), func(r *storage.Reply) {
		if r == storeReply {
			replies++
		}
	})
	table.CompleteStore(start, call.Call, storeReply)
	table.CompleteCloud(table.Cloud(messages.CloudCall{}, func(r *messages.CloudReply) {
		if r == cloudReply {
			replies++
		}
	}).Call, cloudReply)
	table.CompleteAgent(table.Agent(messages.AgentCall{}, func(r *messages.AgentReply) {
		if r == agentReply {
			replies++
		}
	}).Call, agentReply)
	if replies != 3 {
		t.Errorf("%d callbacks received their reply, want 3", replies)
	}
}

func TestRejectedTransactionBackoff(t *testing.T) {
	table := newTable()
	r := transaction("k")
	call := mustCall(t, table, start, r, func(*storage.Reply) {
		if _, ok := table.Store(start+1, r, storage.Urgent, micros.Second, nil); ok {
			t.Error("the completion callback could send the transaction again immediately")
		}
	})
	later := start + 5*micros.Second
	table.CompleteStore(later, call.Call, &storage.Reply{Outcome: storage.Invalid})
	if _, ok := table.Store(later+1, r, storage.Urgent, micros.Second, nil); ok {
		t.Error("the transaction could be sent again immediately")
	}
	if got := mustCall(t, table, later+1, transaction("other"), nil); got.Call != 2 {
		t.Errorf("call number %d, want 2: requests that are not allowed must not use up a number", got.Call)
	}
}

func TestStoreCallsAreRateLimited(t *testing.T) {
	table := newTable()
	now := start
	for i := range 10 {
		if _, ok := table.Store(now, transaction("k"), storage.Deferrable, micros.Second, nil); !ok {
			t.Fatalf("request %d of ten is not allowed", i+1)
		}
	}
	if _, ok := table.Store(now, transaction("k"), storage.Deferrable, micros.Second, nil); ok {
		t.Error("a deferrable request beyond the limit is allowed")
	}
	mustCall(t, table, now, transaction("k"), nil) // urgent requests may exceed the limit
}

func TestAvailableAgentCalls(t *testing.T) {
	table := newTable()
	require := func(commands, probes int) {
		t.Helper()
		if c, p := table.AvailableAgentCalls(false), table.AvailableAgentCalls(true); c != commands || p != probes {
			t.Errorf("%d commands and %d probes available, want %d and %d", c, p, commands, probes)
		}
	}
	require(9, 6)
	var calls []messages.AgentCall
	for range 7 {
		calls = append(calls, table.Agent(messages.AgentCall{}, func(*messages.AgentReply) {}))
	}
	table.Cloud(messages.CloudCall{}, nil)
	require(2, -1)
	table.CompleteAgent(calls[0].Call, &messages.AgentReply{})
	require(3, 0)
	// Completing the same call twice frees only one.
	table.CompleteAgent(calls[1].Call, &messages.AgentReply{})
	table.CompleteAgent(calls[1].Call, &messages.AgentReply{})
	require(4, 1)
}

// TestAgentCallIsFreedBeforeCallback checks that a completion callback can already make the next call.
func TestAgentCallIsFreedBeforeCallback(t *testing.T) {
	table := newTable()
	available := 0
	call := table.Agent(messages.AgentCall{}, func(*messages.AgentReply) { available = table.AvailableAgentCalls(false) })
	table.CompleteAgent(call.Call, &messages.AgentReply{})
	if available != 9 {
		t.Errorf("%d calls available in the completion callback, want 9", available)
	}
}
