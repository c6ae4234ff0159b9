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

// productionProgram builds the version in production, as deploy/service.toml names it,
// from the repository's history.
func productionProgram(t *testing.T) string {
	t.Helper()
	const root = "../.."
	toml, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(toml)
	if found == nil {
		t.Fatal("deploy/service.toml names no version in production")
	}
	dir := t.TempDir()
	tar := filepath.Join(dir, "source.tar")
	for _, c := range [][]string{
		{"git", "-C", root, "archive", "--format=tar", "-o", tar, string(found[1])},
		{"tar", "-xf", tar, "-C", dir},
	} {
		if out, err := exec.Command(c[0], c[1:]...).CombinedOutput(); err != nil {
			t.Fatalf("the version in production cannot be had from the history: %v: %s", err, out)
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

// deployment is three real controllers on loopback, of whatever version.
type deployment struct {
	*live
	t        *testing.T
	old, new string // programs
	settings map[string]string
	running  map[string]*process
	version  map[string]string // program by node
	logs     []*process
}

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.78:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
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

// holder is the node whose process took the queue last.
func (d *deployment) holder() string {
	best, at := "node-0", ""
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

// TestRollingUpgrade upgrades three real processes of the version in production one by
// one, under load, with the holder of either version ending in the midst and one that
// comes back old; then the state service's limits shrink and jobs wait on others. The
// rules are checked by the stand-ins, as in the scenarios.
func TestRollingUpgrade(t *testing.T) {
	w, err := newWorld(parseLine(1, "cluster nodes=3 lease=6 cancel=20 report=1 rps=300 write_rps=60"), 1, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{live: &live{w: w, begin: time.Now(), nodes: map[string]string{}}, t: t, old: productionProgram(t), new: build(t, "../.."),
		settings: map[string]string{}, running: map[string]*process{}, version: map[string]string{}}
	d.begin = time.Now() // builds take their time
	var servers []*httptest.Server
	t.Cleanup(func() {
		for node := range d.running {
			d.kill(node)
		}
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
	cloud := listen(w.cloud.handle)
	internal := map[string]string{}
	for i := range 3 {
		node := fmt.Sprintf("node-%d", i)
		d.nodes[node], internal[node] = freeAddress(t), freeAddress(t)
	}
	for i := range 3 {
		node := fmt.Sprintf("node-%d", i)
		state := listen(func(r protocol.HTTPRequest, reply func(int, []byte)) { w.state.handle(node, r, reply) })
		var b strings.Builder
		fmt.Fprintf(&b, "member = %q\nzone = \"a\"\nlisten = %q\ninternal_addr = %q\n", node, d.nodes[node], internal[node])
		for k := range 3 {
			if other := fmt.Sprintf("node-%d", k); k != i {
				fmt.Fprintf(&b, "[[siblings]]\nmember = %q\nzone = \"a\"\naddress = %q\n", other, internal[other])
			}
		}
		fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n[settings]\nnodes = 3\nzones = [\"a\"]\nskew_ms = 5.0\n[[settings.teams]]\nname = \"alpha\"\n", cloud, state)
		b.WriteString("[settings.workers]\nreport_s = 1.0\nlease_s = 6.0\ncancel_s = 20.0\n[settings.state]\nrps = 300.0\nwrite_rps = 60.0\nvalue_kb = 8.0\ntxn_ops = 12\n")
		b.WriteString(nextLimits + "[settings.cloud]\nrps = 20.0\nlist_lag_s = 3.0\n[settings.machine_limits]\ncpu = 0.5\nmemory_mb = 125.0\nmax_connections = 600\n")
		d.settings[node] = filepath.Join(t.TempDir(), node+".toml")
		if err := os.WriteFile(d.settings[node], []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	kind := &machineType{name: "small", cores: 8, ram: 64, price: 0.6, spot: 0.2, cache: 80, fetch: 5, boot: 3 * micros.Second, zones: []string{"a"},
		room: map[string]int{"a/ordinary": 20, "a/spot": 20}}
	d.with(func(w *World) {
		w.cloud.types = append(w.cloud.types, kind)
		for range 12 {
			w.cloud.add(kind, "a", false, true)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { // the world's clock
		for ctx.Err() == nil {
			time.Sleep(2 * time.Millisecond)
			d.with(func(*World) {})
		}
	}()

	client := newHTTPClient()
	var people sync.WaitGroup
	var jobs []*userJob
	next := 0
	submit := func(set map[string]string) *userJob {
		next++
		var j *userJob
		d.with(func(w *World) {
			j = w.users.parse(fmt.Sprintf("wk-%06d", next), set)
			j.sent, j.first = true, w.now
			w.users.jobs[j.ref] = j
			w.users.order = append(w.users.order, j.ref)
		})
		jobs = append(jobs, j)
		people.Go(func() { d.user(ctx, j, client) })
		return j
	}
	// load submits for some seconds; every sixth job is cancelled while it runs.
	load := func(seconds int) {
		for i := range seconds * 2 {
			j := submit(map[string]string{"tasks": "4", "cores": "1", "ram": "1", "runs": "2", "spot": "yes", "image": "i", "size": "0.1"})
			if i%6 == 5 {
				time.AfterFunc(time.Duration(rand.IntN(3000))*time.Millisecond, func() { d.with(func(*World) { j.wantCancel = true }) })
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	accepted := func(j *userJob) func(*World) bool { return func(*World) bool { return j.accepted != 0 } }

	for node := range d.nodes {
		d.start(node, d.old)
	}
	service := submit(map[string]string{"shape": "service", "rank": "production", "cores": "2", "tasks": "3", "image": "i", "size": "0.1"})
	d.until("the service runs", func(*World) bool { return service.starts >= 3 })
	// Long enough that its tasks end long after the whole roll.
	long := submit(map[string]string{"tasks": "6", "cores": "1", "runs": "45", "image": "i", "size": "0.1"})
	d.until("the long job runs", func(*World) bool { return long.starts >= 6 })
	load(3)
	for i := range 3 {
		node := fmt.Sprintf("node-%d", i)
		d.kill(node)
		time.Sleep(time.Second)
		d.start(node, d.new)
		load(3)
		if i < 2 { // the holder, of whichever version, ends and comes back as it was
			h := d.holder()
			t.Logf("with %d of 3 upgraded, %s ends as the holder, old: %v", i+1, h, d.version[h] == d.old)
			d.kill(h)
			time.Sleep(time.Second)
			d.start(h, d.version[h])
			load(3)
		}
	}
	// A pipeline is taken once all are new; from then on the limits may shrink.
	first := submit(map[string]string{"tasks": "4", "cores": "1", "runs": "3", "image": "i", "size": "0.1"})
	d.until("the first stage is accepted", accepted(first))
	second := submit(map[string]string{"tasks": "4", "cores": "1", "runs": "2", "image": "i", "size": "0.1", "waits": first.ref})
	d.until("the second stage is accepted", accepted(second))
	d.with(func(w *World) { w.state.txnOps, w.state.valueMax, w.state.writeRPS, w.state.tooLarge = 4, 2048, 18, 0 })
	third := submit(map[string]string{"tasks": "2", "cores": "1", "runs": "1", "image": "i", "size": "0.1", "waits": second.ref + "," + first.ref})
	d.until("the third stage is accepted", accepted(third))
	h := d.holder()
	d.kill(h)
	time.Sleep(500 * time.Millisecond)
	d.start(h, d.new)
	load(3)
	d.until("everything is done", func(w *World) bool {
		for _, j := range jobs {
			if j != service && !j.toldDone && j.cancelled == 0 {
				return false
			}
		}
		return true
	})
	d.with(func(w *World) {
		if long.starts > 6 || service.starts > 3 {
			t.Errorf("tasks were lost for the upgrade alone: %d starts of 6, %d of 3 replicas", long.starts, service.starts)
		}
		if w.state.tooLarge > 0 {
			t.Errorf("%d requests were refused for their size", w.state.tooLarge)
		}
	})
	cancel()
	people.Wait()
	d.with(func(w *World) {
		for _, b := range w.broken {
			t.Errorf("rule broken: %s", b)
		}
	})
	for _, p := range d.logs {
		for _, bad := range []string{"bad record", "task on two machines", "panic"} {
			if p.said(bad) {
				t.Errorf("a process said %q", bad)
			}
		}
	}
}
