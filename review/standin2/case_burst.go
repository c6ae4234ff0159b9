package main

import (
	"fmt"
	"time"
)

const (
	usualReminders = 20
	burstFactor    = 2                // as in the kit's site files
	burstWatch     = 95 * time.Second // from the submission of the renewals on
)

// burstTypes is a type of which the cloud has machines in one zone, and none in another.
func burstTypes() []*machineType {
	return []*machineType{{
		name: "tench-small", cores: 8, ramGB: 64, fetchGBps: 1, bootS: 5, bootsIn: 5,
		zones: []string{"derby-east", "leicester-north"}, capacity: 20, noneIn: []string{"leicester-north"},
	}}
}

// playBurst submits reminder jobs that have to run in a zone of which the cloud has no machines at present:
// as many as usual, or in a burst twice as many. Their tasks differ in size, as those of the kit's do. Then
// two renewal jobs are submitted that may run anywhere.
func playBurst(w *world, o options) error {
	if err := w.startAll(o.command, true); err != nil {
		return err
	}
	count := usualReminders
	if w.trouble {
		count *= burstFactor
	}
	w.rec.say("%d reminder jobs for leicester-north are submitted", count)
	var jobs []*userJob
	for i := range count {
		jobs = append(jobs, &userJob{
			ref: fmt.Sprintf("wk-%06d", 100+i), class: "reminder-mailout", shape: "array", rank: "standard", shards: 27,
			cores: 1.4 + 1.2*float64(i)/float64(count), ramGB: 2.5, bundle: "reminders", sizeGB: 0.1,
			zone: "leicester-north", expect: 20, runs: 20, due: 55,
		})
		w.users.submit(jobs[i])
		time.Sleep(100 * time.Millisecond)
	}
	for i := range 2 {
		jobs = append(jobs, &userJob{
			ref: fmt.Sprintf("wk-%06d", 900+i), class: "renewal-run", shape: "array", rank: "standard", shards: 8,
			cores: 4, ramGB: 4, bundle: "renewals", sizeGB: 0.1, expect: 60, runs: 60, due: 160,
		})
	}
	if err := w.until("all reminder jobs are accepted", 20*time.Second, func() bool {
		return w.users.acceptedAll(jobs[:count])
	}); err != nil {
		return err
	}
	w.rec.say("two renewal jobs for any zone are submitted")
	w.users.submit(jobs[count])
	w.users.submit(jobs[count+1])
	for end := time.Now().Add(burstWatch); time.Now().Before(end) && w.judge.startsInAll() == 0; {
		time.Sleep(100 * time.Millisecond)
	}
	if !w.users.acceptedAll(jobs) {
		return fmt.Errorf("%w: the renewal jobs were not accepted", errNotRun)
	}
	if w.judge.startsInAll() == 0 {
		w.judge.broke("nothing_ran", "no task was started, %v after the last submission; derby-east has %d machines",
			burstWatch, w.cloud.types[0].capacity)
	}
	return nil
}
