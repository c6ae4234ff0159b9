package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"pipitlatch/internal/micros"
)

// expectations are what may be expected, by the word after "expect".
var expectations = map[string]func(*World, *line, *userJob) string{
	"done":          (*World).expectDone,
	"cancelled":     (*World).expectCancelled,
	"refused":       (*World).expectRefused,
	"accepted":      (*World).expectAccepted,
	"started":       (*World).expectStarted,
	"off":           (*World).expectOff,
	"done-within":   (*World).expectDoneWithin,
	"vain":          (*World).expectVain,
	"never-started": (*World).expectNeverStarted,
	"never":         (*World).expectNeverStarted,
	"up":            (*World).expectUp,
	"starts":        (*World).expectStarts,
	"machines":      (*World).expectMachines,
	"all-known":     (*World).expectAllKnown,
	"rented":        (*World).expectRented,
	"gone":          (*World).expectGone,
	"takeovers":     (*World).expectTakeovers,
	"lost":          (*World).expectLost,
	"kept":          (*World).expectKept,
	"too-large":     (*World).expectTooLarge,
	"told":          (*World).expectTold,
	"holders":       (*World).expectHolders,
	"taken":         (*World).expectTaken,
	"begun":         (*World).expectBegun,
	"epochs":        (*World).expectEpochs,
	"behind":        (*World).expectBehind,
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
		if open := w.users.open(); len(open) > 0 {
			return fmt.Sprintf("%d are not: %v", len(open), open[:min(5, len(open))])
		}
		return ""
	}
	if !j.toldDone {
		return fmt.Sprintf("%d of %d tasks done, told %q", len(j.done), j.shards, j.lastPhase)
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
	if j.accepted == 0 || j.accepted-j.first > l.secs("within", 60) {
		return fmt.Sprintf("accepted after %v s", micros.Seconds(j.accepted-j.first))
	}
	return ""
}

func (w *World) expectStarted(l *line, j *userJob) string {
	if j.firstStart == 0 || j.firstStart-j.first > l.secs("within", 60) {
		return fmt.Sprintf("started after %v s", micros.Seconds(j.firstStart-j.first))
	}
	return ""
}

// expectOff: no task on a machine any more, after its user was told.
func (w *World) expectOff(l *line, j *userJob) string {
	if j.cancelled == 0 || j.offAfter > l.secs("within", 5) {
		return fmt.Sprintf("its last task was on a machine %v s after", micros.Seconds(j.offAfter))
	}
	return ""
}

func (w *World) expectDoneWithin(l *line, j *userJob) string {
	if j.doneAt == 0 || j.doneAt-j.first > l.secs("within", 60) {
		if j.doneAt == 0 {
			return "not done"
		}
		return fmt.Sprintf("done after %v s", micros.Seconds(j.doneAt-j.first))
	}
	return ""
}

// expectVain: starts sent to machines that nothing reaches.
func (w *World) expectVain(l *line, j *userJob) string {
	if float64(w.vain) > l.num("most", 0) {
		return fmt.Sprintf("%d starts", w.vain)
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
	if got := micros.Seconds(j.replicaTime); got < l.num("least", 0) {
		return fmt.Sprintf("%.1f s", got)
	}
	return ""
}

func (w *World) expectStarts(l *line, j *userJob) string {
	if float64(j.starts) > l.num("most", 1) {
		return fmt.Sprintf("%d starts", j.starts)
	}
	return ""
}

func (w *World) expectMachines(l *line, j *userJob) string {
	n := 0
	for _, m := range w.cloud.sorted() {
		if !m.gone && !m.deleted {
			n++
		}
	}
	if float64(n) > l.num("most", 1e9) || float64(n) < l.num("least", 0) {
		return fmt.Sprintf("%d machines", n)
	}
	return ""
}

// expectAllKnown: machines, by every new holder.
func (w *World) expectAllKnown(l *line, j *userJob) string {
	if w.unknown == 0 || w.unknown > l.secs("within", 5) {
		return fmt.Sprintf("after %v s", micros.Seconds(w.unknown))
	}
	return ""
}

// expectRented: machines, ever.
func (w *World) expectRented(l *line, j *userJob) string {
	if n := float64(len(w.cloud.machines)); n > l.num("most", 1e9) {
		return fmt.Sprintf("%v machines", n)
	}
	return ""
}

// expectGone: a machine.
func (w *World) expectGone(l *line, j *userJob) string {
	if m := w.cloud.machines[l.word(2)]; m == nil || !m.deleted {
		return "it is there"
	}
	return ""
}

// expectTakeovers: how often a queue got a holder.
func (w *World) expectTakeovers(l *line, j *userJob) string {
	if float64(w.taken) > l.num("most", 1e9) || float64(w.taken) < l.num("least", 0) {
		return strconv.Itoa(w.taken)
	}
	return ""
}

// expectLost: starts beyond one a task, of all jobs that were not cancelled.
func (w *World) expectLost(l *line, j *userJob) string {
	n := 0
	for _, j := range w.users.jobs {
		if j.cancelled == 0 {
			n += max(0, j.starts-len(j.done))
		}
	}
	if float64(n) > l.num("most", 0) {
		return strconv.Itoa(n)
	}
	return ""
}

// expectKept: jobs in the memory of any controller.
func (w *World) expectKept(l *line, j *userJob) string {
	for _, n := range w.nodes {
		if n.up() && float64(n.core.CachedJobs()) > l.num("most", 0) {
			return fmt.Sprintf("%s keeps %d", n.name, n.core.CachedJobs())
		}
	}
	return ""
}

// expectTooLarge: requests to the state service that were refused for their size.
func (w *World) expectTooLarge(l *line, j *userJob) string {
	if float64(w.state.tooLarge) > l.num("most", 0) {
		return fmt.Sprintf("%d requests", w.state.tooLarge)
	}
	return ""
}

func (w *World) expectTold(l *line, j *userJob) string {
	if j.lastPhase != l.word(3) {
		return "told " + j.lastPhase
	}
	return ""
}

func (w *World) expectHolders(l *line, j *userJob) string {
	got := map[string]bool{}
	for _, m := range w.cloud.sorted() {
		if m.booted && !m.gone {
			got[m.steward] = true
		}
	}
	if len(got) < int(l.num("least", 1)) {
		return fmt.Sprintf("%v", got)
	}
	return ""
}
