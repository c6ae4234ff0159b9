// Package coordination implements the controller core as a deterministic state machine. Its inputs
// are requests, completions of calls and status messages from peers; its outputs are responses,
// calls, messages to peers and log records (see package messages). It uses no clock, goroutines,
// locks or I/O.
//
// Core (core.go) dispatches each input to the component that handles it, and runs the timers of all
// components in a fixed order. Components that need little access to the core are subpackages, each
// of which declares the interface that it requires of the core: membership, replication, election,
// catalog, clusterleader, calls and others. The code in this package either shares the partition
// leader's view of jobs and machines (partitionLeader), or connects the subpackages to the core.
package coordination
