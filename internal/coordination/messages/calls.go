package messages

import (
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// CloudOperation is the operation of a request to the cloud.
type CloudOperation uint8

// The cloud operations.
const (
	CloudCatalog CloudOperation = iota
	CloudRequestInstances
	CloudTerminate
	CloudList
)

// CloudCall is a request to the cloud.
type CloudCall struct {
	Call      uint64
	Operation CloudOperation
	Timeout   micros.Time

	// CloudRequestInstances: repeating a request with the same ID is idempotent.
	InstanceRequestID string
	InstanceRequest   provisioning.InstanceRequest

	Names []string // CloudTerminate

	After string // CloudList: the last machine of the previous page
	Limit int    // CloudList: maximum number of machines in a page
}

// CloudOutcome is the outcome of a request to the cloud.
type CloudOutcome uint8

// The outcomes.
const (
	CloudOK CloudOutcome = iota
	// CloudInsufficientCapacity: the cloud granted fewer instances than were requested.
	CloudInsufficientCapacity
	CloudRejected
	// CloudOutcomeUnknown: the request may have been executed, or may still be.
	CloudOutcomeUnknown
)

// CloudReply is the cloud's reply to a request.
type CloudReply struct {
	Outcome   CloudOutcome
	Catalog   workload.Catalog // CloudCatalog
	Names     []string         // CloudRequestInstances: the instances granted
	Instances []Instance       // CloudList: the machines of the page
	More      bool             // CloudList: more pages follow
}

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

// AgentCall sends commands to a machine's agent, or only requests its status.
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

// AgentReply is the result of a call to an agent. Heartbeat is nil if the agent did not reply.
type AgentReply struct {
	Executed  bool
	Heartbeat *Heartbeat
}
