package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// environment gives the components of the core, which are subpackages, access to the time, to calls
// and to the log. Each component declares the interface that it requires.
type environment struct{ core *Core }

// Now returns the monotonic time of this step.
func (e environment) Now() micros.Time { return e.core.now }

// WallClock returns the time of day of this step.
func (e environment) WallClock() micros.Time { return e.core.wall }

// Log adds a record to the log. The attributes are alternating keys and values.
func (e environment) Log(level int, message string, attributes ...any) {
	e.core.log(level, message, attributes...)
}

// CallStore sends a request to the key-value store. If the request budget does not allow it now,
// CallStore returns false and done is never called.
func (e environment) CallStore(
	r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply),
) bool {
	return e.core.callStore(r, urgency, timeout, done)
}

// CallCloud sends a request to the cloud.
func (e environment) CallCloud(call messages.CloudCall, done func(*messages.CloudReply)) {
	e.core.callCloud(call, done)
}

// CallAgent sends a request to a machine's agent.
func (e environment) CallAgent(call messages.AgentCall, done func(*messages.AgentReply)) {
	e.core.callAgent(call, done)
}

// AvailableAgentCalls returns the number of calls to agents that may be sent now, as probes or as
// commands.
func (e environment) AvailableAgentCalls(probe bool) int {
	return e.core.availableAgentCalls(probe)
}

func (c *Core) callStore(
	r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply),
) bool {
	call, ok := c.calls.Store(c.now, r, urgency, timeout, done)
	if ok {
		c.output.StoreCalls = append(c.output.StoreCalls, call)
	}
	return ok
}

func (c *Core) callCloud(call messages.CloudCall, done func(*messages.CloudReply)) {
	c.output.CloudCalls = append(c.output.CloudCalls, c.calls.Cloud(call, done))
}

func (c *Core) callAgent(call messages.AgentCall, done func(*messages.AgentReply)) {
	c.output.AgentCalls = append(c.output.AgentCalls, c.calls.Agent(call, done))
}

func (c *Core) availableAgentCalls(probe bool) int { return c.calls.AvailableAgentCalls(probe) }

func (c *Core) log(level int, message string, attributes ...any) {
	record := messages.LogRecord{Level: level, Message: message, Attributes: attributes}
	c.output.LogRecords = append(c.output.LogRecords, record)
}
