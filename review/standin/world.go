package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerTimes are the settings of the workers.
type workerTimes struct{ report, lease, cancel time.Duration }

// node is a controller: a process of the project's program.
type node struct {
	name, zone, listen, internal, settings string
	program                                string // empty: that of the deploy file
	process                                *exec.Cmd
	ended                                  chan struct{}
}

// job is a job as its user describes it, and what the stand-ins know of it.
type job struct {
	Ref       string   `json:"ref"`
	Class     string   `json:"jobclass"`
	Team      string   `json:"owner"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Shards    int      `json:"shards"`
	Cores     float64  `json:"cores"`
	GPUs      float64  `json:"gpus"`
	RAM       float64  `json:"ram_gb"`
	Image     string   `json:"bundle"`
	ImageGB   float64  `json:"size_gb"`
	Types     []string `json:"hulls"`
	Zone      *string  `json:"berth"`
	OneZone   bool     `json:"one_zone"`
	Apart     bool     `json:"apart"`
	Spot      bool     `json:"loaners"`
	ExpectS   float64  `json:"expect_s"`
	SaveEvery float64  `json:"snapshot_every_s"`
	SaveS     float64  `json:"snapshot_s"`
	DueS      *float64 `json:"due_s"`

	runs     time.Duration // how long a task really runs
	finished map[int]bool  // by task: its result is kept
}

// world is one run of a case: the stand-ins, the controllers, and the record of what happened.
type world struct {
	mu       sync.Mutex
	begun    time.Time
	record   *os.File
	root     string
	dir      string
	run      []string
	nodes    []*node
	services [2]string // the addresses of the state service and of the cloud
	state    *stateService
	cloud    *cloud
	workers  workerTimes
	jobs     map[string]*job
	onward   map[taskID]map[*worker]bool // where each task is now
	breaks   []string
	starts   map[string]int // starts by job
	bad      map[string]int // reports that were not answered with 200 or 421, by status
}

func newWorld(root, record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "pipitlatch-review-")
	if err != nil {
		return nil, err
	}
	return &world{
		begun: time.Now(), record: f, root: root, dir: dir, jobs: map[string]*job{},
		onward: map[taskID]map[*worker]bool{}, starts: map[string]int{}, bad: map[string]int{},
	}, nil
}

func (wd *world) note(format string, args ...any) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.noteLocked(format, args...)
}

func (wd *world) noteLocked(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(wd.begun).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(wd.record, line)
}

// broken records that a rule was broken. The caller holds the lock.
func (wd *world) broken(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	wd.noteLocked("RULE BROKEN %s", line)
	wd.breaks = append(wd.breaks, line)
}

// fatal ends a run that cannot go on.
func (wd *world) fatal(format string, args ...any) {
	wd.note("the case cannot run: "+format, args...)
	wd.close()
	fmt.Fprintf(os.Stderr, "the case cannot run: "+format+"\n", args...)
	os.Exit(2)
}

// close ends all processes that the run started.
func (wd *world) close() {
	for _, n := range wd.nodes {
		wd.kill(n)
	}
	_ = os.RemoveAll(wd.dir)
	_ = wd.record.Sync()
}

// began records that a task is on a machine, and checks the rules on starts. The caller holds the lock.
func (wd *world) began(w *worker, a *attempt) {
	j := wd.jobs[a.task.job]
	wd.starts[a.task.job]++
	wd.noteLocked("%s (zone %s): %s starts, try %d", w.instance.name, w.instance.zone, a.task, a.try)
	for other := range wd.onward[a.task] {
		wd.broken("ran_twice: %s starts on %s while it is on %s", a.task, w.instance.name, other.instance.name)
	}
	inZone, elsewhere := 0, ""
	for task, places := range wd.onward {
		if task.job != a.task.job || task == a.task {
			continue
		}
		for other := range places {
			if other.instance.zone == w.instance.zone {
				inZone++
			} else {
				elsewhere = fmt.Sprintf("%s is on %s in zone %s", task, other.instance.name, other.instance.zone)
			}
		}
	}
	if j.OneZone && elsewhere != "" {
		wd.broken("wrong_place: %s starts in zone %s, while %s", a.task, w.instance.zone, elsewhere)
	}
	if most := (j.Shards + 1) / 2; j.Apart && inZone+1 > most {
		wd.broken("wrong_place: %s starts in zone %s as task %d there, of at most %d", a.task, w.instance.zone, inZone+1, most)
	}
	if wd.onward[a.task] == nil {
		wd.onward[a.task] = map[*worker]bool{}
	}
	wd.onward[a.task][w] = true
}

// left records that a task is no longer on a machine. The caller holds the lock.
func (wd *world) left(w *worker, a *attempt, why string) {
	wd.noteLocked("%s: %s ends, try %d: %s", w.instance.name, a.task, a.try, why)
	delete(wd.onward[a.task], w)
	if len(wd.onward[a.task]) == 0 {
		delete(wd.onward, a.task)
	}
}

// countReport records a report that got neither 200 nor 421.
func (wd *world) countReport(w *worker, status, tasks int) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	name := strconv.Itoa(status)
	if status == 0 {
		name = "no answer"
	}
	wd.bad[name]++
	wd.noteLocked("%s: report of %d tasks: %s", w.instance.name, tasks, name)
}

// onMachines returns how many tasks of a job are on machines.
func (wd *world) onMachines(ref string) int {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	n := 0
	for task := range wd.onward {
		if task.job == ref {
			n++
		}
	}
	return n
}

func (wd *world) rulesBroken() int {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return len(wd.breaks)
}

func (wd *world) nodeIndex(name string) int {
	for i, n := range wd.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

func parseTask(id string) (taskID, bool) {
	job, n, ok := strings.Cut(id, "/")
	shard, err := strconv.Atoi(n)
	return taskID{job, shard}, ok && err == nil
}

// freePorts returns addresses on loopback that nobody listens on, below the ports of outgoing connections, so
// that a controller finds its own free when it is started again.
func freePorts(n int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < n && tries < 1000; tries++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000)))
		if err != nil {
			continue
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	if len(addresses) < n {
		return nil, fmt.Errorf("no free ports")
	}
	return addresses, nil
}

// readRun reads the command of the deploy file.
func readRun(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if name, value, ok := strings.Cut(line, " = "); ok && name == "run" {
			words := strings.Fields(strings.Trim(value, `"`))
			words[0] = filepath.Join(root, words[0])
			return words, nil
		}
	}
	return nil, fmt.Errorf("no run entry in the deploy file")
}

// startProcess starts a controller.
func (wd *world) startProcess(n *node) {
	args := append(append([]string(nil), wd.run[1:]...), n.settings)
	log, err := os.OpenFile(filepath.Join(wd.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		wd.fatal("%v", err)
	}
	defer log.Close()
	program := wd.run[0]
	if n.program != "" {
		program = n.program
	}
	n.process = exec.Command(program, args...)
	n.process.Env = append(os.Environ(), "LOG_LEVEL=info")
	n.process.Stderr, n.process.Stdout = log, log
	if err := n.process.Start(); err != nil {
		wd.fatal("%v", err)
	}
	process, ended := n.process, make(chan struct{})
	n.ended = ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	wd.note("%s starts: %s", n.name, filepath.Base(program))
}

// kill ends a controller without a signal that it could catch.
func (wd *world) kill(n *node) {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	<-n.ended
	n.process = nil
	wd.note("%s is killed", n.name)
}

// alive reports whether a controller's process has not ended by itself.
func (n *node) alive() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// logged returns the lines of the controllers' logs that contain a text.
func (wd *world) logged(text string) []string {
	var found []string
	for _, n := range wd.nodes {
		b, _ := os.ReadFile(filepath.Join(wd.dir, n.name+".log"))
		for _, line := range strings.Split(string(b), "\n") {
			if strings.Contains(line, text) {
				found = append(found, n.name+": "+line)
			}
		}
	}
	return found
}

// call sends a user's request to a controller.
func call(method, address, path string, body any, timeout time.Duration) (status int, reply []byte, err error) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	reply, err = io.ReadAll(resp.Body)
	return resp.StatusCode, reply, err
}

// healthy returns the controllers that GET /up answers with 200.
func (wd *world) healthy() []*node {
	var healthy []*node
	for _, n := range wd.nodes {
		if status, _, err := call("GET", n.listen, "/up", nil, time.Second); err == nil && status == 200 {
			healthy = append(healthy, n)
		}
	}
	return healthy
}

// user sends a request to one healthy controller after the other, for up to a minute, until it gets one of
// the wanted answers.
func (wd *world) user(method, path string, body any, timeout time.Duration, wanted ...int) (int, []byte) {
	begun := time.Now()
	for k := 0; time.Since(begun) < time.Minute; k++ {
		if healthy := wd.healthy(); len(healthy) > 0 {
			n := healthy[k%len(healthy)]
			status, reply, err := call(method, n.listen, path, body, timeout)
			if err != nil {
				wd.note("user: %s %s at %s: no answer", method, path, n.name)
			} else {
				wd.note("user: %s %s at %s: %d %s", method, path, n.name, status, bytes.TrimSpace(reply))
			}
			for _, w := range wanted {
				if err == nil && status == w {
					return status, reply
				}
			}
		}
		time.Sleep(time.Second)
	}
	return 0, nil
}

// submit uploads a job's description for the workers and submits the job.
func (wd *world) submit(j *job) bool {
	j.finished = map[int]bool{}
	wd.mu.Lock()
	wd.jobs[j.Ref] = j
	wd.mu.Unlock()
	status, _ := wd.user("POST", "/submissions", j, 5*time.Second, 200, 201, 400, 422)
	return status == 200 || status == 201
}

// phase asks for a job's state once.
func (wd *world) phase(ref string) string {
	status, reply := wd.user("GET", "/submissions/"+ref, nil, 2*time.Second, 200, 404)
	var s struct {
		Phase string `json:"phase"`
	}
	if status != 200 || json.Unmarshal(reply, &s) != nil {
		return strconv.Itoa(status)
	}
	return s.Phase
}

// until waits until a condition holds, and reports whether it came to hold in time.
func until(limit time.Duration, condition func() bool) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// onMachine returns how many tasks are on a machine.
func (wd *world) onMachine(i *instance) int {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return len(i.worker.sortedTasks())
}
