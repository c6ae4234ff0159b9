package scenario

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// loopbackFleet is one real controller on loopback with many agents that are stand-ins and users.
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
	storeAddress, cloudAddress string
}

// measureSteady reports the processor time of some seconds in which nothing happens but
// heartbeats and polls; only where the size of the fleet was asked for.
func (f *loopbackFleet) measureSteady() {
	if os.Getenv("PIPITLATCH_FLEET") == "" {
		return
	}
	const length = 15 * time.Second
	before, heartbeats := f.process.cpu(), 0
	f.with(func(*World) { heartbeats = f.oks })
	time.Sleep(length)
	used := f.process.cpu() - before
	f.with(func(*World) { heartbeats = f.oks - heartbeats })
	seconds := length.Seconds()
	f.t.Logf("steady: %.1f%% of a core, %.0f heartbeats a second", 100*used.Seconds()/seconds, float64(heartbeats)/seconds)
}

// fleetSize is how many agents that are stand-ins there are: PIPITLATCH_FLEET, or a few.
func fleetSize() int {
	if size, err := strconv.Atoi(os.Getenv("PIPITLATCH_FLEET")); err == nil {
		return size
	}
	return 150
}

// newLoopbackFleet starts the stand-ins; no controller runs yet.
func newLoopbackFleet(t *testing.T, connections int) *loopbackFleet {
	t.Helper()
	const cluster = "cluster nodes=1 lease=26.5 cancel=51.5 heartbeat=5 rps=400 write_rps=100"
	w, err := newWorld(parseLine(1, cluster), 1, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	f := &loopbackFleet{
		live: newLive(t, w), t: t, size: fleetSize(), connections: connections, memory: 441,
		program: build(t, repositoryRoot),
	}
	f.storeAddress = f.listen(func(r protocol.HTTPRequest, reply replyFunc) { w.store.handle("node-0", r, reply) })
	f.cloudAddress = f.listen(w.cloud.handle)
	f.control = controllerAddress()
	f.writeSettings()
	f.addMachines()
	f.runClock()
	return f
}

func (f *loopbackFleet) addMachines() {
	t := &instanceType{
		name: "small", cores: 16, ramGB: 64, price: 0.6, spotPrice: 0.2, cacheGB: 80, fetchGBPerSecond: 5,
		bootTime: 20 * micros.Second, zones: []string{"a"}, capacity: map[string]int{},
	}
	f.addMachinesOf(t, f.size)
}

func (f *loopbackFleet) writeSettings() {
	f.t.Helper()
	settings := platformSettings{
		identity: memberSettings{member: "node-0", listen: f.control, internal: controllerAddress()},
		cloud:    f.cloudAddress,
		store:    f.storeAddress,
		fleet:    fleetSettings{nodes: 1, teams: []teamSettings{{name: "alpha"}}},
		agents:   agentSettings{heartbeat: 5, lease: 26.5, cancel: 51.5},
		services: serviceLimits{storeRPS: 400, writeRPS: 100, valueKB: 16, cloudRPS: 18},
		machine:  machineLimits{cpu: 0.864, memoryMB: float64(f.memory), connections: f.connections},
	}
	dir := f.t.TempDir()
	f.settings, f.operator = filepath.Join(dir, "settings.toml"), filepath.Join(dir, "operator.txt")
	for file, content := range map[string]string{f.settings: settings.toml(), f.operator: "idle_keep_s: 100000"} {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *loopbackFleet) start() {
	f.t.Helper()
	f.process = startProcess(f.t, "info", nil, f.program, "--operator", f.operator, "--config", f.settings)
}

func (f *loopbackFleet) stop() { f.process.kill() }

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
			j.requests.sent = true
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
					_ = resp.Body.Close() // what it says is not needed
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
		if m.agent.fencingToken > 0 {
			n++
		}
	}
	return n
}

// served tells whether all services run and all arrays are done.
func (f *loopbackFleet) served(*World) bool {
	for _, j := range f.jobs {
		if j.spec.shape == "service" && j.observed.starts < 10 || j.spec.shape == "array" && len(j.observed.done) < 10 {
			return false
		}
	}
	return true
}

// TestLoopbackFleet runs the real program with many agents that are stand-ins: all send heartbeats, get
// tasks, come back at once, and are asked at once when the controller starts anew. It
// asserts counts: sockets, threads and memory stay within the settings. By default
// the fleet is small; PIPITLATCH_FLEET=4000 makes it as large as fleets get.
func TestLoopbackFleet(t *testing.T) {
	f := newLoopbackFleet(t, max(300, fleetSize()*9/5))
	f.start()
	defer func() { f.stop() }()
	var users sync.WaitGroup
	f.submitAll(&users)
	f.until("all machines have a fencing token", func(w *World) bool { return f.withToken(w) >= f.size })
	f.until("all services run and all arrays are done", f.served)
	t.Logf("%d machines: %v of %d sockets, %d MB", f.size, f.process.most, f.connections, f.memory)
	f.measureSteady()
	// Every agent comes anew at once.
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
	f.until("all machines are reconciled again", func(*World) bool { return f.process.said("all machines reconciled") })
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
// told; the agents that have a connection are served, users too; the process lives, keeps
// to its bound, and no rule is broken.
func TestLoopbackTooFewConnections(t *testing.T) {
	f := newLoopbackFleet(t, fleetSize()*4/5)
	f.start()
	defer func() { f.stop() }()
	var users sync.WaitGroup
	f.submitAll(&users)
	f.until("half of the machines have one", func(w *World) bool { return f.withToken(w) >= f.size/2 })
	f.until("the operator is told", func(*World) bool { return f.process.said("connection refused") })
	before := 0
	f.with(func(*World) { before = f.oks })
	f.until("agents are answered on", func(*World) bool { return f.oks >= before+f.size })
	f.until("replicas run", func(*World) bool {
		starts := 0
		for _, j := range f.jobs {
			starts += j.observed.starts
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
