package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Phases and causes of tasks, as on the wire.
const (
	phaseFetching = "fetching"
	phaseRunning  = "running"
	phaseExited   = "exited"

	causeDone    = "done"
	causeStopped = "stopped"
	causeError   = "error"
	causeNoRoom  = "no_room"
	causeBusy    = "busy"
	causeUnknown = "unknown"
)

// workerLatency is the time that a worker, whose machine is busy, takes to answer a direct call.
const workerLatency = 5 * time.Millisecond

// Intervals of workers that the pages give.
const (
	reportTimeout    = 4 * time.Second
	minReportGap     = 500 * time.Millisecond
	nextNodeDelay    = time.Second
	leaseCheckPeriod = 50 * time.Millisecond
)

// workerTask is one attempt of a task on a worker's machine.
type workerTask struct {
	Shard  string `json:"shard"`
	Try    uint64 `json:"try"`
	Phase  string `json:"phase"`
	Cause  string `json:"cause,omitempty"`
	job    *userJob
	number int
}

type workerOrder struct {
	Verb  string `json:"verb"`
	Shard string `json:"shard"`
	Try   uint64 `json:"try"`
}

// worker is the stand-in of the agent of one machine.
type worker struct {
	world  *world
	place  place
	kind   *machineType
	server *server

	mu        sync.Mutex
	gone      chan struct{} // closed when the machine is dead or deleted
	isGone    bool
	epoch     uint64
	tick      uint64
	token     uint64
	leaseFrom time.Time
	tasks     []*workerTask
	images    map[string]time.Time // when an image is there
	raisedAt  time.Time            // when a higher token last counted as a change
	changed   chan struct{}
}

func startWorker(w *world, p place, kind *machineType, ip string) (*worker, error) {
	k := &worker{
		world: w, place: p, kind: kind, gone: make(chan struct{}), epoch: 1, leaseFrom: time.Now(),
		images: map[string]time.Time{}, changed: make(chan struct{}, 1),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", k.commands)
	mux.HandleFunc("GET /show", func(h http.ResponseWriter, _ *http.Request) {
		if k.alive() {
			reply(h, http.StatusOK, k.report())
		}
	})
	var err error
	k.server, err = serve(ip, k.silentWhenGone(delayed(workerLatency, mux)))
	if err != nil {
		return nil, err
	}
	w.rec.note("worker of %s (%s in %s) is up at %s", p.machine, p.kind, p.zone, k.server.address)
	go k.reportLoop()
	go k.leaseLoop()
	return k, nil
}

// silentWhenGone lets requests to a machine that is gone hang.
func (k *worker) silentWhenGone(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.alive() {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (k *worker) alive() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.isGone
}

// end ends the machine with all that is on it.
func (k *worker) end(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isGone {
		return
	}
	k.isGone = true
	close(k.gone)
	k.dropTasks(why)
}

func (k *worker) dropTasks(why string) {
	for _, t := range k.tasks {
		if t.Phase != phaseExited {
			k.world.judge.ended(t.Shard, k.place.machine, why)
			t.Phase = phaseExited
		}
	}
	k.tasks = nil
}

// report returns the worker's present report.
func (k *worker) report() map[string]any {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tick++
	shards := make([]workerTask, 0, len(k.tasks))
	for _, t := range k.tasks {
		shards = append(shards, *t)
	}
	return map[string]any{
		"host": k.place.machine, "endpoint": k.server.address, "hull": k.place.kind, "berth": k.place.zone,
		"loaners": false, "tenure": k.epoch, "tick": k.tick, "warrant": k.token, "recall_s": nil,
		"shards": shards,
	}
}

func (k *worker) noteChange() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *worker) leaseLoop() {
	lease := seconds(k.world.shape.leaseS)
	for {
		select {
		case <-k.gone:
			return
		case <-time.After(leaseCheckPeriod):
		}
		k.mu.Lock()
		if !k.isGone && time.Since(k.leaseFrom) > lease {
			k.world.rec.note("worker of %s: its lease has ended", k.place.machine)
			k.dropTasks("lease ended")
			k.epoch++
			k.leaseFrom = time.Now()
			k.noteChange()
		}
		k.mu.Unlock()
	}
}

// reportLoop reports to one node at a time, with one report in flight.
func (k *worker) reportLoop() {
	nodes := k.world.nodes
	at := rand.IntN(len(nodes))
	for {
		sent := time.Now()
		next, pause := k.sendReport(at, sent)
		at = next
		interval := k.world.shape.reportS * (0.75 + rand.Float64()/2)
		timer := time.NewTimer(time.Until(sent.Add(seconds(interval))))
		if pause >= 0 {
			timer.Reset(pause)
		}
		changed := k.changed
		if pause >= 0 {
			changed = nil
		}
		select {
		case <-k.gone:
			return
		case <-timer.C:
		case <-changed:
			time.Sleep(time.Until(sent.Add(minReportGap)))
		}
		timer.Stop()
	}
}

// sendReport sends one report to a node. It returns the node to report to next, and the pause before
// that; -1: until the next report is due.
func (k *worker) sendReport(at int, sent time.Time) (next int, pause time.Duration) {
	nodes := k.world.nodes
	body := k.report()
	url := "http://" + nodes[at].listen + "/v1/report"
	status, answer := call(k.world.client, http.MethodPost, url, body, reportTimeout)
	switch status {
	case http.StatusOK:
		k.takeAnswer(answer, body["tenure"].(uint64), sent)
		return at, -1
	case http.StatusMisdirectedRequest:
		var redirect struct {
			Leader string `json:"steward"`
		}
		if json.Unmarshal(answer, &redirect) == nil {
			for i, n := range nodes {
				if n.member == redirect.Leader && i != at {
					return i, time.Duration(rand.IntN(500)) * time.Millisecond
				}
			}
		}
	}
	return (at + 1) % len(nodes), nextNodeDelay
}

// takeAnswer handles a 200 to a report.
func (k *worker) takeAnswer(answer []byte, epoch uint64, sent time.Time) {
	var a struct {
		Token  uint64        `json:"warrant"`
		Orders []workerOrder `json:"orders"`
	}
	if json.Unmarshal(answer, &a) != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isGone || a.Token == 0 || a.Token < k.token || epoch != k.epoch {
		return
	}
	k.raiseToken(a.Token)
	k.leaseFrom = sent
	k.execute(a.Orders)
}

func (k *worker) raiseToken(token uint64) {
	if token <= k.token {
		return
	}
	k.token = token
	if time.Since(k.raisedAt) > seconds(k.world.shape.leaseS/2) {
		k.raisedAt = time.Now()
		k.noteChange()
	}
}

// commands handles a direct call of a controller.
func (k *worker) commands(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Token  *uint64       `json:"warrant"`
		Epoch  *uint64       `json:"tenure"`
		Orders []workerOrder `json:"orders"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	if body.Token == nil || body.Epoch == nil {
		replyError(w, http.StatusBadRequest, "token or session is missing")
		return
	}
	status := http.StatusOK
	k.mu.Lock()
	if k.isGone || *body.Token < k.token || *body.Epoch != k.epoch {
		status = http.StatusConflict
	} else {
		k.raiseToken(*body.Token)
		k.execute(body.Orders)
	}
	k.mu.Unlock()
	reply(w, status, k.report())
}
