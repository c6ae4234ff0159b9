package scenario

import (
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
	faultsOver micros.Time // when the last fault so far is over
	observed   observations
	digest     *digest // of what leaves the nodes; nil: none
	loopback   loopbackHooks
}

// observations are what was seen of controllers from outside, in their logs and calls.
type observations struct {
	startsIntoCuts        int         // starts sent to machines that nothing reaches
	longestReconciliation micros.Time // until a new partition leader had reconciled all its machines
	failovers             int         // how often a partition got a leader
	verdicts              verdicts
	replayedHeartbeats    [][]byte // come again when a partition gets a new leader
}

// loopbackHooks are set with controllers that are real processes: how an agent's heartbeat is
// sent, and the address it listens at.
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

// partitionLeader is the node that some machines obey now, for scenarios that aim at it.
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
