// Package coordination is the service's core: a deterministic state machine. Inputs (requests,
// completions of calls, statuses of peers) go in; responses, calls, messages to peers and log
// records come out (package messages). There is no clock, goroutine, lock or I/O inside.
//
// Core (core.go) dispatches each input to the part that it concerns, and lets all parts act on
// their timers in a fixed order. Parts that need little of the core are packages below this one,
// which declare what they ask of it as an interface: membership, replication, election, catalog,
// clusterleader, calls and others. The parts here share the partition leader's view of jobs and
// machines (partitionLeader), or connect the packages to the core.
package coordination
