package scenario

import (
	"encoding/json"
	"slices"
	"strings"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// receiveStatus checks a job status response against earlier responses and the simulated state.
func (u *users) receiveStatus(j *userJob, body []byte) {
	var s protocol.JobState
	if json.Unmarshal(body, &s) != nil || s.Ref != j.ref {
		u.w.breakRule("bench", "%s: bad answer %s", j.ref, body)
		return
	}
	if j.told.done && s.Phase != "done" {
		u.w.breakRule("went_back", "%s: done, then %s", j.ref, s.Phase)
	}
	if j.told.cancelled != 0 && s.Phase != "cancelled" {
		u.w.breakRule("went_back", "%s: cancelled, then %s", j.ref, s.Phase)
	}
	if s.Phase == "queued" || s.Phase == "running" {
		at := u.dependencyCancelledAt(j, map[string]bool{})
		if at != 0 && u.w.now-max(at, j.submittedAt) > u.w.cancelTimeout() {
			u.w.breakRule("orphaned", "%s is called %s though a job before it was cancelled", j.ref, s.Phase)
		}
	}
	j.told.lastPhase, j.requests.unansweredSince = s.Phase, 0
	switch s.Phase {
	case "done":
		u.receiveDone(j)
	case "cancelled":
		u.receiveCancelled(j)
	}
}

func (u *users) receiveDone(j *userJob) {
	if j.told.doneAt == 0 {
		j.told.doneAt = u.w.now
		u.verifyReads(j)
	}
	j.told.done = true
	if len(j.observed.done) < j.spec.taskCount {
		u.w.breakRule("not_done", "%s: told done with %d of %d tasks", j.ref, len(j.observed.done), j.spec.taskCount)
	}
}

func (u *users) receiveCancelled(j *userJob) {
	if j.told.cancelled == 0 {
		j.told.cancelled = u.w.now
		u.verifyReads(j)
	}
	if !j.cancelRequested && !u.dependencyCancelRequested(j, map[string]bool{}) {
		u.w.breakRule("went_back", "%s: cancelled, but not by its user", j.ref)
	}
}

// cancelTimeout is the time within which the tasks of a cancelled job must have left their machines.
func (w *World) cancelTimeout() micros.Time {
	return micros.FromSeconds(w.config.Settings.Workers.CancelS)
}

// checkStart checks the invariants that apply when a task starts: dependencies, cancellation,
// placement and quota.
func (u *users) checkStart(m *machine, t *agentTask) {
	u.startCount++
	j := t.job
	j.observed.starts++
	if j.observed.firstStart == 0 {
		j.observed.firstStart = u.w.now
	}
	for _, ref := range j.spec.dependencies {
		if d := u.jobs[ref]; d != nil && len(d.observed.done) < d.spec.taskCount {
			u.w.breakRule("too_early", "%s starts on %s before %s is done", t.id, m.name, ref)
		}
	}
	if j.told.cancelled != 0 && u.w.now-j.told.cancelled > u.w.cancelTimeout() {
		u.w.breakRule("ran_cancelled", "%s starts on %s", t.id, m.name)
	}
	if !j.spec.allows(m) {
		u.w.breakRule("wrong_place", "%s starts on %s: %s in %s, spot %v", t.id, m.name, m.instanceType.name, m.zone, m.spot)
	}
	u.checkPlacement(m, t)
	u.checkQuota(j.spec.team)
}

// allows reports whether a machine satisfies the job's constraints on spot capacity, zone and
// instance type.
func (s *jobSpec) allows(m *machine) bool {
	return (!m.spot || s.spotAllowed) && (s.zone == "" || s.zone == m.zone) &&
		(s.instanceTypes == nil || slices.Contains(s.instanceTypes, m.instanceType.name))
}

// checkPlacement checks a starting task against the other tasks of its job: no task may run twice,
// and the zone constraints (one_zone, apart) must hold.
func (u *users) checkPlacement(m *machine, t *agentTask) {
	j, inZone := t.job, 0
	for _, o := range u.w.cloud.sorted() {
		if o.lifecycle.gone {
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
			} else if j.spec.oneZone {
				u.w.breakRule("wrong_place", "%s starts in %s, others are in %s", t.id, m.zone, o.zone)
			}
		}
	}
	if j.spec.apart && inZone+1 > (j.spec.taskCount+1)/2 {
		u.w.breakRule("wrong_place", "%s: %d of %d tasks in %s", t.id, inZone+1, j.spec.taskCount, m.zone)
	}
}

// checkQuota checks that a team does not exceed its core limit.
func (u *users) checkQuota(team string) {
	use := 0.0
	for _, m := range u.w.cloud.sorted() {
		if m.lifecycle.gone {
			continue
		}
		for _, t := range m.tasks {
			if t.on() && t.job.spec.team == team {
				use += t.job.spec.cores
			}
		}
	}
	for _, t := range u.w.config.Settings.Teams {
		if t.Name == team && t.CPUsMax > 0 && use > t.CPUsMax+1e-6 {
			u.w.breakRule("quota", "%s uses %v of %v cores", team, use, t.CPUsMax)
		}
	}
}

// answerTimeout is how long status requests for an accepted job may stay unanswered after the last
// fault has ended.
const answerTimeout = 75 * micros.Second

// checkInterval is the period of the checks for invariants that must hold at any time.
const checkInterval = 100 * micros.Millisecond

// checkContinuously checks cancelled tasks and unanswered requests and accumulates replica time,
// every checkInterval. The more expensive checks run once a second.
func (u *users) checkContinuously() {
	if u.w.cloud != nil {
		for _, m := range u.w.cloud.sorted() {
			if !m.lifecycle.gone {
				u.checkTasks(m)
			}
		}
	}
	u.checkAnswers()
	if u.w.now%micros.Second < checkInterval {
		u.checkStarvation()
		u.checkBlocks()
	}
	u.w.after(checkInterval, u.checkContinuously)
}

// checkTasks checks that no task of a cancelled job stays on a machine beyond cancelTimeout, and
// accumulates the replica time of its job.
func (u *users) checkTasks(m *machine) {
	for _, key := range m.sortedTaskKeys() {
		t := m.tasks[key]
		if !t.on() {
			continue
		}
		if cancelled := t.job.told.cancelled; cancelled != 0 {
			t.job.observed.onMachineAfterCancel = u.w.now - cancelled
			if u.w.now-cancelled > u.w.cancelTimeout() {
				u.w.breakRule("ran_cancelled", "%s is on %s", t.id, m.name)
			}
		}
		t.job.observed.replicaTime += checkInterval
	}
}

// checkAnswers checks that status requests for accepted jobs are answered within answerTimeout.
func (u *users) checkAnswers() {
	for _, ref := range u.order {
		j := u.jobs[ref]
		since := j.requests.unansweredSince
		if j.told.accepted == 0 || j.told.reportedForgotten || since == 0 {
			continue
		}
		if u.w.now-max(since, u.w.faultsOver) > answerTimeout {
			j.told.reportedForgotten = true
			u.w.breakRule("forgotten", "%s: no question about it was answered since %.3f", ref, micros.Seconds(since))
		}
	}
}

// checkUnknownLookup checks the response to a lookup of a job that was never submitted.
func (u *users) checkUnknownLookup(ref string, status int) {
	u.unknownLookups++
	if status == 200 && u.jobs[ref] == nil {
		u.w.breakRule("invented", "%s: 200 for a job nobody submitted", ref)
	}
}

// checkBlocks checks that no machine is listed in two block records, since the entry in one would
// hide the entry in the other.
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
