package scenario

import (
	"fmt"
	"math"
	"strconv"

	"pipitlatch/internal/micros"
)

// An expectation returns the reason why it is not met, or an empty string if it is met.
type (
	jobExpectation        func(*userJob, *line) string
	deploymentExpectation func(*World, *line) string
)

// jobExpectations holds the expectations about a single job, by the word after "expect".
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

// deploymentExpectations holds the expectations about the deployment, by the word after "expect".
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

// amounts names the expectations about counts and durations. These vary with the seed, so with
// several seeds the median is compared with the bound.
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

// allJobs stands for every job where a job reference is expected.
const allJobs = "all"

func knownExpectation(l *line) bool {
	return jobExpectations[l.word(1)] != nil || deploymentExpectations[l.word(1)] != nil
}

// expect evaluates an expectation. It returns the reason why it is not met, or an empty string.
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

// bounds is an inclusive range, given by least= and most=.
type bounds struct{ least, most float64 }

func (l *line) bounds(least, most float64) bounds {
	return bounds{l.number("least", least), l.number("most", most)}
}

func (b bounds) contain(amount float64) bool { return amount >= b.least && amount <= b.most }

// within returns the time limit given by within=, with a default in seconds.
func (l *line) within(otherwise float64) micros.Time { return l.seconds("within", otherwise) }

func expectAllDone(w *World) string {
	if open := w.users.unfinished(); len(open) > 0 {
		return fmt.Sprintf("%d jobs are not done: %v", len(open), open[:min(5, len(open))])
	}
	return ""
}

func expectDone(j *userJob, _ *line) string {
	if !j.told.done {
		done, tasks := len(j.observed.done), j.spec.taskCount
		return fmt.Sprintf("%d of %d tasks done, last reported phase: %q", done, tasks, j.told.lastPhase)
	}
	return ""
}

func expectCancelled(j *userJob, _ *line) string {
	if j.told.cancelled == 0 {
		return "not cancelled, last reported phase: " + j.told.lastPhase
	}
	return ""
}

func expectRefused(j *userJob, l *line) string {
	if strconv.Itoa(j.told.refused) != l.word(3) {
		return fmt.Sprintf("refusal status is %d", j.told.refused)
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

// expectStopped checks that the tasks of a cancelled job left their machines in time after its user
// was told of the cancellation.
func expectStopped(j *userJob, l *line) string {
	if j.told.cancelled == 0 || j.observed.onMachineAfterCancel > l.within(5) {
		after := micros.Seconds(j.observed.onMachineAfterCancel)
		return fmt.Sprintf("not cancelled, or a task was still on a machine %v s after the cancellation", after)
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

// expectReplicaSeconds checks the total run time of the job's replicas.
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
		return "last reported phase: " + j.told.lastPhase
	}
	return ""
}
