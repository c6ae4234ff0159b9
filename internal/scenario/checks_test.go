package scenario

import (
	"fmt"
	"strings"
	"testing"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// checkWorld is a world with two machines and a job of three tasks, and no controller.
type checkWorld struct {
	*World
	a, b *machine
	j    *userJob
}

func (w checkWorld) task(m *machine, n int) *workerTask {
	id := fmt.Sprintf("%s/%d", w.j.ref, n)
	x := &workerTask{id: id, phase: "running", job: w.j}
	m.tasks[id+"#1"] = x
	return x
}

func (w checkWorld) say(phase string) {
	w.users.hear(w.j, fmt.Appendf(nil, `{"ref":%q,"phase":%q}`, w.j.ref, phase))
}

func (w checkWorld) other(ref string, set map[string]string) *userJob {
	j := w.users.parse(ref, set)
	j.accepted = 1
	w.users.jobs[ref] = j
	w.users.order = append(w.users.order, ref)
	return j
}

// provocations bring about what each check is there to find, by rule.
var provocations = map[string]func(w checkWorld){
	"ran_twice": func(w checkWorld) {
		w.task(w.a, 0)
		w.users.started(w.b, w.task(w.b, 0), 0)
	},
	"quota": func(w checkWorld) {
		w.task(w.a, 0)
		w.task(w.a, 1)
		w.users.started(w.b, w.task(w.b, 2), 2)
	},
	"wrong_place": func(w checkWorld) {
		w.j.berth = "b"
		w.users.started(w.a, w.task(w.a, 0), 0)
	},
	"ran_cancelled": func(w checkWorld) {
		w.j.wantCancel = true
		w.say("cancelled")
		w.task(w.a, 0)
		w.a.answered = w.now + 60*micros.Second // somebody goes on answering it
		w.run(40 * micros.Second)
	},
	"forgotten": func(w checkWorld) {
		w.users.poll(w.j)
		w.run(100 * micros.Second)
	},
	"not_done":  func(w checkWorld) { w.say("done") },
	"went_back": func(w checkWorld) { w.say("cancelled") },
	"idle_room": func(w checkWorld) { w.run(300 * micros.Second) },
	"too_early": func(w checkWorld) {
		w.other("wk-000002", map[string]string{})
		w.j.waitsOn = []string{"wk-000002"}
		w.users.started(w.a, w.task(w.a, 0), 0)
	},
	"orphaned": func(w checkWorld) {
		n := w.other("wk-000002", map[string]string{})
		w.j.waitsOn = []string{"wk-000002"}
		n.cancelled = w.now + 1
		w.now += 60 * micros.Second
		w.say("queued")
	},
	"two_verdicts": func(w checkWorld) {
		for _, admit := range []bool{true, false} {
			w.hearLog(messages.LogRecord{Message: "admission verdict", Attributes: []any{"job", "wk-000001", "epoch", uint64(2), "leader", uint64(1), "admit", admit}})
		}
	},
	"accepted_twice": func(w checkWorld) {
		w.users.accepted(w.j, 201)
		w.users.accepted(w.j, 201)
	},
	"invented": func(w checkWorld) { w.users.strangerTold("wk-000009", 200) },
	"two_blocks": func(w checkWorld) {
		for _, k := range []string{"pl/block/x", "pl/block/y"} {
			w.state.keys[k] = stateKey{value: []byte(`{"m":{"vm-1":{}}}`), stamp: 1}
		}
		w.users.watchBlocks()
	},
	"accepted": func(w checkWorld) {
		w.users.odd(w.now + 1)
		for _, j := range w.users.jobs {
			if j.cores > 1000 {
				j.accepted = w.now
			}
		}
		w.run(10 * micros.Second)
	},
}

// TestChecksCanFail brings about what each check of the stand-ins is there to find, with
// no controller running: a check that cannot fail would show nothing.
func TestChecksCanFail(t *testing.T) {
	for rule, provoke := range provocations {
		t.Run(rule, func(t *testing.T) {
			base, err := newWorld(parseLine(1, "cluster teams=alpha:0:8"), 1, func(string, ...any) {})
			if err != nil {
				t.Fatal(err)
			}
			base.addType(parseLine(2, "type small cores=8 ram=32"))
			w := checkWorld{World: base, a: base.cloud.add(base.cloud.types[0], "a", false, true), b: base.cloud.add(base.cloud.types[0], "a", false, true)}
			w.run(micros.Second)
			w.j = w.other("wk-000001", map[string]string{"tasks": "3", "cores": "4"})
			provoke(w)
			for _, b := range w.broken {
				if strings.Contains(b, " "+rule+":") {
					return
				}
			}
			t.Errorf("not noticed; broken: %v", w.broken)
		})
	}
}

// TestMessagesOfEarlierVersions reads what earlier versions sent to their siblings: the
// fields that came later are absent from the messages of the one in production, and there,
// as they were, in those of the first that serves pipelines.
func TestMessagesOfEarlierVersions(t *testing.T) {
	for version, want := range map[string]struct{ cancelled, heard bool }{
		"production": {},
		"pipelines":  {cancelled: true, heard: true},
	} {
		d, err := readLeft("testdata/" + version + "/records.json")
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
			t.Errorf("%s: tells of cancellations: %v, of those heard: %v", version, cancelled, heard)
		}
	}
}
