package scenario

import (
	"fmt"

	"pipitlatch/internal/micros"
)

// storeFaults are what may befall the key-value store, by the word after "store".
var storeFaults = map[string]func(*line) effect{
	"down":         storeDown,
	"refuse":       storeRefuses,
	"load":         storeLoads,
	"write":        func(l *line) effect { return func(w *World) { w.store.write(l.word(2), l.word(3)) } },
	"limits":       storeLimits,
	"delay":        storeDelaysKey,
	"slow":         storeSlow,
	"lose-replies": storeLosesReplies,
	"commit-late":  storeCommitsLate,
	"repeat-txns":  storeRepeatsTransactions,
}

func parseStoreFault(l *line) (effect, error) {
	fault := storeFaults[l.word(1)]
	if fault == nil {
		return nil, fmt.Errorf("unknown fault of the store: %q", l.word(1))
	}
	return fault(l), nil
}

// storeDown is an outage for all.
func storeDown(l *line) effect {
	length := l.duration()
	return func(w *World) {
		w.store.outage(true)
		w.after(length, func() { w.store.outage(false) })
	}
}

// firstNewMachine is the number of machines after those of a recorded deployment: no name is used
// twice.
const firstNewMachine = 900

// storeLoads puts a recorded deployment in place.
func storeLoads(l *line) effect {
	file := l.word(2)
	return func(w *World) {
		w.store.load(file)
		w.cloud.lastMachineNumber = firstNewMachine
	}
}

// storeRefuses is an outage for some controllers.
func storeRefuses(l *line) effect {
	target, length := l.word(2), l.duration()
	return func(w *World) {
		s := w.store
		for _, n := range w.nodesFor(target) {
			s.faults.refusedMembers[n.name] = true
			w.after(length, func() { delete(s.faults.refusedMembers, n.name); s.answerWatches() })
		}
	}
}

// storeLimits are other limits, from now on.
func storeLimits(l *line) effect {
	operations, valueBytes, writeRPS := l.count("ops", 4), int(l.number("kb", 2)*1024), l.number("write_rps", 18)
	return func(w *World) {
		w.store.limits.maxOperations, w.store.limits.maxValueBytes, w.store.limits.writeRPS = operations, valueBytes, writeRPS
	}
}

// storeDelaysKey carries out transactions that set a key so much later.
func storeDelaysKey(l *line) effect {
	key, by, length := l.word(2), l.seconds("by", 60), l.duration()
	return func(w *World) {
		w.store.faults.delayedKeys[key] = by
		w.after(length, func() { delete(w.store.faults.delayedKeys, key) })
	}
}

func storeSlow(l *line) effect {
	delay, length := micros.FromSeconds(l.argument()), l.duration()
	return func(w *World) {
		w.store.faults.delay = delay
		w.after(length, func() { w.store.faults.delay = 0 })
	}
}

// storeLosesReplies carries out a share of transactions without an answer.
func storeLosesReplies(l *line) effect {
	share, length := l.argument(), l.duration()
	return func(w *World) {
		w.store.faults.lostReplyShare = share
		w.after(length, func() { w.store.faults.lostReplyShare = 0 })
	}
}

// storeCommitsLate carries out a share of transactions late and without an answer.
func storeCommitsLate(l *line) effect {
	share, length := l.argument(), l.duration()
	return func(w *World) {
		w.store.faults.lateCommitShare = share
		w.after(length, func() { w.store.faults.lateCommitShare = 0 })
	}
}

// storeRepeatsTransactions carries out a share of transactions once more, up to by after they were answered.
func storeRepeatsTransactions(l *line) effect {
	share, by, length := l.argument(), l.seconds("by", 60), l.duration()
	return func(w *World) {
		w.store.faults.repeatedShare, w.store.faults.repeatDelay = share, by
		w.after(length, func() { w.store.faults.repeatedShare = 0 })
	}
}

// cloudFaults are what may befall the cloud, by the word after "cloud".
var cloudFaults = map[string]func(*line) effect{
	"down":        cloudDown,
	"create-late": cloudCreatesLate,
	"reply-late":  cloudRepliesLate,
	"never-boot":  cloudNeverBoots,
	"slow-boot":   cloudBootsSlowly,
	"full":        cloudFull,
}

func parseCloudFault(l *line) (effect, error) {
	fault := cloudFaults[l.word(1)]
	if fault == nil {
		return nil, fmt.Errorf("unknown fault of the cloud: %q", l.word(1))
	}
	return fault(l), nil
}

func cloudDown(l *line) effect {
	length := l.duration()
	return func(w *World) {
		w.cloud.faults.down = true
		w.after(length, func() { w.cloud.faults.down = false })
	}
}

// cloudCreatesLate carries out instance requests late and without an answer.
func cloudCreatesLate(l *line) effect {
	delay, length := micros.FromSeconds(l.argument()), l.duration()
	return func(w *World) {
		w.cloud.faults.createDelay = delay
		w.after(length, func() { w.cloud.faults.createDelay = 0 })
	}
}

// cloudRepliesLate carries out instance requests at once and answers them late.
func cloudRepliesLate(l *line) effect {
	delay, length := micros.FromSeconds(l.argument()), l.duration()
	return func(w *World) {
		w.cloud.faults.createReplyDelay = delay
		w.after(length, func() { w.cloud.faults.createReplyDelay = 0 })
	}
}

// cloudNeverBoots: a share of new machines never comes up.
func cloudNeverBoots(l *line) effect {
	share, length := l.argument(), l.duration()
	return func(w *World) {
		w.cloud.faults.neverBootShare = share
		w.after(length, func() { w.cloud.faults.neverBootShare = 0 })
	}
}

func cloudBootsSlowly(l *line) effect {
	factor, length := l.argument(), l.duration()
	return func(w *World) {
		w.cloud.faults.bootFactor = factor
		w.after(length, func() { w.cloud.faults.bootFactor = 1 })
	}
}

// cloudFull: there are no more machines of a type, or of any.
func cloudFull(l *line) effect {
	name, length := l.word(2), l.duration()
	return func(w *World) {
		for _, t := range w.cloud.instanceTypes {
			if name != "" && t.name != name {
				continue
			}
			old := t.capacity
			t.capacity = map[string]int{}
			w.after(length, func() {
				for k, n := range old {
					t.capacity[k] += n
				}
			})
		}
	}
}
