package scenario

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

const repositoryRoot = "../.."

// pipelineCommit is a version that already serves jobs that wait on others.
const pipelineCommit = "2ac89afe98092af152de8aba244567fd1d67d41f"

// productionCommit is the version in production, as deploy/service.toml names it.
func productionCommit(t *testing.T) string {
	t.Helper()
	toml, err := os.ReadFile(filepath.Join(repositoryRoot, "deploy/service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(toml)
	if found == nil {
		t.Fatal("deploy/service.toml names no version in production")
	}
	return string(found[1])
}

// programAt builds the program of a commit from the repository's history.
func programAt(t *testing.T, commit string) string {
	t.Helper()
	dir := t.TempDir()
	tar := filepath.Join(dir, "source.tar")
	for _, c := range [][]string{
		{"git", "-C", repositoryRoot, "archive", "--format=tar", "-o", tar, commit},
		{"tar", "-xf", tar, "-C", dir},
	} {
		if out, err := exec.Command(c[0], c[1:]...).CombinedOutput(); err != nil {
			t.Fatalf("%s cannot be had from the history: %v: %s", commit, err, out)
		}
	}
	return build(t, dir)
}

// build builds the program of a source tree.
func build(t *testing.T, dir string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "pipitlatch")
	c := exec.Command("go", "build", "-o", program, "./cmd/pipitlatch")
	c.Dir = dir
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// deployment is three real controllers on loopback, of whatever version, with users.
type deployment struct {
	*live
	t        *testing.T
	settings map[string]string
	running  map[string]*process
	version  map[string]string // program by node
	logs     []*process

	ctx    context.Context
	client *http.Client
	people sync.WaitGroup
	jobs   []*userJob // guarded by the world's lock
}

func nodeName(i int) string { return fmt.Sprintf("node-%d", i) }

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.78:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// newDeployment prepares stand-ins, settings and machines; no controller runs yet.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	w, err := newWorld(parseLine(1, "cluster nodes=3 lease=6 cancel=20 report=1 rps=300 write_rps=60"), 1, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{live: &live{w: w, begin: time.Now(), nodes: map[string]string{}}, t: t, client: newHTTPClient(),
		settings: map[string]string{}, running: map[string]*process{}, version: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	d.ctx = ctx
	var servers []*httptest.Server
	t.Cleanup(func() {
		cancel()
		for node := range d.running {
			d.kill(node)
		}
		d.people.Wait()
		for _, s := range servers {
			s.CloseClientConnections()
		}
	})
	listen := func(handle func(r protocol.HTTPRequest, reply func(int, []byte))) string {
		s := httptest.NewServer(d.serve(handle))
		servers = append(servers, s)
		return s.Listener.Addr().String()
	}
	w.listen = func(m *machine) string {
		return listen(func(r protocol.HTTPRequest, reply func(int, []byte)) {
			if r.Path == "/show" {
				m.show(reply)
			} else {
				m.commands(r.Body, reply)
			}
		})
	}
	w.post = d.post
	d.writeSettings(listen)
	d.addMachines()
	go func() { // the world's clock
		for ctx.Err() == nil {
			time.Sleep(2 * time.Millisecond)
			d.with(func(*World) {})
		}
	}()
	return d
}

// writeSettings gives every controller its file; each has a state service address of its
// own, by which the stand-in knows who asks.
func (d *deployment) writeSettings(listen func(func(r protocol.HTTPRequest, reply func(int, []byte))) string) {
	d.t.Helper()
	cloud := listen(d.w.cloud.handle)
	internal := map[string]string{}
	for i := range 3 {
		d.nodes[nodeName(i)], internal[nodeName(i)] = freeAddress(d.t), freeAddress(d.t)
	}
	for i := range 3 {
		node := nodeName(i)
		state := listen(func(r protocol.HTTPRequest, reply func(int, []byte)) { d.w.state.handle(node, r, reply) })
		var b strings.Builder
		fmt.Fprintf(&b, "member = %q\nzone = \"a\"\nlisten = %q\ninternal_addr = %q\n", node, d.nodes[node], internal[node])
		for k := range 3 {
			if other := nodeName(k); k != i {
				fmt.Fprintf(&b, "[[siblings]]\nmember = %q\nzone = \"a\"\naddress = %q\n", other, internal[other])
			}
		}
		fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n[settings]\nnodes = 3\nzones = [\"a\"]\nskew_ms = 5.0\n[[settings.teams]]\nname = \"alpha\"\n", cloud, state)
		b.WriteString("[settings.workers]\nreport_s = 1.0\nlease_s = 6.0\ncancel_s = 20.0\n[settings.state]\nrps = 300.0\nwrite_rps = 60.0\nvalue_kb = 8.0\ntxn_ops = 12\n")
		b.WriteString(nextLimits + "[settings.cloud]\nrps = 20.0\nlist_lag_s = 3.0\n[settings.machine_limits]\ncpu = 0.5\nmemory_mb = 125.0\nmax_connections = 600\n")
		d.settings[node] = filepath.Join(d.t.TempDir(), node+".toml")
		if err := os.WriteFile(d.settings[node], []byte(b.String()), 0o600); err != nil {
			d.t.Fatal(err)
		}
	}
}

func (d *deployment) addMachines() {
	kind := &machineType{name: "small", cores: 8, ram: 64, price: 0.6, spot: 0.2, cache: 80, fetch: 5, boot: 3 * micros.Second, zones: []string{"a"},
		room: map[string]int{"a/ordinary": 20, "a/spot": 20}}
	d.with(func(w *World) {
		w.cloud.types = append(w.cloud.types, kind)
		for range 12 {
			w.cloud.add(kind, "a", false, true)
		}
	})
}

func (d *deployment) start(node, program string) {
	d.t.Helper()
	p := &process{cmd: exec.Command(program, "--config", d.settings[node]), most: map[string]int{}}
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.running[node], d.version[node] = p, program
	d.logs = append(d.logs, p)
}

func (d *deployment) kill(node string) {
	p := d.running[node]
	_ = p.cmd.Process.Kill() // it is ours, and may have ended
	_ = p.cmd.Wait()         // killed: no status is expected
}

// restart ends a process, which comes back as the given program.
func (d *deployment) restart(node, program string, after time.Duration) {
	d.t.Helper()
	d.kill(node)
	time.Sleep(after)
	d.start(node, program)
}

// holder is the node whose process took the queue last.
func (d *deployment) holder() string {
	best, at := nodeName(0), ""
	for node, p := range d.running {
		p.mu.Lock()
		for _, line := range strings.Split(p.log.String(), "\n") {
			if strings.Contains(line, "queue taken") && line > at { // lines begin with their time
				best, at = node, line
			}
		}
		p.mu.Unlock()
	}
	return best
}

// stateOutage has the state service refuse everybody for a while.
func (d *deployment) stateOutage(length time.Duration) {
	d.with(func(w *World) { w.state.outage(true) })
	time.Sleep(length)
	d.with(func(w *World) { w.state.outage(false) })
}

// stateRefuses has the state service refuse one controller for a while.
func (d *deployment) stateRefuses(node string, length time.Duration) {
	d.with(func(w *World) { w.state.downFor[node] = true })
	time.Sleep(length)
	d.with(func(w *World) {
		delete(w.state.downFor, node)
		w.state.wake()
	})
}

func (d *deployment) until(what string, done func(*World) bool) {
	d.t.Helper()
	ok := false
	for end := time.Now().Add(2 * time.Minute); !ok && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		d.with(func(w *World) { ok = done(w) })
	}
	if !ok {
		for node, p := range d.running {
			p.mu.Lock()
			d.t.Logf("%s: %s", node, p.log.Bytes()[max(0, p.log.Len()-2000):])
			p.mu.Unlock()
		}
		d.t.Fatalf("not in two minutes: %s", what)
	}
}

// submit has a user submit a job, and ask for it until it is over.
func (d *deployment) submit(set map[string]string) *userJob {
	var j *userJob
	d.with(func(w *World) {
		j = w.users.parse(fmt.Sprintf("wk-%06d", len(d.jobs)+1), set)
		j.sent, j.first = true, w.now
		w.users.jobs[j.ref] = j
		w.users.order = append(w.users.order, j.ref)
		d.jobs = append(d.jobs, j)
	})
	d.people.Go(func() { d.user(d.ctx, j, d.client) })
	return j
}

// submitAccepted is submit, and waits until the job is accepted.
func (d *deployment) submitAccepted(set map[string]string) *userJob {
	d.t.Helper()
	j := d.submit(set)
	d.until(j.ref+" is accepted", func(*World) bool { return j.accepted != 0 })
	return j
}

// load submits for some seconds; every sixth job is cancelled while it runs. With pipelines,
// every other job is followed by two stages, the last of which waits on both before it.
func (d *deployment) load(seconds int, pipelines bool) {
	stage := map[string]string{"tasks": "4", "cores": "1", "ram": "1", "runs": "2", "spot": "yes", "image": "i", "size": "0.1"}
	for i := range seconds * 2 {
		j := d.submit(stage)
		if i%6 == 5 {
			time.AfterFunc(time.Duration(rand.IntN(3000))*time.Millisecond, func() { d.with(func(*World) { j.wantCancel = true }) })
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
		d.with(func(*World) { accepted = before.accepted != 0 })
	}
	return d.submit(map[string]string{"tasks": "2", "cores": "1", "ram": "1", "runs": "1", "spot": "yes", "image": "i", "size": "0.1", "waits": waits})
}

// user submits a job and asks for it until it is over, at a node drawn each time.
func (d *deployment) user(ctx context.Context, j *userJob, client *http.Client) {
	draw := func() string { return d.nodes[fmt.Sprintf("node-%d", rand.IntN(3))] }
	call := func(method, path string, body []byte, took func(u *users, status int, answer []byte)) {
		r, err := http.NewRequestWithContext(ctx, method, "http://"+draw()+path, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		resp, err := client.Do(r)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		if answer, err := io.ReadAll(resp.Body); err == nil {
			d.with(func(w *World) { took(w.users, resp.StatusCode, answer) })
		}
	}
	over := func() (over bool) {
		d.with(func(*World) { over = j.toldDone || j.cancelled != 0 })
		return over
	}
	for !over() && ctx.Err() == nil {
		accepted, cancel := false, false
		d.with(func(*World) { accepted, cancel = j.accepted != 0, j.wantCancel })
		switch {
		case !accepted:
			call("POST", "/submissions", j.body, func(u *users, status int, answer []byte) {
				switch status {
				case 200, 201:
					j.accepted = u.w.now
					u.hear(j, answer)
				case 400, 422:
					u.w.breakRule("refused", "%s: %d %s", j.ref, status, answer)
				}
			})
		case cancel:
			call("POST", "/submissions/"+j.ref+"/abort", nil, func(u *users, status int, answer []byte) {
				if status == 200 {
					u.hear(j, answer)
				}
			})
		default:
			call("GET", "/submissions/"+j.ref, nil, func(u *users, status int, answer []byte) {
				switch status {
				case 200:
					u.hear(j, answer)
				case 404:
					u.w.breakRule("forgotten", "%s: accepted, then 404", j.ref)
				}
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// upgrade is one way in which three controllers are upgraded.
type upgrade struct {
	name      string
	pipelines bool // the version before serves them already
	order     [3]int
	back      time.Duration // until a process that ended is back
	trouble   func(d *deployment, upgraded int)
}

// holderEnds has the holder, of whichever version, end and come back as it was.
func holderEnds(d *deployment, upgraded int) {
	if upgraded == 3 {
		return
	}
	h := d.holder()
	d.t.Logf("with %d of 3 upgraded, %s ends as the holder", upgraded, h)
	d.restart(h, d.version[h], time.Second)
}

// quickReturn is the same within a fraction of a second, for a process before its turn.
func quickReturn(d *deployment, upgraded int) {
	if upgraded == 3 {
		return
	}
	h := d.holder()
	d.restart(h, d.version[h], 100*time.Millisecond)
}

// stateTroubles are an outage for all, then a refusal of the holder alone.
func stateTroubles(d *deployment, upgraded int) {
	switch upgraded {
	case 1:
		d.stateOutage(5 * time.Second)
	case 2:
		d.stateRefuses(d.holder(), 5*time.Second)
	}
}

// allEnd has all processes end at once and come back as they were.
func allEnd(d *deployment, upgraded int) {
	if upgraded == 3 {
		return
	}
	for node := range d.running {
		d.kill(node)
	}
	time.Sleep(500 * time.Millisecond)
	for node := range d.running {
		d.start(node, d.version[node])
	}
}

// TestRollingUpgrade upgrades three real processes one by one under load, from the version
// in production and from one that already serves pipelines, in every order, with a trouble
// after each; the state service's limits shrink the moment after the last is new, and jobs
// wait on others. The stand-ins check the rules, as in the scenarios.
func TestRollingUpgrade(t *testing.T) {
	production, pipelines, current := programAt(t, productionCommit(t)), programAt(t, pipelineCommit), build(t, repositoryRoot)
	for _, u := range []upgrade{
		{"production/holder_ends", false, [3]int{0, 1, 2}, time.Second, holderEnds},
		{"production/quick_return", false, [3]int{2, 1, 0}, 100 * time.Millisecond, quickReturn},
		{"production/state_troubles", false, [3]int{1, 0, 2}, time.Second, stateTroubles},
		{"pipelines/all_end", true, [3]int{1, 2, 0}, time.Second, allEnd},
		{"pipelines/state_troubles", true, [3]int{0, 2, 1}, 100 * time.Millisecond, stateTroubles},
		{"pipelines/holder_ends", true, [3]int{2, 0, 1}, time.Second, holderEnds},
	} {
		old := production
		if u.pipelines {
			old = pipelines
		}
		t.Run(u.name, func(t *testing.T) {
			t.Parallel()
			u.play(t, old, current)
		})
	}
}

func (u *upgrade) play(t *testing.T, old, current string) {
	d := newDeployment(t)
	for node := range d.nodes {
		d.start(node, old)
	}
	service := d.submit(map[string]string{"shape": "service", "rank": "production", "cores": "2", "tasks": "3", "image": "i", "size": "0.1"})
	d.until("the service runs", func(*World) bool { return service.starts >= 3 })
	// Long enough that its tasks end long after the whole roll.
	long := d.submit(map[string]string{"tasks": "6", "cores": "1", "runs": "60", "image": "i", "size": "0.1"})
	d.until("the long job runs", func(*World) bool { return long.starts >= 6 })
	d.load(3, u.pipelines)
	for i, n := range u.order {
		d.restart(nodeName(n), current, u.back)
		if i == 2 {
			d.with(func(w *World) { w.state.txnOps, w.state.valueMax, w.state.writeRPS, w.state.tooLarge = 4, 2048, 18, 0 })
		}
		d.load(3, u.pipelines)
		u.trouble(d, i+1)
		d.load(3, u.pipelines)
	}
	u.playPipeline(d, current)
	d.until("everything is done", func(*World) bool {
		for _, j := range d.jobs {
			if j != service && !j.toldDone && j.cancelled == 0 {
				return false
			}
		}
		return true
	})
	if !u.pipelines {
		d.goBack(old, current)
	}
	d.check(long, service)
}

// playPipeline has a pipeline of three stages taken, which all new processes do, with the
// holder's end in the midst, and one that is cancelled at its head.
func (u *upgrade) playPipeline(d *deployment, current string) {
	first := d.submitAccepted(map[string]string{"tasks": "4", "cores": "1", "runs": "3", "image": "i", "size": "0.1"})
	second := d.submitAccepted(map[string]string{"tasks": "4", "cores": "1", "runs": "2", "image": "i", "size": "0.1", "waits": first.ref})
	d.submitAccepted(map[string]string{"tasks": "2", "cores": "1", "runs": "1", "image": "i", "size": "0.1", "waits": second.ref + "," + first.ref})
	head := d.submitAccepted(map[string]string{"tasks": "1", "cores": "1", "runs": "300", "image": "i", "size": "0.1"})
	tail := d.submitAccepted(map[string]string{"tasks": "1", "cores": "1", "runs": "1", "image": "i", "size": "0.1", "waits": head.ref})
	d.restart(d.holder(), current, 500*time.Millisecond)
	d.with(func(*World) { head.wantCancel = true })
	d.load(3, true)
	d.until("what waits on a cancelled job is cancelled", func(*World) bool { return tail.cancelled != 0 })
}

// goBack has a process of the older version read what the new one wrote, which it does
// without a complaint; while it serves, nothing that waits on others is taken.
func (d *deployment) goBack(old, current string) {
	d.t.Helper()
	node, other := nodeName(0), nodeName(1)
	d.restart(node, old, 500*time.Millisecond)
	d.until("the older version has read the state", func(*World) bool { return d.running[node].said("state read") })
	waiting := []byte(`{"ref":"wk-900000","jobclass":"c","owner":"alpha","shape":"array","rank":"low","shards":1,"cores":1,"gpus":0,"ram_gb":1,` +
		`"bundle":"i","size_gb":0.1,"hulls":null,"berth":null,"one_zone":false,"apart":false,"loaners":true,"expect_s":1,` +
		`"snapshot_every_s":0,"snapshot_s":0,"due_s":null,"waits_on":["wk-000001"]}`)
	answers := func() (status int, retryAfter string) {
		resp, err := d.client.Post("http://"+d.nodes[other]+"/submissions", "application/json", bytes.NewReader(waiting))
		if err != nil {
			return 0, ""
		}
		defer resp.Body.Close()
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
		if long.starts > 6 || service.starts > 3 {
			d.t.Errorf("tasks were lost for the upgrade alone: %d starts of 6, %d of 3 replicas", long.starts, service.starts)
		}
		if w.state.tooLarge > 0 {
			d.t.Errorf("%d requests were refused for their size", w.state.tooLarge)
		}
		for _, b := range w.broken {
			d.t.Errorf("rule broken: %s", b)
		}
	})
	for _, p := range d.logs {
		for _, bad := range []string{"bad record", "task on two machines", "panic"} {
			if p.said(bad) {
				d.t.Errorf("a process said %q", bad)
			}
		}
	}
}
