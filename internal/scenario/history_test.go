package scenario

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// answer is one answer that a user got, or a verdict that a controller logged.
type answer struct {
	at     time.Duration
	ref    string
	status int    // of a submission
	phase  string // of a question
	epoch  epochID
	admit  bool
}

// history is what happened to every job of an overload.
type history struct {
	answers []answer
	// done are the jobs whose tasks completed, as the agents saw it.
	done map[string]bool
	// asked are the jobs about which their users could ask until the end.
	asked map[string]bool
}

// judgedJob is what a job's answers came to so far.
type judgedJob struct {
	created  int
	accepted bool
	final    string
}

// judge is what a history is held against.
type judge struct {
	history  *history
	jobs     map[string]*judgedJob
	verdicts map[epochID]map[string]bool
	wrong    []string
}

// judge says what the history shows that must not be.
func (h *history) judge() []string {
	j := &judge{history: h, jobs: map[string]*judgedJob{}, verdicts: map[epochID]map[string]bool{}}
	slices.SortStableFunc(h.answers, func(a, b answer) int { return int(a.at - b.at) })
	for _, a := range h.answers {
		job := j.jobs[a.ref]
		if job == nil {
			job = &judgedJob{}
			j.jobs[a.ref] = job
		}
		if a.epoch != (epochID{}) {
			j.takeVerdict(a)
			continue
		}
		j.takeStatus(job, a)
		j.takePhase(job, a)
	}
	for ref, job := range j.jobs {
		if job.accepted && job.final == "" && h.asked[ref] {
			j.fault(answer{ref: ref}, "accepted, and not over at the end")
		}
	}
	return j.wrong
}

func (j *judge) fault(a answer, format string, args ...any) {
	j.wrong = append(j.wrong, fmt.Sprintf("%v %s: %s", a.at.Round(time.Millisecond), a.ref, fmt.Sprintf(format, args...)))
}

// takeVerdict: no reference gets two verdicts in one epoch.
func (j *judge) takeVerdict(a answer) {
	if j.verdicts[a.epoch] == nil {
		j.verdicts[a.epoch] = map[string]bool{}
	}
	if had, ok := j.verdicts[a.epoch][a.ref]; ok && had != a.admit {
		j.fault(a, "two verdicts in epoch %d of leader %d", a.epoch.number, a.epoch.leader)
	}
	j.verdicts[a.epoch][a.ref] = a.admit
}

// takeStatus: a job is accepted anew once, and not forgotten after it.
func (j *judge) takeStatus(job *judgedJob, a answer) {
	switch {
	case a.status == 201:
		if job.created++; job.created > 1 {
			j.fault(a, "accepted anew %d times", job.created)
		}
		job.accepted = true
	case a.status == 200:
		job.accepted = true
	case job.accepted && (a.status == 400 || a.status == 404 || a.status == 422):
		j.fault(a, "accepted, then %d", a.status)
	}
}

// takePhase: a final phase stays, and "done" is true.
func (j *judge) takePhase(job *judgedJob, a answer) {
	if a.phase != "done" && a.phase != "cancelled" {
		if a.phase != "" && job.final != "" {
			j.fault(a, "%s, then %s", job.final, a.phase)
		}
		return
	}
	if job.final != "" && job.final != a.phase {
		j.fault(a, "%s, then %s", job.final, a.phase)
	}
	job.final = a.phase
	if a.phase == "done" && !j.history.done[a.ref] {
		j.fault(a, "called done, its tasks are not")
	}
}

// TestHistoryCheckerCanFail: each fault that the checker is there for is found.
func TestHistoryCheckerCanFail(t *testing.T) {
	const ref = "wk-000001"
	epoch := epochID{3, 9}
	good := []answer{{ref: ref, status: 429}, {ref: ref, epoch: epoch, admit: true}, {ref: ref, epoch: epoch, admit: true},
		{ref: ref, status: 201}, {ref: ref, status: 200}, {ref: ref, phase: "queued"}, {ref: ref, phase: "done"}}
	done := map[string]bool{ref: true}
	if wrong := (&history{answers: good, done: done, asked: done}).judge(); len(wrong) > 0 {
		t.Errorf("a good history: %v", wrong)
	}
	and := func(a answer) []answer { return append(slices.Clone(good), a) }
	nested := []answer{
		{ref: ref, epoch: epoch, admit: false},
		{ref: "wk-2", epoch: epoch, admit: true},
		{ref: ref, epoch: epoch, admit: true},
	}
	for name, h := range map[string]*history{
		"two verdicts":         {answers: and(answer{ref: ref, epoch: epoch, admit: false}), done: done},
		"accepted twice":       {answers: and(answer{ref: ref, status: 201}), done: done},
		"forgotten":            {answers: and(answer{ref: ref, status: 404}), done: done},
		"refused once it was":  {answers: and(answer{ref: ref, status: 422}), done: done},
		"two final answers":    {answers: and(answer{ref: ref, phase: "cancelled"}), done: done},
		"an older answer":      {answers: and(answer{ref: ref, phase: "running"}), done: done},
		"done, but is not":     {answers: good},
		"never over":           {answers: good[:6], done: done, asked: done},
		"two verdicts, nested": {answers: nested},
	} {
		if len(h.judge()) == 0 {
			t.Errorf("%s: not found", name)
		}
	}
}
