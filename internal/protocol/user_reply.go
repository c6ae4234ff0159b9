package protocol

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/workload"
)

// JobState is the reply to a user's request concerning a job.
type JobState struct {
	Ref     string `json:"ref"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// EncodeJobStatus encodes a job's state.
func EncodeJobStatus(job messages.JobStatus) []byte {
	state := JobState{Ref: job.ID, Phase: phaseQueued, Done: job.Done, Running: job.Running}
	switch {
	case job.Phase == workload.Done:
		state.Phase = phaseDone
	case job.Phase == workload.Cancelled:
		state.Phase = phaseCancelled
	case job.Running > 0:
		state.Phase = phaseRunning
	}
	return mustJSON(state)
}

// EncodeError encodes the reason why a request was refused.
func EncodeError(reason string) []byte {
	return mustJSON(struct {
		Error string `json:"error"`
	}{reason})
}
