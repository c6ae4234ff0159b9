package messages

import (
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

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

// RequestID identifies a request that waits for a response.
type RequestID uint64

// Submit is a submission. If it is malformed, Job is nil and Fault says why.
type Submit struct {
	Request RequestID
	ID      string
	Job     *workload.Job
	Fault   string
}

// Lookup asks for a job's status.
type Lookup struct {
	Request RequestID
	ID      string
}

// Cancel asks to cancel a job.
type Cancel struct {
	Request RequestID
	ID      string
}

// LoadShed tells that a submission was refused before it was read: too many were in progress.
type LoadShed struct{}

// HeartbeatRequest is a heartbeat that waits for a response.
type HeartbeatRequest struct {
	Request   RequestID
	Heartbeat *Heartbeat
}

// StoreCompletion completes a StoreCall.
type StoreCompletion struct {
	Call  uint64
	Reply *storage.Reply
}

// CloudCompletion completes a CloudCall.
type CloudCompletion struct {
	Call  uint64
	Reply *CloudReply
}

// AgentCompletion completes an AgentCall.
type AgentCompletion struct {
	Call  uint64
	Reply *AgentReply
}
