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
	// done are the jobs whose tasks completed, as the workers saw it.
	done map[string]bool
	// asked are the jobs about which their users could ask until the end.
	asked map[string]bool
}

// judge says what the history shows that must not be.
func (h *history) judge() []string {
	var wrong []string
	fault := func(a answer, format string, args ...any) {
		wrong = append(wrong, fmt.Sprintf("%v %s: %s", a.at.Round(time.Millisecond), a.ref, fmt.Sprintf(format, args...)))
	}
	type job struct {
		created  int
		accepted bool
		final    string
	}
	jobs := map[string]*job{}
	verdicts := map[epochID]map[string]bool{}
	slices.SortStableFunc(h.answers, func(a, b answer) int { return int(a.at - b.at) })
	for _, a := range h.answers {
		j := jobs[a.ref]
		if j == nil {
			j = &job{}
			jobs[a.ref] = j
		}
		if a.epoch != (epochID{}) {
			if verdicts[a.epoch] == nil {
				verdicts[a.epoch] = map[string]bool{}
			}
			if had, ok := verdicts[a.epoch][a.ref]; ok && had != a.admit {
				fault(a, "two verdicts in epoch %d of leader %d", a.epoch.number, a.epoch.leader)
			}
			verdicts[a.epoch][a.ref] = a.admit
			continue
		}
		switch {
		case a.status == 201:
			if j.created++; j.created > 1 {
				fault(a, "accepted anew %d times", j.created)
			}
			j.accepted = true
		case a.status == 200:
			j.accepted = true
		case j.accepted && (a.status == 400 || a.status == 404 || a.status == 422):
			fault(a, "accepted, then %d", a.status)
		}
		if a.phase == "done" || a.phase == "cancelled" {
			if j.final != "" && j.final != a.phase {
				fault(a, "%s, then %s", j.final, a.phase)
			}
			j.final = a.phase
			if a.phase == "done" && !h.done[a.ref] {
				fault(a, "called done, its tasks are not")
			}
		} else if a.phase != "" && j.final != "" {
			fault(a, "%s, then %s", j.final, a.phase)
		}
	}
	for ref, j := range jobs {
		if j.accepted && j.final == "" && h.asked[ref] {
			fault(answer{ref: ref}, "accepted, and not over at the end")
		}
	}
	return wrong
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
	for name, h := range map[string]*history{
		"two verdicts":         {answers: append(slices.Clone(good), answer{ref: ref, epoch: epoch, admit: false}), done: done},
		"accepted twice":       {answers: append(slices.Clone(good), answer{ref: ref, status: 201}), done: done},
		"forgotten":            {answers: append(slices.Clone(good), answer{ref: ref, status: 404}), done: done},
		"refused once it was":  {answers: append(slices.Clone(good), answer{ref: ref, status: 422}), done: done},
		"two final answers":    {answers: append(slices.Clone(good), answer{ref: ref, phase: "cancelled"}), done: done},
		"an older answer":      {answers: append(slices.Clone(good), answer{ref: ref, phase: "running"}), done: done},
		"done, but is not":     {answers: good},
		"never over":           {answers: good[:6], done: done, asked: done},
		"two verdicts, nested": {answers: []answer{{ref: ref, epoch: epoch, admit: false}, {ref: "wk-2", epoch: epoch, admit: true}, {ref: ref, epoch: epoch, admit: true}}},
	} {
		if len(h.judge()) == 0 {
			t.Errorf("%s: not found", name)
		}
	}
}
