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
	"sort"
	"time"
)

const (
	// reportTimeout is how long a worker waits for the response to a report.
	reportTimeout = 4 * time.Second
	// Most answers to direct calls take up to promptAnswer; one in slowAnswerIn takes as long as a packet that is
	// lost and sent again, from slowAnswer to twice that. The pages set no time.
	promptAnswer = 20 * time.Millisecond
	slowAnswer   = 100 * time.Millisecond
	slowAnswerIn = 10
	// minReportGap is the least time between two reports.
	minReportGap = 500 * time.Millisecond
)

// The states of a task on a machine.
const (
	fetching = "fetching"
	running  = "running"
	exited   = "exited"
)

type taskID struct {
	job   string
	shard int
}

func (t taskID) String() string { return fmt.Sprintf("%s/%d", t.job, t.shard) }

// attempt is one attempt of a task on a machine.
type attempt struct {
	task  taskID
	try   uint64
	phase string
	cause string
	timer *time.Timer
}

// order is a command of a controller.
type order struct {
	Verb     string  `json:"verb"`
	Shard    string  `json:"shard"`
	Try      uint64  `json:"try"`
	WindDown float64 `json:"wind_down_s"`
}

// worker is a stand-in of the agent of one machine. It keeps to "Workers -> controller nodes" of
// PROTOCOL-pipitlatch.md. Its state is guarded by the world's lock, so that the record has one order.
type worker struct {
	world    *world
	instance *instance
	kind     *machineType
	address  string
	server   *http.Server
	client   *http.Client

	dead     bool
	started  bool
	stop     chan struct{}
	wake     chan struct{}
	session  uint64
	tick     uint64
	token    uint64
	renewed  time.Time // when the last answered report was sent, or the session began
	attempts map[string]*attempt
	order    []string // the attempts in the order of their arrival
	images   map[string]time.Time
	node     int
}

func newWorker(wd *world, i *instance, kind *machineType) *worker {
	w := &worker{
		world: wd, instance: i, kind: kind, stop: make(chan struct{}), wake: make(chan struct{}, 1),
		attempts: map[string]*attempt{}, images: map[string]time.Time{}, node: rand.IntN(len(wd.nodes)),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		wd.fatal("a worker's port: %v", err)
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2}}
	return w
}

func key(task string, try uint64) string { return fmt.Sprintf("%s#%d", task, try) }

// start begins the first session and the reports.
func (w *worker) start() {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if w.dead || w.started {
		return
	}
	w.started, w.session, w.renewed = true, 1, time.Now()
	w.world.noteLocked("%s is up", w.instance.name)
	go w.report()
	go w.watchLease()
}

// die ends the machine: what is on it is gone, and nobody gets an answer from it any more.
func (w *worker) die(why string) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	close(w.stop)
	w.clear(why)
}

// clear kills and forgets all tasks. The caller holds the lock.
func (w *worker) clear(why string) {
	for _, k := range w.order {
		a := w.attempts[k]
		if a.timer != nil {
			a.timer.Stop()
		}
		if a.phase == running {
			w.world.left(w, a, why)
		}
		a.phase = exited
	}
	w.attempts, w.order = map[string]*attempt{}, nil
}

func (w *worker) watchLease() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		w.world.mu.Lock()
		if !w.dead && time.Since(w.renewed) > w.world.workers.lease {
			w.world.noteLocked("%s: the lease of session %d ran out, %d tasks", w.instance.name, w.session, len(w.order))
			w.clear("lease ran out")
			w.session++
			w.renewed = time.Now()
			w.changed()
		}
		w.world.mu.Unlock()
	}
}

// changed makes the next report come early.
func (w *worker) changed() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

type shardState struct {
	Shard string `json:"shard"`
	Try   uint64 `json:"try"`
	Phase string `json:"phase"`
	Cause string `json:"cause,omitempty"`
}

type reportBody struct {
	Host     string       `json:"host"`
	Endpoint string       `json:"endpoint"`
	Kind     string       `json:"hull"`
	Zone     string       `json:"berth"`
	Spot     bool         `json:"loaners"`
	Session  uint64       `json:"tenure"`
	Tick     uint64       `json:"tick"`
	Token    uint64       `json:"warrant"`
	RecallS  *float64     `json:"recall_s"`
	Shards   []shardState `json:"shards"`
}

// state returns the next report. The caller holds the lock.
func (w *worker) state() reportBody {
	w.tick++
	r := reportBody{
		Host: w.instance.name, Endpoint: w.address, Kind: w.kind.Name, Zone: w.instance.zone, Spot: w.instance.spot,
		Session: w.session, Tick: w.tick, Token: w.token, Shards: []shardState{},
	}
	for _, k := range w.order {
		a := w.attempts[k]
		r.Shards = append(r.Shards, shardState{a.task.String(), a.try, a.phase, a.cause})
	}
	return r
}

// report sends one report after the other.
func (w *worker) report() {
	next := time.Duration(0)
	for {
		sent := time.Now()
		select {
		case <-w.stop:
			return
		case <-time.After(next):
		case <-w.wake:
			select {
			case <-w.stop:
				return
			case <-time.After(minReportGap - min(minReportGap, time.Since(sent))):
			}
		}
		next = w.reportOnce()
	}
}

// reportOnce sends a report, and returns the time until the next one.
func (w *worker) reportOnce() time.Duration {
	w.world.mu.Lock()
	if w.dead {
		w.world.mu.Unlock()
		return time.Hour
	}
	state, node := w.state(), w.node
	w.world.mu.Unlock()
	sent := time.Now()
	status, reply := w.send(w.world.nodes[node].listen, state)
	if status != 200 && status != 421 {
		w.world.countReport(w, status, len(state.Shards))
	}
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	switch {
	case w.dead:
		return time.Hour
	case status == 200:
		w.accept(reply, state.Session, sent)
		return time.Duration(float64(w.world.workers.report) * (0.75 + rand.Float64()/2))
	case status == 421:
		var to struct {
			Node string `json:"steward"`
		}
		_ = json.Unmarshal(reply, &to)
		if n := w.world.nodeIndex(to.Node); n >= 0 && n != node {
			w.node = n
			return time.Duration(rand.Int64N(int64(500 * time.Millisecond)))
		}
	}
	w.node = (node + 1) % len(w.world.nodes)
	return time.Second
}

func (w *worker) send(to string, state reportBody) (int, []byte) {
	body, err := json.Marshal(state)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+to+"/v1/report", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, reply
}

// accept carries out the response to a report that was sent in a session at a time. The caller holds the lock.
func (w *worker) accept(body []byte, session uint64, sent time.Time) {
	var reply struct {
		Token  uint64  `json:"warrant"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(body, &reply) != nil || reply.Token == 0 || reply.Token < w.token || session != w.session {
		return
	}
	if reply.Token > w.token {
		w.token = reply.Token
		w.changed()
	}
	if sent.After(w.renewed) {
		w.renewed = sent
	}
	w.execute(reply.Orders)
}

// ServeHTTP serves direct commands.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.world.mu.Lock()
	if w.dead || !w.started {
		w.world.mu.Unlock()
		<-r.Context().Done() // a machine without power is silent
		return
	}
	status := 200
	if r.Method == "POST" && r.URL.Path == "/commands" {
		var c struct {
			Token   uint64  `json:"warrant"`
			Session uint64  `json:"tenure"`
			Orders  []order `json:"orders"`
		}
		switch {
		case json.Unmarshal(body, &c) != nil || c.Token == 0 || c.Session == 0:
			status = 400
		case c.Token < w.token || c.Session != w.session:
			status = 409
		default:
			if c.Token > w.token {
				w.token = c.Token
				w.changed()
			}
			w.execute(c.Orders)
		}
	}
	state := w.state()
	w.world.mu.Unlock()
	time.Sleep(answerTime())
	answer(rw, status, state)
}

// answerTime draws how long the answer to a direct call takes.
func answerTime() time.Duration {
	if rand.IntN(slowAnswerIn) == 0 {
		return slowAnswer + rand.N(slowAnswer)
	}
	return rand.N(promptAnswer)
}

// execute carries out commands in order. The caller holds the lock.
func (w *worker) execute(orders []order) {
	for _, o := range orders {
		k := key(o.Shard, o.Try)
		a := w.attempts[k]
		switch {
		case o.Verb == "run" && a == nil:
			w.run(o)
			w.changed()
		case o.Verb == "kill" && a != nil && a.phase != exited:
			w.exit(a, "stopped")
		case o.Verb == "forget" && a != nil && a.phase == exited:
			delete(w.attempts, k)
			for i := range w.order {
				if w.order[i] == k {
					w.order = append(w.order[:i], w.order[i+1:]...)
					break
				}
			}
			w.changed()
		}
	}
}

// run starts a task, or refuses it. The caller holds the lock.
func (w *worker) run(o order) {
	a := &attempt{try: o.Try, phase: fetching}
	var ok bool
	if a.task, ok = parseTask(o.Shard); !ok {
		return
	}
	k := key(o.Shard, o.Try)
	w.attempts[k] = a
	w.order = append(w.order, k)
	job := w.world.jobs[a.task.job]
	if job == nil || a.task.shard >= job.Shards {
		a.phase, a.cause = exited, "unknown"
		return
	}
	cores, ram := job.Cores, job.RAM
	for other, b := range w.attempts {
		if b.phase == exited || other == k {
			continue
		}
		if b.task == a.task {
			a.phase, a.cause = exited, "busy"
			return
		}
		cores += w.world.jobs[b.task.job].Cores
		ram += w.world.jobs[b.task.job].RAM
	}
	if cores > w.kind.Cores+1e-6 || ram > w.kind.RAM+1e-6 {
		a.phase, a.cause = exited, "no_room"
		return
	}
	ready, ok := w.images[job.Image]
	if !ok {
		ready = time.Now().Add(time.Duration(job.ImageGB / w.kind.Fetch * float64(time.Second)))
		w.images[job.Image] = ready
	}
	if wait := time.Until(ready); wait > 0 {
		a.timer = time.AfterFunc(wait, func() {
			w.world.mu.Lock()
			defer w.world.mu.Unlock()
			if a.phase == fetching {
				w.begin(a, job)
			}
		})
		return
	}
	w.begin(a, job)
}

// begin has the task on the machine. The caller holds the lock.
func (w *worker) begin(a *attempt, job *job) {
	a.phase = running
	w.world.began(w, a)
	if job.Shape == "service" {
		w.changed()
		return
	}
	runs := job.runs
	if job.finished[a.task.shard] {
		runs = 0
	}
	a.timer = time.AfterFunc(runs, func() {
		w.world.mu.Lock()
		defer w.world.mu.Unlock()
		if a.phase == running {
			job.finished[a.task.shard] = true
			w.exit(a, "done")
		}
	})
	w.changed()
}

// exit ends an attempt. The caller holds the lock.
func (w *worker) exit(a *attempt, cause string) {
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.phase == running {
		w.world.left(w, a, cause)
	}
	a.phase, a.cause = exited, cause
	w.changed()
}

// live returns the number of tasks that are on the machine, or fetching. The caller holds the lock.
func (w *worker) live() int {
	n := 0
	for _, a := range w.attempts {
		if a.phase != exited {
			n++
		}
	}
	return n
}

// sortedTasks returns the tasks on the machine. The caller holds the lock.
func (w *worker) sortedTasks() []string {
	var tasks []string
	for _, a := range w.attempts {
		if a.phase == running {
			tasks = append(tasks, a.task.String())
		}
	}
	sort.Strings(tasks)
	return tasks
}
