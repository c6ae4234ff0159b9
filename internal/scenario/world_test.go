package scenario

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
)

type event struct {
	at       micros.Time
	sequence int
	run      func()
}

type events []*event

// Len is part of heap.Interface, like the methods that follow.
func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop is part of heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// World is the simulated deployment.
type World struct {
	now           micros.Time
	queue         events
	eventSequence int
	random        *rand.Rand
	config        *config.Config
	nodes         []*node
	store         *keyValueStore
	cloud         *cloud
	users         *users
	network       network
	faultsOver    micros.Time // when the last fault so far is over
	observed      observations
	broken        []string // rules
	logf          func(string, ...any)
	digest        *digest // of what leaves the nodes; nil: none
	loopback      loopbackHooks
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

func (w *World) after(d micros.Time, run func()) {
	w.eventSequence++
	heap.Push(&w.queue, &event{w.now + d, w.eventSequence, run})
}

// run plays until a time.
func (w *World) run(until micros.Time) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(*event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *World) breakRule(rule, format string, args ...any) {
	text := fmt.Sprintf("%.3f %s: %s", micros.Seconds(w.now), rule, fmt.Sprintf(format, args...))
	if len(w.broken) < 20 {
		w.broken = append(w.broken, text)
	}
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
