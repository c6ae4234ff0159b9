package main

import (
	"fmt"
	"sync"
)

// judge knows which task is on which machine, and notes when a rule of the pages is broken.
type judge struct {
	rec *record

	mu     sync.Mutex
	on     map[string]map[string]place // by task, by machine
	starts map[string]int              // by task
	broken map[string]int              // by rule
}

// place is a machine as far as the rules are concerned.
type place struct{ machine, kind, zone string }

func newJudge(rec *record) *judge {
	return &judge{rec: rec, on: map[string]map[string]place{}, starts: map[string]int{}, broken: map[string]int{}}
}

// breaks notes that a rule was broken.
func (j *judge) breaks(rule, format string, args ...any) {
	j.broken[rule]++
	j.rec.say("RULE BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// started is called when a task has its image on a machine and starts there.
func (j *judge) started(job *userJob, task string, p place) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for machine := range j.on[task] {
		if machine != p.machine {
			j.breaks("ran_twice", "%s starts on %s while it is on %s", task, p.machine, machine)
		}
	}
	if reason := j.misplaced(job, task, p); reason != "" {
		j.breaks("wrong_place", "%s starts on %s (%s in %s): %s", task, p.machine, p.kind, p.zone, reason)
	}
	if j.on[task] == nil {
		j.on[task] = map[string]place{}
	}
	j.on[task][p.machine] = p
	j.starts[task]++
	j.rec.note("run %s starts on %s (%s in %s)", task, p.machine, p.kind, p.zone)
}

// misplaced returns why a task may not start on a machine, given the job's other tasks now.
func (j *judge) misplaced(job *userJob, task string, p place) string {
	if !job.allowsType(p.kind) {
		return "type not allowed"
	}
	if job.zone != "" && job.zone != p.zone {
		return "zone not allowed"
	}
	if !job.oneZone {
		return ""
	}
	for n := range job.shards {
		other := job.task(n)
		if other == task {
			continue
		}
		for _, q := range j.on[other] {
			if q.zone != p.zone {
				return fmt.Sprintf("one_zone, and %s is on %s in %s", other, q.machine, q.zone)
			}
		}
	}
	return ""
}

// ended is called when a task is not on a machine any more.
func (j *judge) ended(task, machine, why string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.on[task][machine]; !ok {
		return
	}
	delete(j.on[task], machine)
	j.rec.note("run %s is off %s: %s", task, machine, why)
}

// broke notes from outside the judge that a rule was broken.
func (j *judge) broke(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaks(rule, format, args...)
}

// brokenRules returns how often a rule was broken.
func (j *judge) brokenRules(rule string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.broken[rule]
}

// startsInAll returns how many tasks were started so far.
func (j *judge) startsInAll() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	sum := 0
	for _, n := range j.starts {
		sum += n
	}
	return sum
}

// placesOf returns where the tasks of a job are now.
func (j *judge) placesOf(job *userJob) []place {
	j.mu.Lock()
	defer j.mu.Unlock()
	var places []place
	for n := range job.shards {
		for _, p := range j.on[job.task(n)] {
			places = append(places, p)
		}
	}
	return places
}
