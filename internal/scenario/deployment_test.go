package scenario

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
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

	client *http.Client
	take   func(line string) bool // takes a line of a log, which is not kept then; nil: none
	people sync.WaitGroup
	jobs   []*userJob // guarded by the world's lock
}

// deploymentShape is what a deployment on loopback is like.
type deploymentShape struct {
	teams         []string
	writeRPS      float64
	smallerLimits bool // of the store are announced
	connections   int
	logLevel      string
}

// upgradeShape is that of rolling upgrades.
var upgradeShape = deploymentShape{
	teams: []string{"alpha"}, writeRPS: 60, smallerLimits: true, connections: 600, logLevel: "info",
}

// newDeployment prepares stand-ins, settings and machines; no controller runs yet.
func newDeployment(t *testing.T, like deploymentShape) *deployment {
	t.Helper()
	cluster := fmt.Sprintf("cluster nodes=3 lease=6 cancel=20 heartbeat=1 rps=300 write_rps=%v teams=%s",
		like.writeRPS, strings.Join(like.teams, ","))
	w, err := newWorld(parseLine(1, cluster), 1, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{
		live: newLive(t, w), t: t, like: like, client: newHTTPClient(),
		settings: map[string]string{}, running: map[string]*process{},
		version: map[string]string{}, operator: map[string]string{},
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.ctx = ctx
	t.Cleanup(func() {
		cancel()
		for node := range d.running {
			d.kill(node)
		}
		d.people.Wait()
	})
	d.writeSettings()
	d.addMachines()
	d.runClock()
	return d
}

// writeSettings gives every controller its file; each has a store address of its own, by which
// the stand-in knows who asks.
func (d *deployment) writeSettings() {
	d.t.Helper()
	cloud := d.listen(d.w.cloud.handle)
	var members []memberSettings
	for i := range 3 {
		m := memberSettings{member: nodeName(i), zone: "a", listen: controllerAddress(), internal: controllerAddress()}
		d.nodes[m.member] = m.listen
		members = append(members, m)
	}
	for i, m := range members {
		store := d.listen(func(r protocol.HTTPRequest, reply replyFunc) { d.w.store.handle(m.member, r, reply) })
		settings := d.settingsOf(m, slices.Delete(slices.Clone(members), i, i+1), store, cloud)
		d.settings[m.member] = filepath.Join(d.t.TempDir(), m.member+".toml")
		if err := os.WriteFile(d.settings[m.member], []byte(settings.toml()), 0o600); err != nil {
			d.t.Fatal(err)
		}
	}
}

func (d *deployment) settingsOf(m memberSettings, peers []memberSettings, store, cloud string) *platformSettings {
	s := &platformSettings{
		identity: m, peers: peers, cloud: cloud, store: store,
		fleet:  fleetSettings{nodes: 3, zones: []string{"a"}, skewMS: 5},
		agents: agentSettings{heartbeat: 1, lease: 6, cancel: 20},
		services: serviceLimits{
			storeRPS: 300, writeRPS: d.like.writeRPS, valueKB: 8, smallerToCome: d.like.smallerLimits, cloudRPS: 20,
		},
		machine: machineLimits{cpu: 0.5, memoryMB: 125, connections: d.like.connections},
	}
	for _, team := range d.like.teams {
		s.fleet.teams = append(s.fleet.teams, teamSettings{name: team})
	}
	return s
}

func (d *deployment) addMachines() {
	t := &instanceType{
		name: "small", cores: 8, ramGB: 64, price: 0.6, spotPrice: 0.2, cacheGB: 80, fetchGBPerSecond: 5,
		bootTime: 3 * micros.Second, zones: []string{"a"}, capacity: map[string]int{"a/on-demand": 20, "a/spot": 20},
	}
	d.addMachinesOf(t, 12)
}

func (d *deployment) start(node, program string) {
	d.t.Helper()
	arguments := []string{"--config", d.settings[node]}
	if file := d.operator[program]; file != "" {
		arguments = append([]string{"--operator", file}, arguments...)
	}
	p := startProcess(d.t, d.like.logLevel, d.take, program, arguments...)
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

func (d *deployment) kill(node string) { d.running[node].kill() }

// restart ends a process, which comes back as the given program.
func (d *deployment) restart(node, program string, after time.Duration) {
	d.t.Helper()
	d.kill(node)
	time.Sleep(after)
	d.start(node, program)
}

// partitionLeader is the node whose process acquired the partition last.
func (d *deployment) partitionLeader() string {
	best, at := nodeName(0), ""
	for node, p := range d.running {
		p.mu.Lock()
		for _, line := range strings.Split(p.log.String(), "\n") {
			// The second is how earlier versions log it. Lines begin with their time.
			acquired := strings.Contains(line, "partition leadership acquired") || strings.Contains(line, "queue taken")
			if acquired && line > at {
				best, at = node, line
			}
		}
		p.mu.Unlock()
	}
	return best
}

// storeOutage has the key-value store refuse everybody for a while.
func (d *deployment) storeOutage(length time.Duration) {
	d.with(func(w *World) { w.store.outage(true) })
	time.Sleep(length)
	d.with(func(w *World) { w.store.outage(false) })
}

// storeRefuses has the key-value store refuse one controller for a while.
func (d *deployment) storeRefuses(node string, length time.Duration) {
	d.with(func(w *World) { w.store.faults.refusedMembers[node] = true })
	time.Sleep(length)
	d.with(func(w *World) {
		delete(w.store.faults.refusedMembers, node)
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
