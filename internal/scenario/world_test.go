package scenario

import (
	"time"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
)

// World is the simulated deployment.
type World struct {
	*simulation

	config     *config.Config
	nodes      []*node
	store      *keyValueStore
	cloud      *cloud
	users      *users
	network    network
	faultsOver micros.Time // end of the last fault injected so far
	observed   observations
	digest     *digest // records the output of the nodes; nil if disabled
	loopback   loopbackHooks
}

// observations holds what was observed of the controllers from their logs and requests.
type observations struct {
	startsIntoCuts        int         // start commands sent to unreachable machines
	longestReconciliation micros.Time // until a new partition leader had reconciled all its machines
	failovers             int         // how often a partition got a leader
	verdicts              verdicts
	replayedHeartbeats    [][]byte // sent again when a partition gets a new leader
	load                  load
}

// load is what the controllers had to do.
type load struct {
	heartbeats  int // received by any controller, without duplicates
	agentCalls  int
	storeWrites int           // transactions sent
	stepTime    time.Duration // real time that the steps of the cores took
}

// loopbackHooks are set when the controllers are real processes. They send an agent's heartbeat and
// return the address that the agent listens on.
type loopbackHooks struct {
	sendHeartbeat func(m *machine, heartbeat []byte, end replyFunc)
	listenAddress func(*machine) string
}

func (w *World) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// partitionLeader returns the running node to which most machines send their heartbeats, as the
// target of faults.
func (w *World) partitionLeader() *node {
	best, most := w.nodes[0], -1
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		count := 0
		for _, m := range w.cloud.sorted() {
			if !m.lifecycle.gone && m.heartbeats.controller == n.name {
				count++
			}
		}
		if count > most {
			best, most = n, count
		}
	}
	return best
}
