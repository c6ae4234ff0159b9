// Package agents holds what a partition leader knows of the agent of one machine: how far its
// heartbeats came and which fencing token it obeys, whether messages reach it and its answers
// reach the leader, the commands that wait for it, the images in its cache, and how fast its
// machine runs tasks. Each type owns its state and decides nothing about the fleet.
//
// Time is an argument: like the rest of the core, the package has no clock, goroutine or I/O.
package agents

import "pipitlatch/internal/micros"

// ReplyTimeout is how long after a heartbeat its agent surely does not wait for the reply any
// more.
const ReplyTimeout = 5 * micros.Second
