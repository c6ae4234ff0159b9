package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of users that the pages give.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	pollInterval  = 5 * time.Second
	retryDelay    = time.Second
)

// userJob is a job of a user, and what its user was told.
type userJob struct {
	ref, class, shape, rank string
	shards                  int
	cores, ramGB            float64
	bundle                  string
	sizeGB                  float64
	types                   []string
	zone                    string
	oneZone                 bool
	due                     float64 // seconds; 0: none
	expect, runs            float64 // seconds: what the owner estimates, and what a task takes
	mistaken                bool    // submitted with a mistake: every task fails

	accepted, over bool // guarded by the users' lock
}

func (j *userJob) task(n int) string { return fmt.Sprintf("%s/%d", j.ref, n) }

func (j *userJob) allowsType(kind string) bool {
	return j.types == nil || slices.Contains(j.types, kind)
}

func (j *userJob) body(team string) map[string]any {
	body := map[string]any{
		"ref": j.ref, "jobclass": j.class, "owner": team, "shape": j.shape, "rank": j.rank, "shards": j.shards,
		"cores": j.cores, "gpus": 0.0, "ram_gb": j.ramGB, "bundle": j.bundle, "size_gb": j.sizeGB,
		"hulls": j.types, "berth": nil, "one_zone": j.oneZone, "apart": false, "loaners": false,
		"expect_s": j.expect, "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": nil,
	}
	if j.zone != "" {
		body["berth"] = j.zone
	}
	if j.due > 0 {
		body["due_s"] = j.due
	}
	return body
}

// users are the stand-ins of all users.
type users struct {
	world *world
	team  string

	mu       sync.Mutex
	jobs     map[string]*userJob
	complete map[string]bool // tasks whose result is kept
}

func newUsers(w *world, team string) *users {
	return &users{world: w, team: team, jobs: map[string]*userJob{}, complete: map[string]bool{}}
}

// jobOf returns the job of a task that was uploaded by a user, or nil.
func (u *users) jobOf(shard string) (*userJob, int) {
	ref, number, _ := strings.Cut(shard, "/")
	n, err := strconv.Atoi(number)
	u.mu.Lock()
	defer u.mu.Unlock()
	j := u.jobs[ref]
	if j == nil || err != nil || n < 0 || n >= j.shards {
		return nil, 0
	}
	return j, n
}

func (u *users) isComplete(shard string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.complete[shard]
}

func (u *users) markComplete(shard string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.complete[shard] = true
}

// completed returns how many tasks have completed.
func (u *users) completed() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.complete)
}

// submit has a user submit a job until it is accepted, and then poll until it is over.
func (u *users) submit(j *userJob) {
	u.mu.Lock()
	u.jobs[j.ref] = j
	u.mu.Unlock()
	go func() {
		for !u.submitOnce(j) {
			time.Sleep(retryDelay)
		}
		for !u.pollOnce(j) {
			time.Sleep(pollInterval)
		}
	}()
}

func (u *users) submitOnce(j *userJob) (accepted bool) {
	n := u.world.nodes[rand.IntN(len(u.world.nodes))]
	url := "http://" + n.listen + "/submissions"
	status, answer := call(u.world.client, http.MethodPost, url, j.body(u.team), submitTimeout)
	u.world.rec.note("submit %s at %s: %d %s", j.ref, n.member, status, strings.TrimSpace(string(answer)))
	if status != http.StatusCreated && status != http.StatusOK {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	j.accepted = true
	return true
}

func (u *users) pollOnce(j *userJob) (over bool) {
	n := u.world.nodes[rand.IntN(len(u.world.nodes))]
	status, answer := call(u.world.client, http.MethodGet, "http://"+n.listen+"/submissions/"+j.ref, nil, pollTimeout)
	u.world.rec.note("poll %s at %s: %d %s", j.ref, n.member, status, strings.TrimSpace(string(answer)))
	var state struct {
		Phase string `json:"phase"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &state) != nil ||
		(state.Phase != "done" && state.Phase != "cancelled") {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	j.over = true
	return true
}

// cancel has a user cancel a job until that is confirmed.
func (u *users) cancel(j *userJob) {
	for {
		n := u.world.nodes[rand.IntN(len(u.world.nodes))]
		url := "http://" + n.listen + "/submissions/" + j.ref + "/abort"
		status, answer := call(u.world.client, http.MethodPost, url, nil, submitTimeout)
		u.world.rec.note("cancel %s at %s: %d %s", j.ref, n.member, status, strings.TrimSpace(string(answer)))
		if status == http.StatusOK {
			return
		}
		time.Sleep(retryDelay)
	}
}

// isAccepted reports whether the user of a job was told that it is accepted.
func (u *users) isAccepted(j *userJob) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return j.accepted
}

// acceptedAll reports whether the users of all these jobs were told that they are accepted.
func (u *users) acceptedAll(jobs []*userJob) bool {
	return !slices.ContainsFunc(jobs, func(j *userJob) bool { return !u.isAccepted(j) })
}
