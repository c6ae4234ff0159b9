package messages

import (
	"cmp"
	"fmt"
	"strings"

	"pipitlatch/internal/micros"
)

// TaskState is the state of a task on a machine, as reported by the machine's agent.
type TaskState uint8

// The states of a task on a machine.
const (
	Fetching TaskState = iota // waiting for its image
	Running
	Checkpointing // saving its progress after a command to stop
	Exited
)

// ExitReason says why a task exited.
type ExitReason uint8

// The exit reasons. The last three mean that the agent refused to start the task.
const (
	NotExited ExitReason = iota
	ExitCompleted
	ExitStopped
	ExitFailed
	ExitInsufficientResources // the machine's free resources do not suffice
	ExitDuplicateTask         // the machine already has another attempt at the task
	ExitUnknownTask           // the agent knows no such job or task
)

// String returns the reason as written to the log.
func (r ExitReason) String() string {
	switch r {
	case NotExited:
		return "not exited"
	case ExitCompleted:
		return "completed"
	case ExitStopped:
		return "stopped"
	case ExitFailed:
		return "failed"
	case ExitInsufficientResources:
		return "insufficient resources"
	case ExitDuplicateTask:
		return "duplicate task"
	case ExitUnknownTask:
		return "unknown task"
	}
	return "unknown reason"
}

// AttemptID identifies one attempt at a task.
type AttemptID struct {
	Job    string
	Task   int
	Number uint64
}

// Compare orders attempts by job, task and number.
func (id AttemptID) Compare(other AttemptID) int {
	return cmp.Or(
		cmp.Compare(id.Job, other.Job),
		cmp.Compare(id.Task, other.Task),
		cmp.Compare(id.Number, other.Number),
	)
}

// String returns the attempt as written to the log, for example "wk-000412/3@644874491".
func (id AttemptID) String() string { return fmt.Sprintf("%s/%d@%d", id.Job, id.Task, id.Number) }

// TaskStatus is the part of a heartbeat that describes one attempt.
type TaskStatus struct {
	AttemptID
	State        TaskState
	ExitReason   ExitReason
	Checkpointed bool // its progress was saved before it stopped
}

// Heartbeat is an agent's report on its machine, sent periodically or in reply to a call.
type Heartbeat struct {
	Machine      string
	Address      string
	InstanceType string
	Zone         string
	Spot         bool

	AgentEpoch   uint64 // increases each time the agent lease expires
	Sequence     uint64 // increases with every heartbeat of the epoch
	FencingToken uint64 // the highest that the agent has seen

	PreemptionNotice micros.Time // time until the cloud reclaims the machine; negative: no notice
	Tasks            []TaskStatus
}

// Operation is the operation of a command.
type Operation uint8

// The operations.
const (
	Start  Operation = iota
	Stop             // allows the task the grace period to save its progress, then kills it
	Forget           // removes an exited attempt from the heartbeats
)

// String returns the operation as written to the log.
func (o Operation) String() string {
	switch o {
	case Start:
		return "start"
	case Stop:
		return "stop"
	case Forget:
		return "forget"
	}
	return "unknown operation"
}

// Command is a command to an agent.
type Command struct {
	Operation Operation
	AttemptID
	GracePeriod micros.Time // for Stop
}

// String returns the command as written to the log.
func (c Command) String() string { return c.Operation.String() + " " + c.AttemptID.String() }

// CommandList is a list of commands, as an attribute of a log record.
type CommandList []Command

// String returns the commands in order. The log calls it only for records that are written.
func (l CommandList) String() string {
	return joinTexts(l)
}

// AttemptList is a list of attempts, as an attribute of a log record.
type AttemptList []AttemptID

// String returns the attempts in order. The log calls it only for records that are written.
func (l AttemptList) String() string { return joinTexts(l) }

func joinTexts[T fmt.Stringer](list []T) string {
	texts := make([]string, len(list))
	for i, item := range list {
		texts[i] = item.String()
	}
	return strings.Join(texts, ", ")
}
