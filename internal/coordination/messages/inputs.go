package messages

import (
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// Input is an input of the core: a request, the completion of a call, or a peer's status. Steps that
// are due only because time has passed have no input.
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

// RequestID identifies a request that awaits a response.
type RequestID uint64

// Submit is the submission of a job. If it is malformed, Job is nil and Fault states the reason.
type Submit struct {
	Request RequestID
	ID      string
	Job     *workload.Job
	Fault   string
}

// Lookup requests the status of a job.
type Lookup struct {
	Request RequestID
	ID      string
}

// Cancel requests the cancellation of a job.
type Cancel struct {
	Request RequestID
	ID      string
}

// LoadShed reports that a submission was refused before it was read, because too many were in
// progress.
type LoadShed struct{}

// HeartbeatRequest is a heartbeat that awaits a response.
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
