package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"pipitlatch/internal/micros"
)

// expectations are what may be expected, by the word after "expect".
var expectations = map[string]func(*World, *line, *userJob) string{
	"done":             (*World).expectDone,
	"cancelled":        (*World).expectCancelled,
	"refused":          (*World).expectRefused,
	"accepted":         (*World).expectAccepted,
	"started":          (*World).expectStarted,
	"stopped":          (*World).expectStoppedInTime,
	"done-within":      (*World).expectDoneWithin,
	"starts-into-cuts": (*World).expectStartsIntoCuts,
	"never-started":    (*World).expectNeverStarted,
	"never":            (*World).expectNeverStarted,
	"replica-seconds":  (*World).expectUp,
	"starts":           (*World).expectStarts,
	"machines":         (*World).expectMachines,
	"reconciled":       (*World).expectReconciled,
	"machines-created": (*World).expectCreated,
	"terminated":       (*World).expectTerminated,
	"failovers":        (*World).expectFailovers,
	"extra-starts":     (*World).expectExtraStarts,
	"cached-jobs":      (*World).expectCachedJobs,
	"too-large":        (*World).expectTooLarge,
	"phase":            (*World).expectPhase,
	"controllers":      (*World).expectControllers,
	"accepted-share":   (*World).expectAcceptedShare,
	"begun":            (*World).expectBegunInTime,
	"epochs":           (*World).expectEpochs,
	"behind":           (*World).expectBehind,
}

// expect says why an expectation is not met, or nothing.
func (w *World) expect(l *line) string {
	ref := l.word(2)
	j := w.users.jobs[ref]
	if strings.HasPrefix(ref, "wk-") && j == nil {
		return "no such job"
	}
	check := expectations[l.word(1)]
	if check == nil {
		return "unknown expectation"
	}
	return check(w, l, j)
}

func (w *World) expectDone(l *line, j *userJob) string {
	if l.word(2) == "all" {
		if open := w.users.unfinished(); len(open) > 0 {
			return fmt.Sprintf("%d are not: %v", len(open), open[:min(5, len(open))])
		}
		return ""
	}
	if !j.toldDone {
		return fmt.Sprintf("%d of %d tasks done, told %q", len(j.done), j.taskCount, j.lastPhase)
	}
	return ""
}

func (w *World) expectCancelled(l *line, j *userJob) string {
	if j.cancelled == 0 {
		return "not cancelled, told " + j.lastPhase
	}
	return ""
}

func (w *World) expectRefused(l *line, j *userJob) string {
	if strconv.Itoa(j.refused) != l.word(3) {
		return fmt.Sprintf("answered %d", j.refused)
	}
	return ""
}

func (w *World) expectAccepted(l *line, j *userJob) string {
	if j.accepted == 0 || j.accepted-j.submittedAt > l.seconds("within", 60) {
		return fmt.Sprintf("accepted after %v s", micros.Seconds(j.accepted-j.submittedAt))
	}
	return ""
}

func (w *World) expectStarted(l *line, j *userJob) string {
	if j.firstStart == 0 || j.firstStart-j.submittedAt > l.seconds("within", 60) {
		return fmt.Sprintf("started after %v s", micros.Seconds(j.firstStart-j.submittedAt))
	}
	return ""
}

// expectStoppedInTime: no task on a machine any more, after its user was told.
func (w *World) expectStoppedInTime(l *line, j *userJob) string {
	if j.cancelled == 0 || j.onMachineAfterCancel > l.seconds("within", 5) {
		return fmt.Sprintf("its last task was on a machine %v s after", micros.Seconds(j.onMachineAfterCancel))
	}
	return ""
}

func (w *World) expectDoneWithin(l *line, j *userJob) string {
	if j.doneAt == 0 || j.doneAt-j.submittedAt > l.seconds("within", 60) {
		if j.doneAt == 0 {
			return "not done"
		}
		return fmt.Sprintf("done after %v s", micros.Seconds(j.doneAt-j.submittedAt))
	}
	return ""
}

// expectStartsIntoCuts: starts sent to machines that nothing reaches.
func (w *World) expectStartsIntoCuts(l *line, j *userJob) string {
	if float64(w.startsIntoCuts) > l.number("most", 0) {
		return fmt.Sprintf("%d starts", w.startsIntoCuts)
	}
	return ""
}

func (w *World) expectNeverStarted(l *line, j *userJob) string {
	if j.starts > 0 {
		return fmt.Sprintf("%d starts", j.starts)
	}
	return ""
}

// expectUp: replica time in seconds, at least.
func (w *World) expectUp(l *line, j *userJob) string {
	if got := micros.Seconds(j.replicaTime); got < l.number("least", 0) {
		return fmt.Sprintf("%.1f s", got)
	}
	return ""
}

func (w *World) expectStarts(l *line, j *userJob) string {
	if float64(j.starts) > l.number("most", 1) {
		return fmt.Sprintf("%d starts", j.starts)
	}
	return ""
}

func (w *World) expectMachines(l *line, j *userJob) string {
	n := 0
	for _, m := range w.cloud.sorted() {
		if !m.gone && !m.terminated {
			n++
		}
	}
	if float64(n) > l.number("most", 1e9) || float64(n) < l.number("least", 0) {
		return fmt.Sprintf("%d machines", n)
	}
	return ""
}

// expectReconciled: machines, by every new holder.
func (w *World) expectReconciled(l *line, j *userJob) string {
	if w.longestReconciliation == 0 || w.longestReconciliation > l.seconds("within", 5) {
		return fmt.Sprintf("after %v s", micros.Seconds(w.longestReconciliation))
	}
	return ""
}

// expectCreated: machines, ever.
func (w *World) expectCreated(l *line, j *userJob) string {
	if n := float64(len(w.cloud.machines)); n > l.number("most", 1e9) {
		return fmt.Sprintf("%v machines", n)
	}
	return ""
}

// expectTerminated: a machine.
func (w *World) expectTerminated(l *line, j *userJob) string {
	if m := w.cloud.machines[l.word(2)]; m == nil || !m.terminated {
		return "it is there"
	}
	return ""
}

// expectFailovers: how often a queue got a holder.
func (w *World) expectFailovers(l *line, j *userJob) string {
	if float64(w.failovers) > l.number("most", 1e9) || float64(w.failovers) < l.number("least", 0) {
		return strconv.Itoa(w.failovers)
	}
	return ""
}

// expectExtraStarts: starts beyond one a task, of all jobs that were not cancelled.
func (w *World) expectExtraStarts(l *line, j *userJob) string {
	n := 0
	for _, j := range w.users.jobs {
		if j.cancelled == 0 {
			n += max(0, j.starts-len(j.done))
		}
	}
	if float64(n) > l.number("most", 0) {
		return strconv.Itoa(n)
	}
	return ""
}

// expectCachedJobs: jobs in the memory of any controller.
func (w *World) expectCachedJobs(l *line, j *userJob) string {
	for _, n := range w.nodes {
		if n.up() && float64(n.core.CachedJobs()) > l.number("most", 0) {
			return fmt.Sprintf("%s keeps %d", n.name, n.core.CachedJobs())
		}
	}
	return ""
}

// expectTooLarge: requests to the state service that were refused for their size.
func (w *World) expectTooLarge(l *line, j *userJob) string {
	if float64(w.store.tooLarge) > l.number("most", 0) {
		return fmt.Sprintf("%d requests", w.store.tooLarge)
	}
	return ""
}

func (w *World) expectPhase(l *line, j *userJob) string {
	if j.lastPhase != l.word(3) {
		return "told " + j.lastPhase
	}
	return ""
}

func (w *World) expectControllers(l *line, j *userJob) string {
	got := map[string]bool{}
	for _, m := range w.cloud.sorted() {
		if m.booted && !m.gone {
			got[m.controller] = true
		}
	}
	if len(got) < int(l.number("least", 1)) {
		return fmt.Sprintf("%v", got)
	}
	return ""
}
