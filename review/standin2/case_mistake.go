package main

import (
	"fmt"
	"time"
)

const (
	mistakeLasts = 4 * time.Second  // until the user of the mistaken job cancels it
	roomWait     = 90 * time.Second // that a job may wait while a machine that fits has room
	roomMargin   = 2 * time.Second
	soundJobs    = 24 // for one with a mistake: a share of 0.04, as in the kit's site files
)

// mistakeTypes is a type of which no more machines can be rented.
func mistakeTypes() []*machineType {
	return []*machineType{{
		name: "tench-small", cores: 8, ramGB: 64, fetchGBps: 2, bootS: 30, bootsIn: 30,
		zones: []string{"derby-east"},
	}}
}

// counterJob is a public counter: a service of one replica.
func counterJob(ref string, cores float64) *userJob {
	return &userJob{
		ref: ref, class: "licence-counter", shape: "service", rank: "production", shards: 1, cores: cores,
		ramGB:  5.7,
		bundle: "counter", sizeGB: 0.9,
	}
}

// renewalJob is a small job of the class of which some are submitted with a mistake.
func renewalJob(ref string, tasks int, mistaken bool) *userJob {
	return &userJob{
		ref: ref, class: "renewal-run", shape: "array", rank: "standard", shards: tasks, cores: 1, ramGB: 2,
		bundle: "renewals", sizeGB: 0.1, expect: 2, runs: 1, mistaken: mistaken,
	}
}

// playMistake runs a counter on each of two machines, and then some renewal jobs. One in 25 of them has a
// mistake, and is cancelled by its user some seconds later. Then two more counters are submitted, for
// which there is room.
func playMistake(w *world, o options) error {
	var machines []*host
	for range 2 {
		machines = append(machines, w.cloud.addRunning(w.cloud.types[0]))
	}
	if err := w.startAll(o.command, true); err != nil {
		return err
	}
	first := []*userJob{counterJob("wk-000001", 5), counterJob("wk-000002", 5)}
	if err := w.runCounters("the first two counters run", first); err != nil {
		return err
	}
	for i := range soundJobs {
		w.users.submit(renewalJob(fmt.Sprintf("wk-%06d", 100+i), 1, false))
		time.Sleep(100 * time.Millisecond)
	}
	if err := w.until("the sound renewal jobs have run", 20*time.Second, func() bool {
		return w.users.completed() == soundJobs
	}); err != nil {
		return err
	}
	if w.trouble {
		if err := w.mistake(renewalJob("wk-000003", 2, true)); err != nil {
			return err
		}
	}
	second := []*userJob{counterJob("wk-000005", 3), counterJob("wk-000006", 3)}
	for _, j := range second {
		w.users.submit(j)
	}
	w.watchRoom(second, machines)
	return nil
}

// mistake has a user submit a job with a mistake and cancel it some seconds later.
func (w *world) mistake(j *userJob) error {
	w.rec.say("%s is submitted with a mistake", j.ref)
	w.users.submit(j)
	time.Sleep(mistakeLasts)
	w.users.cancel(j)
	return w.until(j.ref+" is cancelled and gone", 5*time.Second, func() bool {
		return len(w.judge.placesOf(j)) == 0
	})
}

func (w *world) runCounters(what string, jobs []*userJob) error {
	for _, j := range jobs {
		w.users.submit(j)
	}
	return w.until(what, 30*time.Second, func() bool {
		for _, j := range jobs {
			if len(w.judge.placesOf(j)) != j.shards {
				return false
			}
		}
		return true
	})
}

// watchRoom checks, all troubles being over, that no job waits while a machine has room for it all the
// time.
func (w *world) watchRoom(jobs []*userJob, machines []*host) {
	since := map[*userJob]time.Time{}
	for end := time.Now().Add(roomWait + 2*roomMargin); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, j := range jobs {
			room := ""
			for _, h := range machines {
				if h.worker.hasRoom(j) {
					room = h.name
				}
			}
			if !w.users.isAccepted(j) || len(w.judge.placesOf(j)) == j.shards || room == "" {
				delete(since, j)
				continue
			}
			if since[j].IsZero() {
				since[j] = time.Now()
			}
			if time.Since(since[j]) > roomWait+roomMargin {
				w.judge.broke("idle_room", "%s has waited for %v while %s has room", j.ref,
					time.Since(since[j]).Round(time.Second), room)
				delete(since, j)
			}
		}
	}
}
