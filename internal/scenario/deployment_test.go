package scenario

import (
	"context"
	"fmt"
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
	like     deploymentShape
	settings map[string]string
	running  map[string]*process
	version  map[string]string // program by node
	operator map[string]string // operators' settings by program; older ones may not know them
	logs     []*process

	ctx    context.Context
	client *http.Client
	take   func(line string) bool // takes a line of a log, which is not kept then; nil: none
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

// deploymentShape is what a deployment on loopback is like.
type deploymentShape struct {
	teams       []string
	writeRPS    float64
	limits      string // of the state service, to come
	connections int
	logLevel    string
}

// upgradeShape is that of rolling upgrades.
var upgradeShape = deploymentShape{teams: []string{"alpha"}, writeRPS: 60, limits: nextLimits, connections: 600, logLevel: "info"}

// newDeployment prepares stand-ins, settings and machines; no controller runs yet.
func newDeployment(t *testing.T, like deploymentShape) *deployment {
	t.Helper()
	w, err := newWorld(parseLine(1, fmt.Sprintf("cluster nodes=3 lease=6 cancel=20 heartbeat=1 rps=300 write_rps=%v teams=%s", like.writeRPS,
		strings.Join(like.teams, ","))), 1, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{live: &live{w: w, begin: time.Now(), nodes: map[string]string{}}, t: t, like: like, client: newHTTPClient(),
		settings: map[string]string{}, running: map[string]*process{}, version: map[string]string{}, operator: map[string]string{}}
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
	w.listenAddress = func(m *machine) string {
		return listen(func(r protocol.HTTPRequest, reply func(int, []byte)) {
			if r.Path == "/show" {
				m.serveStatus(reply)
			} else {
				m.serveCommands(r.Body, reply)
			}
		})
	}
	w.sendHeartbeat = d.post
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
		state := listen(func(r protocol.HTTPRequest, reply func(int, []byte)) { d.w.store.handle(node, r, reply) })
		var b strings.Builder
		fmt.Fprintf(&b, "member = %q\nzone = \"a\"\nlisten = %q\ninternal_addr = %q\n", node, d.nodes[node], internal[node])
		for k := range 3 {
			if other := nodeName(k); k != i {
				fmt.Fprintf(&b, "[[siblings]]\nmember = %q\nzone = \"a\"\naddress = %q\n", other, internal[other])
			}
		}
		fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n[settings]\nnodes = 3\nzones = [\"a\"]\nskew_ms = 5.0\n", cloud, state)
		for _, team := range d.like.teams {
			fmt.Fprintf(&b, "[[settings.teams]]\nname = %q\n", team)
		}
		b.WriteString("[settings.workers]\nreport_s = 1.0\nlease_s = 6.0\ncancel_s = 20.0\n")
		fmt.Fprintf(&b, "[settings.state]\nrps = 300.0\nwrite_rps = %v\nvalue_kb = 8.0\ntxn_ops = 12\n", d.like.writeRPS)
		b.WriteString(d.like.limits + "[settings.cloud]\nrps = 20.0\nlist_lag_s = 3.0\n")
		fmt.Fprintf(&b, "[settings.machine_limits]\ncpu = 0.5\nmemory_mb = 125.0\nmax_connections = %d\n", d.like.connections)
		d.settings[node] = filepath.Join(d.t.TempDir(), node+".toml")
		if err := os.WriteFile(d.settings[node], []byte(b.String()), 0o600); err != nil {
			d.t.Fatal(err)
		}
	}
}

func (d *deployment) addMachines() {
	kind := &instanceType{name: "small", cores: 8, ramGB: 64, price: 0.6, spotPrice: 0.2, cacheGB: 80, fetchGBPerSecond: 5, bootTime: 3 * micros.Second, zones: []string{"a"},
		capacity: map[string]int{"a/on-demand": 20, "a/spot": 20}}
	d.with(func(w *World) {
		w.cloud.instanceTypes = append(w.cloud.instanceTypes, kind)
		for range 12 {
			w.cloud.addMachine(kind, "a", false, true)
		}
	})
}

func (d *deployment) start(node, program string) {
	d.t.Helper()
	arguments := []string{"--config", d.settings[node]}
	if file := d.operator[program]; file != "" {
		arguments = append([]string{"--operator", file}, arguments...)
	}
	p := &process{cmd: exec.Command(program, arguments...), most: map[string]int{}, take: d.take}
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL="+d.like.logLevel)
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.running[node], d.version[node] = p, program
	d.logs = append(d.logs, p)
}

// configure gives a program operators' settings from its next start on.
func (d *deployment) configure(program, settings string) {
	d.t.Helper()
	file := filepath.Join(d.t.TempDir(), "operator.textproto")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.operator[program] = file
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

// partitionLeader is the node whose process took the queue last.
func (d *deployment) partitionLeader() string {
	best, at := nodeName(0), ""
	for node, p := range d.running {
		p.mu.Lock()
		for _, line := range strings.Split(p.log.String(), "\n") {
			if (strings.Contains(line, "partition leadership acquired") || strings.Contains(line, "queue taken")) && line > at { // lines begin with their time
				best, at = node, line
			}
		}
		p.mu.Unlock()
	}
	return best
}

// storeOutage has the state service refuse everybody for a while.
func (d *deployment) storeOutage(length time.Duration) {
	d.with(func(w *World) { w.store.outage(true) })
	time.Sleep(length)
	d.with(func(w *World) { w.store.outage(false) })
}

// storeRefuses has the state service refuse one controller for a while.
func (d *deployment) storeRefuses(node string, length time.Duration) {
	d.with(func(w *World) { w.store.refusedMembers[node] = true })
	time.Sleep(length)
	d.with(func(w *World) {
		delete(w.store.refusedMembers, node)
		w.store.answerWatches()
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
