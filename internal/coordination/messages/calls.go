package messages

import (
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// CloudOperation is what is asked of the cloud.
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
	Call      uint64
	Operation CloudOperation
	Timeout   micros.Time

	// CloudRequestInstances: a request that is sent again under the same id has the same result.
	InstanceRequestID string
	InstanceRequest   provisioning.InstanceRequest

	Names []string // CloudTerminate

	After string // CloudList: the last machine of the page before
	Limit int    // CloudList: machines in a page at most
}

// CloudOutcome is what became of a request to the cloud.
type CloudOutcome uint8

// The outcomes.
const (
	CloudOK CloudOutcome = iota
	// CloudInsufficientCapacity: the cloud granted fewer instances than were requested.
	CloudInsufficientCapacity
	CloudRejected
	// CloudOutcomeUnknown: the request may have been, or may still be, executed.
	CloudOutcomeUnknown
)

// CloudReply is the cloud's reply to a request.
type CloudReply struct {
	Outcome   CloudOutcome
	Catalog   workload.Catalog // CloudCatalog
	Names     []string         // CloudRequestInstances: the instances granted
	Instances []Instance       // CloudList: a page
	More      bool             // CloudList: there are further pages
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

// AgentCall sends commands to a machine's agent, or only asks for its status.
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

// AgentReply is an agent's reply to a call. Without a heartbeat there was none.
type AgentReply struct {
	Executed  bool
	Heartbeat *Heartbeat
}
