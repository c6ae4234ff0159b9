package scenario

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/micros"
)

// offeredFlow is one flow of the overload: so many jobs a second.
type offeredFlow struct {
	flow   admission.Flow
	rate   float64
	fields string  // of its jobs
	least  float64 // share that must be accepted
}

// overloadFlows ask for some three times of what the key-value store stores: 20 changes a
// second, of which a job takes two and everything else some.
var overloadFlows = []offeredFlow{
	{admission.Flow{Team: "alpha", Class: "bulk"}, 14, "cores=2 runs=3", 0.02},
	{admission.Flow{Team: "alpha", Class: "nightly"}, 4, "cores=2 runs=4", 0.05},
	{admission.Flow{Team: "beta", Class: "counter"}, 0.8, "cores=1 runs=2 rank=urgent", 0.7},
	{admission.Flow{Team: "beta", Class: "batch"}, 4, "cores=2 runs=4", 0.1},
	{admission.Flow{Team: "gamma", Class: "low"}, 0.8, "cores=2 runs=3 rank=low", 0.7},
	{admission.Flow{Team: "gamma", Class: "huge"}, 0.3, "cores=4 tasks=2 runs=6 rank=low", 0.5},
}

// overload plays one overload with three real processes.
type overload struct {
	*deployment
	length   time.Duration
	begin    time.Time
	mu       sync.Mutex
	history  history
	flowOf   map[string]int // by reference
	refused  []int          // answers, by flow
	patience time.Duration  // for which users submit again
}

// verdictLine matches the verdicts of this version and of those before it.
var verdictLine = regexp.MustCompile(
	`msg=(?:verdict|"admission verdict") job=(\S+) epoch=(\d+) leader=(\d+) admit=(true|false)`)

// takeLog takes the verdicts out of a controller's log, and drops the rest of what is told
// only for debugging.
func (o *overload) takeLog(line string) bool {
	if m := verdictLine.FindStringSubmatch(line); m != nil {
		number, _ := strconv.ParseUint(m[2], 10, 64) // digits, by the expression
		leader, _ := strconv.ParseUint(m[3], 10, 64)
		o.note(answer{ref: m[1], epoch: epochID{leader, number}, admit: m[4] == "true"})
		return true
	}
	return strings.Contains(line, "level=DEBUG")
}

func (o *overload) note(a answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.at = time.Since(o.begin)
	o.history.answers = append(o.history.answers, a)
}

// offer submits a flow's jobs for as long as the overload lasts.
func (o *overload) offer(n int) {
	f := overloadFlows[n]
	if n == 0 && o.length < time.Minute {
		f.rate *= shortBulk
	}
	for i := 0; time.Since(o.begin) < o.length; i++ {
		fields := tinyJob(fmt.Sprintf("team=%s class=%s ram=1 spot=yes %s", f.flow.Team, f.flow.Class, f.fields))
		var j *userJob
		o.with(func(w *World) {
			j = w.users.newJob(fmt.Sprintf("wk-%06d", len(o.jobs)+1), fields)
			j.requests.sent, j.submittedAt = true, w.now
			w.users.jobs[j.ref] = j
			w.users.order = append(w.users.order, j.ref)
			o.jobs = append(o.jobs, j)
		})
		o.mu.Lock()
		o.flowOf[j.ref] = n
		o.mu.Unlock()
		o.people.Go(func() { o.person(j, n) })
		time.Sleep(time.Duration((0.5 + rand.Float64()) / f.rate * float64(time.Second)))
	}
}

// person submits a job, for as long as its patience lasts, as it is told, and asks for it until it is over.
func (o *overload) person(j *userJob, n int) {
	for begin := time.Now(); ; {
		status, wait := o.submitOnce(j)
		if status == http.StatusCreated || status == http.StatusOK {
			break
		}
		o.mu.Lock()
		o.refused[n]++
		o.mu.Unlock()
		if time.Since(begin)+wait > o.patience || !o.sleep(wait) {
			return
		}
	}
	o.with(func(w *World) { j.told.accepted = w.now })
	for {
		if !o.sleep(time.Duration(2000+rand.IntN(1500)) * time.Millisecond) {
			return
		}
		if phase := o.askOnce(j); phase == "done" || phase == "cancelled" {
			return
		}
	}
}

// sleep waits, and tells whether the test goes on.
func (o *overload) sleep(d time.Duration) bool {
	select {
	case <-o.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (o *overload) request(method, path string, body []byte, patience time.Duration) (*http.Response, []byte) {
	address := o.nodes[nodeName(rand.IntN(3))]
	r, err := http.NewRequestWithContext(o.ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	client := *o.client
	client.Timeout = patience
	resp, err := client.Do(r)
	if err != nil {
		return nil, nil
	}
	defer func() { _ = resp.Body.Close() }() // it is read, or not needed
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil
	}
	return resp, answer
}

// submitOnce returns the status, 0 without an answer, and how long to wait.
func (o *overload) submitOnce(j *userJob) (int, time.Duration) {
	wait := time.Second + time.Duration(rand.IntN(500))*time.Millisecond
	resp, body := o.request("POST", "/submissions", j.body, 5*time.Second)
	if resp == nil {
		return 0, wait
	}
	o.note(answer{ref: j.ref, status: resp.StatusCode})
	if resp.StatusCode < 300 {
		o.with(func(w *World) { w.users.receiveStatus(j, body) })
	}
	if after, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		wait = max(wait, time.Duration(min(after, 30))*time.Second)
	}
	return resp.StatusCode, wait
}

func (o *overload) askOnce(j *userJob) string {
	resp, body := o.request("GET", "/submissions/"+j.ref, nil, 2*time.Second)
	if resp == nil {
		return ""
	}
	if resp.StatusCode != http.StatusOK {
		o.note(answer{ref: j.ref, status: resp.StatusCode})
		return ""
	}
	phase := ""
	o.with(func(w *World) {
		w.users.receiveStatus(j, body)
		phase = j.told.lastPhase
	})
	o.note(answer{ref: j.ref, phase: phase})
	return phase
}

// injectFaults kills, freezes and cuts off controllers, at parts of the overload's length.
func (o *overload) injectFaults(program string) {
	at := func(part float64) { time.Sleep(time.Until(o.begin.Add(time.Duration(part * float64(o.length))))) }
	at(0.3)
	o.restart(o.partitionLeader(), program, time.Second)
	at(0.45)
	frozen := o.partitionLeader()
	o.signal(frozen, syscall.SIGSTOP)
	time.Sleep(min(7*time.Second, o.length/7)) // beyond its agents' lease, if there is time
	o.signal(frozen, syscall.SIGCONT)
	at(0.65)
	o.storeRefuses(nodeName(rand.IntN(3)), min(6*time.Second, o.length/8))
	at(0.85)
	o.storeOutage(min(5*time.Second, o.length/20))
}

func (o *overload) signal(node string, s syscall.Signal) {
	if err := o.running[node].cmd.Process.Signal(s); err != nil {
		o.t.Errorf("%s: %v", node, err)
	}
}

// flowReport is what became of a flow.
type flowReport struct {
	offered, accepted, refused, served int
	longest                            float64 // seconds from accepted to begun
	fair                               int64   // jobs that a fair division of what was accepted gives it
}

// flowReports counts what became of each flow.
func (o *overload) flowReports() []flowReport {
	out := make([]flowReport, len(overloadFlows))
	o.with(func(w *World) {
		for _, j := range o.jobs {
			r := &out[o.flowOf[j.ref]]
			r.offered++
			if j.told.accepted == 0 {
				continue
			}
			r.accepted++
			if len(j.observed.done) == j.spec.taskCount {
				r.served++
			}
			if j.observed.firstStart != 0 {
				r.longest = max(r.longest, micros.Seconds(j.observed.firstStart-j.told.accepted))
			}
		}
	})
	var claims []admission.Claim
	accepted := int64(0)
	for i := range out {
		out[i].refused = o.refused[i]
		accepted += int64(out[i].accepted)
		claims = append(claims, admission.Claim{
			Flow: overloadFlows[i].flow, TeamWeight: 1, ClassWeight: 1, Demand: int64(out[i].offered),
		})
	}
	for i, n := range admission.Divide(accepted, 0, claims) {
		out[i].fair = n
	}
	return out
}

// jain is Jain's index of what each flow got of its fair share: 1 is fair.
func jain(reports []flowReport) float64 {
	sum, squares := 0.0, 0.0
	for _, r := range reports {
		x := float64(r.accepted) / float64(max(1, r.fair))
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / float64(len(reports)) / squares
}

// leastJain is what the shares must come to at least: with fair admission off, flows get what
// they ask for most.
const leastJain = 0.85

// shortBulk is how many times more the bulk flow asks for in the short form: after it all who
// are left come again to controllers that have time, so that it must press harder meanwhile.
const shortBulk = 2.5

// TestOverload has six flows of three teams ask three real processes for about three times
// what they can store, while processes are killed, frozen and cut off. Every flow is served,
// no job gets two final answers, nor a reference two verdicts in one epoch. By default it
// takes less than a minute:
//
//	PIPITLATCH_OVERLOAD=600          is ten minutes of it
//	PIPITLATCH_OVERLOAD_OFF=1        has fair admission off: the test fails
//	PIPITLATCH_OVERLOAD_COMMIT=HASH  plays a version of the history, with it off
func TestOverload(t *testing.T) {
	seconds, err := strconv.Atoi(os.Getenv("PIPITLATCH_OVERLOAD"))
	if err != nil {
		seconds = 24
	}
	like := deploymentShape{teams: []string{"alpha", "beta", "gamma"}, writeRPS: 20, connections: 2000, logLevel: "debug"}
	program := build(t, repositoryRoot)
	if commit := os.Getenv("PIPITLATCH_OVERLOAD_COMMIT"); commit != "" {
		program = programAt(t, commit)
	}
	length := time.Duration(seconds) * time.Second
	o := &overload{
		deployment: newDeployment(t, like), length: length, flowOf: map[string]int{},
		refused: make([]int, len(overloadFlows)), patience: min(time.Minute, length*2/3),
	}
	if os.Getenv("PIPITLATCH_OVERLOAD_COMMIT") == "" && os.Getenv("PIPITLATCH_OVERLOAD_OFF") == "" {
		o.configure(program, "fair_admission { enabled: true epoch_ms: 2000 lag_s: 15 }")
	}
	o.take = o.takeLog
	o.with(func(w *World) { w.store.limits.writeRPS = like.writeRPS })
	for i := range 3 {
		o.start(nodeName(i), program)
	}
	o.until("machines obey", func(w *World) bool {
		return slices.ContainsFunc(w.cloud.sorted(), func(m *machine) bool { return m.agent.fencingToken > 0 })
	})
	o.begin = time.Now()
	var offers sync.WaitGroup
	for n := range overloadFlows {
		offers.Go(func() { o.offer(n) })
	}
	o.injectFaults(program)
	offers.Wait()
	o.finish()
	o.conclude()
}

// finish waits until what was accepted is over, as far as users know, within a bound.
func (o *overload) finish() {
	all := make(chan struct{})
	go func() {
		o.people.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-time.After(o.length/2 + 2*time.Minute):
	}
}

// conclude reports, and holds the history and the shares against what was promised.
func (o *overload) conclude() {
	t := o.t
	o.mu.Lock()
	defer o.mu.Unlock()
	h := &o.history
	h.done, h.asked = map[string]bool{}, map[string]bool{}
	o.with(func(w *World) {
		for _, j := range o.jobs {
			h.done[j.ref] = len(j.observed.done) == j.spec.taskCount
			h.asked[j.ref] = true
		}
		for _, b := range w.broken {
			t.Errorf("rule broken: %s", b)
		}
	})
	for i, wrong := range h.judge() {
		if i < 20 {
			t.Errorf("history: %s", wrong)
		}
	}
	epochs := map[epochID]int{}
	for _, a := range h.answers {
		if a.epoch != (epochID{}) {
			epochs[a.epoch]++
		}
	}
	reports := o.flowReports()
	t.Logf("%v of overload, %d answers and verdicts, %d epochs, Jain's index %.3f",
		o.length, len(h.answers), len(epochs), jain(reports))
	for i, r := range reports {
		f := overloadFlows[i]
		t.Logf("%-14s offered %5d accepted %5d refused %6d served %5d longest wait %6.1f s fair share %5d",
			f.flow.Team+"/"+f.flow.Class, r.offered, r.accepted, r.refused, r.served, r.longest, r.fair)
		if float64(r.accepted) < f.least*float64(r.offered) {
			t.Errorf("%v: %d of %d accepted", f.flow, r.accepted, r.offered)
		}
		if r.served < r.accepted {
			t.Errorf("%v: %d of %d served", f.flow, r.served, r.accepted)
		}
	}
	if index := jain(reports); index < leastJain {
		t.Errorf("Jain's index is %.3f: shares are not fair", index)
	}
	if len(o.operator) > 0 && len(epochs) == 0 {
		t.Error("no verdict under any epoch")
	}
}
