package scenario

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"pipitlatch/internal/micros"
)

// event is a callback scheduled at a time. Events at the same time run in the order in which they
// were scheduled.
type event struct {
	at       micros.Time
	sequence int
	run      func()
}

// events is a min-heap ordered by time.
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

// simulation is the discrete-event simulator shared by the fakes: the clock, the event queue, the
// random source and the violations found. It does not depend on any of the fakes.
type simulation struct {
	now           micros.Time
	queue         events
	eventSequence int
	random        *rand.Rand
	broken        []string // violations of rules
	logf          func(string, ...any)
}

func newSimulation(seed uint64, logf func(string, ...any)) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 7)), logf: logf}
}

// after schedules a callback to run after a delay.
func (s *simulation) after(d micros.Time, run func()) {
	s.eventSequence++
	heap.Push(&s.queue, &event{s.now + d, s.eventSequence, run})
}

// run processes events until a time.
func (s *simulation) run(until micros.Time) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(*event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// breakRule records a violation of a rule. Only the first twenty are kept.
func (s *simulation) breakRule(rule, format string, args ...any) {
	text := fmt.Sprintf("%.3f %s: %s", micros.Seconds(s.now), rule, fmt.Sprintf(format, args...))
	if len(s.broken) < 20 {
		s.broken = append(s.broken, text)
	}
}
