package scenario

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"pipitlatch/internal/micros"
)

// userJob is a job as its user knows it.
type userJob struct {
	ref                string
	shape              string
	team               string
	class              string
	ignoresRetryAfter  bool        // its user comes back after a second, whatever it was told
	submitsEverywhere  bool        // its user asks at every node in the same instant
	retryAfter         micros.Time // as it was last told
	timesAccepted      int         // answers that it was accepted anew
	taskCount          int
	cores, ram         float64
	image              string
	imageGB            float64
	instanceTypes      []string
	zone               string
	oneZone            bool
	apart              bool
	spotAllowed        bool
	runTime            micros.Time // true run time
	thirdTaskFactor    float64     // times that for every third task
	checkpointInterval float64
	checkpointS        float64
	alwaysFails        bool
	body               []byte

	connection            *balancer // the connection it keeps
	connectionIncarnation int
	unansweredSince       micros.Time // first question since the last answer; 0: none
	sent                  bool
	submittedAt           micros.Time
	accepted              micros.Time // 0: not yet
	refused               int
	done                  map[int]bool
	cancelRequested       bool
	cancelled             micros.Time // when its user was told
	toldDone              bool
	lastPhase             string
	starts                int
	firstStart            micros.Time
	doneAt                micros.Time // when its user was first told
	reportedForgotten     bool        // reported as forgotten
	starvedSince          micros.Time // it waits though there is room; 0: it does not
	onMachineAfterCancel  micros.Time // how long after its user was told a task was on a machine
	dependencies          []string    // jobs that it needs
	replicaTime           micros.Time
}

// newJob reads a job from fields such as tasks=8 cores=4.
func (u *users) newJob(ref string, fields map[string]string) *userJob {
	num := func(k string, d float64) float64 {
		if v, err := strconv.ParseFloat(fields[k], 64); err == nil {
			return v
		}
		return d
	}
	str := func(k, d string) string {
		if v := fields[k]; v != "" {
			return v
		}
		return d
	}
	j := &userJob{ref: ref, shape: str("shape", "array"), team: str("team", u.w.config.Settings.Teams[0].Name), taskCount: int(num("tasks", 1)),
		cores: num("cores", 4), ram: num("ram", 4), image: str("image", "img-1"), imageGB: num("size", 1), zone: fields["zone"],
		oneZone: fields["one_zone"] != "", apart: fields["apart"] != "", spotAllowed: fields["spot"] != "",
		runTime: micros.FromSeconds(num("runs", 20)), checkpointInterval: num("snapshot", 0), checkpointS: num("save", 0),
		thirdTaskFactor: num("third_task_factor", 1), alwaysFails: fields["always_fails"] != "", done: map[int]bool{}}
	j.class, j.ignoresRetryAfter, j.submitsEverywhere = str("class", "class-1"), fields["ignores_retry_after"] != "", fields["submits_everywhere"] != ""
	if v := fields["types"]; v != "" {
		j.instanceTypes = strings.Split(v, ",")
	}
	b := map[string]any{"ref": ref, "jobclass": j.class, "owner": j.team, "shape": j.shape, "rank": str("rank", "standard"),
		"shards": j.taskCount, "cores": j.cores, "gpus": 0, "ram_gb": j.ram, "bundle": j.image, "size_gb": j.imageGB, "hulls": j.instanceTypes,
		"berth": nil, "one_zone": j.oneZone, "apart": j.apart, "loaners": j.spotAllowed, "expect_s": num("expect", micros.Seconds(j.runTime)),
		"snapshot_every_s": j.checkpointInterval, "snapshot_s": j.checkpointS, "due_s": nil, "surprise": true}
	if j.zone != "" {
		b["berth"] = j.zone
	}
	if d := num("due", 0); d > 0 {
		b["due_s"] = d
	}
	if j.shape == "service" {
		b["expect_s"] = 0
	}
	if j.instanceTypes == nil {
		b["hulls"] = nil
	}
	if v := fields["depends_on"]; v != "" {
		j.dependencies = parseJobRefs(v)
		b["waits_on"] = j.dependencies
	}
	j.body = encode(b)
	return j
}

// parseJobRefs reads "wk-000001,wk-000010..12".
func parseJobRefs(v string) []string {
	var out []string
	for _, p := range strings.Split(v, ",") {
		first, last, ok := strings.Cut(p, "..")
		a, _ := strconv.Atoi(strings.TrimPrefix(first, "wk-"))
		b := a
		if ok {
			b, _ = strconv.Atoi(last)
		}
		for n := a; n <= b; n++ {
			out = append(out, fmt.Sprintf("wk-%06d", n))
		}
	}
	return out
}

// unfinished lists jobs that were accepted and are neither done nor cancelled.
func (u *users) unfinished() []string {
	var out []string
	for _, ref := range u.order {
		j := u.jobs[ref]
		if j.accepted != 0 && !j.toldDone && j.cancelled == 0 && j.shape == "array" && !j.alwaysFails && u.dependencyCancelledAt(j, map[string]bool{}) == 0 {
			out = append(out, ref)
		}
	}
	sort.Strings(out)
	return out
}

// jobsOfClass are the jobs of a class.
func (u *users) jobsOfClass(class string) []*userJob {
	var out []*userJob
	for _, ref := range u.order {
		if j := u.jobs[ref]; j.class == class {
			out = append(out, j)
		}
	}
	return out
}

// dependencyCancelRequested tells whether the user of a job before this one asked to cancel it. The
// answer may still be on its way, or lost, when others already see what was committed.
func (u *users) dependencyCancelRequested(j *userJob, seen map[string]bool) bool {
	for _, ref := range j.dependencies {
		n := u.jobs[ref]
		if n == nil || seen[ref] {
			continue
		}
		seen[ref] = true
		if n.cancelRequested || u.dependencyCancelRequested(n, seen) {
			return true
		}
	}
	return false
}

// cancelled is when a user was first told that a job before this one, directly or
// through others, is cancelled; 0: nobody was.
func (u *users) dependencyCancelledAt(j *userJob, seen map[string]bool) micros.Time {
	first := micros.Time(0)
	for _, ref := range j.dependencies {
		n := u.jobs[ref]
		if n == nil || seen[ref] {
			continue
		}
		seen[ref] = true
		for _, at := range []micros.Time{n.cancelled, u.dependencyCancelledAt(n, seen)} {
			if at != 0 && (first == 0 || at < first) {
				first = at
			}
		}
	}
	return first
}
