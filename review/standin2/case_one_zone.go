package main

import "time"

func oneZoneTypes() []*machineType {
	machine := func(name, zone string, fetch float64) *machineType {
		return &machineType{
			name: name, cores: 8, ramGB: 64, fetchGBps: fetch, bootS: 30, bootsIn: 30, zones: []string{zone},
		}
	}
	return []*machineType{
		machine("tench-small", "derby-east", 2),
		machine("pike-medium", "derby-east", 2),
		machine("salmon-large", "derby-east", 0.2),
		machine("pike-north", "leicester-north", 2),
	}
}

// oneZoneJobs are the jobs of playOneZone.
type oneZoneJobs struct{ counter, other, renewals, report, backfill *userJob }

func newOneZoneJobs() oneZoneJobs {
	job := func(ref, class, shape, rank string, shards int, cores float64, kind string) *userJob {
		return &userJob{
			ref: ref, class: class, shape: shape, rank: rank, shards: shards, cores: cores, ramGB: 4,
			bundle: "licences", sizeGB: 4, types: []string{kind}, expect: 30, runs: 300,
		}
	}
	j := oneZoneJobs{
		counter:  job("wk-000001", "licence-counter", "service", "production", 2, 4, ""),
		other:    job("wk-000002", "licence-counter", "service", "production", 1, 4, "pike-medium"),
		renewals: job("wk-000003", "renewal-run", "array", "standard", 1, 4, "pike-medium"),
		report:   job("wk-000004", "stock-tally", "array", "standard", 1, 1, "salmon-large"),
		backfill: job("wk-000005", "eel-pass-backfill", "array", "low", 2, 4, "pike-north"),
	}
	j.counter.types, j.counter.oneZone, j.counter.expect = nil, true, 0
	j.other.bundle, j.other.sizeGB, j.other.expect = "tally", 0.1, 0
	j.report.bundle, j.report.sizeGB = "tally", 0.1
	j.backfill.expect = 120
	return j
}

// playOneZone runs a service of two replicas that have to be in one zone. Both are on one machine,
// which stops. In their zone there is room soon on one machine, and now on another that has to fetch
// the image first; in another zone there is work of lower priority on a machine that has the image.
func playOneZone(w *world, o options) error {
	home := w.cloud.addRunning(w.cloud.types[0], "derby-east")
	if err := w.startAll(o.command, true); err != nil {
		return err
	}
	j := newOneZoneJobs()
	w.users.submit(j.counter)
	if err := w.until("both replicas run", 30*time.Second, func() bool {
		return len(w.judge.placesOf(j.counter)) == 2
	}); err != nil {
		return err
	}
	w.cloud.addRunning(w.cloud.types[1], "derby-east")
	w.cloud.addRunning(w.cloud.types[2], "derby-east")
	w.cloud.addRunning(w.cloud.types[3], "leicester-north")
	running := func(jobs ...*userJob) func() bool {
		return func() bool {
			for _, job := range jobs {
				if len(w.judge.placesOf(job)) != job.shards {
					return false
				}
			}
			return true
		}
	}
	w.users.submit(j.other)
	w.users.submit(j.renewals)
	w.users.submit(j.report)
	if err := w.until("the other jobs run", 30*time.Second, running(j.other, j.renewals, j.report)); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	w.users.submit(j.backfill)
	if err := w.until("the backfill runs", 20*time.Second, running(j.backfill)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.rec.say("%s stops with all that is on it", home.name)
		w.cloud.die(home.name)
	}
	time.Sleep(40 * time.Second)
	return nil
}
