package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// defaultRetryAfter is the time after which a client whose request was refused may retry.
const defaultRetryAfter = micros.Second

// unavailableReason is the reason why a request cannot be served now. Users receive it; agents receive
// the same text for every reason.
type unavailableReason string

const (
	// storeUnavailable: the key-value store did not answer or is known to be unreachable.
	storeUnavailable unavailableReason = "the state service does not answer"
	// olderVersionRunning: a member whose version ignores dependencies is registered and might become
	// partition leader, or the record format does not support dependencies yet.
	olderVersionRunning unavailableReason = "an older version is still running"
	// concurrentChange: the job's record was changed concurrently.
	concurrentChange unavailableReason = "try again"

	// The reasons below are for heartbeats. They are not sent, and keep the texts of the first version.

	// starting: this controller has not read the store yet.
	starting unavailableReason = "starting"
	// unknownMachine: the machine is in no record.
	unknownMachine unavailableReason = "unknown machine"
	// noClusterLeader: no cluster leader is known that could adopt the unmanaged instance.
	noClusterLeader unavailableReason = "no leader"
	// noPartitionLeader: no leader of the machine's partition is known.
	noPartitionLeader unavailableReason = "no holder"
	// staleHeartbeat: the heartbeat is a delayed duplicate, or its agent was restarted.
	staleHeartbeat unavailableReason = "old report"
	// machineDecommissioned: the machine is to be terminated, and its agent lease must expire.
	machineDecommissioned unavailableReason = "machine is given up"
)

// String returns the text that users receive. The texts are part of the wire protocol.
func (r unavailableReason) String() string { return string(r) }

// unschedulableReason is the reason why a job can never run, which its user receives.
type unschedulableReason string

const (
	schedulable        unschedulableReason = "" // no reason
	unknownTeam        unschedulableReason = "unknown team"
	exceedsTeamLimit   unschedulableReason = "needs more than the team's limit"
	fitsNoInstanceType unschedulableReason = "a task fits no allowed machine type"
	recordTooLarge     unschedulableReason = "its description is too long to be kept"
	dependsOnItself    unschedulableReason = "it waits on itself"

	// withDependency appends the id of the dependency to the reasons below.

	dependsOnUnknownJob unschedulableReason = "it waits on a job that was never accepted"
	// dependsOnService: a service ends only by cancellation, so the job could never run.
	dependsOnService unschedulableReason = "it waits on a service"
)

// String returns the text that the user receives. The texts are part of the wire protocol.
func (r unschedulableReason) String() string { return string(r) }

// withDependency returns the reason with the id of the dependency that causes it appended.
func (r unschedulableReason) withDependency(id string) unschedulableReason {
	return r + ": " + unschedulableReason(id)
}

func (c *Core) respond(response messages.Response) {
	c.output.Responses = append(c.output.Responses, response)
}

// respondUnavailable tells a client to retry later.
func (c *Core) respondUnavailable(request messages.RequestID, reason unavailableReason) {
	c.respond(messages.Response{
		Request:    request,
		Kind:       messages.ServiceUnavailable,
		Reason:     reason.String(),
		RetryAfter: defaultRetryAfter,
	})
}

// respondWritesExhausted refuses a user's change because the store's write budget is exhausted.
func (c *Core) respondWritesExhausted(request messages.RequestID) {
	c.respond(messages.Response{
		Request:    request,
		Kind:       messages.Overloaded,
		Reason:     "too many changes",
		RetryAfter: defaultRetryAfter,
	})
}

// respondNotFound tells a user that the job does not exist.
func (c *Core) respondNotFound(request messages.RequestID) {
	c.respond(messages.Response{Request: request, Kind: messages.JobNotFound})
}
