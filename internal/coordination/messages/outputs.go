package messages

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// Output is the output of a step of the core.
type Output struct {
	Responses    []Response
	StoreCalls   []StoreCall
	CloudCalls   []CloudCall
	AgentCalls   []AgentCall
	PeerMessages []PeerMessage
	LogRecords   []LogRecord
	NextTick     micros.Time // when the next step is due if no input arrives before
}

// ResponseKind is the kind of a response to a user or an agent.
type ResponseKind uint8

// The kinds of responses.
const (
	JobAccepted ResponseKind = iota // the job is new
	JobFound                        // the status of a known job
	RequestMalformed
	JobUnschedulable // the job can never run
	JobNotFound
	ServiceUnavailable // to be retried after RetryAfter
	Overloaded         // to be retried after RetryAfter
	// HeartbeatAcknowledged renews the agent lease; FencingToken and Commands are set.
	HeartbeatAcknowledged
	// HeartbeatRedirected refers the agent to RedirectTo, or to the next controller if that is empty.
	HeartbeatRedirected
)

// JobStatus is the status of a job as reported to users. Done and Running are numbers of tasks.
type JobStatus struct {
	ID      string
	Phase   workload.Phase
	Done    int
	Running int
}

// Response is the response to a request. Which fields are used depends on its kind.
type Response struct {
	Request    RequestID
	Kind       ResponseKind
	Job        JobStatus
	Reason     string // the reason for a refusal
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

// LogRecord is a record for the controller's log.
type LogRecord struct {
	Level      int
	Message    string
	Attributes []any // alternating keys and values
}
