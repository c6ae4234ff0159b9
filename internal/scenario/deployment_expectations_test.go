package scenario

import (
	"fmt"
	"math"
	"strconv"

	"pipitlatch/internal/micros"
)

// expectStartsIntoCuts: starts sent to machines that nothing reaches.
func expectStartsIntoCuts(w *World, l *line) string {
	if !l.bounds(0, 0).contain(float64(w.observed.startsIntoCuts)) {
		return fmt.Sprintf("%d starts", w.observed.startsIntoCuts)
	}
	return ""
}

// expectMachines: those that there are at the end.
func expectMachines(w *World, l *line) string {
	n := 0
	for _, m := range w.cloud.sorted() {
		if !m.lifecycle.gone && !m.lifecycle.terminated {
			n++
		}
	}
	if !l.bounds(0, math.Inf(1)).contain(float64(n)) {
		return fmt.Sprintf("%d machines", n)
	}
	return ""
}

// expectReconciled: all machines, by every new partition leader.
func expectReconciled(w *World, l *line) string {
	if w.observed.longestReconciliation == 0 || w.observed.longestReconciliation > l.within(5) {
		return fmt.Sprintf("after %v s", micros.Seconds(w.observed.longestReconciliation))
	}
	return ""
}

// expectMachinesCreated: those that there ever were.
func expectMachinesCreated(w *World, l *line) string {
	if n := len(w.cloud.machines); !l.bounds(0, math.Inf(1)).contain(float64(n)) {
		return fmt.Sprintf("%v machines", n)
	}
	return ""
}

// expectTerminated: a machine.
func expectTerminated(w *World, l *line) string {
	if m := w.cloud.machines[l.word(2)]; m == nil || !m.lifecycle.terminated {
		return "it is there"
	}
	return ""
}

// expectFailovers: how often a partition got a leader.
func expectFailovers(w *World, l *line) string {
	if !l.bounds(0, math.Inf(1)).contain(float64(w.observed.failovers)) {
		return strconv.Itoa(w.observed.failovers)
	}
	return ""
}

// expectExtraStarts: starts beyond one a task, of all jobs that were not cancelled.
func expectExtraStarts(w *World, l *line) string {
	n := 0
	for _, j := range w.users.jobs {
		if j.told.cancelled == 0 {
			n += max(0, j.observed.starts-len(j.observed.done))
		}
	}
	if !l.bounds(0, 0).contain(float64(n)) {
		return strconv.Itoa(n)
	}
	return ""
}

// expectCachedJobs: jobs in the memory of any controller.
func expectCachedJobs(w *World, l *line) string {
	for _, n := range w.nodes {
		if n.up() && !l.bounds(0, 0).contain(float64(n.core.CachedJobs())) {
			return fmt.Sprintf("%s keeps %d", n.name, n.core.CachedJobs())
		}
	}
	return ""
}

// expectTooLarge: requests to the store that were refused for their size.
func expectTooLarge(w *World, l *line) string {
	if !l.bounds(0, 0).contain(float64(w.store.tooLarge)) {
		return fmt.Sprintf("%d requests", w.store.tooLarge)
	}
	return ""
}

// expectControllers: to how many different ones agents send their heartbeats.
func expectControllers(w *World, l *line) string {
	got := map[string]bool{}
	for _, m := range w.cloud.sorted() {
		if m.lifecycle.booted && !m.lifecycle.gone {
			got[m.heartbeats.controller] = true
		}
	}
	if !l.bounds(1, math.Inf(1)).contain(float64(len(got))) {
		return fmt.Sprintf("%v", got)
	}
	return ""
}

// expectAcceptedShare: the share of a class's jobs that were accepted.
func expectAcceptedShare(w *World, l *line) string {
	jobs, accepted := w.users.jobsOfClass(l.word(2)), 0
	for _, j := range jobs {
		if j.told.accepted != 0 {
			accepted++
		}
	}
	if len(jobs) == 0 {
		return "no jobs"
	}
	if !l.bounds(0, 1).contain(float64(accepted) / float64(len(jobs))) {
		return fmt.Sprintf("%d of %d", accepted, len(jobs))
	}
	return ""
}

// expectBegunInTime: every job of a class that was accepted long enough ago began in time.
func expectBegunInTime(w *World, l *line) string {
	within := l.within(60)
	for _, j := range w.users.jobsOfClass(l.word(2)) {
		if j.told.accepted == 0 || j.told.cancelled != 0 || w.now-j.told.accepted < within {
			continue
		}
		if j.observed.firstStart == 0 || j.observed.firstStart-j.told.accepted > within {
			wait := micros.Seconds(j.observed.firstStart - j.told.accepted)
			return fmt.Sprintf("%s began %v s after it was accepted", j.ref, wait)
		}
	}
	return ""
}

// expectBehind: how often a class was told to be behind its fair share by more than the bound.
func expectBehind(w *World, l *line) string {
	if n := w.observed.verdicts.behind[l.word(2)]; !l.bounds(0, math.Inf(1)).contain(float64(n)) {
		return fmt.Sprintf("%v times", n)
	}
	return ""
}

// expectEpochs: under which submissions were judged.
func expectEpochs(w *World, l *line) string {
	if n := len(w.observed.verdicts.byEpoch); !l.bounds(0, math.Inf(1)).contain(float64(n)) {
		return fmt.Sprintf("%v", n)
	}
	return ""
}
