package scenario

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

// tinyJob are the fields of a job whose image is there at once.
func tinyJob(fields string) map[string]string {
	return parseLine(0, "submit image=i size=0.1 "+fields).settings
}

// submit has a user submit a job, and ask for it until it is over.
func (d *deployment) submit(set map[string]string) *userJob {
	var j *userJob
	d.with(func(w *World) {
		j = w.users.newJob(fmt.Sprintf("wk-%06d", len(d.jobs)+1), set)
		j.requests.sent, j.submittedAt = true, w.now
		w.users.jobs[j.ref] = j
		w.users.order = append(w.users.order, j.ref)
		d.jobs = append(d.jobs, j)
	})
	d.people.Go(func() { d.user(j) })
	return j
}

// submitAccepted is submit, and waits until the job is accepted.
func (d *deployment) submitAccepted(set map[string]string) *userJob {
	d.t.Helper()
	j := d.submit(set)
	d.until(j.ref+" is accepted", func(*World) bool { return j.told.accepted != 0 })
	return j
}

// loadSeconds is how long load submits.
const loadSeconds = 3

// load submits for some seconds; every sixth job is cancelled while it runs. With pipelines,
// every other job is followed by two stages, the last of which waits on both before it.
func (d *deployment) load(pipelines bool) {
	stage := tinyJob("tasks=4 cores=1 ram=1 runs=2 spot=yes")
	for i := range loadSeconds * 2 {
		j := d.submit(stage)
		if i%6 == 5 {
			time.AfterFunc(time.Duration(rand.IntN(3000))*time.Millisecond, func() {
				d.with(func(*World) { j.cancelRequested = true })
			})
		}
		if pipelines && i%2 == 1 {
			d.people.Go(func() {
				if second := d.follow(j.ref, j); second != nil {
					d.follow(second.ref+","+j.ref, second)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// follow submits a stage as soon as the one before it is accepted; nil: the test is over.
func (d *deployment) follow(waits string, before *userJob) *userJob {
	for accepted := false; !accepted; time.Sleep(50 * time.Millisecond) {
		if d.ctx.Err() != nil {
			return nil
		}
		d.with(func(*World) { accepted = before.told.accepted != 0 })
	}
	return d.submit(tinyJob("tasks=2 cores=1 ram=1 runs=1 spot=yes depends_on=" + waits))
}

// user submits a job and asks for it until it is over, at a node drawn each time.
func (d *deployment) user(j *userJob) {
	for d.ctx.Err() == nil {
		over, accepted, cancel := false, false, false
		d.with(func(*World) {
			over = j.told.done || j.told.cancelled != 0
			accepted, cancel = j.told.accepted != 0, j.cancelRequested
		})
		switch {
		case over:
			return
		case !accepted:
			d.call("POST", "/submissions", j.body, func(u *users, status int, answer []byte) {
				u.receiveSubmitted(j, status, answer)
			})
		case cancel:
			d.call("POST", "/submissions/"+j.ref+"/abort", nil, func(u *users, status int, answer []byte) {
				if status == 200 {
					u.receiveStatus(j, answer)
				}
			})
		default:
			d.call("GET", "/submissions/"+j.ref, nil, func(u *users, status int, answer []byte) {
				u.receiveLookup(j, status, answer)
			})
		}
		select {
		case <-d.ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// call sends a request to a node that is drawn, and hands the answer in, if there is one.
func (d *deployment) call(method, path string, body []byte, then func(u *users, status int, answer []byte)) {
	address := d.nodes[nodeName(rand.IntN(3))]
	r, err := http.NewRequestWithContext(d.ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }() // it is read, or not needed
	if answer, err := io.ReadAll(resp.Body); err == nil {
		d.with(func(w *World) { then(w.users, resp.StatusCode, answer) })
	}
}

// receiveSubmitted takes the answer to a submission to a real process.
func (u *users) receiveSubmitted(j *userJob, status int, answer []byte) {
	switch status {
	case 200, 201:
		j.told.accepted = u.w.now
		u.receiveStatus(j, answer)
	case 400, 422:
		u.w.breakRule("refused", "%s: %d %s", j.ref, status, answer)
	}
}

// receiveLookup takes the answer to a question for a job that was accepted.
func (u *users) receiveLookup(j *userJob, status int, answer []byte) {
	switch status {
	case 200:
		u.receiveStatus(j, answer)
	case 404:
		u.w.breakRule("forgotten", "%s: accepted, then 404", j.ref)
	}
}

// TestRollingUpgrade upgrades three real processes one by one under load, from the version
// in production and from later ones, in every order, with a fault
// after each; the store's limits shrink the moment after the last is new, and jobs
// wait on others. The stand-ins check the rules, as in the scenarios.
func TestRollingUpgrade(t *testing.T) {
	programs := map[version]string{
		production:    programAt(t, productionCommit(t)),
		pipelines:     programAt(t, pipelineCommit),
		fairAdmission: programAt(t, fairAdmissionCommit),
	}
	current := build(t, repositoryRoot)
	for _, u := range upgrades {
		t.Run(u.name, func(t *testing.T) {
			t.Parallel()
			u.play(t, programs[u.from], current)
		})
	}
}

func (u *upgrade) play(t *testing.T, old, current string) {
	d := newDeployment(t, upgradeShape)
	if u.fair {
		d.configure(current, "fair_admission { enabled: true epoch_ms: 1000 lag_s: 10 }")
	}
	for node := range d.nodes {
		d.start(node, old)
	}
	service := d.submit(tinyJob("shape=service rank=production cores=2 tasks=3"))
	d.until("the service runs", func(*World) bool { return service.observed.starts >= 3 })
	// Long enough that its tasks end long after the whole roll.
	long := d.submit(tinyJob("tasks=6 cores=1 runs=60"))
	d.until("the long job runs", func(*World) bool { return long.observed.starts >= 6 })
	d.load(u.pipelines)
	for i, n := range u.order {
		d.restart(nodeName(n), current, u.back)
		if i == 2 {
			d.with(func(w *World) {
				l := &w.store.limits
				l.maxOperations, l.maxValueBytes, l.writeRPS = 4, 2048, 18
				w.store.tooLarge = 0
			})
		}
		d.load(u.pipelines)
		u.fault(d, i+1)
		d.load(u.pipelines)
	}
	u.playPipeline(d, current)
	if u.goBack {
		d.allGoBack(u.order, old)
	}
	d.until("everything is done", func(*World) bool {
		for _, j := range d.jobs {
			if j != service && !j.told.done && j.told.cancelled == 0 {
				return false
			}
		}
		return true
	})
	if !u.pipelines {
		d.oneGoesBack(old, current)
	}
	d.check(long, service)
}

// playPipeline has a pipeline of three stages accepted, which all new processes do, with the
// partition leader's end in the midst, and one that is cancelled at its head.
func (u *upgrade) playPipeline(d *deployment, current string) {
	first := d.submitAccepted(tinyJob("tasks=4 cores=1 runs=3"))
	second := d.submitAccepted(tinyJob("tasks=4 cores=1 runs=2 depends_on=" + first.ref))
	d.submitAccepted(tinyJob("tasks=2 cores=1 runs=1 depends_on=" + second.ref + "," + first.ref))
	head := d.submitAccepted(tinyJob("tasks=1 cores=1 runs=300"))
	tail := d.submitAccepted(tinyJob("tasks=1 cores=1 runs=1 depends_on=" + head.ref))
	d.restart(d.partitionLeader(), current, 500*time.Millisecond)
	d.with(func(*World) { head.cancelRequested = true })
	d.load(true)
	d.until("what waits on a cancelled job is cancelled", func(*World) bool { return tail.told.cancelled != 0 })
}

// allGoBack replaces the processes one by one by the older version, under load.
func (d *deployment) allGoBack(order [3]int, old string) {
	for _, n := range order {
		d.restart(nodeName(n), old, time.Second)
		d.load(true)
	}
}

// oneGoesBack has a process of the older version read what the new one wrote, which it does
// without a complaint; while it serves, nothing that depends on others is accepted.
func (d *deployment) oneGoesBack(old, current string) {
	d.t.Helper()
	node, other := nodeName(0), nodeName(1)
	d.restart(node, old, 500*time.Millisecond)
	d.until("the older version has read the state", func(*World) bool { return d.running[node].said("state read") })
	waiting := []byte(`{"ref":"wk-900000","jobclass":"c","owner":"alpha","shape":"array","rank":"low",` +
		`"shards":1,"cores":1,"gpus":0,"ram_gb":1,"bundle":"i","size_gb":0.1,` +
		`"hulls":null,"berth":null,"one_zone":false,"apart":false,"loaners":true,"expect_s":1,` +
		`"snapshot_every_s":0,"snapshot_s":0,"due_s":null,"waits_on":["wk-000001"]}`)
	answers := func() (status int, retryAfter string) {
		resp, err := d.client.Post("http://"+d.nodes[other]+"/submissions", "application/json", bytes.NewReader(waiting))
		if err != nil {
			return 0, ""
		}
		defer func() { _ = resp.Body.Close() }() // it is read, or not needed
		return resp.StatusCode, resp.Header.Get("Retry-After")
	}
	refused := false
	for end := time.Now().Add(20 * time.Second); !refused && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, retryAfter := answers()
		// wk-000001 is a service: 422 once no older version is registered.
		refused = status == http.StatusServiceUnavailable && retryAfter != ""
	}
	if !refused {
		d.t.Error("a job that waits was not refused while an older version served")
	}
	d.restart(node, current, 500*time.Millisecond)
	judged := false
	for end := time.Now().Add(20 * time.Second); !judged && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, _ := answers()
		judged = status == http.StatusUnprocessableEntity
	}
	if !judged {
		d.t.Error("a job that waits was not judged after the older version had left")
	}
}

// check holds what was seen against the rules; nothing may be lost for the upgrade alone.
func (d *deployment) check(long, service *userJob) {
	d.with(func(w *World) {
		if long.observed.starts > 6 || service.observed.starts > 3 {
			d.t.Errorf("tasks were lost for the upgrade alone: %d starts of 6, %d of 3 replicas",
				long.observed.starts, service.observed.starts)
		}
		if w.store.tooLarge > 0 {
			d.t.Errorf("%d requests were refused for their size", w.store.tooLarge)
		}
		for _, b := range w.broken {
			d.t.Errorf("rule broken: %s", b)
		}
	})
	for _, p := range d.logs {
		for _, bad := range []string{
			"undecodable record", "duplicate task attempt", "panic",
			"bad record", "task on two machines", // as earlier versions log the first two
		} {
			if p.said(bad) {
				d.t.Errorf("a process said %q", bad)
			}
		}
	}
}
