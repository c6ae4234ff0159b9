package messages

import (
	"cmp"

	"pipitlatch/internal/micros"
)

// TaskState is the state of a task on a machine, as its agent reports it.
type TaskState uint8

// The states of a task on a machine.
const (
	Fetching TaskState = iota // waits for its image
	Running
	Checkpointing // was told to stop and saves its progress
	Exited
)

// ExitReason says why a task exited.
type ExitReason uint8

// The reasons of an exit. The last three mean that the agent refused to start the task.
const (
	NotExited ExitReason = iota
	ExitCompleted
	ExitStopped
	ExitFailed
	ExitInsufficientResources // bin packing: the machine has not enough left
	ExitDuplicateTask         // the machine has the task under another attempt
	ExitUnknownTask           // there is no such job or task, as far as the agent knows
)

// String returns the reason as it appears in the log.
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

// TaskStatus is the part of a heartbeat on one attempt.
type TaskStatus struct {
	AttemptID
	State        TaskState
	ExitReason   ExitReason
	Checkpointed bool // its progress was saved when it was stopped
}

// Heartbeat is what an agent says of its machine: on its own, or in reply to a call.
type Heartbeat struct {
	Machine      string
	Address      string
	InstanceType string
	Zone         string
	Spot         bool

	AgentEpoch   uint64 // grows each time the agent lease expires
	Sequence     uint64 // grows with every heartbeat of the epoch
	FencingToken uint64 // the highest one that the agent has seen

	PreemptionNotice micros.Time // how long until the cloud takes the machine; negative: no notice
	Tasks            []TaskStatus
}

// Operation is what a command does.
type Operation uint8

// The commands.
const (
	Start  Operation = iota
	Stop             // lets the task save its progress within the grace period, then ends it
	Forget           // drops an exited attempt from the heartbeats
)

// Command is one command to an agent.
type Command struct {
	Operation Operation
	AttemptID
	GracePeriod micros.Time // of Stop
}
