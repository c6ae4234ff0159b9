package main

import (
	"fmt"
	"time"
)

const (
	// largeShards is the largest number of tasks that the protocol allows.
	largeShards = 100_000
	// waitBound is how long a job may wait while a machine that fits has room.
	waitBound = 90 * time.Second
	// silenceBound is how long all questions about a job may stay without an answer.
	silenceBound = 75 * time.Second
	// watchEnd is when a run stops watching at the latest.
	watchEnd = 113 * time.Second
	// pollInterval and pollTimeout are the users' times.
	pollInterval = 5 * time.Second
	pollTimeout  = 2 * time.Second
)

// hang has twenty machines run a service of ten replicas. Then a user submits a service of as many tasks as the
// protocol allows, or of a hundred, that may run on one type of machine.
func hang(wd *world, trouble bool) {
	d := licenceSite()
	wd.deploy(d)
	for _, zone := range d.zones[:2] {
		wd.cloud.add(10, "tench-small", zone, 2*time.Second)
	}
	counter := counterJob("wk-000001", 10)
	if !wd.submit(counter) || !until(30*time.Second, func() bool { return wd.onMachines(counter.Ref) == counter.Shards }) {
		wd.fatal("%s did not start", counter.Ref)
	}
	large := &job{
		Ref: "wk-000002", Class: "river-model", Team: "licensing-core", Shape: "service", Rank: "standard",
		Shards: 100, Cores: 0.25, RAM: 0.5, Image: "img-02", ImageGB: 0.4, Types: []string{"tench-small"}, Apart: true,
	}
	if trouble {
		large.Shards = largeShards
	}
	if !wd.submit(large) {
		wd.fatal("%s was not accepted", large.Ref)
	}
	wd.watchJob(counter, min(waitBound+16*time.Second, watchEnd-time.Since(wd.begun)))
}

// watchJob asks for a service's state at all nodes, as its user does, and checks for a while that the service
// doesn't wait where there is room, and that the questions about it are answered.
func (wd *world) watchJob(j *job, limit time.Duration) {
	begun := time.Now()
	complete, answered, asked := begun, begun, time.Time{}
	for time.Since(begun) < limit && wd.rulesBroken() == 0 {
		if time.Since(asked) > pollInterval {
			asked = time.Now()
			if wd.ask(j.Ref) {
				answered = time.Now()
			}
		}
		on, room := wd.onMachines(j.Ref), wd.room(j)
		if on == j.Shards || room == 0 {
			complete = time.Now()
		}
		wd.mu.Lock()
		if waits := time.Since(complete); waits > waitBound {
			wd.broken("left waiting: %s has had %d of %d replicas at most for %.0f s, with room for %d now",
				j.Ref, on, j.Shards, waits.Seconds(), room)
		}
		if silent := time.Since(answered); silent > silenceBound {
			wd.broken("forgotten: no question about %s has been answered for %.0f s", j.Ref, silent.Seconds())
		}
		wd.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// ask asks for a job's state at every node at the same time, and reports whether one of them answers.
func (wd *world) ask(ref string) bool {
	answers := make(chan string)
	for _, n := range wd.nodes {
		go func() {
			status, _, err := call("GET", n.listen, "/submissions/"+ref, nil, pollTimeout)
			up, _, upErr := call("GET", n.listen, "/up", nil, time.Second)
			if err != nil {
				status = 0
			}
			if upErr != nil {
				up = 0
			}
			answers <- fmt.Sprintf("%s: %d (up %d)", n.name, status, up)
		}()
	}
	line, ok := "", false
	for range wd.nodes {
		a := <-answers
		line += ", " + a
		ok = ok || len(a) > 16 && a[len("latchhost-0: "):len("latchhost-0: 200")] == "200"
	}
	wd.note("user: state of %s%s; %d replicas on machines", ref, line, wd.onMachines(ref))
	return ok
}

// room returns how many more tasks of a job fit on the machines that are up.
func (wd *world) room(j *job) int {
	wd.cloud.mu.Lock()
	defer wd.cloud.mu.Unlock()
	wd.mu.Lock()
	defer wd.mu.Unlock()
	n := 0
	for _, i := range wd.cloud.instances {
		w := i.worker
		if w.dead || !w.started {
			continue
		}
		cores, ram := w.kind.Cores, w.kind.RAM
		for _, a := range w.attempts {
			if a.phase != exited {
				cores -= wd.jobs[a.task.job].Cores
				ram -= wd.jobs[a.task.job].RAM
			}
		}
		n += max(0, int(min(cores/j.Cores, ram/j.RAM)+1e-9))
	}
	return n
}
