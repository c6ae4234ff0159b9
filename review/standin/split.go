package main

import (
	"os"
	"path/filepath"
	"time"
)

// announced are the limits to come of the "next" deployments.
const announced = "rps = 100.0\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4"

// counterJob is a public service of the licence site with so many replicas.
func counterJob(ref string, replicas int) *job {
	return &job{
		Ref: ref, Class: "licence-counter", Team: "licensing-core", Shape: "service", Rank: "production",
		Shards: replicas, Cores: 4, RAM: 5.7, Image: "img-01", ImageGB: 0.4,
	}
}

// split has a hundred machines serve while the three controllers of the version in production are killed one after
// the other and come back with the present version. Then the user of a small service ends it, and the machines that
// are idle then are returned to the cloud. All settings announce smaller limits of the state service. Without the
// disruption the present version serves from the beginning.
func split(wd *world, trouble bool) {
	d := licenceSite()
	d.next = announced
	if production := filepath.Join(wd.root, "target", "review-production"); trouble {
		if _, err := os.Stat(production); err == nil {
			d.program = production
		} else {
			wd.note("the version in production is not built: the present one, without the announcement, stands for it")
			d.next = ""
		}
	}
	wd.deploy(d)
	wd.cloud.add(100, "tench-small", "derby-east", 4*time.Second)
	large, small := counterJob("wk-000001", 168), counterJob("wk-000002", 16)
	for _, j := range []*job{large, small} {
		if !wd.submit(j) || !until(30*time.Second, func() bool { return wd.onMachines(j.Ref) == j.Shards }) {
			wd.fatal("%s did not start", j.Ref)
		}
	}
	n, largest := wd.state.count("pl/block/")
	wd.note("%d blocks of machines in the state service, the largest of %d bytes", n, largest)
	if trouble {
		d.next = announced
		for _, n := range wd.nodes {
			wd.kill(n)
			n.program = ""
			wd.writeSettings(n, d, wd.services[0], wd.services[1])
			time.Sleep(3 * time.Second)
			wd.startProcess(n)
			until(10*time.Second, func() bool { return len(wd.healthy()) == len(wd.nodes) })
		}
	}
	time.Sleep(5 * time.Second)
	wd.user("POST", "/submissions/wk-000002/abort", nil, 5*time.Second, 200)
	until(40*time.Second, func() bool { return wd.rulesBroken() > 0 })
	time.Sleep(3 * time.Second)
	n, largest = wd.state.count("pl/block/")
	wd.note("%d blocks of machines in the state service, the largest of %d bytes", n, largest)
	for _, line := range wd.logged("duplicate task attempt") {
		wd.note("log: %s", line)
	}
}
