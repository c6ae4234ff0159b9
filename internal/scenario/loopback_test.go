package scenario

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// live plays a world in real time, its outside services and workers on loopback.
type live struct {
	mu      sync.Mutex
	w       *World
	begin   time.Time
	control string            // the controller's address
	nodes   map[string]string // addresses of controllers, if there are several
	clients []*http.Client    // of the workers
	posts   int
	oks     int
}

// with runs something in the world at the present time.
func (l *live) with(run func(*World)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.w.run(time.Since(l.begin).Microseconds())
	run(l.w)
}

// serve hands a request to a stand-in and waits for its answer.
func (l *live) serve(handle func(r protocol.HTTPRequest, reply func(int, []byte))) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		type answer struct {
			status int
			body   []byte
		}
		ch := make(chan answer, 1)
		l.with(func(*World) {
			handle(protocol.HTTPRequest{Method: r.Method, Path: r.URL.RequestURI(), Body: body}, func(status int, b []byte) {
				select {
				case ch <- answer{status, b}:
				default:
				}
			})
		})
		select {
		case a := <-ch:
			w.WriteHeader(a.status)
			_, _ = w.Write(a.body) // the controller may have given up
		case <-r.Context().Done():
		}
	})
}

func newHTTPClient() *http.Client {
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, IdleConnTimeout: time.Minute}}
}

// post sends a worker's report over its own connection.
func (l *live) post(m *machine, raw []byte, end func(int, []byte)) {
	n, _ := strconv.Atoi(strings.TrimPrefix(m.name, "vm-"))
	for len(l.clients) <= n {
		l.clients = append(l.clients, newHTTPClient())
	}
	c, control := l.clients[n], l.control
	if a := l.nodes[m.controller]; a != "" {
		control = a
	}
	l.posts++
	go func() {
		status, body := 0, []byte(nil)
		if resp, err := c.Post("http://"+control+"/v1/report", "application/json", bytes.NewReader(raw)); err == nil {
			status = resp.StatusCode
			body, _ = io.ReadAll(resp.Body) // a torn answer is no JSON, and counts as none
			resp.Body.Close()
		}
		l.with(func(*World) {
			if status == 200 {
				l.oks++
			}
			end(status, body)
		})
	}()
}

// process is a controller that runs.
type process struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  bytes.Buffer
	most map[string]int // the highest counts seen

	take func(line string) bool // lines that it takes are not kept
	part []byte                 // of a line
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.take == nil {
		return p.log.Write(b)
	}
	p.part = append(p.part, b...)
	for {
		line, rest, whole := bytes.Cut(p.part, []byte("\n"))
		if !whole {
			return len(b), nil
		}
		if !p.take(string(line)) {
			p.log.Write(append(line, '\n'))
		}
		p.part = append([]byte(nil), rest...)
	}
}

func (p *process) said(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(p.log.String(), text)
}

// sample counts the process's sockets, threads and megabytes.
func (p *process) sample() {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	now := map[string]int{}
	files, _ := os.ReadDir(dir + "fd") // the process may just have ended
	for _, f := range files {
		if to, err := os.Readlink(dir + "fd/" + f.Name()); err == nil && strings.HasPrefix(to, "socket:") {
			now["sockets"]++
		}
	}
	status, _ := os.ReadFile(dir + "status")
	for _, line := range strings.Split(string(status), "\n") {
		if f := strings.Fields(line); len(f) > 1 && (f[0] == "Threads:" || f[0] == "VmHWM:") {
			n, _ := strconv.Atoi(f[1])
			now[strings.ToLower(strings.TrimSuffix(f[0], ":"))] = n
		}
	}
	for k, n := range now {
		p.most[k] = max(p.most[k], n)
	}
}

// loopbackFleet is one real controller on loopback with many stand-in workers and users.
type loopbackFleet struct {
	*live
	t                          *testing.T
	size                       int
	connections                int
	memory                     int // megabytes
	program                    string
	settings                   string // files
	operator                   string
	process                    *process
	jobs                       []*userJob
	ctx                        context.Context
	servers                    []*httptest.Server
	storeAddress, cloudAddress string
}

// cpu is the processor time that the process has used.
func (p *process) cpu() time.Duration {
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid)) // the process may just have ended
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])   // in hundredths of a second, as the next
	system, _ := strconv.Atoi(fields[12]) // see proc(5)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// measureSteady reports the processor time of some seconds in which nothing happens but
// reports and polls; only where the size of the fleet was asked for.
func (f *loopbackFleet) measureSteady() {
	if os.Getenv("PIPITLATCH_FLEET") == "" {
		return
	}
	const length = 15 * time.Second
	before, reports := f.process.cpu(), 0
	f.with(func(*World) { reports = f.oks })
	time.Sleep(length)
	used := f.process.cpu() - before
	f.with(func(*World) { reports = f.oks - reports })
	f.t.Logf("steady: %.1f%% of a core, %.0f reports a second", 100*used.Seconds()/length.Seconds(), float64(reports)/length.Seconds())
}

// fleetSize is how many stand-in workers there are: PIPITLATCH_FLEET, or a few.
func fleetSize() int {
	if size, err := strconv.Atoi(os.Getenv("PIPITLATCH_FLEET")); err == nil {
		return size
	}
	return 150
}

// newLoopbackFleet starts the stand-ins; no controller runs yet.
func newLoopbackFleet(t *testing.T, connections int) *loopbackFleet {
	t.Helper()
	w, err := newWorld(parseLine(1, "cluster nodes=1 lease=26.5 cancel=51.5 heartbeat=5 rps=400 write_rps=100"), 1, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	f := &loopbackFleet{live: &live{w: w, begin: time.Now()}, t: t, size: fleetSize(), memory: 441, program: build(t, repositoryRoot)}
	f.connections = connections
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	f.storeAddress = f.listen(func(r protocol.HTTPRequest, reply func(int, []byte)) { w.store.handle("node-0", r, reply) })
	f.cloudAddress = f.listen(w.cloud.handle)
	t.Cleanup(func() {
		cancel()
		for _, s := range f.servers {
			s.CloseClientConnections()
		}
	})
	w.listenAddress = func(m *machine) string {
		return f.listen(func(r protocol.HTTPRequest, reply func(int, []byte)) {
			if r.Path == "/show" {
				m.serveStatus(reply)
			} else {
				m.serveCommands(r.Body, reply)
			}
		})
	}
	w.sendHeartbeat = f.post
	f.control = freeAddress(t)
	f.writeSettings()
	f.addMachines()
	go func() { // the world's clock
		for ctx.Err() == nil {
			time.Sleep(2 * time.Millisecond)
			f.with(func(*World) {})
		}
	}()
	return f
}

func (f *loopbackFleet) listen(handle func(r protocol.HTTPRequest, reply func(int, []byte))) string {
	s := httptest.NewServer(f.serve(handle))
	f.servers = append(f.servers, s)
	return s.Listener.Addr().String()
}

func (f *loopbackFleet) addMachines() {
	kind := &instanceType{name: "small", cores: 16, ramGB: 64, price: 0.6, spotPrice: 0.2, cacheGB: 80, fetchGBPerSecond: 5, bootTime: 20 * micros.Second,
		zones: []string{"a"}, capacity: map[string]int{}}
	f.with(func(w *World) {
		w.cloud.instanceTypes = append(w.cloud.instanceTypes, kind)
		for range f.size {
			w.cloud.addMachine(kind, "a", false, true)
		}
	})
}

func (f *loopbackFleet) writeSettings() {
	f.t.Helper()
	text := fmt.Sprintf(`member = "node-0"
listen = %q
internal_addr = %q
[services]
cloud = %q
state = %q
[settings]
nodes = 1
[[settings.teams]]
name = "alpha"
[settings.workers]
report_s = 5.0
lease_s = 26.5
cancel_s = 51.5
[settings.state]
rps = 400.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 12
[settings.cloud]
rps = 18.0
list_lag_s = 3.0
[settings.machine_limits]
cpu = 0.864
memory_mb = %d.0
max_connections = %d
`, f.control, freeAddress(f.t), f.cloudAddress, f.storeAddress, f.memory, f.connections)
	dir := f.t.TempDir()
	f.settings, f.operator = filepath.Join(dir, "settings.toml"), filepath.Join(dir, "operator.txt")
	for file, content := range map[string]string{f.settings: text, f.operator: "idle_keep_s: 100000"} {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *loopbackFleet) start() {
	f.t.Helper()
	p := &process{cmd: exec.Command(f.program, "--operator", f.operator, "--config", f.settings), most: map[string]int{}}
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.process = p
}

func (f *loopbackFleet) stop() {
	_ = f.process.cmd.Process.Kill() // it is ours, and may have ended
	_ = f.process.cmd.Wait()         // killed: no status is expected
}

func (f *loopbackFleet) until(what string, done func(*World) bool) {
	f.t.Helper()
	ok := false
	for end := time.Now().Add(3 * time.Minute); !ok && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.process.sample()
		f.with(func(w *World) { ok = done(w) })
	}
	if !ok {
		f.process.mu.Lock()
		defer f.process.mu.Unlock()
		f.t.Fatalf("not in three minutes: %s\n%s", what, f.process.log.Bytes()[max(0, f.process.log.Len()-2000):])
	}
}

// submitAll has users, each on a connection of its own, submit and then ask now and then,
// until the test is over.
func (f *loopbackFleet) submitAll(users *sync.WaitGroup) {
	f.with(func(w *World) {
		for i := range f.size / 5 {
			set := map[string]string{"tasks": "10", "cores": "2", "runs": "6", "image": "i"}
			if i%2 == 0 { // one replica a machine: none is given back
				set = map[string]string{"shape": "service", "rank": "production", "cores": "10", "tasks": "10", "image": "i"}
			}
			j := w.users.newJob(fmt.Sprintf("wk-%06d", i), set)
			j.sent = true
			w.users.jobs[j.ref] = j
			f.jobs = append(f.jobs, j)
		}
	})
	for _, j := range f.jobs {
		users.Go(func() {
			c := newHTTPClient()
			for f.ctx.Err() == nil {
				resp, err := c.Post("http://"+f.control+"/submissions", "application/json", bytes.NewReader(j.body))
				if err == nil {
					resp.Body.Close()
				}
				select {
				case <-f.ctx.Done():
				case <-time.After(2 * time.Second):
				}
			}
		})
	}
}

// withToken is how many machines have a token.
func (f *loopbackFleet) withToken(w *World) (n int) {
	for _, m := range w.cloud.machines {
		if m.fencingToken > 0 {
			n++
		}
	}
	return n
}

// served tells whether all services run and all arrays are done.
func (f *loopbackFleet) served(*World) bool {
	for _, j := range f.jobs {
		if j.shape == "service" && j.starts < 10 || j.shape == "array" && len(j.done) < 10 {
			return false
		}
	}
	return true
}

// TestLoopbackFleet runs the real program with many stand-in workers: all report, get
// tasks, come back at once, and are asked at once when the controller starts anew. It
// asserts counts: sockets, threads and memory stay within the settings. By default
// the fleet is small; PIPITLATCH_FLEET=4000 makes it as large as fleets get.
func TestLoopbackFleet(t *testing.T) {
	f := newLoopbackFleet(t, max(300, fleetSize()*9/5))
	f.start()
	defer func() { f.stop() }()
	var users sync.WaitGroup
	f.submitAll(&users)
	f.until("all machines obey", func(w *World) bool { return f.withToken(w) >= f.size })
	f.until("all services run and all arrays are done", f.served)
	t.Logf("%d machines: %v of %d sockets, %d MB", f.size, f.process.most, f.connections, f.memory)
	f.measureSteady()
	// Every worker comes anew at once.
	before := 0
	f.with(func(w *World) {
		for _, c := range f.clients {
			c.CloseIdleConnections()
		}
		before = f.oks
		for _, m := range w.cloud.machines {
			m.scheduleHeartbeat(0)
		}
	})
	f.until("all are answered", func(*World) bool { return f.oks >= before+f.size })
	first := f.process
	f.stop()
	f.start()
	f.until("all machines are known again", func(*World) bool { return f.process.said("all machines reconciled") })
	f.until("the controller answers on", func(*World) bool { return f.oks >= before+3*f.size })
	t.Logf("and anew: %v", f.process.most)
	f.checkCounts(first)
	f.checkCounts(f.process)
	f.with(func(w *World) {
		for _, b := range w.broken {
			t.Errorf("rule broken: %s", b)
		}
	})
}

// checkCounts holds a process's sockets, threads and memory against its settings.
func (f *loopbackFleet) checkCounts(p *process) {
	if p.most["sockets"] == 0 || p.most["sockets"] > f.connections {
		f.t.Errorf("%d sockets, may have %d", p.most["sockets"], f.connections)
	}
	if p.most["threads"] > 100 {
		f.t.Errorf("%d threads", p.most["threads"])
	}
	if p.most["vmhwm"] > f.memory*1000 {
		f.t.Errorf("%d kB, may have %d MB", p.most["vmhwm"], f.memory)
	}
}

// TestLoopbackTooFewConnections: max_connections is less than the fleet needs. The operator is
// told; the workers that have a connection are served, users too; the process lives, keeps
// to its bound, and no rule is broken.
func TestLoopbackTooFewConnections(t *testing.T) {
	f := newLoopbackFleet(t, fleetSize()*4/5)
	f.start()
	defer func() { f.stop() }()
	var users sync.WaitGroup
	f.submitAll(&users)
	f.until("half of the machines obey", func(w *World) bool { return f.withToken(w) >= f.size/2 })
	f.until("the operator is told", func(*World) bool { return f.process.said("connection refused") })
	before := 0
	f.with(func(*World) { before = f.oks })
	f.until("workers are answered on", func(*World) bool { return f.oks >= before+f.size })
	f.until("replicas run", func(*World) bool {
		starts := 0
		for _, j := range f.jobs {
			starts += j.starts
		}
		return starts >= f.size/4
	})
	t.Logf("%d machines: %v of %d sockets", f.size, f.process.most, f.connections)
	f.checkCounts(f.process)
	f.with(func(w *World) {
		for _, b := range w.broken {
			t.Errorf("rule broken: %s", b)
		}
	})
}
