package main

import "time"

// midlands is the deployment of the licence platform, with the limits that kit/change announces.
var midlands = shape{
	team:  "licensing-core",
	zones: []string{"derby-east", "leicester-north", "nottingham-west"},
	// Times of workers, and limits of the services, are those of the brief.
	reportS: 1.5, leaseS: 10, cancelS: 35,
	limits: storeLimits{rps: 100, writeRPS: 25, valueKB: 16, txnOps: 12},
	next:   "write_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4", cloudRPS: 8, listLagS: 8,
}

const (
	upgradeMachines = 40 // rented with one request
	restartAfter    = 3 * time.Second
	upgradeCut      = 35 * time.Second // as in kit/sites/midlands-licensing-prod.toml
)

func upgradeTypes() []*machineType {
	return []*machineType{{
		name: "tench-small", cores: 8, ramGB: 64, fetchGBps: 1, bootS: 5, bootsIn: 4,
		zones: []string{"derby-east"}, capacity: upgradeMachines,
	}}
}

// playUpgrade has the version in production rent forty machines with one request, and run a short and
// a long job there, a task of each on every machine. All controllers are then replaced, one after the
// other. When the short job is over, three of the machines lose the network.
func playUpgrade(w *world, o options) error {
	first, announced := o.command, true
	if w.trouble {
		first = o.former
		if first == nil {
			// Stands for the version in production, which does not know of limits to come.
			w.rec.say("the version in production was not built: settings without state.next stand for it")
			first, announced = o.command, false
		}
	}
	if err := w.startAll(first, announced); err != nil {
		return err
	}
	short := &userJob{
		ref: "wk-000001", class: "renewal-run", shape: "array", rank: "standard", shards: upgradeMachines,
		cores: 5, ramGB: 4, bundle: "renewals", sizeGB: 0.1, expect: 25, runs: 27, vary: 12,
	}
	long := &userJob{
		ref: "wk-000002", class: "reminder-mailout", shape: "array", rank: "standard",
		shards: upgradeMachines, cores: 3, ramGB: 4, bundle: "reminders", sizeGB: 0.1,
		expect: 100, runs: 100,
	}
	w.users.submit(short)
	w.users.submit(long)
	if err := w.until("all tasks of both jobs run", 30*time.Second, func() bool {
		return len(w.judge.placesOf(short)) == short.shards && len(w.judge.placesOf(long)) == long.shards
	}); err != nil {
		return err
	}
	if w.trouble {
		if err := w.upgrade(o.command); err != nil {
			return err
		}
	}
	if err := w.until("the short job is over", 60*time.Second, func() bool {
		return len(w.judge.placesOf(short)) == 0
	}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	w.cloud.cut(upgradeCut, 22, 28, 34)
	time.Sleep(15 * time.Second)
	return nil
}

// upgrade replaces all controllers by the current version, one after the other.
func (w *world) upgrade(command []string) error {
	for _, n := range w.nodes {
		w.kill(n)
		time.Sleep(restartAfter)
		if err := w.writeSettings(n, true); err != nil {
			return err
		}
		if err := w.start(n, command); err != nil {
			return err
		}
		if err := w.until(n.member+" serves again", 15*time.Second, func() bool { return w.up(n) }); err != nil {
			return err
		}
	}
	return nil
}
