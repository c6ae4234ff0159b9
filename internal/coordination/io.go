// Package coordination is the service's core: a deterministic state machine.
// Inputs (requests, completions, timers) go in; answers, calls and messages to
// siblings come out. There is no clock, goroutine, lock or I/O inside.
package coordination

import (
	"pipitlatch/internal/admission"
	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/coordination/fleet"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// TaskState is what a worker says of a task.
type TaskState uint8

// The states of a task on a machine.
const (
	Fetching TaskState = iota
	Running
	Saving
	Exited
)

// Cause says why a task exited.
type Cause uint8

// The causes of an exit.
const (
	NoCause Cause = iota
	CauseDone
	CauseStopped
	CauseError
	CauseNoRoom
	CauseBusy
	CauseUnknown
)

// AttemptID names one attempt at a task.
type AttemptID struct {
	Job    string
	Task   int
	Number uint64
}

// TaskReport is one line of a worker's report.
type TaskReport struct {
	AttemptID
	State TaskState
	Cause Cause
	Saved bool
}

// Report is what a worker says of itself.
type Report struct {
	Machine string
	Address string
	Type    string
	Zone    string
	Spot    bool
	Session uint64
	Seq     uint64
	Token   uint64
	Notice  micros.Time // until the cloud takes the machine; negative: no notice
	Tasks   []TaskReport
}

// Op is what a command does.
type Op uint8

// The commands.
const (
	Start Op = iota
	Stop
	Forget
)

// Command is one command to a worker.
type Command struct {
	Op Op
	AttemptID
	Grace micros.Time
}

// RequestID is the driver's name of a request that waits for an answer.
type RequestID uint64

// Submit is a submission. Job is nil, and Fault says why, if it is malformed.
type Submit struct {
	Request RequestID
	ID      string
	Job     *bookkeeping.Job
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

// Shed tells that a submission was refused before it was read, for lack of room.
type Shed struct{}

// ReportIn is a worker's report that wants an answer.
type ReportIn struct {
	Request RequestID
	Report  *Report
}

// StateDone completes a call to the state service.
type StateDone struct {
	Call  uint64
	Reply *storage.Reply
}

// CloudDone completes a call to the cloud.
type CloudDone struct {
	Call  uint64
	Reply *CloudReply
}

// WorkerDone completes a call to a worker.
type WorkerDone struct {
	Call  uint64
	Reply *WorkerReply
}

// Input is one of the types above, a *Status of a sibling, or nil for a timer.
type Input any

// AnswerKind is the kind of an answer.
type AnswerKind uint8

// The kinds of answers.
const (
	Accepted AnswerKind = iota // a new job
	View                       // a job's state
	Malformed
	Impossible
	Missing
	Unavailable // come back after RetryAfter
	Overloaded  // likewise
	Orders      // to a worker
	Elsewhere   // to a worker: report to Steward, if that is not empty
)

// JobView is what a user is told of a job.
type JobView struct {
	ID      string
	Phase   bookkeeping.Phase
	Done    int
	Running int
}

// Answer answers a request.
type Answer struct {
	Request    RequestID
	Kind       AnswerKind
	Job        JobView
	Text       string
	RetryAfter micros.Time
	Steward    string
	Token      uint64
	Commands   []Command
}

// StateCall is a request to the state service.
type StateCall struct {
	Call    uint64
	Request *storage.Request
	Timeout micros.Time
}

// CloudKind is the kind of a request to the cloud.
type CloudKind uint8

// The requests to the cloud.
const (
	CloudCatalog CloudKind = iota
	CloudRent
	CloudDelete
	CloudList
)

// CloudCall is a request to the cloud.
type CloudCall struct {
	Call    uint64
	Kind    CloudKind
	Charter string
	Rental  fleet.InstanceRequest
	Names   []string // CloudDelete
	After   string   // CloudList
	Limit   int
	Timeout micros.Time
}

// CloudOutcome is what became of a request to the cloud.
type CloudOutcome uint8

// The outcomes. CloudLost may have been, or may still be, executed.
const (
	CloudOK CloudOutcome = iota
	CloudNoCapacity
	CloudRefused
	CloudLost
)

// Listed is a machine in the cloud's list.
type Listed struct {
	Machine string
	Address string
	Type    string
	Zone    string
	Spot    bool
	Running bool
	Failed  bool
	Age     micros.Time
}

// CloudReply is the cloud's answer.
type CloudReply struct {
	Outcome CloudOutcome
	Catalog bookkeeping.Catalog
	Names   []string
	Listed  []Listed
	More    bool
}

// WorkerCall sends commands straight to a worker, or asks for its report if
// Show is set.
type WorkerCall struct {
	Call     uint64
	Machine  string
	Address  string
	Token    uint64
	Session  uint64
	Commands []Command
	Show     bool
	Timeout  micros.Time
}

// WorkerReply is a worker's answer. Without a report, there was none.
type WorkerReply struct {
	Executed bool
	Report   *Report
}

// QueueStatus is what a queue's holder tells the leader.
type QueueStatus struct {
	Queue   int
	Token   uint64
	Needs   []fleet.CapacityRequest
	Release []string // machines to delete
	Idle    []string // machines that could go to another queue
	Lost    []string // zones whose machines its holder does not hear

	Lags []admission.FlowLag // of flows behind their fair share
}

// JobProgress is what a holder knows of a job, for display elsewhere.
type JobProgress struct {
	ID      string
	Done    int
	Running int
}

// Shift asks a holder to let a machine go to another queue.
type Shift struct {
	Machine string
	To      int
}

// Status is what controllers tell each other.
type Status struct {
	From     storage.Process
	Revision uint64
	StateOK  bool
	Queues   []QueueStatus
	Gone     []string // machines that are surely gone
	Shifts   []Shift
	Progress []JobProgress
	Used     storage.Usage // of the state service's limits
	Reach    []ZoneReach   // of machines that their holder does not hear

	Cancelled     []string // jobs that the receiver may not know to be cancelled
	CancelledUpTo uint64   // number of the last of them
	CancelsHeard  []CancelsHeard

	Demand *admission.Demand // what this controller was asked for; nil: nothing new
}

// ZoneReach is how many machines of a queue in a zone answered a controller, of
// those that it asked.
type ZoneReach struct {
	Queue    int
	Zone     string
	Asked    int
	Answered int
}

// PeerSend is a message to a sibling.
type PeerSend struct {
	To     string
	Status *Status
}

// Output is what a step asks the driver to do.
type Output struct {
	Answers []Answer
	State   []StateCall
	Cloud   []CloudCall
	Workers []WorkerCall
	Peers   []PeerSend
	Log     []LogLine
	Wake    micros.Time // when the next timer is due
}

// LogLine is something worth telling the operator.
type LogLine struct {
	Level int // as in log/slog
	Text  string
	Args  []any
}
