package scenario

import (
	"encoding/json"
	"strings"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// receiveStatus holds what a user is told against what it was told before and the truth.
func (u *users) receiveStatus(j *userJob, body []byte) {
	var s protocol.JobState
	if json.Unmarshal(body, &s) != nil || s.Ref != j.ref {
		u.w.breakRule("bench", "%s: bad answer %s", j.ref, body)
		return
	}
	if j.toldDone && s.Phase != "done" {
		u.w.breakRule("went_back", "%s: done, then %s", j.ref, s.Phase)
	}
	if j.cancelled != 0 && s.Phase != "cancelled" {
		u.w.breakRule("went_back", "%s: cancelled, then %s", j.ref, s.Phase)
	}
	if s.Phase == "queued" || s.Phase == "running" {
		if at := u.dependencyCancelledAt(j, map[string]bool{}); at != 0 && u.w.now-max(at, j.submittedAt) > micros.FromSeconds(u.w.config.Settings.Workers.CancelS) {
			u.w.breakRule("orphaned", "%s is called %s though a job before it was cancelled", j.ref, s.Phase)
		}
	}
	j.lastPhase, j.unansweredSince = s.Phase, 0
	switch s.Phase {
	case "done":
		if j.doneAt == 0 {
			j.doneAt = u.w.now
			u.verifyReads(j)
		}
		j.toldDone = true
		if len(j.done) < j.taskCount {
			u.w.breakRule("not_done", "%s: told done with %d of %d tasks", j.ref, len(j.done), j.taskCount)
		}
	case "cancelled":
		if j.cancelled == 0 {
			j.cancelled = u.w.now
			u.verifyReads(j)
		}
		if !j.cancelRequested && !u.dependencyCancelRequested(j, map[string]bool{}) {
			u.w.breakRule("went_back", "%s: cancelled, but not by its user", j.ref)
		}
	}
}

// checkStart checks the rules for a start.
func (u *users) checkStart(m *machine, t *agentTask, n int) {
	u.startCount++
	j := t.job
	j.starts++
	if j.firstStart == 0 {
		j.firstStart = u.w.now
	}
	cancelS := micros.FromSeconds(u.w.config.Settings.Workers.CancelS)
	for _, ref := range j.dependencies {
		if n := u.jobs[ref]; n != nil && len(n.done) < n.taskCount {
			u.w.breakRule("too_early", "%s starts on %s before %s is done", t.id, m.name, ref)
		}
	}
	if j.cancelled != 0 && u.w.now-j.cancelled > cancelS {
		u.w.breakRule("ran_cancelled", "%s starts on %s", t.id, m.name)
	}
	if (m.spot && !j.spotAllowed) || (j.zone != "" && j.zone != m.zone) || (j.instanceTypes != nil && !contains(j.instanceTypes, m.instanceType.name)) {
		u.w.breakRule("wrong_place", "%s starts on %s: %s in %s, spot %v", t.id, m.name, m.instanceType.name, m.zone, m.spot)
	}
	inZone := 0
	for _, o := range u.w.cloud.sorted() {
		if o.gone {
			continue
		}
		for _, x := range o.tasks {
			if x == t || x.job != j || !x.on() {
				continue
			}
			if x.id == t.id {
				u.w.breakRule("ran_twice", "%s starts on %s while on %s", t.id, m.name, o.name)
			}
			if o.zone == m.zone {
				inZone++
			} else if j.oneZone {
				u.w.breakRule("wrong_place", "%s starts in %s, others are in %s", t.id, m.zone, o.zone)
			}
		}
	}
	if j.apart && inZone+1 > (j.taskCount+1)/2 {
		u.w.breakRule("wrong_place", "%s: %d of %d tasks in %s", t.id, inZone+1, j.taskCount, m.zone)
	}
	use := 0.0
	for _, o := range u.w.cloud.sorted() {
		if o.gone {
			continue
		}
		for _, x := range o.tasks {
			if x.on() && x.job.team == j.team {
				use += x.job.cores
			}
		}
	}
	for _, team := range u.w.config.Settings.Teams {
		if team.Name == j.team && team.CPUsMax > 0 && use > team.CPUsMax+1e-6 {
			u.w.breakRule("quota", "%s uses %v of %v cores", j.team, use, team.CPUsMax)
		}
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// answerTimeout is how long after all troubles a job may go without an answer.
const answerTimeout = 75 * micros.Second

// checkContinuously checks, ten times a second, that cancelled tasks are gone in time, and
// counts replicas.
func (u *users) checkContinuously() {
	const every = 100 * micros.Millisecond
	cancelS := micros.FromSeconds(u.w.config.Settings.Workers.CancelS)
	if u.w.cloud != nil {
		for _, m := range u.w.cloud.sorted() {
			if m.gone {
				continue
			}
			for _, id := range m.sortedTaskKeys() {
				t := m.tasks[id]
				if !t.on() {
					continue
				}
				if t.job.cancelled != 0 {
					t.job.onMachineAfterCancel = u.w.now - t.job.cancelled
				}
				if t.job.cancelled != 0 && u.w.now-t.job.cancelled > cancelS {
					u.w.breakRule("ran_cancelled", "%s is on %s", t.id, m.name)
				}
				t.job.replicaTime += every
			}
		}
	}
	for _, ref := range u.order {
		j := u.jobs[ref]
		if j.accepted != 0 && !j.reportedForgotten && j.unansweredSince != 0 && u.w.now-max(j.unansweredSince, u.w.faultsOver) > answerTimeout {
			j.reportedForgotten = true
			u.w.breakRule("forgotten", "%s: no question about it was answered since %.3f", ref, micros.Seconds(j.unansweredSince))
		}
	}
	if u.w.now%micros.Second < every {
		u.checkStarvation()
		u.checkBlocks()
	}
	u.w.after(every, u.checkContinuously)
}

// checkUnknownLookup checks the answer to a question for a job that nobody submitted.
func (u *users) checkUnknownLookup(ref string, status int) {
	u.unknownLookups++
	if status == 200 && u.jobs[ref] == nil {
		u.w.breakRule("invented", "%s: 200 for a job nobody submitted", ref)
	}
}

// checkBlocks checks that no machine is in two blocks: what one record says of it would
// hide what the other says.
func (u *users) checkBlocks() {
	in := map[string]string{}
	for key, v := range u.w.store.keys {
		if !strings.Contains(key, "/block/") && !strings.HasPrefix(key, "block/") {
			continue
		}
		var b struct {
			M map[string]json.RawMessage `json:"m"`
		}
		if err := json.Unmarshal(v.value, &b); err != nil {
			u.w.breakRule("bench", "%s: %v", key, err)
		}
		for m := range b.M {
			if o := in[m]; o != "" {
				u.w.breakRule("two_blocks", "%s is in %s and in %s", m, min(o, key), max(o, key))
			}
			in[m] = key
		}
	}
}
