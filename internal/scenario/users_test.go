package scenario

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// userJob is a job as its user knows it.
type userJob struct {
	ref                string
	shape              string
	team               string
	class              string
	ignoresRetryAfter  bool        // its user comes back after a second, whatever it was told
	submitsEverywhere  bool        // its user asks at every node in the same instant
	retryAfter         micros.Time // as it was last told
	timesAccepted      int         // answers that it was accepted anew
	taskCount          int
	cores, ram         float64
	image              string
	imageGB            float64
	instanceTypes      []string
	zone               string
	oneZone            bool
	apart              bool
	spotAllowed        bool
	runTime            micros.Time // true run time
	thirdTaskFactor    float64     // times that for every third task
	checkpointInterval float64
	checkpointS        float64
	alwaysFails        bool
	body               []byte

	connection            *balancer // the connection it keeps
	connectionIncarnation int
	unansweredSince       micros.Time // first question since the last answer; 0: none
	sent                  bool
	submittedAt           micros.Time
	accepted              micros.Time // 0: not yet
	refused               int
	done                  map[int]bool
	cancelRequested       bool
	cancelled             micros.Time // when its user was told
	toldDone              bool
	lastPhase             string
	starts                int
	firstStart            micros.Time
	doneAt                micros.Time // when its user was first told
	reportedForgotten     bool        // reported as forgotten
	starvedSince          micros.Time // it waits though there is room; 0: it does not
	onMachineAfterCancel  micros.Time // how long after its user was told a task was on a machine
	dependencies          []string    // jobs that it needs
	replicaTime           micros.Time
}

// users submit, poll and cancel, and hold every answer against the rules.
type users struct {
	w              *World
	jobs           map[string]*userJob
	order          []string
	unknownLookups int // polls for jobs that nobody submitted
	balancers      []*balancer
	startCount     int

	cancelShare      float64 // of jobs that end, cancelled at that moment
	cancelUntil      micros.Time
	verifyReadsUntil micros.Time // users look closely until then
	oddRequests      int
}

func newUsers(w *World) *users {
	u := &users{w: w, jobs: map[string]*userJob{}}
	for _, n := range w.nodes {
		u.balancers = append(u.balancers, &balancer{node: n, readmissionDelay: 3 * micros.Second})
	}
	w.after(200*micros.Millisecond, u.probeHealth)
	u.checkContinuously()
	return u
}

// balancer is the load balancer's view of one node.
type balancer struct {
	node             *node
	healthy          bool
	everHealthy      bool
	recentProbes     []bool // results of probes, the newest last
	removedAt        micros.Time
	readmissionDelay micros.Time
}

// probeHealth asks every node once a second whether it is well.
func (u *users) probeHealth() {
	w := u.w
	for _, b := range u.balancers {
		n := b.node
		ok := n.up() && !n.paused && n.core.Healthy() && w.cutBetween("users", n.name) == nil
		b.recentProbes = append(b.recentProbes, ok)
		b.recentProbes = b.recentProbes[max(0, len(b.recentProbes)-6):]
		k := len(b.recentProbes)
		bad := 0
		for _, ok := range b.recentProbes {
			if !ok {
				bad++
			}
		}
		switch {
		case b.healthy && (bad >= 3 || (k >= 2 && !b.recentProbes[k-1] && !b.recentProbes[k-2])):
			if b.removedAt > 0 && w.now-b.removedAt < 120*micros.Second {
				b.readmissionDelay = min(60*micros.Second, 2*b.readmissionDelay)
			} else {
				b.readmissionDelay = 3 * micros.Second
			}
			b.healthy, b.removedAt = false, w.now
		case !b.healthy && ok && (!b.everHealthy || (k >= 2 && b.recentProbes[k-2] && w.now-b.removedAt >= b.readmissionDelay)):
			b.healthy, b.everHealthy, b.recentProbes = true, true, nil
		}
	}
	w.after(micros.Second, u.probeHealth)
}

// connect finds the node of a user's connection: the one it has, while that node
// lives and has not been unhealthy for long, or a healthy one.
func (u *users) connect(j *userJob) *balancer {
	w := u.w
	if j != nil && j.connection != nil {
		b := j.connection
		if b.node.incarnation == j.connectionIncarnation && b.node.up() && (b.healthy || w.now-b.removedAt < 5*micros.Second) {
			return b
		}
		j.connection = nil
	}
	var list []*balancer
	for _, b := range u.balancers {
		if b.healthy && b.node.up() {
			list = append(list, b)
		}
	}
	if len(list) == 0 {
		return nil
	}
	b := list[w.random.IntN(len(list))]
	if j != nil {
		j.connection, j.connectionIncarnation = b, b.node.incarnation
	}
	return b
}

// request sends a request on the job's connection and calls then with the status; 0:
// none.
func (u *users) request(j *userJob, patience micros.Time, input func(messages.RequestID) messages.Input, then func(status int, body []byte)) {
	w := u.w
	b := u.connect(j)
	if b == nil {
		w.after(10*micros.Millisecond, func() { then(0, nil) })
		return
	}
	n := b.node
	over := false
	end := func(status int, body []byte) {
		if !over {
			over = true
			if status == 0 && j != nil {
				j.connection = nil // given up with its request
			}
			then(status, body)
		}
	}
	w.after(patience, func() { end(0, nil) })
	w.send("users", n.name, func() {
		n.request(input, func(a messages.Response) {
			status, body := 503, []byte(nil)
			switch a.Kind {
			case messages.JobAccepted:
				status, body = 201, protocol.EncodeJobStatus(a.Job)
			case messages.JobFound:
				status, body = 200, protocol.EncodeJobStatus(a.Job)
			case messages.RequestMalformed:
				status = 400
			case messages.JobUnschedulable:
				status = 422
			case messages.JobNotFound:
				status = 404
			case messages.Overloaded:
				status = 429
			}
			w.send(n.name, "users", func() {
				if j != nil {
					j.retryAfter = a.RetryAfter
				}
				end(status, body)
			})
		})
	})
}

// submitElsewhere sends a submission to all nodes but the one that its user is connected to.
func (u *users) submitElsewhere(j *userJob, input func(messages.RequestID) messages.Input) {
	for _, b := range u.balancers {
		if j.connection == b || !b.node.up() {
			continue
		}
		u.w.send("users", b.node.name, func() {
			b.node.request(input, func(a messages.Response) {
				if a.Kind == messages.JobAccepted {
					u.accepted(j, 201)
				}
			})
		})
	}
}

// accepted notes that a job was accepted: anew once at most.
func (u *users) accepted(j *userJob, status int) {
	if status == 201 {
		if j.timesAccepted++; j.timesAccepted > 1 {
			u.w.breakRule("accepted_twice", "%s: 201 a second time", j.ref)
		}
	}
	if j.accepted == 0 {
		j.accepted = u.w.now
		u.verifyReads(j)
		u.w.after(u.w.random.Int64N(5*micros.Second), func() { u.poll(j) })
	}
}

// retryDelay is when a user submits again that was refused.
func (u *users) retryDelay(j *userJob) micros.Time {
	wait := micros.Second
	if !j.ignoresRetryAfter {
		// Retry-After is in whole seconds, and up to 30 s of it is honoured.
		whole := (j.retryAfter + micros.Second - 1) / micros.Second * micros.Second
		wait = max(wait, min(whole, 30*micros.Second))
	}
	return wait + u.w.random.Int64N(micros.Second/2)
}

func (u *users) submit(j *userJob) {
	if u.jobs[j.ref] == nil {
		u.jobs[j.ref] = j
		u.order = append(u.order, j.ref)
		j.submittedAt = u.w.now
	}
	j.sent = true
	body := j.body
	input := func(id messages.RequestID) messages.Input {
		ref, job, err := protocol.ParseSubmission(body)
		s := &messages.Submit{Request: id, ID: ref, Job: job}
		if err != nil {
			s.Job, s.Fault = nil, err.Error()
		}
		return s
	}
	j.retryAfter = 0
	u.request(j, 5*micros.Second, input, func(status int, body []byte) {
		switch status {
		case 200, 201:
			u.accepted(j, status)
			u.receiveStatus(j, body)
		case 400, 422:
			j.refused = status
			if j.accepted != 0 {
				u.w.breakRule("forgotten", "%s: accepted, then answered %d", j.ref, status)
			}
		default:
			if wait := u.retryDelay(j); u.w.now+wait-j.submittedAt < 60*micros.Second {
				u.w.after(wait, func() { u.submit(j) })
			}
		}
	})
	if j.submitsEverywhere {
		u.submitElsewhere(j, input)
	}
}

func (u *users) poll(j *userJob) {
	if j.unansweredSince == 0 && (j.toldDone || j.cancelled != 0) && u.w.random.IntN(3) > 0 {
		u.w.after(15*micros.Second, func() { u.poll(j) })
		return
	}
	if j.unansweredSince == 0 {
		j.unansweredSince = u.w.now
	}
	u.request(j, 2*micros.Second, func(id messages.RequestID) messages.Input {
		return &messages.Lookup{Request: id, ID: j.ref}
	}, func(status int, body []byte) {
		switch status {
		case 200:
			u.receiveStatus(j, body)
		case 404:
			if j.accepted != 0 {
				u.w.breakRule("forgotten", "%s: accepted, then answered 404", j.ref)
			}
		}
		u.w.after(4500*micros.Millisecond+u.w.random.Int64N(micros.Second), func() { u.poll(j) })
	})
}

func (u *users) cancel(j *userJob) {
	j.cancelRequested = true
	u.request(j, 5*micros.Second, func(id messages.RequestID) messages.Input {
		return &messages.Cancel{Request: id, ID: j.ref}
	}, func(status int, body []byte) {
		if status == 200 {
			u.receiveStatus(j, body)
			return
		}
		if status == 404 && j.accepted != 0 {
			u.w.breakRule("forgotten", "%s: accepted, then answered 404 when cancelled", j.ref)
		}
		u.w.after(micros.Second+u.w.random.Int64N(micros.Second/2), func() { u.cancel(j) })
	})
}

// lookUpUnknown polls for a job that nobody submitted.
func (u *users) lookUpUnknown(ref string) {
	u.request(nil, 2*micros.Second, func(id messages.RequestID) messages.Input {
		return &messages.Lookup{Request: id, ID: ref}
	}, func(status int, _ []byte) { u.checkUnknownLookup(ref, status) })
}

// checkUnknownLookup checks the answer to a question for a job that nobody submitted.
func (u *users) checkUnknownLookup(ref string, status int) {
	u.unknownLookups++
	if status == 200 && u.jobs[ref] == nil {
		u.w.breakRule("invented", "%s: 200 for a job nobody submitted", ref)
	}
}

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

// newJob reads a job from fields such as tasks=8 cores=4.
func (u *users) newJob(ref string, fields map[string]string) *userJob {
	num := func(k string, d float64) float64 {
		if v, err := strconv.ParseFloat(fields[k], 64); err == nil {
			return v
		}
		return d
	}
	str := func(k, d string) string {
		if v := fields[k]; v != "" {
			return v
		}
		return d
	}
	j := &userJob{ref: ref, shape: str("shape", "array"), team: str("team", u.w.config.Settings.Teams[0].Name), taskCount: int(num("tasks", 1)),
		cores: num("cores", 4), ram: num("ram", 4), image: str("image", "img-1"), imageGB: num("size", 1), zone: fields["zone"],
		oneZone: fields["one_zone"] != "", apart: fields["apart"] != "", spotAllowed: fields["spot"] != "",
		runTime: micros.FromSeconds(num("runs", 20)), checkpointInterval: num("snapshot", 0), checkpointS: num("save", 0),
		thirdTaskFactor: num("third_task_factor", 1), alwaysFails: fields["always_fails"] != "", done: map[int]bool{}}
	j.class, j.ignoresRetryAfter, j.submitsEverywhere = str("class", "class-1"), fields["ignores_retry_after"] != "", fields["submits_everywhere"] != ""
	if v := fields["types"]; v != "" {
		j.instanceTypes = strings.Split(v, ",")
	}
	b := map[string]any{"ref": ref, "jobclass": j.class, "owner": j.team, "shape": j.shape, "rank": str("rank", "standard"),
		"shards": j.taskCount, "cores": j.cores, "gpus": 0, "ram_gb": j.ram, "bundle": j.image, "size_gb": j.imageGB, "hulls": j.instanceTypes,
		"berth": nil, "one_zone": j.oneZone, "apart": j.apart, "loaners": j.spotAllowed, "expect_s": num("expect", micros.Seconds(j.runTime)),
		"snapshot_every_s": j.checkpointInterval, "snapshot_s": j.checkpointS, "due_s": nil, "surprise": true}
	if j.zone != "" {
		b["berth"] = j.zone
	}
	if d := num("due", 0); d > 0 {
		b["due_s"] = d
	}
	if j.shape == "service" {
		b["expect_s"] = 0
	}
	if j.instanceTypes == nil {
		b["hulls"] = nil
	}
	if v := fields["depends_on"]; v != "" {
		j.dependencies = parseJobRefs(v)
		b["waits_on"] = j.dependencies
	}
	j.body = encode(b)
	return j
}

// unfinished lists jobs that were accepted and are neither done nor cancelled.
func (u *users) unfinished() []string {
	var out []string
	for _, ref := range u.order {
		j := u.jobs[ref]
		if j.accepted != 0 && !j.toldDone && j.cancelled == 0 && j.shape == "array" && !j.alwaysFails && u.dependencyCancelledAt(j, map[string]bool{}) == 0 {
			out = append(out, ref)
		}
	}
	sort.Strings(out)
	return out
}
