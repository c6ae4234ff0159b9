// Package agents tracks what a partition leader knows about the agent of a single machine: the
// position of its latest heartbeat and the fencing token it accepts, whether messages get through
// in both directions, the commands queued for it, the images in its cache, and how fast the machine
// runs tasks. Each type manages its own state and makes no decisions about the fleet.
//
// Time is passed in as an argument: like the rest of the core, the package has no clock, goroutines
// or I/O.
package agents

import "pipitlatch/internal/micros"

// ReplyTimeout is the time after a heartbeat beyond which its agent is certain to have stopped
// waiting for the reply.
const ReplyTimeout = 5 * micros.Second
