package main

import "time"

// apart has a service of three replicas run, of which at most two may be in one zone. The machine with two of them
// stops. In its zone there is room, with the image, only in some seconds; in the other there is room at once, but
// the image has to be fetched.
func apart(wd *world, trouble bool) {
	d := licenceSite()
	wd.deploy(d)
	service := func(ref string, replicas int, zone *string) *job {
		j := counterJob(ref, replicas)
		j.ImageGB, j.Zone = 4, zone
		return j
	}
	first := map[string]*instance{}
	for _, zone := range d.zones[:2] {
		first[zone] = wd.cloud.add(1, "tench-small", zone, 3*time.Second)[0]
	}
	spread := service("wk-000001", 3, nil)
	spread.Apart = true
	begin := func(j *job) {
		if !wd.submit(j) || !until(25*time.Second, func() bool { return wd.onMachines(j.Ref) == j.Shards }) {
			wd.fatal("%s did not start", j.Ref)
		}
	}
	begin(spread)
	two, one := d.zones[0], d.zones[1]
	if wd.onMachine(first[one]) == 2 {
		two, one = one, two
	}
	wd.note("zone %s has two replicas, zone %s has one", two, one)
	begin(service("wk-000002", 1, &one)) // takes what is left beside the one
	wd.cloud.add(1, "tench-small", two, time.Second)
	begin(service("wk-000003", 1, &two)) // brings the image to the new machine
	begin(&job{
		Ref: "wk-000004", Class: "renewal-run", Team: "licensing-core", Shape: "array", Rank: "production",
		Shards: 1, Cores: 4, RAM: 4, Image: "img-01", ImageGB: 4, Zone: &two, ExpectS: 14, runs: 200 * time.Second,
	})
	wd.cloud.add(1, "tench-small", one, time.Second)
	time.Sleep(5 * time.Second)
	if trouble {
		wd.note("%s stops", first[two].name)
		wd.cloud.die(first[two])
	}
	until(40*time.Second, func() bool { return wd.rulesBroken() > 0 })
}
