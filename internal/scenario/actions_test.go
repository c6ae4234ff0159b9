package scenario

import (
	"fmt"
	"strings"

	"pipitlatch/internal/micros"
)

// actionParsers read what follows `at SECONDS`, by its first word.
var actionParsers = map[string]func(*line) (effect, error){
	"submit":          parseSubmit,
	"resubmit":        parseResubmit,
	"cancel":          parseCancel,
	"cancel-now":      parseCancelNow,
	"cancel-at-end":   parseCancelAtEnd,
	"odd-requests":    parseOddRequests,
	"verify-reads":    parseVerifyReads,
	"unknown-lookups": parseUnknownLookups,
	"crash":           parseCrash,
	"start":           parseStart,
	"roll":            parseRoll,
	"pause":           parsePause,
	"isolate":         parseIsolate,
	"cut":             parseCut,
	"repeat-statuses": parseRepeatStatuses,
	"store":           parseStoreFault,
	"cloud":           parseCloudFault,
	"agent":           parseAgentFault,
}

// harmless actions are no faults, so nothing has to calm down after them.
var harmless = map[string]bool{
	"submit":          true,
	"resubmit":        true,
	"cancel":          true,
	"unknown-lookups": true,
	"verify-reads":    true,
	"odd-requests":    true,
}

// parseAction reads an action. A fault's end is noted: some rules hold only when all faults
// have been over for a while.
func parseAction(l *line) (effect, error) {
	parse := actionParsers[l.word(0)]
	if parse == nil {
		return nil, fmt.Errorf("unknown action %q", l.word(0))
	}
	run, err := parse(l)
	if err != nil || harmless[l.word(0)] {
		return run, err
	}
	length := l.duration() + l.seconds("back", 0) + l.seconds("by", 0) + l.seconds("notice", 0)
	return func(w *World) {
		end := length
		if l.word(0) == "roll" {
			end += micros.Time(len(w.nodes)) * rollInterval(l)
		}
		w.faultsOver = max(w.faultsOver, w.now+end)
		run(w)
	}, nil
}

// nodesFor finds nodes by name, or "partition-leader", "others", "other" (one of them), "nodes",
// or "all", which in a cut means machines too.
func (w *World) nodesFor(what string) []*node {
	switch what {
	case "all", "nodes":
		return w.nodes
	case "partition-leader":
		return []*node{w.partitionLeader()}
	case "other":
		if list := w.nodesFor("others"); len(list) > 0 {
			return list[:1]
		}
		return nil
	case "others":
		leader := w.partitionLeader()
		var out []*node
		for _, n := range w.nodes {
			if n != leader {
				out = append(out, n)
			}
		}
		return out
	}
	if n := w.node(what); n != nil {
		return []*node{n}
	}
	return nil
}

// resolveZone names the zone of the partition leader, the next one or the one after that.
func (w *World) resolveZone(what string) string {
	zones := w.config.Settings.Zones
	for i, zone := range zones {
		if zone != w.partitionLeader().config.Zone {
			continue
		}
		switch what {
		case "leader-zone":
			return "zone-" + zone
		case "next-zone":
			return "zone-" + zones[(i+1)%len(zones)]
		case "third-zone":
			return "zone-" + zones[(i+2)%len(zones)]
		}
	}
	return what
}

// parseCrash ends controllers; with back=SECONDS they start again.
func parseCrash(l *line) (effect, error) {
	target, restarts, back := l.word(1), l.settings["back"] != "", l.seconds("back", 3)
	return func(w *World) {
		for _, n := range w.nodesFor(target) {
			n.crash()
			if restarts {
				w.after(back, n.start)
			}
		}
	}, nil
}

// parseStart starts controllers that crashed.
func parseStart(l *line) (effect, error) {
	target := l.word(1)
	return func(w *World) {
		for _, n := range w.nodesFor(target) {
			n.start()
		}
	}, nil
}

// rollInterval is the time between two restarts of a rolling one.
func rollInterval(l *line) micros.Time { return l.seconds("every", 10) }

// parseRoll restarts all controllers, one after the other; with next=yes their settings
// announce smaller limits from then on.
func parseRoll(l *line) (effect, error) {
	every, back, next := rollInterval(l), l.seconds("back", 3), l.settings["next"] != ""
	return func(w *World) {
		for i, n := range w.nodes {
			w.after(micros.Time(i)*every, func() {
				n.crash()
				if next {
					n.config = n.nextConfig
				}
				w.after(back, n.start)
			})
		}
	}, nil
}

// parsePause has controllers stand still, as in a long garbage collection; their clocks go on.
func parsePause(l *line) (effect, error) {
	target, length := l.word(1), l.duration()
	return func(w *World) {
		for _, n := range w.nodesFor(target) {
			n.paused = true
			incarnation := n.incarnation
			w.after(length, func() {
				if n.incarnation == incarnation && n.paused {
					n.resume()
				}
			})
		}
	}, nil
}

// parseRepeatStatuses has the messages between controllers arrive once more, up to by later.
func parseRepeatStatuses(l *line) (effect, error) {
	by, length := l.seconds("by", 30), l.duration()
	return func(w *World) {
		w.network.statusRepeatDelay = by
		w.after(length, func() { w.network.statusRepeatDelay = 0 })
	}, nil
}

// parseIsolate cuts controllers from the store and from their peers, not from agents and users.
func parseIsolate(l *line) (effect, error) {
	target, hold, length := l.word(1), l.word(2) == "hold", l.duration()
	return func(w *World) {
		for _, n := range w.nodesFor(target) {
			w.startCut(&cut{a: n.name, b: storeHost, hold: hold}, length)
			for _, o := range w.nodes {
				if o != n {
					w.startCut(&cut{a: n.name, b: o.name, hold: hold}, length)
				}
			}
		}
	}, nil
}

// parseCut cuts one end from another, or from everybody. With "hold", packets are delivered
// afterwards instead of never.
func parseCut(l *line) (effect, error) {
	hold, length := l.word(len(l.words)-1) == "hold", l.duration()
	var ends [2]string
	for i := range ends {
		if word := l.word(i + 1); !hold || word != "hold" {
			ends[i] = word
		}
	}
	return func(w *World) {
		one, other := w.cutEnds(ends[0]), w.cutEnds(ends[1])
		for _, a := range one {
			for _, b := range other {
				if a != b {
					w.startCut(&cut{a: a, b: b, hold: hold}, length)
				}
			}
		}
	}, nil
}

// cutEnds are the hosts or zones that a word of a cut stands for; nothing stands for everybody.
func (w *World) cutEnds(what string) []string {
	if what == "" {
		return []string{""}
	}
	if what = w.resolveZone(what); w.network.zoned && strings.HasPrefix(what, "zone-") {
		return []string{what}
	}
	var ends []string
	for _, n := range w.nodesFor(what) {
		ends = append(ends, n.name)
	}
	for _, m := range w.cloud.machinesMatching(what) {
		ends = append(ends, m.name)
	}
	if len(ends) == 0 {
		return []string{what}
	}
	return ends
}
