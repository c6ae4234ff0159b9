package scenario

import (
	"fmt"
	"strings"
	"testing"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// checkWorld is a simulated deployment with two machines, a job of three tasks and no controllers.
type checkWorld struct {
	*World
	first, second *machine
	job           *userJob
}

func (w checkWorld) task(m *machine, n int) *agentTask {
	id := fmt.Sprintf("%s/%d", w.job.ref, n)
	x := &agentTask{id: id, phase: "running", job: w.job}
	m.tasks[id+"#1"] = x
	return x
}

func (w checkWorld) answer(phase string) {
	w.users.receiveStatus(w.job, fmt.Appendf(nil, `{"ref":%q,"phase":%q}`, w.job.ref, phase))
}

func (w checkWorld) addJob(ref string, set map[string]string) *userJob {
	j := w.users.newJob(ref, set)
	j.told.accepted = 1
	w.users.jobs[ref] = j
	w.users.order = append(w.users.order, ref)
	return j
}

// provocations cause a violation of each rule, by the name of the rule.
var provocations = map[string]func(w checkWorld){
	"ran_twice": func(w checkWorld) {
		w.task(w.first, 0)
		w.users.checkStart(w.second, w.task(w.second, 0))
	},
	"quota": func(w checkWorld) {
		w.task(w.first, 0)
		w.task(w.first, 1)
		w.users.checkStart(w.second, w.task(w.second, 2))
	},
	"wrong_place": func(w checkWorld) {
		w.job.spec.zone = "b"
		w.users.checkStart(w.first, w.task(w.first, 0))
	},
	"ran_cancelled": func(w checkWorld) {
		w.job.cancelRequested = true
		w.answer("cancelled")
		w.task(w.first, 0)
		w.first.agent.acknowledgedAt = w.now + 60*micros.Second // as if a controller still acknowledged its heartbeats
		w.run(40 * micros.Second)
	},
	"forgotten": func(w checkWorld) {
		w.users.poll(w.job)
		w.run(100 * micros.Second)
	},
	"not_done":  func(w checkWorld) { w.answer("done") },
	"went_back": func(w checkWorld) { w.answer("cancelled") },
	"idle_room": func(w checkWorld) { w.run(300 * micros.Second) },
	"too_early": func(w checkWorld) {
		w.addJob("wk-000002", map[string]string{})
		w.job.spec.dependencies = []string{"wk-000002"}
		w.users.checkStart(w.first, w.task(w.first, 0))
	},
	"orphaned": func(w checkWorld) {
		n := w.addJob("wk-000002", map[string]string{})
		w.job.spec.dependencies = []string{"wk-000002"}
		n.told.cancelled = w.now + 1
		w.now += 60 * micros.Second
		w.answer("queued")
	},
	"two_verdicts": func(w checkWorld) {
		for _, admit := range []bool{true, false} {
			w.observeAdmissionLog(messages.LogRecord{
				Message:    "admission verdict",
				Attributes: []any{"job", "wk-000001", "epoch", uint64(2), "leader", uint64(1), "admit", admit},
			})
		}
	},
	"accepted_twice": func(w checkWorld) {
		w.users.accepted(w.job, 201)
		w.users.accepted(w.job, 201)
	},
	"invented": func(w checkWorld) { w.users.checkUnknownLookup("wk-000009", 200) },
	"two_blocks": func(w checkWorld) {
		for _, k := range []string{"pl/block/x", "pl/block/y"} {
			w.store.keys[k] = storedRecord{value: []byte(`{"m":{"vm-1":{}}}`), modRevision: 1}
		}
		w.users.checkBlocks()
	},
	"accepted": func(w checkWorld) {
		w.users.sendOddRequests(w.now + 1)
		for _, j := range w.users.jobs {
			if j.spec.cores > 1000 {
				j.told.accepted = w.now
			}
		}
		w.run(10 * micros.Second)
	},
}

// TestChecksCanFail causes a violation of each rule, without controllers, and verifies that the
// check reports it: a check that cannot fail proves nothing.
func TestChecksCanFail(t *testing.T) {
	for rule, provoke := range provocations {
		t.Run(rule, func(t *testing.T) {
			base, err := newWorld(parseLine(1, "cluster teams=alpha:0:8"), 1, func(string, ...any) {})
			if err != nil {
				t.Fatal(err)
			}
			base.addType(parseLine(2, "type small cores=8 ram=32"))
			small := base.cloud.instanceTypes[0]
			w := checkWorld{World: base}
			w.first, w.second = base.cloud.addMachine(small, "a", false, true), base.cloud.addMachine(small, "a", false, true)
			w.run(micros.Second)
			w.job = w.addJob("wk-000001", map[string]string{"tasks": "3", "cores": "4"})
			provoke(w)
			for _, b := range w.broken {
				if strings.Contains(b, " "+rule+":") {
					return
				}
			}
			t.Errorf("violation not reported; reported: %v", w.broken)
		})
	}
}

// TestMessagesOfEarlierVersions decodes peer status messages recorded from earlier versions. The
// cancellation fields are absent from the messages of the production version, and present from the
// first version that serves pipelines on.
func TestMessagesOfEarlierVersions(t *testing.T) {
	for version, want := range map[string]struct{ cancelled, heard bool }{
		"production":     {},
		"pipelines":      {cancelled: true, heard: true},
		"fair_admission": {cancelled: true, heard: true},
	} {
		d, err := readRecordedDeployment("testdata/" + version + "/records.json")
		if err != nil || len(d.Status) == 0 {
			t.Fatalf("%s: no messages: %v", version, err)
		}
		cancelled, heard := false, false
		for i, raw := range d.Status {
			s, err := protocol.DecodePeerStatus(raw)
			if err != nil {
				t.Errorf("%s: message %d: %v", version, i, err)
				continue
			}
			if s.From.Member == "" || s.Revision == 0 || len(s.Cancelled) > 0 != (s.CancelledUpTo > 0) {
				t.Errorf("%s: message %d: %+v", version, i, s)
			}
			cancelled = cancelled || len(s.Cancelled) > 0
			heard = heard || len(s.CancellationAcks) > 0
		}
		if cancelled != want.cancelled || heard != want.heard {
			t.Errorf("%s: cancellations present: %v, acknowledgements present: %v", version, cancelled, heard)
		}
	}
}
