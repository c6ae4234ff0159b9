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
	ref           string
	shape         string
	owner         string
	class         string
	ignores       bool        // its user comes back after a second, whatever it was told
	everywhere    bool        // its user asks at every node in the same instant
	retryAfter    micros.Time // as it was last told
	created       int         // answers that it was accepted anew
	shards        int
	cores, ram    float64
	bundle        string
	sizeGB        float64
	hulls         []string
	berth         string
	oneZone       bool
	apart         bool
	loaners       bool
	runs          micros.Time // true run time
	odd           float64     // times that for every third task
	snapshotEvery float64
	snapshotS     float64
	mistaken      bool
	body          []byte

	conn        *balancer // the connection it keeps
	connLife    int
	asked       micros.Time // first question since the last answer; 0: none
	sent        bool
	first       micros.Time
	accepted    micros.Time // 0: not yet
	refused     int
	done        map[int]bool
	wantCancel  bool
	cancelled   micros.Time // when its user was told
	toldDone    bool
	lastPhase   string
	starts      int
	firstStart  micros.Time
	doneAt      micros.Time // when its user was first told
	lost        bool        // reported as forgotten
	stuckSince  micros.Time // it waits though there is room; 0: it does not
	offAfter    micros.Time // how long after its user was told a task was on a machine
	waitsOn     []string    // jobs that it needs
	replicaTime micros.Time
}

// users submit, poll and cancel, and hold every answer against the rules.
type users struct {
	w          *World
	jobs       map[string]*userJob
	order      []string
	strange    int // polls for jobs that nobody submitted
	balance    []*balancer
	startCount int

	cancelShare float64 // of jobs that end, cancelled at that moment
	cancelUntil micros.Time
	looksUntil  micros.Time // users look closely until then
	oddJobs     int
}

func newUsers(w *World) *users {
	u := &users{w: w, jobs: map[string]*userJob{}}
	for _, n := range w.nodes {
		u.balance = append(u.balance, &balancer{n: n, pause: 3 * micros.Second})
	}
	w.after(200*micros.Millisecond, u.probe)
	u.watch()
	return u
}

// balancer is the load balancer's view of one node.
type balancer struct {
	n       *node
	healthy bool
	ever    bool
	last    []bool // results of probes, the newest last
	removed micros.Time
	pause   micros.Time
}

// probe asks every node once a second whether it is well.
func (u *users) probe() {
	w := u.w
	for _, b := range u.balance {
		n := b.n
		ok := n.up() && !n.paused && n.core.Healthy() && w.cutBetween("users", n.name) == nil
		b.last = append(b.last, ok)
		b.last = b.last[max(0, len(b.last)-6):]
		k := len(b.last)
		bad := 0
		for _, ok := range b.last {
			if !ok {
				bad++
			}
		}
		switch {
		case b.healthy && (bad >= 3 || (k >= 2 && !b.last[k-1] && !b.last[k-2])):
			if b.removed > 0 && w.now-b.removed < 120*micros.Second {
				b.pause = min(60*micros.Second, 2*b.pause)
			} else {
				b.pause = 3 * micros.Second
			}
			b.healthy, b.removed = false, w.now
		case !b.healthy && ok && (!b.ever || (k >= 2 && b.last[k-2] && w.now-b.removed >= b.pause)):
			b.healthy, b.ever, b.last = true, true, nil
		}
	}
	w.after(micros.Second, u.probe)
}

// connect finds the node of a user's connection: the one it has, while that node
// lives and has not been unhealthy for long, or a healthy one.
func (u *users) connect(j *userJob) *balancer {
	w := u.w
	if j != nil && j.conn != nil {
		b := j.conn
		if b.n.life == j.connLife && b.n.up() && (b.healthy || w.now-b.removed < 5*micros.Second) {
			return b
		}
		j.conn = nil
	}
	var list []*balancer
	for _, b := range u.balance {
		if b.healthy && b.n.up() {
			list = append(list, b)
		}
	}
	if len(list) == 0 {
		return nil
	}
	b := list[w.rng.IntN(len(list))]
	if j != nil {
		j.conn, j.connLife = b, b.n.life
	}
	return b
}

// ask sends a request on the job's connection and calls then with the status; 0:
// none.
func (u *users) ask(j *userJob, patience micros.Time, input func(messages.RequestID) messages.Input, then func(status int, body []byte)) {
	w := u.w
	b := u.connect(j)
	if b == nil {
		w.after(10*micros.Millisecond, func() { then(0, nil) })
		return
	}
	n := b.n
	over := false
	end := func(status int, body []byte) {
		if !over {
			over = true
			if status == 0 && j != nil {
				j.conn = nil // given up with its request
			}
			then(status, body)
		}
	}
	w.after(patience, func() { end(0, nil) })
	w.send("users", n.name, func() {
		n.ask(input, func(a messages.Response) {
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

// askElsewhere sends a submission to all nodes but the one that its user is connected to.
func (u *users) askElsewhere(j *userJob, input func(messages.RequestID) messages.Input) {
	for _, b := range u.balance {
		if j.conn == b || !b.n.up() {
			continue
		}
		u.w.send("users", b.n.name, func() {
			b.n.ask(input, func(a messages.Response) {
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
		if j.created++; j.created > 1 {
			u.w.breakRule("accepted_twice", "%s: 201 a second time", j.ref)
		}
	}
	if j.accepted == 0 {
		j.accepted = u.w.now
		u.lookClosely(j)
		u.w.after(u.w.rng.Int64N(5*micros.Second), func() { u.poll(j) })
	}
}

// comeBack is when a user submits again that was refused.
func (u *users) comeBack(j *userJob) micros.Time {
	wait := micros.Second
	if !j.ignores {
		// Retry-After is in whole seconds, and up to 30 s of it is honoured.
		whole := (j.retryAfter + micros.Second - 1) / micros.Second * micros.Second
		wait = max(wait, min(whole, 30*micros.Second))
	}
	return wait + u.w.rng.Int64N(micros.Second/2)
}

func (u *users) submit(j *userJob) {
	if u.jobs[j.ref] == nil {
		u.jobs[j.ref] = j
		u.order = append(u.order, j.ref)
		j.first = u.w.now
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
	u.ask(j, 5*micros.Second, input, func(status int, body []byte) {
		switch status {
		case 200, 201:
			u.accepted(j, status)
			u.hear(j, body)
		case 400, 422:
			j.refused = status
			if j.accepted != 0 {
				u.w.breakRule("forgotten", "%s: accepted, then answered %d", j.ref, status)
			}
		default:
			if wait := u.comeBack(j); u.w.now+wait-j.first < 60*micros.Second {
				u.w.after(wait, func() { u.submit(j) })
			}
		}
	})
	if j.everywhere {
		u.askElsewhere(j, input)
	}
}

func (u *users) poll(j *userJob) {
	if j.asked == 0 && (j.toldDone || j.cancelled != 0) && u.w.rng.IntN(3) > 0 {
		u.w.after(15*micros.Second, func() { u.poll(j) })
		return
	}
	if j.asked == 0 {
		j.asked = u.w.now
	}
	u.ask(j, 2*micros.Second, func(id messages.RequestID) messages.Input {
		return &messages.Lookup{Request: id, ID: j.ref}
	}, func(status int, body []byte) {
		switch status {
		case 200:
			u.hear(j, body)
		case 404:
			if j.accepted != 0 {
				u.w.breakRule("forgotten", "%s: accepted, then answered 404", j.ref)
			}
		}
		u.w.after(4500*micros.Millisecond+u.w.rng.Int64N(micros.Second), func() { u.poll(j) })
	})
}

func (u *users) cancel(j *userJob) {
	j.wantCancel = true
	u.ask(j, 5*micros.Second, func(id messages.RequestID) messages.Input {
		return &messages.Cancel{Request: id, ID: j.ref}
	}, func(status int, body []byte) {
		if status == 200 {
			u.hear(j, body)
			return
		}
		if status == 404 && j.accepted != 0 {
			u.w.breakRule("forgotten", "%s: accepted, then answered 404 when cancelled", j.ref)
		}
		u.w.after(micros.Second+u.w.rng.Int64N(micros.Second/2), func() { u.cancel(j) })
	})
}

// stranger polls for a job that nobody submitted.
func (u *users) stranger(ref string) {
	u.ask(nil, 2*micros.Second, func(id messages.RequestID) messages.Input {
		return &messages.Lookup{Request: id, ID: ref}
	}, func(status int, _ []byte) { u.strangerTold(ref, status) })
}

// strangerTold checks the answer to a question for a job that nobody submitted.
func (u *users) strangerTold(ref string, status int) {
	u.strange++
	if status == 200 && u.jobs[ref] == nil {
		u.w.breakRule("invented", "%s: 200 for a job nobody submitted", ref)
	}
}

// hear holds what a user is told against what it was told before and the truth.
func (u *users) hear(j *userJob, body []byte) {
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
		if at := u.cancelledBefore(j, map[string]bool{}); at != 0 && u.w.now-max(at, j.first) > micros.FromSeconds(u.w.conf.Settings.Workers.CancelS) {
			u.w.breakRule("orphaned", "%s is called %s though a job before it was cancelled", j.ref, s.Phase)
		}
	}
	j.lastPhase, j.asked = s.Phase, 0
	switch s.Phase {
	case "done":
		if j.doneAt == 0 {
			j.doneAt = u.w.now
			u.lookClosely(j)
		}
		j.toldDone = true
		if len(j.done) < j.shards {
			u.w.breakRule("not_done", "%s: told done with %d of %d tasks", j.ref, len(j.done), j.shards)
		}
	case "cancelled":
		if j.cancelled == 0 {
			j.cancelled = u.w.now
			u.lookClosely(j)
		}
		if !j.wantCancel && !u.cancelAskedBefore(j, map[string]bool{}) {
			u.w.breakRule("went_back", "%s: cancelled, but not by its user", j.ref)
		}
	}
}

// started checks the rules for a start.
func (u *users) started(m *machine, t *workerTask, n int) {
	u.startCount++
	j := t.job
	j.starts++
	if j.firstStart == 0 {
		j.firstStart = u.w.now
	}
	cancelS := micros.FromSeconds(u.w.conf.Settings.Workers.CancelS)
	for _, ref := range j.waitsOn {
		if n := u.jobs[ref]; n != nil && len(n.done) < n.shards {
			u.w.breakRule("too_early", "%s starts on %s before %s is done", t.id, m.name, ref)
		}
	}
	if j.cancelled != 0 && u.w.now-j.cancelled > cancelS {
		u.w.breakRule("ran_cancelled", "%s starts on %s", t.id, m.name)
	}
	if (m.spot && !j.loaners) || (j.berth != "" && j.berth != m.zone) || (j.hulls != nil && !contains(j.hulls, m.kind.name)) {
		u.w.breakRule("wrong_place", "%s starts on %s: %s in %s, spot %v", t.id, m.name, m.kind.name, m.zone, m.spot)
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
	if j.apart && inZone+1 > (j.shards+1)/2 {
		u.w.breakRule("wrong_place", "%s: %d of %d tasks in %s", t.id, inZone+1, j.shards, m.zone)
	}
	use := 0.0
	for _, o := range u.w.cloud.sorted() {
		if o.gone {
			continue
		}
		for _, x := range o.tasks {
			if x.on() && x.job.owner == j.owner {
				use += x.job.cores
			}
		}
	}
	for _, team := range u.w.conf.Settings.Teams {
		if team.Name == j.owner && team.CPUsMax > 0 && use > team.CPUsMax+1e-6 {
			u.w.breakRule("quota", "%s uses %v of %v cores", j.owner, use, team.CPUsMax)
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

// forgottenAfter is how long after all troubles a job may go without an answer.
const forgottenAfter = 75 * micros.Second

// watch checks, ten times a second, that cancelled tasks are gone in time, and
// counts replicas.
func (u *users) watch() {
	const every = 100 * micros.Millisecond
	cancelS := micros.FromSeconds(u.w.conf.Settings.Workers.CancelS)
	if u.w.cloud != nil {
		for _, m := range u.w.cloud.sorted() {
			if m.gone {
				continue
			}
			for _, id := range m.ids() {
				t := m.tasks[id]
				if !t.on() {
					continue
				}
				if t.job.cancelled != 0 {
					t.job.offAfter = u.w.now - t.job.cancelled
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
		if j.accepted != 0 && !j.lost && j.asked != 0 && u.w.now-max(j.asked, u.w.calm) > forgottenAfter {
			j.lost = true
			u.w.breakRule("forgotten", "%s: no question about it was answered since %.3f", ref, micros.Seconds(j.asked))
		}
	}
	if u.w.now%micros.Second < every {
		u.watchRoom()
		u.watchBlocks()
	}
	u.w.after(every, u.watch)
}

// parse reads a job from fields such as tasks=8 cores=4.
func (u *users) parse(ref string, fields map[string]string) *userJob {
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
	j := &userJob{ref: ref, shape: str("shape", "array"), owner: str("team", u.w.conf.Settings.Teams[0].Name), shards: int(num("tasks", 1)),
		cores: num("cores", 4), ram: num("ram", 4), bundle: str("image", "img-1"), sizeGB: num("size", 1), berth: fields["zone"],
		oneZone: fields["one_zone"] != "", apart: fields["apart"] != "", loaners: fields["spot"] != "",
		runs: micros.FromSeconds(num("runs", 20)), snapshotEvery: num("snapshot", 0), snapshotS: num("save", 0),
		odd: num("odd", 1), mistaken: fields["mistaken"] != "", done: map[int]bool{}}
	j.class, j.ignores, j.everywhere = str("class", "class-1"), fields["ignores"] != "", fields["everywhere"] != ""
	if v := fields["types"]; v != "" {
		j.hulls = strings.Split(v, ",")
	}
	b := map[string]any{"ref": ref, "jobclass": j.class, "owner": j.owner, "shape": j.shape, "rank": str("rank", "standard"),
		"shards": j.shards, "cores": j.cores, "gpus": 0, "ram_gb": j.ram, "bundle": j.bundle, "size_gb": j.sizeGB, "hulls": j.hulls,
		"berth": nil, "one_zone": j.oneZone, "apart": j.apart, "loaners": j.loaners, "expect_s": num("expect", micros.Seconds(j.runs)),
		"snapshot_every_s": j.snapshotEvery, "snapshot_s": j.snapshotS, "due_s": nil, "surprise": true}
	if j.berth != "" {
		b["berth"] = j.berth
	}
	if d := num("due", 0); d > 0 {
		b["due_s"] = d
	}
	if j.shape == "service" {
		b["expect_s"] = 0
	}
	if j.hulls == nil {
		b["hulls"] = nil
	}
	if v := fields["waits"]; v != "" {
		j.waitsOn = refList(v)
		b["waits_on"] = j.waitsOn
	}
	j.body = encode(b)
	return j
}

// open lists jobs that were accepted and are neither done nor cancelled.
func (u *users) open() []string {
	var out []string
	for _, ref := range u.order {
		j := u.jobs[ref]
		if j.accepted != 0 && !j.toldDone && j.cancelled == 0 && j.shape == "array" && !j.mistaken && u.cancelledBefore(j, map[string]bool{}) == 0 {
			out = append(out, ref)
		}
	}
	sort.Strings(out)
	return out
}
