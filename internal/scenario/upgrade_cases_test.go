package scenario

import (
	"fmt"
	"time"
)

const (
	// pipelineCommit is a version that already serves jobs that depend on others.
	pipelineCommit = "2ac89afe98092af152de8aba244567fd1d67d41f"
	// fairAdmissionCommit is a version that already serves fair admission, the last one before the
	// code was renamed to the field's terms.
	fairAdmissionCommit = "bf51e09dc4f741a8d49c2a971126ea1883f032af"
)

// version is one that is upgraded from.
type version int

const (
	production version = iota
	pipelines
	fairAdmission
)

// upgrade is one way in which three controllers are upgraded.
type upgrade struct {
	name      string
	from      version
	pipelines bool // the version before serves them already
	fair      bool // fair admission is on in the new version, and off in the one before
	goBack    bool // all processes go back to the version before, under load
	order     [3]int
	back      time.Duration // until a process that ended is back
	fault     func(d *deployment, upgraded int)
}

// upgrades are those that TestRollingUpgrade plays.
var upgrades = []upgrade{
	{
		name: "production/leader_ends", from: production,
		order: [3]int{0, 1, 2}, back: time.Second, fault: partitionLeaderRestarts,
	},
	{
		name: "production/quick_restart", from: production,
		order: [3]int{2, 1, 0}, back: 100 * time.Millisecond, fault: quickRestart,
	},
	{
		name: "production/store_outages", from: production,
		order: [3]int{1, 0, 2}, back: time.Second, fault: storeOutages,
	},
	{
		name: "pipelines/all_end", from: pipelines,
		order: [3]int{1, 2, 0}, back: time.Second, fault: allRestart,
		pipelines: true,
	},
	{
		name: "pipelines/store_outages", from: pipelines,
		order: [3]int{0, 2, 1}, back: 100 * time.Millisecond, fault: storeOutages,
		pipelines: true,
	},
	{
		name: "pipelines/leader_ends", from: pipelines,
		order: [3]int{2, 0, 1}, back: time.Second, fault: partitionLeaderRestarts,
		pipelines: true,
	},
	{
		name: "production/burst", from: production,
		order: [3]int{0, 2, 1}, back: time.Second, fault: burst,
		fair: true,
	},
	{
		name: "fair_admission/burst", from: fairAdmission,
		order: [3]int{1, 0, 2}, back: time.Second, fault: burst,
		pipelines: true, fair: true,
	},
	{
		name: "fair_admission/and_back", from: fairAdmission,
		order: [3]int{2, 1, 0}, back: 100 * time.Millisecond, fault: partitionLeaderRestarts,
		pipelines: true, goBack: true,
	},
}

// partitionLeaderRestarts has the partition leader, of whichever version, end and come back as it was.
func partitionLeaderRestarts(d *deployment, upgraded int) {
	if upgraded == 3 {
		return
	}
	h := d.partitionLeader()
	d.t.Logf("with %d of 3 upgraded, %s ends as the partition leader", upgraded, h)
	d.restart(h, d.version[h], time.Second)
}

// quickRestart is the same within a fraction of a second, for a process before its turn.
func quickRestart(d *deployment, upgraded int) {
	if upgraded == 3 {
		return
	}
	h := d.partitionLeader()
	d.restart(h, d.version[h], 100*time.Millisecond)
}

// storeOutages are an outage for all, then a refusal of the partition leader alone.
func storeOutages(d *deployment, upgraded int) {
	switch upgraded {
	case 1:
		d.storeOutage(5 * time.Second)
	case 2:
		d.storeRefuses(d.partitionLeader(), 5*time.Second)
	}
}

// allRestart has all processes end at once and come back as they were.
func allRestart(d *deployment, upgraded int) {
	if upgraded == 3 {
		return
	}
	for node := range d.running {
		d.kill(node)
	}
	time.Sleep(500 * time.Millisecond)
	for node := range d.running {
		d.start(node, d.version[node])
	}
}

// burst asks for more at once than can be stored: some controllers know of admission epochs
// then, others do not.
func burst(d *deployment, upgraded int) {
	for range 120 {
		d.submit(tinyJob(fmt.Sprint("tasks=1 cores=1 ram=1 runs=1 spot=yes class=burst-", upgraded)))
	}
	partitionLeaderRestarts(d, upgraded)
}
