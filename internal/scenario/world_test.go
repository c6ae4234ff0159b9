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
	now                   micros.Time
	queue                 events
	eventSequence         int
	random                *rand.Rand
	config                *config.Config
	nodes                 []*node
	store                 *keyValueStore
	cloud                 *cloud
	users                 *users
	cuts                  []*cut
	startsIntoCuts        int         // starts sent into a cut
	faultsOver            micros.Time // when the last trouble so far is over
	longestReconciliation micros.Time // the longest that a holder did not know all its machines
	failovers             int         // how often a queue got a holder
	verdicts              verdicts
	replayedHeartbeats    [][]byte // reports whose copies come to the next holder

	interZoneDelay micros.Time // between zones, one way
	zoned          bool        // controllers are in zones too
	broken         []string
	logf           func(string, ...any)
	digest         *digest // of what leaves the nodes; nil: none

	// With controllers that are real processes: how a worker's report is sent, and
	// the address it listens at.
	sendHeartbeat func(m *machine, report []byte, end func(status int, body []byte))
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
			if !m.gone && m.controller == n.name {
				count++
			}
		}
		if count > most {
			best, most = n, count
		}
	}
	return best
}
