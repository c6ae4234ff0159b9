package scenario

import (
	"fmt"
	"math"
	"strconv"

	"pipitlatch/internal/micros"
)

// expectStartsIntoCuts checks the number of start commands sent to unreachable machines.
func expectStartsIntoCuts(w *World, l *line) string {
	if !l.bounds(0, 0).contain(float64(w.observed.startsIntoCuts)) {
		return fmt.Sprintf("%d starts", w.observed.startsIntoCuts)
	}
	return ""
}

// expectMachines checks the number of machines at the end.
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

// expectReconciled checks that every new partition leader reconciled all its machines in time.
func expectReconciled(w *World, l *line) string {
	if w.observed.longestReconciliation == 0 || w.observed.longestReconciliation > l.within(5) {
		return fmt.Sprintf("after %v s", micros.Seconds(w.observed.longestReconciliation))
	}
	return ""
}

// expectMachinesCreated checks the total number of machines created during the run.
func expectMachinesCreated(w *World, l *line) string {
	if n := len(w.cloud.machines); !l.bounds(0, math.Inf(1)).contain(float64(n)) {
		return fmt.Sprintf("%v machines", n)
	}
	return ""
}

// expectTerminated checks that a machine was terminated.
func expectTerminated(w *World, l *line) string {
	if m := w.cloud.machines[l.word(2)]; m == nil || !m.lifecycle.terminated {
		return "unknown machine, or not terminated"
	}
	return ""
}

// expectFailovers checks how often a partition got a leader.
func expectFailovers(w *World, l *line) string {
	if !l.bounds(0, math.Inf(1)).contain(float64(w.observed.failovers)) {
		return strconv.Itoa(w.observed.failovers)
	}
	return ""
}

// expectExtraStarts checks the number of starts in excess of the completed tasks, over all jobs that
// were not cancelled.
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

// expectCachedJobs checks the number of jobs that each running controller holds in memory.
func expectCachedJobs(w *World, l *line) string {
	for _, n := range w.nodes {
		if n.up() && !l.bounds(0, 0).contain(float64(n.core.CachedJobs())) {
			return fmt.Sprintf("%s holds %d jobs", n.name, n.core.CachedJobs())
		}
	}
	return ""
}

// expectTooLarge checks the number of store requests rejected because of their size.
func expectTooLarge(w *World, l *line) string {
	if !l.bounds(0, 0).contain(float64(w.store.tooLarge)) {
		return fmt.Sprintf("%d requests", w.store.tooLarge)
	}
	return ""
}

// expectControllers checks the number of controllers that receive heartbeats from agents.
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

// expectAcceptedShare checks the fraction of the jobs of a class that were accepted.
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

// expectBegunInTime checks that each job of a class started in time after it was accepted. Cancelled
// jobs and those accepted too recently are ignored.
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

// expectBehind checks how often a class was reported to lag its fair share by more than the bound.
func expectBehind(w *World, l *line) string {
	if n := w.observed.verdicts.behind[l.word(2)]; !l.bounds(0, math.Inf(1)).contain(float64(n)) {
		return fmt.Sprintf("%v times", n)
	}
	return ""
}

// expectEpochs checks the number of admission epochs in which verdicts on submissions were observed.
func expectEpochs(w *World, l *line) string {
	if n := len(w.observed.verdicts.byEpoch); !l.bounds(0, math.Inf(1)).contain(float64(n)) {
		return fmt.Sprintf("%v", n)
	}
	return ""
}
