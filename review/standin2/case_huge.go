package main

import "time"

const (
	hugeTasks  = 20_000
	usualTasks = 100
)

// hugeTypes are two types of which no more machines can be rented.
func hugeTypes() []*machineType {
	return []*machineType{
		{
			name: "tench-small", cores: 8, ramGB: 64, fetchGBps: 2, bootS: 50, bootsIn: 50,
			zones: []string{"derby-east"},
		},
		{
			name: "pike-medium", cores: 32, ramGB: 256, fetchGBps: 2, bootS: 35, bootsIn: 35,
			zones: []string{"derby-east"},
		},
	}
}

// playHuge runs an array of low priority whose tasks fit only the large one of three machines: a huge one,
// or one of the usual size. Some seconds later a renewal job is submitted, for which the small machines
// have room.
func playHuge(w *world, o options) error {
	small := []*host{
		w.cloud.addRunning(w.cloud.types[0]), w.cloud.addRunning(w.cloud.types[0]),
	}
	w.cloud.addRunning(w.cloud.types[1])
	if err := w.startAll(o.command, true); err != nil {
		return err
	}
	array := &userJob{
		ref: "wk-000001", class: "trent-habitat-model", shape: "array", rank: "low", shards: usualTasks, cores: 8,
		ramGB: 100, bundle: "habitat", sizeGB: 0.5, expect: 10, runs: 10,
	}
	if w.trouble {
		array.shards = hugeTasks
	}
	w.rec.say("an array of %d tasks is submitted", array.shards)
	w.users.submit(array)
	if err := w.until("two tasks of the array run", 20*time.Second, func() bool {
		return len(w.judge.placesOf(array)) == 2
	}); err != nil {
		return err
	}
	renewals := &userJob{
		ref: "wk-000002", class: "renewal-run", shape: "array", rank: "standard", shards: 4, cores: 4, ramGB: 4,
		bundle: "renewals", sizeGB: 0.7, expect: 60, runs: 100, due: 160,
	}
	w.rec.say("a renewal job of %d tasks is submitted", renewals.shards)
	w.users.submit(renewals)
	w.watchRoom([]*userJob{renewals}, small)
	return nil
}
