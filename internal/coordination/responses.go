package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// defaultRetryAfter is when a client that was turned away may try again.
const defaultRetryAfter = micros.Second

// unavailableReason is why a request cannot be served now. Users are told; agents get the same text
// whatever the reason.
type unavailableReason string

const (
	// storeUnavailable: the key-value store did not answer, or is known to be out of reach.
	storeUnavailable unavailableReason = "the state service does not answer"
	// olderVersionRunning: a member might become partition leader that cannot read the record.
	olderVersionRunning unavailableReason = "an older version is still running"
	// concurrentChange: the job's record changed meanwhile.
	concurrentChange unavailableReason = "try again"

	// The reasons below are for heartbeats: they are not sent, and keep the words of the first version.

	// starting: this controller has not read the store yet.
	starting unavailableReason = "starting"
	// unknownMachine: no record has the machine.
	unknownMachine unavailableReason = "unknown machine"
	// noClusterLeader: nobody is known who could take an unmanaged instance on.
	noClusterLeader unavailableReason = "no leader"
	// noPartitionLeader: nobody is known who leads the machine's partition.
	noPartitionLeader unavailableReason = "no holder"
	// staleHeartbeat: the heartbeat is a late copy, or of an agent that began anew.
	staleHeartbeat unavailableReason = "old report"
	// machineDecommissioned: the machine is to be terminated, and its agent lease to expire.
	machineDecommissioned unavailableReason = "machine is given up"
)

// String returns the reason as users get it. The texts are part of the wire protocol.
func (r unavailableReason) String() string { return string(r) }

// unschedulableReason is why a job can never run, as its user is told.
type unschedulableReason string

const (
	schedulable        unschedulableReason = "" // no reason
	unknownTeam        unschedulableReason = "unknown team"
	exceedsTeamLimit   unschedulableReason = "needs more than the team's limit"
	fitsNoInstanceType unschedulableReason = "a task fits no allowed machine type"
	recordTooLarge     unschedulableReason = "its description is too long to be kept"
	dependsOnItself    unschedulableReason = "it waits on itself"

	// The reasons below are followed by the id of the dependency, see dependency.

	dependsOnUnknownJob unschedulableReason = "it waits on a job that was never accepted"
	// dependsOnService: a service ends only by cancellation, so that the job could never run.
	dependsOnService unschedulableReason = "it waits on a service"
)

// String returns the reason as the user gets it. The texts are part of the wire protocol.
func (r unschedulableReason) String() string { return string(r) }

// dependency is the reason with the id of the dependency that it is about.
func (r unschedulableReason) dependency(id string) unschedulableReason {
	return r + ": " + unschedulableReason(id)
}

func (c *Core) respond(response messages.Response) {
	c.output.Responses = append(c.output.Responses, response)
}

// respondUnavailable tells a client to come back later.
func (c *Core) respondUnavailable(request messages.RequestID, reason unavailableReason) {
	c.respond(messages.Response{
		Request:    request,
		Kind:       messages.ServiceUnavailable,
		Reason:     reason.String(),
		RetryAfter: defaultRetryAfter,
	})
}

// respondWritesExhausted tells a user that the store's budget of writes has no room for a change now.
func (c *Core) respondWritesExhausted(request messages.RequestID) {
	c.respond(messages.Response{
		Request:    request,
		Kind:       messages.Overloaded,
		Reason:     "too many changes",
		RetryAfter: defaultRetryAfter,
	})
}

// respondNotFound tells a user that there is no such job.
func (c *Core) respondNotFound(request messages.RequestID) {
	c.respond(messages.Response{Request: request, Kind: messages.JobNotFound})
}
