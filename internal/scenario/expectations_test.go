package scenario

import (
	"fmt"
	"math"
	"strconv"

	"pipitlatch/internal/micros"
)

// An expectation says why it is not met, or nothing.
type (
	jobExpectation        func(*userJob, *line) string
	deploymentExpectation func(*World, *line) string
)

// jobExpectations are what may be expected of a job, by the word after "expect".
var jobExpectations = map[string]jobExpectation{
	"done":            expectDone,
	"cancelled":       expectCancelled,
	"refused":         expectRefused,
	"accepted":        expectAccepted,
	"started":         expectStarted,
	"stopped":         expectStopped,
	"done-within":     expectDoneWithin,
	"never-started":   expectNeverStarted,
	"never":           expectNeverStarted,
	"replica-seconds": expectReplicaSeconds,
	"starts":          expectStarts,
	"phase":           expectPhase,
}

// deploymentExpectations are what may be expected of everything else.
var deploymentExpectations = map[string]deploymentExpectation{
	"starts-into-cuts": expectStartsIntoCuts,
	"machines":         expectMachines,
	"reconciled":       expectReconciled,
	"machines-created": expectMachinesCreated,
	"terminated":       expectTerminated,
	"failovers":        expectFailovers,
	"extra-starts":     expectExtraStarts,
	"cached-jobs":      expectCachedJobs,
	"too-large":        expectTooLarge,
	"controllers":      expectControllers,
	"accepted-share":   expectAcceptedShare,
	"begun":            expectBegunInTime,
	"epochs":           expectEpochs,
	"behind":           expectBehind,
}

// amounts are expectations of how much or how long, which is a matter of luck.
var amounts = map[string]bool{
	"done-within":      true,
	"extra-starts":     true,
	"starts":           true,
	"replica-seconds":  true,
	"machines":         true,
	"machines-created": true,
	"accepted-share":   true,
	"behind":           true,
}

// allJobs in the place of a job's id stands for every job.
const allJobs = "all"

func knownExpectation(l *line) bool {
	return jobExpectations[l.word(1)] != nil || deploymentExpectations[l.word(1)] != nil
}

// expect says why an expectation is not met, or nothing.
func (w *World) expect(l *line) string {
	if check := deploymentExpectations[l.word(1)]; check != nil {
		return check(w, l)
	}
	if l.word(1) == "done" && l.word(2) == allJobs {
		return expectAllDone(w)
	}
	j := w.users.jobs[l.word(2)]
	if j == nil {
		return "no such job"
	}
	return jobExpectations[l.word(1)](j, l)
}

// bounds are those of an amount, from least= and most=.
type bounds struct{ least, most float64 }

func (l *line) bounds(least, most float64) bounds {
	return bounds{l.number("least", least), l.number("most", most)}
}

func (b bounds) contain(amount float64) bool { return amount >= b.least && amount <= b.most }

// within is how long something may take.
func (l *line) within(otherwise float64) micros.Time { return l.seconds("within", otherwise) }

func expectAllDone(w *World) string {
	if open := w.users.unfinished(); len(open) > 0 {
		return fmt.Sprintf("%d are not: %v", len(open), open[:min(5, len(open))])
	}
	return ""
}

func expectDone(j *userJob, _ *line) string {
	if !j.told.done {
		return fmt.Sprintf("%d of %d tasks done, told %q", len(j.observed.done), j.spec.taskCount, j.told.lastPhase)
	}
	return ""
}

func expectCancelled(j *userJob, _ *line) string {
	if j.told.cancelled == 0 {
		return "not cancelled, told " + j.told.lastPhase
	}
	return ""
}

func expectRefused(j *userJob, l *line) string {
	if strconv.Itoa(j.told.refused) != l.word(3) {
		return fmt.Sprintf("answered %d", j.told.refused)
	}
	return ""
}

func expectAccepted(j *userJob, l *line) string {
	if j.told.accepted == 0 || j.told.accepted-j.submittedAt > l.within(60) {
		return fmt.Sprintf("accepted after %v s", micros.Seconds(j.told.accepted-j.submittedAt))
	}
	return ""
}

func expectStarted(j *userJob, l *line) string {
	if j.observed.firstStart == 0 || j.observed.firstStart-j.submittedAt > l.within(60) {
		return fmt.Sprintf("started after %v s", micros.Seconds(j.observed.firstStart-j.submittedAt))
	}
	return ""
}

// expectStopped: no task on a machine any more, after its user was told.
func expectStopped(j *userJob, l *line) string {
	if j.told.cancelled == 0 || j.observed.onMachineAfterCancel > l.within(5) {
		return fmt.Sprintf("its last task was on a machine %v s after", micros.Seconds(j.observed.onMachineAfterCancel))
	}
	return ""
}

func expectDoneWithin(j *userJob, l *line) string {
	if j.told.doneAt == 0 {
		return "not done"
	}
	if j.told.doneAt-j.submittedAt > l.within(60) {
		return fmt.Sprintf("done after %v s", micros.Seconds(j.told.doneAt-j.submittedAt))
	}
	return ""
}

func expectNeverStarted(j *userJob, _ *line) string {
	if j.observed.starts > 0 {
		return fmt.Sprintf("%d starts", j.observed.starts)
	}
	return ""
}

// expectReplicaSeconds: how long replicas ran, all together.
func expectReplicaSeconds(j *userJob, l *line) string {
	if got := micros.Seconds(j.observed.replicaTime); !l.bounds(0, math.Inf(1)).contain(got) {
		return fmt.Sprintf("%.1f s", got)
	}
	return ""
}

func expectStarts(j *userJob, l *line) string {
	if !l.bounds(0, 1).contain(float64(j.observed.starts)) {
		return fmt.Sprintf("%d starts", j.observed.starts)
	}
	return ""
}

func expectPhase(j *userJob, l *line) string {
	if j.told.lastPhase != l.word(3) {
		return "told " + j.told.lastPhase
	}
	return ""
}
