// Package protocol encodes and decodes the wire formats: the JSON of users, agents, cloud and key-value
// store, and the FlatBuffers messages between controllers. Only this package uses the names on the
// wire; all other packages use the terms of the glossary in docs/architecture.md:
//
//	who            wire                                  term
//	users          ref, owner, jobclass                  job id, team, class
//	users          rank, shape array or service          priority, job kind
//	users          shards, hulls, berth, loaners         tasks, instance types, zone, spot
//	users          one_zone, apart                       one zone, spread
//	users          bundle, size_gb                       image and its size
//	users          expect_s, due_s                       estimate, deadline
//	users          snapshot_every_s, snapshot_s          checkpoint interval and duration
//	users          waits_on                              dependencies
//	users          abort                                 cancel
//	agents         report, host, endpoint                heartbeat, machine, its address
//	agents         hull, berth, loaners                  instance type, zone, spot
//	agents         tenure, tick, warrant                 agent epoch, sequence, fencing token
//	agents         recall_s                              preemption notice
//	agents         shard, try, phase, cause              task, attempt number, task state, exit reason
//	agents         stored, saving                        checkpointed, checkpointing
//	agents         orders: run, kill, wind_down_s        commands: start, stop, grace period
//	agents         steward                               address to which a heartbeat is redirected
//	cloud          charter                               id of an instance request
//	cloud          sku, spot_price, boot_s               name, spot price and boot time of an instance type
//	cloud          hosts, ref, held_s                    instances, machine, age
//	store          grants, permit, touch                 leases, lease id, keepalive
//	store          commit, if, stamp                     transaction, compare, mod revision
//	store          ledger, log, rows                     revision, changes, items
//	controllers    queue, token                          partition, fencing token
//	controllers    need, release, gone                   capacity request, to be terminated, terminated
//	controllers    shift, reach, lost                    transfer, reachability, unreachable zones
//	controllers    cancels_heard                         cancellation acknowledgements
package protocol

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/workload"
)

// The wire names of enumeration values. The wire names of fields are in the struct tags of the messages.
var (
	priorities = map[string]workload.Priority{
		"production": workload.Production,
		"urgent":     workload.High,
		"standard":   workload.Normal,
		"low":        workload.Low,
	}
	jobKinds = map[string]workload.JobKind{
		"array":   workload.Array,
		"service": workload.Service,
	}
	taskStates = map[string]messages.TaskState{
		"fetching": messages.Fetching,
		"running":  messages.Running,
		"saving":   messages.Checkpointing,
		"exited":   messages.Exited,
	}
	exitReasons = map[string]messages.ExitReason{
		"done":    messages.ExitCompleted,
		"stopped": messages.ExitStopped,
		"error":   messages.ExitFailed,
		"no_room": messages.ExitInsufficientResources,
		"busy":    messages.ExitDuplicateTask,
		"unknown": messages.ExitUnknownTask,
	}
	operationNames = map[messages.Operation]string{
		messages.Start:  "run",
		messages.Stop:   "kill",
		messages.Forget: "forget",
	}
)

// The phases of a job, as reported to users.
const (
	phaseQueued    = "queued"
	phaseRunning   = "running"
	phaseDone      = "done"
	phaseCancelled = "cancelled"
)

// The phases of an instance in the cloud's list. Instances in other phases count as neither running nor
// failed.
const (
	instanceRunning = "running"
	instanceFailed  = "failed"
)

// The errors of the cloud and the key-value store that are handled separately from other errors.
const (
	errorNoCapacity  = "no capacity"
	errorNoSuchLease = "no such lease"
)
