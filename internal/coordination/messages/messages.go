// Package messages holds what goes into the core and what comes out of it: requests of users and
// agents, completions of calls, messages between controllers, and the responses, calls and log
// records that a step of the core asks for. The transport layer carries them, package protocol
// maps them to the wire.
package messages

import (
	"cmp"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// TaskState is what a worker says of a task.
type TaskState uint8

// The states of a task on a machine.
const (
	Fetching TaskState = iota
	Running
	Checkpointing
	Exited
)

// ExitReason says why a task exited.
type ExitReason uint8

// The causes of an exit.
const (
	NotExited ExitReason = iota
	ExitCompleted
	ExitStopped
	ExitFailed
	ExitInsufficientResources
	ExitDuplicateTask
	ExitUnknownTask
)

// AttemptID names one attempt at a task.
type AttemptID struct {
	Job    string
	Task   int
	Number uint64
}

// Compare orders attempts by job, task and number.
func (id AttemptID) Compare(o AttemptID) int {
	return cmp.Or(cmp.Compare(id.Job, o.Job), cmp.Compare(id.Task, o.Task), cmp.Compare(id.Number, o.Number))
}

// TaskStatus is one line of a worker's report.
type TaskStatus struct {
	AttemptID
	State        TaskState
	ExitReason   ExitReason
	Checkpointed bool
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine          string
	Address          string
	InstanceType     string
	Zone             string
	Spot             bool
	AgentEpoch       uint64
	Sequence         uint64
	FencingToken     uint64
	PreemptionNotice micros.Time // until the cloud takes the machine; negative: no notice
	Tasks            []TaskStatus
}

// Operation is what a command does.
type Operation uint8

// The commands.
const (
	Start Operation = iota
	Stop
	Forget
)

// Command is one command to a worker.
type Command struct {
	Operation Operation
	AttemptID
	GracePeriod micros.Time
}

// RequestID is the driver's name of a request that waits for an answer.
type RequestID uint64

// Submit is a submission. Job is nil, and Fault says why, if it is malformed.
type Submit struct {
	Request RequestID
	ID      string
	Job     *workload.Job
	Fault   string
}

// Lookup asks for a job's state.
type Lookup struct {
	Request RequestID
	ID      string
}

// Cancel asks to cancel a job.
type Cancel struct {
	Request RequestID
	ID      string
}

// LoadShed tells that a submission was refused before it was read, for lack of room.
type LoadShed struct{}

// HeartbeatRequest is a worker's report that wants an answer.
type HeartbeatRequest struct {
	Request   RequestID
	Heartbeat *Heartbeat
}

// StoreCompletion completes a call to the state service.
type StoreCompletion struct {
	Call  uint64
	Reply *storage.Reply
}

// CloudCompletion completes a call to the cloud.
type CloudCompletion struct {
	Call  uint64
	Reply *CloudReply
}

// AgentCompletion completes a call to a worker.
type AgentCompletion struct {
	Call  uint64
	Reply *AgentReply
}

// Input is an input of the core: a request, the completion of a call, or a peer's status. That
// time has passed is no input: a step may have none.
type Input interface{ isInput() }

func (*Submit) isInput()           {}
func (*Lookup) isInput()           {}
func (*Cancel) isInput()           {}
func (*LoadShed) isInput()         {}
func (*HeartbeatRequest) isInput() {}
func (*StoreCompletion) isInput()  {}
func (*CloudCompletion) isInput()  {}
func (*AgentCompletion) isInput()  {}
func (*PeerStatus) isInput()       {}

// ResponseKind is the kind of an answer.
type ResponseKind uint8

// The kinds of answers.
const (
	JobAccepted ResponseKind = iota // a new job
	JobFound                        // a job's state
	RequestMalformed
	JobUnschedulable
	JobNotFound
	ServiceUnavailable    // come back after RetryAfter
	Overloaded            // likewise
	HeartbeatAcknowledged // to a worker
	HeartbeatRedirected   // to a worker: report to Steward, if that is not empty
)

// JobStatus is what a user is told of a job.
type JobStatus struct {
	ID      string
	Phase   workload.Phase
	Done    int
	Running int
}

// Response answers a request.
type Response struct {
	Request      RequestID
	Kind         ResponseKind
	Job          JobStatus
	Text         string
	RetryAfter   micros.Time
	RedirectTo   string
	FencingToken uint64
	Commands     []Command
}

// StoreCall is a request to the state service.
type StoreCall struct {
	Call    uint64
	Request *storage.Request
	Timeout micros.Time
}

// CloudOperation is the kind of a request to the cloud.
type CloudOperation uint8

// The requests to the cloud.
const (
	CloudCatalog CloudOperation = iota
	CloudRequestInstances
	CloudTerminate
	CloudList
)

// CloudCall is a request to the cloud.
type CloudCall struct {
	Call              uint64
	Operation         CloudOperation
	InstanceRequestID string
	InstanceRequest   provisioning.InstanceRequest
	Names             []string // CloudTerminate
	After             string   // CloudList
	Limit             int
	Timeout           micros.Time
}

// CloudOutcome is what became of a request to the cloud.
type CloudOutcome uint8

// The outcomes. CloudOutcomeUnknown may have been, or may still be, executed.
const (
	CloudOK CloudOutcome = iota
	CloudInsufficientCapacity
	CloudRejected
	CloudOutcomeUnknown
)

// Instance is a machine in the cloud's list.
type Instance struct {
	Machine      string
	Address      string
	InstanceType string
	Zone         string
	Spot         bool
	Running      bool
	Failed       bool
	Age          micros.Time
}

// CloudReply is the cloud's answer.
type CloudReply struct {
	Outcome   CloudOutcome
	Catalog   workload.Catalog
	Names     []string
	Instances []Instance
	More      bool
}

// AgentCall sends commands straight to a worker, or asks for its report if
// Show is set.
type AgentCall struct {
	Call         uint64
	Machine      string
	Address      string
	FencingToken uint64
	AgentEpoch   uint64
	Commands     []Command
	StatusOnly   bool
	Timeout      micros.Time
}

// AgentReply is a worker's answer. Without a report, there was none.
type AgentReply struct {
	Executed  bool
	Heartbeat *Heartbeat
}

// PartitionStatus is what a queue's holder tells the leader.
type PartitionStatus struct {
	Partition        int
	FencingToken     uint64
	CapacityRequests []provisioning.CapacityRequest
	Terminate        []string // machines to delete
	Idle             []string // machines that could go to another queue
	UnreachableZones []string // zones whose machines its holder does not hear

	Lags []admission.FlowLag // of flows behind their fair share
}

// JobProgress is what a holder knows of a job, for display elsewhere.
type JobProgress struct {
	ID      string
	Done    int
	Running int
}

// MachineTransfer asks a holder to let a machine go to another queue.
type MachineTransfer struct {
	Machine     string
	ToPartition int
}

// PeerStatus is what controllers tell each other.
type PeerStatus struct {
	From               storage.Process
	Revision           uint64
	StoreReachable     bool
	Partitions         []PartitionStatus
	TerminatedMachines []string // machines that are surely gone
	Transfers          []MachineTransfer
	Progress           []JobProgress
	Usage              storage.Usage      // of the state service's limits
	Reachability       []ZoneReachability // of machines that their holder does not hear

	Cancelled        []string // jobs that the receiver may not know to be cancelled
	CancelledUpTo    uint64   // number of the last of them
	CancellationAcks []CancellationAck

	Demand *admission.Demand // what this controller was asked for; nil: nothing new
}

// ZoneReachability is how many machines of a queue in a zone answered a controller, of
// those that it asked.
type ZoneReachability struct {
	Partition int
	Zone      string
	Probed    int
	Answered  int
}

// PeerMessage is a message to a sibling.
type PeerMessage struct {
	To     string
	Status *PeerStatus
}

// Output is what a step asks the driver to do.
type Output struct {
	Responses    []Response
	StoreCalls   []StoreCall
	CloudCalls   []CloudCall
	AgentCalls   []AgentCall
	PeerMessages []PeerMessage
	LogRecords   []LogRecord
	NextTick     micros.Time // when the next timer is due
}

// The levels of log records, as in log/slog.
const (
	LevelDebug = -4
	LevelInfo  = 0
	LevelWarn  = 4
)

// LogRecord is something worth telling the operator.
type LogRecord struct {
	Level      int // as in log/slog
	Message    string
	Attributes []any
}

// CancellationAck is how far the notices of a process came.
type CancellationAck struct {
	From storage.Process
	UpTo uint64
}
