package main

import (
	"slices"
	"time"
)

// failsAfter is how long a task of a mistaken job runs.
const failsAfter = 200 * time.Millisecond

// execute carries out commands in order. The caller holds the lock.
func (k *worker) execute(orders []workerOrder) {
	for _, o := range orders {
		k.world.rec.note("order to %s: %s %s try %d", k.place.machine, o.Verb, o.Shard, o.Try)
		switch o.Verb {
		case "run":
			k.run(o)
		case "kill":
			if t := k.task(o); t != nil && t.Phase != phaseExited {
				k.exit(t, causeStopped)
			}
		case "forget":
			k.tasks = slices.DeleteFunc(k.tasks, func(t *workerTask) bool {
				return t.Shard == o.Shard && t.Try == o.Try && t.Phase == phaseExited
			})
		}
		k.noteChange()
	}
}

// task returns the attempt that an order names, or nil.
func (k *worker) task(o workerOrder) *workerTask {
	for _, t := range k.tasks {
		if t.Shard == o.Shard && t.Try == o.Try {
			return t
		}
	}
	return nil
}

// run starts a task, unless this attempt of it is known already.
func (k *worker) run(o workerOrder) {
	if k.task(o) != nil {
		return
	}
	job, number := k.world.users.jobOf(o.Shard)
	t := &workerTask{Shard: o.Shard, Try: o.Try, Phase: phaseExited, job: job, number: number}
	defer func() { k.tasks = append(k.tasks, t) }()
	if job == nil {
		t.Cause = causeUnknown
		return
	}
	cores, ram := k.kind.cores, k.kind.ramGB
	for _, other := range k.tasks {
		if other.Phase == phaseExited {
			continue
		}
		if other.Shard == o.Shard {
			t.Cause = causeBusy
			return
		}
		cores -= other.job.cores
		ram -= other.job.ramGB
	}
	if job.cores > cores || job.ramGB > ram {
		t.Cause = causeNoRoom
		return
	}
	t.Phase = phaseFetching
	ready, fetched := k.images[job.bundle]
	if !fetched {
		ready = time.Now().Add(seconds(job.sizeGB / k.kind.fetchGBps))
		k.images[job.bundle] = ready
	}
	time.AfterFunc(time.Until(ready), func() { k.begin(t) })
}

// begin starts a task whose image is there.
func (k *worker) begin(t *workerTask) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t.Phase != phaseFetching {
		return
	}
	t.Phase = phaseRunning
	k.world.judge.started(t.job, t.Shard, k.place)
	k.noteChange()
	if t.job.mistaken {
		time.AfterFunc(failsAfter, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if t.Phase == phaseRunning {
				k.exit(t, causeError)
			}
		})
		return
	}
	if t.job.shape != "array" {
		return
	}
	runs := t.job.runs
	if k.world.users.isComplete(t.Shard) {
		runs = 0
	}
	time.AfterFunc(seconds(runs), func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if t.Phase == phaseRunning {
			k.world.users.markComplete(t.Shard)
			k.exit(t, causeDone)
		}
	})
}

// exit ends a task. The caller holds the lock.
func (k *worker) exit(t *workerTask, cause string) {
	t.Phase, t.Cause = phaseExited, cause
	k.world.judge.ended(t.Shard, k.place.machine, cause)
	k.noteChange()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// hasRoom reports whether a healthy machine has free resources for a task of a job.
func (k *worker) hasRoom(j *userJob) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	cores, ram := k.kind.cores-j.cores, k.kind.ramGB-j.ramGB
	for _, t := range k.tasks {
		if t.Phase != phaseExited {
			cores -= t.job.cores
			ram -= t.job.ramGB
		}
	}
	return !k.isGone && cores >= 0 && ram >= 0
}
