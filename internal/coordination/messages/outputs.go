package messages

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// Output is what a step of the core asks for.
type Output struct {
	Responses    []Response
	StoreCalls   []StoreCall
	CloudCalls   []CloudCall
	AgentCalls   []AgentCall
	PeerMessages []PeerMessage
	LogRecords   []LogRecord
	NextTick     micros.Time // when the next step is due, if no input comes before
}

// ResponseKind is the kind of a response to a user or an agent.
type ResponseKind uint8

// The kinds of responses.
const (
	JobAccepted ResponseKind = iota // a new job
	JobFound                        // the status of a known job
	RequestMalformed
	JobUnschedulable // it can never run
	JobNotFound
	ServiceUnavailable // to be retried after RetryAfter
	Overloaded         // likewise
	// HeartbeatAcknowledged renews the agent lease; it carries FencingToken and Commands.
	HeartbeatAcknowledged
	// HeartbeatRedirected sends the agent to RedirectTo, or to the next controller if that is empty.
	HeartbeatRedirected
)

// JobStatus is what a user is told of a job. Done and Running are numbers of tasks.
type JobStatus struct {
	ID      string
	Phase   workload.Phase
	Done    int
	Running int
}

// Response answers a request. Which fields count depends on its kind.
type Response struct {
	Request    RequestID
	Kind       ResponseKind
	Job        JobStatus
	Text       string // why not
	RetryAfter micros.Time

	RedirectTo   string // a member
	FencingToken uint64
	Commands     []Command
}

// StoreCall is a request to the key-value store.
type StoreCall struct {
	Call    uint64
	Request *storage.Request
	Timeout micros.Time
}

// The levels of log records, as in log/slog.
const (
	LevelDebug = -4
	LevelInfo  = 0
	LevelWarn  = 4
)

// LogRecord is something worth telling the operator.
type LogRecord struct {
	Level      int
	Message    string
	Attributes []any // keys and values in turn
}
