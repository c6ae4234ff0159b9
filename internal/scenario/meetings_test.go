package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
	"pipitlatch/internal/workload"
)

// parseJobRefs reads "wk-000001,wk-000010..12".
func parseJobRefs(v string) []string {
	var out []string
	for _, p := range strings.Split(v, ",") {
		first, last, ok := strings.Cut(p, "..")
		a, _ := strconv.Atoi(strings.TrimPrefix(first, "wk-"))
		b := a
		if ok {
			b, _ = strconv.Atoi(last)
		}
		for n := a; n <= b; n++ {
			out = append(out, fmt.Sprintf("wk-%06d", n))
		}
	}
	return out
}

// dependencyCancelRequested tells whether the user of a job before this one asked to cancel it. The
// answer may still be on its way, or lost, when others already see what was committed.
func (u *users) dependencyCancelRequested(j *userJob, seen map[string]bool) bool {
	for _, ref := range j.dependencies {
		n := u.jobs[ref]
		if n == nil || seen[ref] {
			continue
		}
		seen[ref] = true
		if n.cancelRequested || u.dependencyCancelRequested(n, seen) {
			return true
		}
	}
	return false
}

// cancelled is when a user was first told that a job before this one, directly or
// through others, is cancelled; 0: nobody was.
func (u *users) dependencyCancelledAt(j *userJob, seen map[string]bool) micros.Time {
	first := micros.Time(0)
	for _, ref := range j.dependencies {
		n := u.jobs[ref]
		if n == nil || seen[ref] {
			continue
		}
		seen[ref] = true
		for _, at := range []micros.Time{n.cancelled, u.dependencyCancelledAt(n, seen)} {
			if at != 0 && (first == 0 || at < first) {
				first = at
			}
		}
	}
	return first
}

// pinConnection gives a job's user a connection to a node.
func (u *users) pinConnection(j *userJob, n *node) {
	for _, b := range u.balancers {
		if b.node == n {
			j.connection, j.connectionIncarnation = b, n.incarnation
		}
	}
}

// cancelNow calls off jobs that run, within a fifth of a second; with hang, a machine
// of each hangs from then on.
func (u *users) cancelNow(n int, hang micros.Time) {
	for _, ref := range u.order {
		j := u.jobs[ref]
		if n == 0 || j.accepted == 0 || j.cancelRequested || j.toldDone {
			continue
		}
		on := u.w.cloud.machinesMatching(ref)
		if len(on) == 0 {
			continue
		}
		n--
		u.w.after(u.w.random.Int64N(200*micros.Millisecond), func() { u.cancel(j) })
		if hang > 0 {
			on[0].hang(hang)
		}
	}
}

// requestOf asks one node, whatever the balancer thinks.
func (u *users) requestOf(n *node, input func(messages.RequestID) messages.Input, then func(messages.Response)) {
	u.w.send("users", n.name, func() {
		n.request(input, func(a messages.Response) { u.w.send(n.name, "users", func() { then(a) }) })
	})
}

// verifyReads asks at all nodes within milliseconds, and repeats the submission there,
// right after a job was accepted, ended or confirmed as cancelled: none may answer
// anything older.
func (u *users) verifyReads(j *userJob) {
	if u.w.now >= u.verifyReadsUntil {
		return
	}
	done, cancelled := j.toldDone, j.cancelled != 0
	check := func(n *node, what string, a messages.Response) {
		switch a.Kind {
		case messages.JobAccepted, messages.JobFound:
			u.receiveStatus(j, protocol.EncodeJobStatus(a.Job))
			if (done && a.Job.Phase != workload.Done) || (cancelled && a.Job.Phase != workload.Cancelled) {
				u.w.breakRule("went_back", "%s: %s at %s is answered with something older", j.ref, what, n.name)
			}
		case messages.JobNotFound, messages.RequestMalformed, messages.JobUnschedulable:
			u.w.breakRule("forgotten", "%s: %s at %s answers %v", j.ref, what, n.name, a.Kind)
		}
	}
	for _, n := range u.w.nodes {
		for range 3 {
			u.w.after(u.w.random.Int64N(8*micros.Millisecond), func() {
				u.requestOf(n, func(id messages.RequestID) messages.Input {
					return &messages.Lookup{Request: id, ID: j.ref}
				}, func(a messages.Response) { check(n, "a question", a) })
			})
		}
		u.w.after(u.w.random.Int64N(8*micros.Millisecond), func() {
			u.requestOf(n, func(id messages.RequestID) messages.Input {
				ref, job, err := protocol.ParseSubmission(j.body)
				if err != nil {
					u.w.breakRule("bench", "%v", err)
				}
				return &messages.Submit{Request: id, ID: ref, Job: job}
			}, func(a messages.Response) { check(n, "a repeated submission", a) })
		})
	}
}

// sendOddRequests sends, every half second, repeats of unfinished jobs, cancellations of done ones
// and jobs that fit no machine or lack a field.
func (u *users) sendOddRequests(until micros.Time) {
	if u.w.now >= until {
		return
	}
	for _, ref := range u.order {
		j := u.jobs[ref]
		switch {
		case j.accepted == 0 || u.w.random.IntN(4) > 0:
		case j.toldDone:
			j.cancelRequested = true
			u.cancel(j)
		case j.cancelled == 0:
			u.submit(j)
		}
	}
	u.oddRequests++
	large := u.newJob(fmt.Sprintf("wk-8%05d", u.oddRequests), map[string]string{"cores": "100000"})
	lacking := u.newJob(fmt.Sprintf("wk-7%05d", u.oddRequests), nil)
	lacking.body = []byte(strings.Replace(string(lacking.body), `"owner"`, `"ownr"`, 1))
	for _, j := range []*userJob{large, lacking} {
		u.submit(j)
		u.w.after(4*micros.Second, func() {
			if j.accepted != 0 {
				u.w.breakRule("accepted", "%s: cannot run or lacks a field, but was accepted", j.ref)
			}
		})
	}
	u.w.after(micros.Second/2, func() { u.sendOddRequests(until) })
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

// starvationTimeout is how long after all troubles a job may wait while there is room.
const starvationTimeout = 90 * micros.Second

// checkStarvation checks, once a second, that no job is left waiting while a machine that
// fits has room and its team is under its limit.
func (u *users) checkStarvation() {
	if u.w.cloud == nil {
		return
	}
	use := map[string]float64{}
	for _, m := range u.w.cloud.sorted() {
		if !m.gone {
			for _, t := range m.tasks {
				if t.phase != "exited" {
					use[t.job.team] += t.job.cores
				}
			}
		}
	}
	for _, ref := range u.order {
		j := u.jobs[ref]
		if j.accepted == 0 || j.toldDone || j.cancelled != 0 || j.cancelRequested || j.alwaysFails || !u.hasPendingTask(j) || u.isBlocked(j) || !u.hasCapacity(j, use[j.team]) {
			j.starvedSince = 0
			continue
		}
		if j.starvedSince == 0 {
			j.starvedSince = u.w.now
		}
		if u.w.now-max(j.starvedSince, u.w.faultsOver) > starvationTimeout {
			j.starvedSince = u.w.now
			u.w.breakRule("idle_room", "%s waits though a machine has room", ref)
		}
	}
}

// hasPendingTask tells whether a job has a task that is neither done nor on a machine.
func (u *users) hasPendingTask(j *userJob) bool {
	on := len(j.done)
	for _, m := range u.w.cloud.machines {
		if m.gone {
			continue
		}
		for _, t := range m.tasks {
			if t.job == j && t.phase != "exited" {
				on++
			}
		}
	}
	return on < j.taskCount
}

// isBlocked tells whether a job's user knows that it has to wait for others, or is cancelled
// with one.
func (u *users) isBlocked(j *userJob) bool {
	for _, ref := range j.dependencies {
		if n := u.jobs[ref]; n == nil || !n.toldDone {
			return true
		}
	}
	return false
}

// hasCapacity tells whether some machine could take a task of the job now.
func (u *users) hasCapacity(j *userJob, use float64) bool {
	for _, t := range u.w.config.Settings.Teams {
		if t.Name == j.team && t.CPUsMax > 0 && use+j.cores > t.CPUsMax {
			return false
		}
	}
	inZone, other := map[string]int{}, false
	for _, m := range u.w.cloud.machines {
		for _, t := range m.tasks {
			if t.job == j && t.phase != "exited" && !m.gone {
				inZone[m.zone]++
			}
		}
	}
	for _, m := range u.w.cloud.sorted() {
		if m.gone || !m.booted || m.hung || m.faulty || m.agentDown || m.preemptedAt > 0 || (m.spot && !j.spotAllowed) || (j.zone != "" && j.zone != m.zone) ||
			(j.instanceTypes != nil && !contains(j.instanceTypes, m.instanceType.name)) || u.w.now-m.createdAt < starvationTimeout {
			continue
		}
		other = len(inZone) > 0 && inZone[m.zone] == 0
		if (j.oneZone && other) || (j.apart && inZone[m.zone] >= (j.taskCount+1)/2) {
			continue
		}
		cores, ram := m.instanceType.cores-j.cores, m.instanceType.ramGB-j.ram
		for _, t := range m.tasks {
			if t.phase != "exited" {
				cores -= t.job.cores
				ram -= t.job.ram
			}
		}
		if cores >= 0 && ram >= 0 {
			return true
		}
	}
	return false
}
