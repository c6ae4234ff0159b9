package main

import "time"

const (
	mistakeLasts = 6 * time.Second  // until the user of the mistaken job cancels it
	roomWait     = 90 * time.Second // that a job may wait while a machine that fits has room
	roomMargin   = 2 * time.Second
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

// playMistake runs a counter on each of two machines. A job with a mistake is submitted, and cancelled by
// its user some seconds later. Then two more counters are submitted, for which there is room.
func playMistake(w *world, o options) error {
	var machines []*host
	for range 2 {
		machines = append(machines, w.cloud.addRunning(w.cloud.types[0], "derby-east"))
	}
	if err := w.startAll(o.command, true); err != nil {
		return err
	}
	first := []*userJob{counterJob("wk-000001", 5), counterJob("wk-000002", 5)}
	if err := w.runCounters("the first two counters run", first); err != nil {
		return err
	}
	if w.trouble {
		mistaken := &userJob{
			ref: "wk-000003", class: "sonar-clip-jobs", shape: "array", rank: "low", shards: 2, cores: 1, ramGB: 2,
			bundle: "sonar", sizeGB: 0.1, expect: 20, mistaken: true,
		}
		w.rec.say("a job with a mistake is submitted")
		w.users.submit(mistaken)
		time.Sleep(mistakeLasts)
		w.users.cancel(mistaken)
		if err := w.until("the mistaken job is cancelled and gone", 5*time.Second, func() bool {
			return len(w.judge.placesOf(mistaken)) == 0
		}); err != nil {
			return err
		}
	}
	second := []*userJob{counterJob("wk-000004", 3), counterJob("wk-000005", 3)}
	for _, j := range second {
		w.users.submit(j)
	}
	w.watchRoom(second, machines)
	return nil
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
				return
			}
		}
	}
}
