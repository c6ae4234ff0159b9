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
	ref             string
	spec            jobSpec
	execution       jobExecution
	body            []byte // of its submission
	submittedAt     micros.Time
	cancelRequested bool
	requests        jobRequests
	told            jobAnswers
	observed        jobObservations
}

// jobSpec is what a job asks for.
type jobSpec struct {
	shape         string
	team          string
	class         string
	taskCount     int
	cores, ram    float64
	image         string
	imageGB       float64
	instanceTypes []string
	zone          string
	oneZone       bool
	apart         bool
	spotAllowed   bool
	dependencies  []string // jobs that it needs
}

// jobExecution is how a job's tasks run.
type jobExecution struct {
	runTime            micros.Time // true run time
	thirdTaskFactor    float64     // times that for every third task
	checkpointInterval float64
	checkpointS        float64
	alwaysFails        bool
}

// jobRequests are how a job's user asks.
type jobRequests struct {
	sent                  bool
	ignoresRetryAfter     bool        // its user comes back after a second, whatever it was told
	submitsEverywhere     bool        // its user asks at every node in the same instant
	connection            *balancer   // the connection it keeps
	connectionIncarnation int         // of the node at its other end
	unansweredSince       micros.Time // first question since the last answer; 0: none
}

// jobAnswers are what a job's user was told.
type jobAnswers struct {
	retryAfter        micros.Time // as it was last told
	timesAccepted     int         // answers that it was accepted anew
	accepted          micros.Time // 0: not yet
	refused           int
	cancelled         micros.Time
	done              bool
	doneAt            micros.Time // when first
	lastPhase         string
	reportedForgotten bool // a broken rule, counted once
}

// jobObservations are what became of a job on machines.
type jobObservations struct {
	done                 map[int]bool // tasks
	starts               int
	firstStart           micros.Time
	replicaTime          micros.Time
	onMachineAfterCancel micros.Time // how long after its user was told a task was on a machine
	starvedSince         micros.Time // it waits though there is room; 0: it does not
}

// jobFields are a job's fields, such as tasks=8 cores=4.
type jobFields map[string]string

func (f jobFields) number(key string, otherwise float64) float64 {
	if v, err := strconv.ParseFloat(f[key], 64); err == nil {
		return v
	}
	return otherwise
}

func (f jobFields) text(key, otherwise string) string {
	if v := f[key]; v != "" {
		return v
	}
	return otherwise
}

func (f jobFields) given(key string) bool { return f[key] != "" }

// newJob makes a job of its fields.
func (u *users) newJob(ref string, fields map[string]string) *userJob {
	f := jobFields(fields)
	j := &userJob{
		ref:  ref,
		spec: f.spec(u.w.config.Settings.Teams[0].Name),
		execution: jobExecution{
			runTime: micros.FromSeconds(f.number("runs", 20)), thirdTaskFactor: f.number("third_task_factor", 1),
			checkpointInterval: f.number("snapshot", 0), checkpointS: f.number("save", 0), alwaysFails: f.given("always_fails"),
		},
		requests: jobRequests{
			ignoresRetryAfter: f.given("ignores_retry_after"), submitsEverywhere: f.given("submits_everywhere"),
		},
		observed: jobObservations{done: map[int]bool{}},
	}
	j.body = f.body(j)
	return j
}

// spec is what the job asks for; without a team it is that of the first one.
func (f jobFields) spec(team string) jobSpec {
	s := jobSpec{
		shape: f.text("shape", "array"), team: f.text("team", team), class: f.text("class", "class-1"),
		taskCount: int(f.number("tasks", 1)), cores: f.number("cores", 4), ram: f.number("ram", 4),
		image: f.text("image", "img-1"), imageGB: f.number("size", 1),
		zone: f["zone"], oneZone: f.given("one_zone"), apart: f.given("apart"), spotAllowed: f.given("spot"),
	}
	if f.given("types") {
		s.instanceTypes = strings.Split(f["types"], ",")
	}
	if f.given("depends_on") {
		s.dependencies = parseJobRefs(f["depends_on"])
	}
	return s
}

// body is the submission on the wire, with a field that no controller knows.
func (f jobFields) body(j *userJob) []byte {
	s, e := j.spec, j.execution
	b := map[string]any{
		"ref": j.ref, "jobclass": s.class, "owner": s.team, "shape": s.shape, "rank": f.text("rank", "standard"),
		"shards": s.taskCount, "cores": s.cores, "gpus": 0, "ram_gb": s.ram, "bundle": s.image, "size_gb": s.imageGB,
		"hulls": s.instanceTypes, "berth": nil, "one_zone": s.oneZone, "apart": s.apart, "loaners": s.spotAllowed,
		"expect_s":         f.number("expect", micros.Seconds(e.runTime)),
		"snapshot_every_s": e.checkpointInterval, "snapshot_s": e.checkpointS, "due_s": nil, "surprise": true,
	}
	if s.zone != "" {
		b["berth"] = s.zone
	}
	if due := f.number("due", 0); due > 0 {
		b["due_s"] = due
	}
	if s.shape == "service" {
		b["expect_s"] = 0
	}
	if s.dependencies != nil {
		b["waits_on"] = s.dependencies
	}
	return encode(b)
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
		open := j.told.accepted != 0 && !j.told.done && j.told.cancelled == 0
		if !open || j.spec.shape != "array" || j.execution.alwaysFails {
			continue
		}
		if u.dependencyCancelledAt(j, map[string]bool{}) == 0 {
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
		if j := u.jobs[ref]; j.spec.class == class {
			out = append(out, j)
		}
	}
	return out
}

// dependencyCancelRequested tells whether the user of a job before this one asked to cancel it. The
// answer may still be on its way, or lost, when others already see what was committed.
func (u *users) dependencyCancelRequested(j *userJob, seen map[string]bool) bool {
	for _, ref := range j.spec.dependencies {
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

// dependencyCancelledAt is when a user was first told that a job before this one, directly or
// through others, is cancelled; 0: nobody was.
func (u *users) dependencyCancelledAt(j *userJob, seen map[string]bool) micros.Time {
	first := micros.Time(0)
	for _, ref := range j.spec.dependencies {
		n := u.jobs[ref]
		if n == nil || seen[ref] {
			continue
		}
		seen[ref] = true
		for _, at := range []micros.Time{n.told.cancelled, u.dependencyCancelledAt(n, seen)} {
			if at != 0 && (first == 0 || at < first) {
				first = at
			}
		}
	}
	return first
}
