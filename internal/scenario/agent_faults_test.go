package scenario

import (
	"fmt"

	"pipitlatch/internal/micros"
)

// agentFault is what befalls one machine or its agent.
type agentFault func(*World, *machine)

// agentFaults are what may befall machines, by the word after "agent" and whom it befalls.
var agentFaults = map[string]func(*line) agentFault{
	"die":                  func(*line) agentFault { return func(_ *World, m *machine) { m.vanish() } },
	"hang":                 agentHangs,
	"faulty":               func(*line) agentFault { return func(_ *World, m *machine) { m.faults.faulty = true } },
	"partition-inbound":    partitionInbound,
	"partition-outbound":   partitionOutbound,
	"ignore-kills":         agentIgnoresKills,
	"replay-heartbeats":    replayHeartbeats,
	"duplicate-heartbeats": duplicateHeartbeats,
	"restart":              agentRestarts,
	"restart-in-cut":       agentRestartsInCut,
	"delay-commands":       delayCommands,
	"repeat-commands":      repeatCommands,
	"slow":                 agentSlow,
	"preempt":              preemptMachine,
}

func parseAgentFault(l *line) (effect, error) {
	parse := agentFaults[l.word(2)]
	if parse == nil {
		return nil, fmt.Errorf("unknown fault of an agent: %q", l.word(2))
	}
	target, fault := l.word(1), parse(l)
	return func(w *World) {
		for _, m := range w.cloud.machinesMatching(target) {
			fault(w, m)
		}
	}, nil
}

func agentHangs(l *line) agentFault {
	length := l.duration()
	return func(_ *World, m *machine) { m.hang(length) }
}

// partitionInbound: the machine's heartbeats arrive, nothing reaches it.
func partitionInbound(l *line) agentFault {
	length := l.duration()
	return func(w *World, m *machine) { w.startCut(&cut{a: m.name, inbound: true}, length) }
}

// partitionOutbound: the machine reaches no controller, direct commands reach it.
func partitionOutbound(l *line) agentFault {
	length := l.duration()
	return func(w *World, m *machine) {
		m.faults.outboundPartitioned = true
		w.after(length, func() { m.faults.outboundPartitioned = false })
	}
}

// agentIgnoresKills: tasks do not end when they are stopped.
func agentIgnoresKills(l *line) agentFault {
	length := l.duration()
	return func(w *World, m *machine) {
		m.faults.ignoresKills = true
		w.after(length, func() { m.faults.ignoresKills = false })
	}
}

// replayHeartbeats: heartbeats come again when a partition gets a new leader.
func replayHeartbeats(l *line) agentFault {
	length := l.duration()
	return func(w *World, m *machine) { m.faults.replayUntil = w.now + length }
}

// duplicateHeartbeats: copies of heartbeats come late, to any node.
func duplicateHeartbeats(l *line) agentFault {
	count, by, length := l.count("n", 1), l.seconds("by", 8), l.duration()
	return func(w *World, m *machine) {
		m.faults.duplicates, m.faults.duplicateDelay, m.faults.duplicateUntil = count, by, w.now+length
	}
}

func agentRestarts(l *line) agentFault {
	back := l.seconds("back", 0.3)
	return func(_ *World, m *machine) { m.restart(back) }
}

// agentRestartsInCut: nothing passes between the machine and the controllers, commands that were on their way are
// held up and answered calls come again, up to by later, and the agent restarts after a while.
func agentRestartsInCut(l *line) agentFault {
	after, by, length := l.seconds("after", 2), l.seconds("by", 6), l.duration()
	return func(w *World, m *machine) {
		m.faults.commandDelay, m.faults.repeatDelay, m.faults.repeatUntil = by, by, w.now+length
		w.after(micros.Second, func() { w.startCut(&cut{a: m.name}, length) })
		w.after(after, func() { m.restart(100 * micros.Millisecond) })
		w.after(length, func() { m.faults.commandDelay = 0 })
	}
}

// delayCommands: commands sent straight to the machine arrive late and in any order.
func delayCommands(l *line) agentFault {
	by, length := l.seconds("by", 8), l.duration()
	return func(w *World, m *machine) {
		m.faults.commandDelay = by
		w.after(length, func() { m.faults.commandDelay = 0 })
	}
}

// repeatCommands: calls that were executed and answered arrive again, up to by later.
func repeatCommands(l *line) agentFault {
	by, length := l.seconds("by", 60), l.duration()
	return func(w *World, m *machine) {
		m.faults.repeatDelay, m.faults.repeatUntil = by, w.now+length
	}
}

func agentSlow(l *line) agentFault {
	factor := l.number("factor", 3)
	return func(_ *World, m *machine) { m.speed *= factor }
}

// preemptMachine takes the machine, with a notice if notice=SECONDS is given.
func preemptMachine(l *line) agentFault {
	notice := l.seconds("notice", 0)
	return func(w *World, m *machine) {
		if notice > 0 {
			m.faults.preemptedAt = w.now + notice
			m.heartbeatSoon()
		}
		w.after(notice, func() {
			m.vanish()
			m.lifecycle.terminated = true
		})
	}
}
