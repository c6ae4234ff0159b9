package scenario

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// answer is a response that a user received, or an admission verdict that a controller logged.
type answer struct {
	at     time.Duration
	ref    string
	status int    // of the response to a submission
	phase  string // in the response to a status request
	epoch  epochID
	admit  bool
}

// history records what happened to the jobs of an overload test.
type history struct {
	answers []answer
	// done holds the jobs whose tasks completed, as seen by the agents.
	done map[string]bool
	// asked holds the jobs whose users were able to request the status until the end of the test.
	asked map[string]bool
}

// jobOutcome is the state of a job according to the responses checked so far.
type jobOutcome struct {
	created  int
	accepted bool
	final    string
}

// historyChecker checks a history.
type historyChecker struct {
	history    *history
	jobs       map[string]*jobOutcome
	verdicts   map[epochID]map[string]bool
	violations []string
}

// judge returns the violations found in the history.
func (h *history) judge() []string {
	j := &historyChecker{history: h, jobs: map[string]*jobOutcome{}, verdicts: map[epochID]map[string]bool{}}
	slices.SortStableFunc(h.answers, func(a, b answer) int { return int(a.at - b.at) })
	for _, a := range h.answers {
		job := j.jobs[a.ref]
		if job == nil {
			job = &jobOutcome{}
			j.jobs[a.ref] = job
		}
		if a.epoch != (epochID{}) {
			j.checkVerdict(a)
			continue
		}
		j.checkStatus(job, a)
		j.checkPhase(job, a)
	}
	for ref, job := range j.jobs {
		if job.accepted && job.final == "" && h.asked[ref] {
			j.addViolation(answer{ref: ref}, "accepted, but neither done nor cancelled at the end")
		}
	}
	return j.violations
}

func (j *historyChecker) addViolation(a answer, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.violations = append(j.violations, fmt.Sprintf("%v %s: %s", a.at.Round(time.Millisecond), a.ref, text))
}

// checkVerdict checks that a job reference does not get conflicting verdicts in one admission epoch.
func (j *historyChecker) checkVerdict(a answer) {
	if j.verdicts[a.epoch] == nil {
		j.verdicts[a.epoch] = map[string]bool{}
	}
	if had, ok := j.verdicts[a.epoch][a.ref]; ok && had != a.admit {
		j.addViolation(a, "two verdicts in epoch %d of leader %d", a.epoch.number, a.epoch.leader)
	}
	j.verdicts[a.epoch][a.ref] = a.admit
}

// checkStatus checks that a job is created at most once (201) and, once accepted, is neither unknown
// (404) nor rejected (400, 422).
func (j *historyChecker) checkStatus(job *jobOutcome, a answer) {
	switch {
	case a.status == 201:
		if job.created++; job.created > 1 {
			j.addViolation(a, "created %d times (201)", job.created)
		}
		job.accepted = true
	case a.status == 200:
		job.accepted = true
	case job.accepted && (a.status == 400 || a.status == 404 || a.status == 422):
		j.addViolation(a, "accepted, then answered with %d", a.status)
	}
}

// checkPhase checks that a final phase never changes, and that a job is reported done only if its
// tasks completed.
func (j *historyChecker) checkPhase(job *jobOutcome, a answer) {
	if a.phase != "done" && a.phase != "cancelled" {
		if a.phase != "" && job.final != "" {
			j.addViolation(a, "%s, then %s", job.final, a.phase)
		}
		return
	}
	if job.final != "" && job.final != a.phase {
		j.addViolation(a, "%s, then %s", job.final, a.phase)
	}
	job.final = a.phase
	if a.phase == "done" && !j.history.done[a.ref] {
		j.addViolation(a, "reported done, but its tasks did not complete")
	}
}

// TestHistoryCheckerCanFail verifies that the checker accepts a valid history and detects each kind
// of violation.
func TestHistoryCheckerCanFail(t *testing.T) {
	const ref = "wk-000001"
	epoch := epochID{3, 9}
	good := []answer{{ref: ref, status: 429}, {ref: ref, epoch: epoch, admit: true}, {ref: ref, epoch: epoch, admit: true},
		{ref: ref, status: 201}, {ref: ref, status: 200}, {ref: ref, phase: "queued"}, {ref: ref, phase: "done"}}
	done := map[string]bool{ref: true}
	if wrong := (&history{answers: good, done: done, asked: done}).judge(); len(wrong) > 0 {
		t.Errorf("violations reported for a valid history: %v", wrong)
	}
	withAnswer := func(a answer) []answer { return append(slices.Clone(good), a) }
	nested := []answer{
		{ref: ref, epoch: epoch, admit: false},
		{ref: "wk-2", epoch: epoch, admit: true},
		{ref: ref, epoch: epoch, admit: true},
	}
	for name, h := range map[string]*history{
		"two verdicts":         {answers: withAnswer(answer{ref: ref, epoch: epoch, admit: false}), done: done},
		"accepted twice":       {answers: withAnswer(answer{ref: ref, status: 201}), done: done},
		"forgotten":            {answers: withAnswer(answer{ref: ref, status: 404}), done: done},
		"refused once it was":  {answers: withAnswer(answer{ref: ref, status: 422}), done: done},
		"two final answers":    {answers: withAnswer(answer{ref: ref, phase: "cancelled"}), done: done},
		"an older answer":      {answers: withAnswer(answer{ref: ref, phase: "running"}), done: done},
		"done, but is not":     {answers: good},
		"never over":           {answers: good[:6], done: done, asked: done},
		"two verdicts, nested": {answers: nested},
	} {
		if len(h.judge()) == 0 {
			t.Errorf("%s: violation not detected", name)
		}
	}
}
